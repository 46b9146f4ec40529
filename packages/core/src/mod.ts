/** Types and helpers that every other package shares; knows no feature. */
export * from "./clock.ts";
export * from "./disposer.ts";
export * from "./document.ts";
export * from "./ids.ts";
export * from "./invariant.ts";
export * from "./log.ts";
export * from "./manifest.ts";
export * from "./network_error.ts";
export * from "./outcome.ts";
export * from "./pause_aware_clock.ts";
export * from "./prefix_hashes.ts";
export * from "./problem.ts";
export * from "./random.ts";
export * from "./routing_config.ts";
export * from "./runtime.ts";
export * from "./schemas.ts";
export * from "./timeout.ts";
