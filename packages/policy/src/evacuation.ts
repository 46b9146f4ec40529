/**
 * Plans how generations leave an engine that is about to go: which go, in which
 * order, and whose turn it is. Answers reclaims with less than two seconds of
 * notice, in which the engine's link moves only a few generations.
 *
 * An engine sends copies one after another, so two processes that copy at the
 * same time make each other's generations pause. They take turns: the process
 * whose next generation is worth most for the time of its copy goes first.
 */

import * as core from "@peridotvale/core";
import type * as boards from "./load_board.ts";

/** A generation on an engine that leaves. */
export interface LeavingRun {
  readonly request: core.RequestId;
  /** Whether it has made events; only then it has memory to move. */
  readonly hasStarted: boolean;
  /** Tokens that it holds. */
  readonly heldTokens: number;
  readonly promptTokens: number;
  /** Output that is still expected. */
  readonly tokensLeft: number;
  /** Time of one token at the engine. */
  readonly tokenMs: number;
  /** When the answer is due. */
  readonly answerBy: number;
  /** Moves that were tried and failed. */
  readonly failedMoves: number;
  readonly isMoving: boolean;
}

/** Shortest notice of a reclaim, less the time in which it becomes known. */
const NOTICE_MS = 1_400;
/** A token of output takes an engine about as much work as this many of a prompt. */
const OUTPUT_TOKEN_WORK = 10;
/** A generation that ends at best this much too late is not worth its copy; engines differ in speed. */
const HOPELESS_SHARE = 2;
const MAX_FAILED_MOVES = 4;

/** Whether a run is worth its move: it does not end by itself in time, and can end in time. */
export function isWorthMoving(run: LeavingRun, now: number): boolean {
  if (run.failedMoves >= MAX_FAILED_MOVES) return false;
  const endsInMs = run.tokensLeft * run.tokenMs;
  return endsInMs > NOTICE_MS && endsInMs < HOPELESS_SHARE * (run.answerBy - now);
}

/** Work that is kept per token that is copied; 0 if the run is not to be moved. */
export function computeMoveValue(run: LeavingRun, now: number): number {
  if (!run.hasStarted || run.isMoving || !isWorthMoving(run, now)) return 0;
  const outputTokens = run.heldTokens - run.promptTokens + run.tokensLeft;
  const work = run.promptTokens + OUTPUT_TOKEN_WORK * outputTokens;
  return work / Math.max(1, run.heldTokens) / (1 + run.failedMoves);
}

/** Chooses the run that moves next: most work kept for the memory that is copied. */
export function chooseNextMove(
  runs: readonly LeavingRun[],
  now: number,
): LeavingRun | undefined {
  let best: LeavingRun | undefined;
  let bestValue = 0;
  for (const run of runs) {
    const value = computeMoveValue(run, now);
    if (value <= bestValue) continue;
    best = run;
    bestValue = value;
  }
  return best;
}

/**
 * Whether the own claim goes before those of other processes. Claims of one value
 * are ordered by a hash, so that every process finds the same one first.
 */
export function isOwnTurn(
  own: boards.MoveClaim,
  instance: core.InstanceId,
  others: readonly boards.MoveClaim[],
): boolean {
  const ownRank = core.computeHash32(`${instance}|${own.process}`);
  for (const other of others) {
    if (other.value > own.value) return false;
    if (other.value < own.value) continue;
    const rank = core.computeHash32(`${instance}|${other.process}`);
    if (rank < ownRank || (rank === ownRank && other.process < own.process)) return false;
  }
  return true;
}
