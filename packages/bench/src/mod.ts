/** Simulated comparison of dispatch strategies. */
export * from "./policy_bench.ts";
