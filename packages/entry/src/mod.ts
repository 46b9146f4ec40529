/** Composition of the entry process. */
export * from "./entry_process.ts";
export * from "./main.ts";
export * from "./settings.ts";
