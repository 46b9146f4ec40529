/** Errors of plain services. */

import * as core from "@peridotvale/core";

/** Why a call has no answer. */
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

/** Thrown while an answer is read that exceeds its bound. */
export class AnswerTooLargeError extends Error {
  override readonly name = "AnswerTooLargeError";

  constructor(maxBytes: number) {
    super(`answer exceeds ${maxBytes} bytes`);
  }
}

/** Turns an error of the HTTP client into one of this layer. */
export function createServiceError(error: unknown): ServiceError {
  const { notSent, code, name, message } = core.readNetworkFailure(error);
  if (error instanceof AnswerTooLargeError) {
    return { outcome: "unknown", code: "answer_too_large", message };
  }
  if (notSent) return { outcome: "not_run", code: "unreachable", message };
  if (name === "TimeoutError" || code === "UND_ERR_HEADERS_TIMEOUT") {
    return { outcome: "unknown", code: "timeout", message };
  }
  return { outcome: "unknown", code: "connection_lost", message };
}

/** An attempt that never reached the endpoint, or that the endpoint did not take. */
export function createNotSentError(message: string): ServiceError {
  return { outcome: "not_run", code: "declined", message };
}

/** An answer that belongs to another request. */
export function createCrossedError(echoed: string | undefined): ServiceError {
  const message = `answer to another request: ${echoed ?? "none"}`;
  return { outcome: "unknown", code: "crossed", message };
}
