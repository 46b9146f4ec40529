/** Errors of calls to model engines. The outcome states whether the request ran, if known. */

import * as core from "@peridotvale/core";

/** Reason why a call to an engine failed or its stream ended early. */
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

/** Converts an error of the HTTP client into an {@linkcode EngineError}. */
export function createEngineError(error: unknown): EngineError {
  const { notSent, name, message } = core.readNetworkFailure(error);
  if (notSent) return { outcome: "not_run", code: "unreachable", message };
  if (name === "AbortError") {
    return { outcome: "unknown", code: "aborted", message };
  }
  return { outcome: "unknown", code: "connection_lost", message };
}
