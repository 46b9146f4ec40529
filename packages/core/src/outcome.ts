/** What is known about one attempt to run a request at an endpoint. */

/**
 * - `completed`: the endpoint answered, whole.
 * - `not_run`: proved that nothing happened.
 * - `failed`: it ran, and failed.
 * - `unknown`: it may or may not have run.
 */
export type Outcome = "completed" | "not_run" | "failed" | "unknown";

/** An outcome that a caller sees as an error. */
export type FailureOutcome = Exclude<Outcome, "completed">;
