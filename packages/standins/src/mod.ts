/** Small stand-ins for outside systems; for tests only. */
export * from "./engine_model.ts";
export * from "./engine_standin.ts";
export * from "./platform_standin.ts";
export * from "./relay_standin.ts";
export * from "./service_standin.ts";
