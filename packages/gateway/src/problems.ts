/** Errors of the gateway's own that callers see. */

import type * as core from "@peridotvale/core";

/** Statuses that promise that a request has not run and never will. */
const PROMISE_STATUSES = new Set([408, 421, 429, 503]);
/** Callers that are refused together return over this span. */
const RETRY_SPREAD_MS = 300;
const MIN_RETRY_AFTER_MS = 50;

/** Whether `status` promises that a request has not run. */
export function isPromiseStatus(status: number): boolean {
  return PROMISE_STATUSES.has(status);
}

/** Creates a problem for a request that no endpoint answered. */
export function createFailure(
  status: number,
  code: string,
  options: {
    readonly outcome: core.FailureOutcome;
    readonly detail: string;
    readonly retryAfterMs?: number | undefined;
  },
): core.RequestProblem {
  return { status, code, ...options };
}

/** Draws when a refused caller may return. */
export function drawRetryAfter(random: core.RandomSource): number {
  return MIN_RETRY_AFTER_MS + random.next() * RETRY_SPREAD_MS;
}
