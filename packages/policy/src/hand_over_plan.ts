/**
 * Plans the hand-over of generations from an engine that leaves: which generations move, in
 * which order, and which process copies next. Handles engines that are reclaimed with less than
 * two seconds of notice, in which the engine's link can copy only a few generations.
 *
 * An engine sends copies one after another, so that generations pause longer if two processes
 * copy from it at the same time. The processes take turns: the process whose next move
 * saves the most work per copied token goes first.
 */

import * as core from "@peridotvale/core";
import type * as peers from "./peer_loads.ts";

/** A generation on an engine that leaves. */
export interface LeavingRun {
  readonly request: core.RequestId;
  /** Whether the run has produced events; before its first event, it holds no memory to move. */
  readonly hasStarted: boolean;
  /** Tokens, prompt included, that the run holds in the engine's memory. */
  readonly heldTokens: number;
  readonly promptTokens: number;
  /** Output tokens that are still expected. */
  readonly tokensLeft: number;
  /** Time per output token at the engine. */
  readonly tokenMs: number;
  /** Deadline of the complete answer. */
  readonly answerBy: number;
  readonly failedMoves: number;
  readonly isMoving: boolean;
}

/** Time that is left until the reclaim when a process learns of the shortest notice. */
const MIN_NOTICE_MS = 1_400;
/** An output token costs an engine about as much work as this many prompt tokens. */
const PROMPT_TOKENS_PER_OUTPUT_TOKEN = 10;
/**
 * A run whose remaining time exceeds the time to its deadline by this factor is not moved. The
 * factor exceeds 1 because the target engine may be faster.
 */
const MAX_OVERRUN_RATIO = 2;
const MAX_FAILED_MOVES = 4;

/**
 * Whether a move helps: the run does not end within the notice, may still meet its deadline, and
 * has not failed to move too often.
 */
export function canBenefitFromMove(run: LeavingRun, now: number): boolean {
  if (run.failedMoves >= MAX_FAILED_MOVES) return false;
  const remainingMs = run.tokensLeft * run.tokenMs;
  return remainingMs > MIN_NOTICE_MS && remainingMs < MAX_OVERRUN_RATIO * (run.answerBy - now);
}

/** Computes the engine work that a move saves per copied token; 0 if the run must not move. */
export function computeMoveValue(run: LeavingRun, now: number): number {
  if (!run.hasStarted || run.isMoving || !canBenefitFromMove(run, now)) return 0;
  const outputTokens = run.heldTokens - run.promptTokens + run.tokensLeft;
  const savedWork = run.promptTokens + PROMPT_TOKENS_PER_OUTPUT_TOKEN * outputTokens;
  return savedWork / Math.max(1, run.heldTokens) / (1 + run.failedMoves);
}

/** Chooses the run with the highest move value; undefined if none is to be moved. */
export function chooseNextMove(
  runs: readonly LeavingRun[],
  now: number,
): LeavingRun | undefined {
  let bestRun: LeavingRun | undefined;
  let bestValue = 0;
  for (const run of runs) {
    const value = computeMoveValue(run, now);
    if (value <= bestValue) continue;
    bestRun = run;
    bestValue = value;
  }
  return bestRun;
}

/**
 * Whether the own claim precedes those of all other processes. Claims of equal value are ordered
 * by a hash of instance and process, so that all processes agree on the first.
 */
export function isOwnTurn(
  own: peers.MoveClaim,
  instance: core.InstanceId,
  others: readonly peers.MoveClaim[],
): boolean {
  const ownHash = core.computeHash32(`${instance}|${own.process}`);
  for (const other of others) {
    if (other.value > own.value) return false;
    if (other.value < own.value) continue;
    const hash = core.computeHash32(`${instance}|${other.process}`);
    if (hash < ownHash || (hash === ownHash && other.process < own.process)) return false;
  }
  return true;
}
