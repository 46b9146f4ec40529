/** Errors of model engines. */

import * as core from "@peridotvale/core";

/** Why an engine gave no answer, or no more of it. */
export interface EngineError {
  readonly outcome: core.FailureOutcome;
  readonly code:
    | "unreachable"
    | "refused"
    | "unknown_generation"
    | "connection_lost"
    | "silent"
    | "aborted"
    | "crossed"
    | "gap"
    | "protocol";
  readonly message: string;
}

/** Turns an error of the HTTP client into one of this layer. */
export function createEngineError(error: unknown): EngineError {
  const { notSent, name, message } = core.readNetworkFailure(error);
  if (notSent) return { outcome: "not_run", code: "unreachable", message };
  if (name === "AbortError") {
    return { outcome: "unknown", code: "aborted", message };
  }
  return { outcome: "unknown", code: "connection_lost", message };
}
