/** Decides what follows an attempt that did not complete. All functions are pure. */

import type * as core from "@peridotvale/core";

/** State of a generation after an attempt that ended without the complete answer. */
export interface GenerationAttempt {
  readonly outcome: core.FailureOutcome;
  /** Whether the caller receives tokens as they are generated. */
  readonly streamed: boolean;
  /** Tokens that the caller has received. */
  readonly deliveredTokens: number;
  /** Whether the endpoint may still hold the generation. */
  readonly resumable: boolean;
  /** Attempts so far, including this one. */
  readonly attempts: number;
  /** Attempts so far that may have run and ended without progress, including this one. */
  readonly fruitlessAttempts: number;
  /** Whether the retry budget allows one more attempt. */
  readonly budgetLeft: boolean;
  readonly deadlineAt: number;
}

/**
 * Whether the next attempt of a generation draws on the retry budget. An attempt that its engine
 * did not take has caused no work there, and the owner grants the engine no more requests until
 * the engine's next status; so the refusals are limited without the budget. They come in bursts
 * when an engine unloads a model or goes away while grants for it are under way.
 */
export function isRetryCharged(outcome: core.FailureOutcome): boolean {
  return outcome !== "not_run";
}

/** Next step of a generation after a failed attempt. */
export type GenerationRetry =
  /** Continues the generation at the endpoint that holds it. */
  | { readonly type: "resume" }
  /** Starts the generation again; the caller has received nothing. */
  | { readonly type: "restart" }
  /** Starts the generation at another endpoint and compares its tokens with those delivered. */
  | { readonly type: "regenerate" }
  | { readonly type: "stop"; readonly reason: StopReason };

/** Why no further attempt is made. */
export type StopReason =
  | "deadline_exceeded"
  | "attempts_exhausted"
  | "retry_budget_exhausted";

/** State of a call to a plain service after an attempt that ended without an answer. */
export interface CallAttempt {
  readonly outcome: core.FailureOutcome;
  readonly idempotent: boolean;
  readonly attempts: number;
  readonly budgetLeft: boolean;
  readonly deadlineAt: number;
}

/** Next step of a call after a failed attempt. */
export type CallRetry =
  | { readonly type: "retry" }
  | { readonly type: "stop"; readonly reason: StopReason | "not_repeatable" };

/** Maximum attempts of one generation; resumptions are not included. */
export const MAX_GENERATION_ATTEMPTS = 5;
/**
 * Engines that one generation may lose as it begins. The second loss makes it likely that the prompt
 * crashes engines, and each further attempt would end the generations of others.
 */
export const MAX_FRUITLESS_ATTEMPTS = 2;
/** Tokens beyond those that the caller had before, from which an attempt has made progress. */
export const MIN_PROGRESS_TOKENS = 8;
export const MAX_CALL_ATTEMPTS = 3;

/** Chooses the next step of a generation, preferring to resume it where it runs. */
export function chooseGenerationRetry(
  attempt: GenerationAttempt,
  now: number,
): GenerationRetry {
  if (now >= attempt.deadlineAt) {
    return { type: "stop", reason: "deadline_exceeded" };
  }
  if (attempt.resumable) return { type: "resume" };
  const isExhausted = attempt.attempts >= MAX_GENERATION_ATTEMPTS ||
    attempt.fruitlessAttempts >= MAX_FRUITLESS_ATTEMPTS;
  if (isExhausted) {
    return { type: "stop", reason: "attempts_exhausted" };
  }
  if (!attempt.budgetLeft && isRetryCharged(attempt.outcome)) {
    return { type: "stop", reason: "retry_budget_exhausted" };
  }
  if (attempt.streamed && attempt.deliveredTokens > 0) {
    return { type: "regenerate" };
  }
  return { type: "restart" };
}

/** Chooses the next step of a call; a non-idempotent call is retried only after `not_run`. */
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
 * Merges the outcome of a further attempt into the outcome of the request: `unknown` if any
 * attempt is `unknown`, else `failed` if any is `failed`, else `not_run`.
 */
export function mergeOutcomes(
  knownOutcome: core.FailureOutcome,
  nextOutcome: core.FailureOutcome,
): core.FailureOutcome {
  if (knownOutcome === "unknown" || nextOutcome === "unknown") return "unknown";
  if (knownOutcome === "failed" || nextOutcome === "failed") return "failed";
  return "not_run";
}
