/** All decisions, as state machines and functions without I/O. */
export * from "./call_scheduler.ts";
export * from "./concurrency_limit.ts";
export * from "./endpoint_table.ts";
export * from "./fair_queue.ts";
export * from "./group_commit.ts";
export * from "./length_predictor.ts";
export * from "./manifest_register.ts";
export * from "./memory_forecast.ts";
export * from "./prefix_hashes.ts";
export * from "./retry_budget.ts";
export * from "./retry_policy.ts";
export * from "./scheduler.ts";
export * from "./scheduler_types.ts";
export * from "./speed_model.ts";
