/** Errors that a caller sees, as `application/problem+json`. */

import type * as ids from "./ids.ts";
import type * as outcomes from "./outcome.ts";

/** Why a request has no answer. */
export interface RequestProblem {
  /** HTTP status. */
  readonly status: number;
  /** Stable name of the problem. */
  readonly code: string;
  readonly outcome: outcomes.FailureOutcome;
  readonly detail: string;
  /** Set where a retry can help. */
  readonly retryAfterMs?: number | undefined;
  /** Tokens that the caller has received of the generation. */
  readonly deliveredTokens?: number | undefined;
}

/** Media type of problems. */
export const PROBLEM_TYPE = "application/problem+json";

/** Creates a problem for a request that was refused before anything ran. */
export function createRefusal(
  status: number,
  code: string,
  options: {
    readonly detail: string;
    readonly retryAfterMs?: number | undefined;
  },
): RequestProblem {
  return { status, code, outcome: "not_run", ...options };
}

/** Formats a problem as the body of a response or of an SSE error event. */
export function formatProblemBody(
  problem: RequestProblem,
  request: ids.RequestId,
): string {
  return JSON.stringify({
    type: `urn:peridotvale:problem:${problem.code}`,
    title: problem.code,
    status: problem.status,
    code: problem.code,
    outcome: problem.outcome,
    detail: problem.detail,
    request_id: request,
    delivered_tokens: problem.deliveredTokens,
    retry_after_ms: problem.retryAfterMs,
  });
}

/** Creates the response headers of a problem. */
export function createProblemHeaders(
  problem: RequestProblem,
  request: ids.RequestId,
): Record<string, string> {
  const headers: Record<string, string> = {
    "content-type": PROBLEM_TYPE,
    "x-request-id": request,
  };
  if (problem.retryAfterMs !== undefined) {
    headers["retry-after"] = String(Math.ceil(problem.retryAfterMs / 1000));
  }
  return headers;
}
