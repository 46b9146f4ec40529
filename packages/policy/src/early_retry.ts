/**
 * Decides when an attempt at an idempotent call is ended before its deadline, so that another
 * endpoint can still answer in time. Handles endpoints that accept a call and then stop answering,
 * and a whole service that is slow: there a retry cannot help, and the attempt keeps its time.
 */

import type * as core from "@peridotvale/core";
import * as retries from "./forward_retry.ts";

/** An open attempt, with the request's attempts that ended before it. */
export interface OpenAttempt {
  readonly kind: core.RouteKind;
  /** Number of earlier attempts that may have run. */
  readonly ranAttempts: number;
  /** Number of earlier attempts that an endpoint refused. */
  readonly refusedAttempts: number;
  /** The route's limit on attempts that may have run. */
  readonly maxAttempts: number;
  /** Deadline of the answer. */
  readonly answerBy: number;
}

/** Whether a retry could be sent at this moment. */
export interface RetryMeans {
  /** Whether an endpoint that the request has not been sent to may get it now. */
  readonly hasEndpoint: boolean;
  /** Whether the retry budget permits a retry now. */
  readonly hasBudget: boolean;
}

/** Share of the time left until the deadline after which a retry is considered. */
const ATTEMPT_TIME_SHARE = 0.5;
/** A retry with less time than this rarely succeeds, and is not considered again. */
const MIN_WAIT_MS = 20;

/**
 * Returns the time after which to check whether the attempt is ended for a retry; undefined if no
 * retry may follow. Called when the attempt starts and after each check that lets it go on.
 */
export function computeEarlyRetryWaitMs(attempt: OpenAttempt, now: number): number | undefined {
  const waitMs = (attempt.answerBy - now) * ATTEMPT_TIME_SHARE;
  if (waitMs < MIN_WAIT_MS || !canRetry(attempt, now)) return undefined;
  return waitMs;
}

/** Decides whether to end the attempt now: only if its retry can be sent at this moment. */
export function isEndedEarly(attempt: OpenAttempt, means: RetryMeans, now: number): boolean {
  return means.hasEndpoint && means.hasBudget && canRetry(attempt, now);
}

function canRetry(attempt: OpenAttempt, now: number): boolean {
  const { ranAttempts } = attempt;
  const ended = { ...attempt, outcome: "unknown" as const, ranAttempts: ranAttempts + 1 };
  return retries.chooseForwardRetry(ended, now).type === "again";
}
