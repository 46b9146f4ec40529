/**
 * Decides what follows an attempt at a stream that did not complete: it is sent again in full,
 * resumed after its last event, or given up. Load pattern: engines crash or fall silent under load,
 * and each loses many streams at once, whose callers wait for a few seconds only. Most silent
 * attempts wait behind prompts, and to move all of them would repeat that work elsewhere.
 */

import type * as core from "@peridotvale/core";
import * as placements from "./engine_placement.ts";
import * as forwardRetry from "./forward_retry.ts";

/** An attempt at a stream that ended, or may be ended, before the stream was complete. */
export interface EndedStreamAttempt extends Omit<forwardRetry.EndedAttempt, "kind"> {
  /** Whether the route permits to resume its streams. */
  readonly isResumable: boolean;
  /** Number of events that the caller has received from all attempts. */
  readonly deliveredEvents: number;
  /** Whether the last event that the caller has received has an id. */
  readonly hasLastEventId: boolean;
}

/** What follows an attempt; the retry budget is checked separately. */
export type StreamStep =
  /** The request is sent in full. */
  | { readonly type: "again" }
  /** The stream is resumed after the last event that the caller has received. */
  | { readonly type: "resume" }
  | {
    readonly type: "stop";
    readonly reason:
      | (forwardRetry.RetryDecision & { readonly type: "stop" })["reason"]
      | "no_event_id";
  };

/** State of a stream whose endpoint has sent no event for some time. */
export interface SilentStream {
  /** Time for which the endpoint has been silent. */
  readonly silentMs: number;
  /** Time left until the caller abandons the stream. */
  readonly leftMs: number;
  /** {@linkcode computeAbandonMs} of the route. */
  readonly abandonMs: number;
  /** Prompt tokens that the next endpoint has to process before its first event. */
  readonly promptTokens: number;
}

/** Callers wait at least this long for the next event, and longer on routes with longer aims. */
const MIN_ABANDON_MS = 2_000;
const ABANDON_TARGET_FACTOR = 4;
const ABANDON_GAP_FACTOR = 8;
/**
 * Share of the callers' patience after which a silent attempt is replaced. Most silent attempts
 * wait behind prompts and still answer, so that a hedge at the target latency would mostly add load.
 */
const SILENT_SHARE = 0.6;
/** Share of the callers' patience that must be left for the next endpoint. */
const MIN_LEFT_SHARE = 0.2;
const MIN_OUTPUT_TOKENS = 1;

/** Returns the step after an attempt that did not complete its stream. */
export function chooseStreamStep(attempt: EndedStreamAttempt, now: number): StreamStep {
  const kind = attempt.isResumable ? "idempotent" : "streaming";
  const retryDecision = forwardRetry.chooseForwardRetry({ ...attempt, kind }, now);
  if (retryDecision.type === "stop") return retryDecision;
  if (attempt.deliveredEvents === 0) return { type: "again" };
  if (!attempt.isResumable) return { type: "stop", reason: "not_repeatable" };
  return attempt.hasLastEventId ? { type: "resume" } : { type: "stop", reason: "no_event_id" };
}

/** Returns the time without an event after which callers of `route` abandon a stream. */
export function computeAbandonMs(
  route: Pick<core.Route, "targetLatencyMs" | "gapAimMs">,
): number {
  return Math.max(
    MIN_ABANDON_MS,
    ABANDON_TARGET_FACTOR * route.targetLatencyMs,
    ABANDON_GAP_FACTOR * route.gapAimMs,
  );
}

/** Whether a silent attempt is replaced, if another endpoint can be sent the request now. */
export function isSilenceReplaceable(stream: SilentStream): boolean {
  if (stream.silentMs < SILENT_SHARE * stream.abandonMs) return false;
  const neededMs = Math.max(
    MIN_LEFT_SHARE * stream.abandonMs,
    placements.estimatePrefillMs(stream.promptTokens),
  );
  return stream.leftMs >= neededMs;
}

/** Returns the size of what is left of a generation after `generatedTokens`. */
export function computeRemainingSize(
  size: placements.GenerationSize,
  generatedTokens: number,
): placements.GenerationSize {
  const { expectedOutputTokens } = size;
  const subtractGenerated = (tokens: number) =>
    Math.max(MIN_OUTPUT_TOKENS, tokens - generatedTokens);
  return {
    promptTokens: size.promptTokens + generatedTokens,
    maxOutputTokens: subtractGenerated(size.maxOutputTokens),
    expectedOutputTokens: expectedOutputTokens === undefined
      ? undefined
      : subtractGenerated(expectedOutputTokens),
  };
}

/**
 * Measures how long an endpoint has been silent, from checks at regular intervals. A pause of this
 * process counts as two intervals at most, since events may have arrived meanwhile.
 */
export class SilenceMeter {
  readonly #intervalMs: number;
  #checkedAt: number | undefined;
  #mark: number | undefined;
  #silentMs = 0;

  constructor(intervalMs: number) {
    this.#intervalMs = intervalMs;
  }

  /**
   * Applies a check. `mark` changes with each event; it is undefined while no event is expected.
   * Returns the duration of the silence in milliseconds.
   */
  applyCheck(mark: number | undefined, now: number): number {
    const elapsedMs = now - (this.#checkedAt ?? now);
    const isSilent = mark !== undefined && mark === this.#mark;
    this.#silentMs = isSilent ? this.#silentMs + Math.min(elapsedMs, 2 * this.#intervalMs) : 0;
    this.#checkedAt = now;
    this.#mark = mark;
    return this.#silentMs;
  }
}
