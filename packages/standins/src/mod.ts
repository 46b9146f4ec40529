/** Stand-ins for external systems and a test harness that starts them; for tests only. */
export * from "./caller.ts";
export * from "./caller_load.ts";
export * from "./child_cleanup.ts";
export * from "./endless_server.ts";
export * from "./engine_model.ts";
export * from "./engine_standin.ts";
export * from "./test_fleet.ts";
export * from "./load_generator.ts";
export * from "./platform_standin.ts";
export * from "./relay_standin.ts";
export * from "./service_standin.ts";
export * from "./test_harness.ts";
