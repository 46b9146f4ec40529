/** Benches. */
export * from "./policy_bench.ts";
