/** Decides what follows an attempt that did not complete. Pure: a function of its arguments. */

import type * as core from "@peridotvale/core";

/** What is known when an attempt of a generation has ended without the whole answer. */
export interface GenerationAttempt {
  readonly outcome: core.FailureOutcome;
  /** Whether tokens go to the caller as they come. */
  readonly streamed: boolean;
  /** Tokens that the caller has received. */
  readonly deliveredTokens: number;
  /** Whether the endpoint may still hold the generation. */
  readonly resumable: boolean;
  /** Attempts made so far, this one included. */
  readonly attempts: number;
  /** Whether the retry budget allows one more attempt. */
  readonly budgetLeft: boolean;
  /** When the request's deadline passes. */
  readonly deadlineAt: number;
}

/** What to do next with a generation. */
export type GenerationRetry =
  | { readonly type: "resume" }
  | { readonly type: "restart" }
  /** Runs it anew elsewhere and compares with what the caller holds. */
  | { readonly type: "regenerate" }
  | { readonly type: "stop"; readonly reason: StopReason };

/** Why no further attempt is made. */
export type StopReason =
  | "deadline_exceeded"
  | "attempts_exhausted"
  | "retry_budget_exhausted";

/** What is known when a call to a plain service has ended without an answer. */
export interface CallAttempt {
  readonly outcome: core.FailureOutcome;
  readonly idempotent: boolean;
  readonly attempts: number;
  readonly budgetLeft: boolean;
  readonly deadlineAt: number;
}

/** What to do next with a call. */
export type CallRetry =
  | { readonly type: "retry" }
  | { readonly type: "stop"; readonly reason: StopReason | "not_repeatable" };

/** Most attempts of one generation, resumptions not counted. */
export const MAX_GENERATION_ATTEMPTS = 5;
/** Most attempts of one call. */
export const MAX_CALL_ATTEMPTS = 3;

/** Chooses what follows a generation's attempt. */
export function chooseGenerationRetry(
  attempt: GenerationAttempt,
  now: number,
): GenerationRetry {
  if (now >= attempt.deadlineAt) {
    return { type: "stop", reason: "deadline_exceeded" };
  }
  if (attempt.resumable) return { type: "resume" };
  if (attempt.attempts >= MAX_GENERATION_ATTEMPTS) {
    return { type: "stop", reason: "attempts_exhausted" };
  }
  if (!attempt.budgetLeft) {
    return { type: "stop", reason: "retry_budget_exhausted" };
  }
  if (attempt.streamed && attempt.deliveredTokens > 0) {
    return { type: "regenerate" };
  }
  return { type: "restart" };
}

/** Chooses what follows a call's attempt; a non-idempotent call repeats only after `not_run`. */
export function chooseCallRetry(attempt: CallAttempt, now: number): CallRetry {
  if (!attempt.idempotent && attempt.outcome !== "not_run") {
    return { type: "stop", reason: "not_repeatable" };
  }
  if (now >= attempt.deadlineAt) {
    return { type: "stop", reason: "deadline_exceeded" };
  }
  if (attempt.attempts >= MAX_CALL_ATTEMPTS) {
    return { type: "stop", reason: "attempts_exhausted" };
  }
  if (!attempt.budgetLeft) {
    return { type: "stop", reason: "retry_budget_exhausted" };
  }
  return { type: "retry" };
}

/**
 * Merges the outcome of one more attempt into what is known of the whole
 * request: it is `not_run` only if every attempt was.
 */
export function mergeOutcomes(
  known: core.FailureOutcome,
  next: core.FailureOutcome,
): core.FailureOutcome {
  if (known === "unknown" || next === "unknown") return "unknown";
  if (known === "failed" || next === "failed") return "failed";
  return "not_run";
}
