/**
 * Plans how generations leave an engine that is about to go: which go, in which
 * order, and whose turn it is. Answers reclaims with less than two seconds of
 * notice, in which the engine's link moves only a few generations.
 *
 * An engine sends copies one after another, so two processes that copy at the
 * same time make each other's generations pause. They take turns in an order
 * that all of them compute alike.
 */

import * as core from "@peridotvale/core";

/** A generation on an engine that leaves. */
export interface LeavingRun {
  readonly request: core.RequestId;
  /** Whether it has made events; only then it has memory to move. */
  readonly hasStarted: boolean;
  /** Tokens that it holds. */
  readonly heldTokens: number;
  /** Output that is still expected. */
  readonly tokensLeft: number;
  /** Moves that were tried and failed. */
  readonly failedMoves: number;
  readonly isMoving: boolean;
}

/** Shortest notice of a reclaim, less the time in which it becomes known. */
const NOTICE_MS = 1_400;
/** Time of one token where the engine has not been seen to generate. */
const TOKEN_MS = 9;
const MAX_FAILED_MOVES = 4;

/** Whether a run is worth its move: it does not end by itself in time. */
export function isWorthMoving(run: LeavingRun): boolean {
  if (run.failedMoves >= MAX_FAILED_MOVES) return false;
  return run.tokensLeft * TOKEN_MS > NOTICE_MS;
}

/** Chooses the run that moves next: most output left for the memory that it holds. */
export function chooseNextMove(runs: readonly LeavingRun[]): LeavingRun | undefined {
  let best: LeavingRun | undefined;
  let bestValue = 0;
  for (const run of runs) {
    if (!run.hasStarted || run.isMoving || !isWorthMoving(run)) continue;
    const value = run.tokensLeft / Math.max(1, run.heldTokens) / (1 + run.failedMoves);
    if (value <= bestValue) continue;
    best = run;
    bestValue = value;
  }
  return best;
}

/**
 * Whether `self` may copy from `instance` now: the first in order of those that
 * still want to.
 */
export function isOwnTurn(
  self: core.ProcessId,
  instance: core.InstanceId,
  others: readonly core.ProcessId[],
): boolean {
  const own = core.computeHash32(`${instance}|${self}`);
  for (const other of others) {
    const rank = core.computeHash32(`${instance}|${other}`);
    if (rank < own || (rank === own && other < self)) return false;
  }
  return true;
}
