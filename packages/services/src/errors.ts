/** Errors of calls to plain services. The outcome states whether the request ran, if known. */

import * as core from "@peridotvale/core";

/** Reason why a call to a plain service returned no usable answer. */
export interface ServiceError {
  readonly outcome: core.FailureOutcome;
  readonly code:
    | "unreachable"
    | "declined"
    | "connection_lost"
    | "timeout"
    | "crossed"
    | "answer_too_large";
  readonly message: string;
}

/** Converts an error of the HTTP client into a {@linkcode ServiceError}. */
export function createServiceError(error: unknown): ServiceError {
  const { notSent, code, name, message } = core.readNetworkFailure(error);
  if (error instanceof core.BodyTooLargeError) {
    return { outcome: "unknown", code: "answer_too_large", message };
  }
  if (notSent) return { outcome: "not_run", code: "unreachable", message };
  if (name === "TimeoutError" || code === "UND_ERR_HEADERS_TIMEOUT") {
    return { outcome: "unknown", code: "timeout", message };
  }
  return { outcome: "unknown", code: "connection_lost", message };
}

/**
 * Creates the error of a request that was not run, either because it was not sent or because the
 * endpoint reported that it did not run it.
 */
export function createNotRunError(message: string): ServiceError {
  return { outcome: "not_run", code: "declined", message };
}

/** Creates the error of an answer that belongs to another request. */
export function createMismatchError(receivedRequestId: string | undefined): ServiceError {
  const message = `answer belongs to another request: ${receivedRequestId ?? "none"}`;
  return { outcome: "unknown", code: "crossed", message };
}
