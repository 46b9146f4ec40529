/** Small stand-ins for outside systems, and what starts them; for tests only. */
export * from "./caller.ts";
export * from "./engine_model.ts";
export * from "./engine_standin.ts";
export * from "./fleet_bed.ts";
export * from "./load_tool.ts";
export * from "./platform_standin.ts";
export * from "./relay_standin.ts";
export * from "./service_standin.ts";
export * from "./test_bed.ts";
