/** The entry process, its command line and its settings. */
export * from "./entry_process.ts";
export * from "./main.ts";
export * from "./settings.ts";
