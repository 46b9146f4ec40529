/** Errors that callers receive, in the format `application/problem+json`. */

import type * as ids from "./ids.ts";
import type * as outcomes from "./outcome.ts";

/** Describes why a request failed. */
export interface RequestProblem {
  /** HTTP status of the answer. */
  readonly status: number;
  /** Stable, machine-readable identifier of the kind of problem. */
  readonly code: string;
  readonly outcome: outcomes.FailureOutcome;
  readonly detail: string;
  /** Time to wait before a retry; set only if a retry can succeed. */
  readonly retryAfterMs?: number | undefined;
  /** Number of tokens of the generation that the caller has already received. */
  readonly deliveredTokens?: number | undefined;
}

export const PROBLEM_MEDIA_TYPE = "application/problem+json";

/** Creates a problem for a request that was refused before any endpoint ran it. */
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

/** Formats a problem as JSON, for the body of a response or an SSE error event. */
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

/** Creates the response headers of a problem; `retry-after` is rounded up to full seconds. */
export function createProblemHeaders(
  problem: RequestProblem,
  request: ids.RequestId,
): Record<string, string> {
  const headers: Record<string, string> = {
    "content-type": PROBLEM_MEDIA_TYPE,
    "x-request-id": request,
  };
  if (problem.retryAfterMs !== undefined) {
    headers["retry-after"] = String(Math.ceil(problem.retryAfterMs / 1000));
  }
  return headers;
}
