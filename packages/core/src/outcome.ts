/**
 * The result of one attempt to run a request at an endpoint:
 * - `completed`: the endpoint sent a complete answer.
 * - `not_run`: the request provably did not run.
 * - `failed`: the request ran and failed.
 * - `unknown`: the request may or may not have run.
 */
export type Outcome = "completed" | "not_run" | "failed" | "unknown";

/** The outcomes that callers receive as an error. */
export type FailureOutcome = Exclude<Outcome, "completed">;
