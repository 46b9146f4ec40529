/**
 * Orders the generations that wait for an engine with room, and finds those that cannot meet
 * their deadline. Handles load peaks of one kind of request that exceed the engines' memory: the
 * most urgent rank goes first, then generations that can still start on time, then workspaces
 * with few running generations.
 */

import type * as core from "@peridotvale/core";
import * as placements from "./engine_placement.ts";

export interface WaitingGeneration {
  readonly request: core.RequestId;
  readonly service: core.ServiceName;
  readonly size: placements.GenerationSize;
  /** 0 is the most urgent. */
  readonly rank: number;
  readonly workspace: core.WorkspaceName | undefined;
  readonly arrivedAt: number;
  /** Time by which its first event is due. */
  readonly targetBy: number;
  /** Deadline of its last event. */
  readonly answerBy: number;
}

/** Tries to place a generation; returns whether it did. */
export type TryPlace = (waiting: WaitingGeneration) => boolean;

/** Window over which the admission rate is measured. */
const RATE_WINDOW_MS = 5_000;

interface Admission {
  readonly at: number;
  readonly tokens: number;
}

/** Waiting generations of one process. */
export class GenerationQueue {
  readonly #waiting = new Map<core.RequestId, WaitingGeneration>();
  readonly #runningByWorkspace = new Map<string, number>();
  readonly #getTokenMs: () => number;
  #admissions: Admission[] = [];
  /** Time at which the queue last became non-empty; undefined while it is empty. */
  #waitingSince: number | undefined;

  /** `getTokenMs` returns the time per output token of the fastest engine; 0 if unknown. */
  constructor(getTokenMs: () => number) {
    this.#getTokenMs = getTokenMs;
  }

  get size(): number {
    return this.#waiting.size;
  }

  add(waiting: WaitingGeneration, now: number): void {
    this.#waitingSince ??= now;
    this.#waiting.set(waiting.request, waiting);
  }

  remove(request: core.RequestId): void {
    this.#waiting.delete(request);
    if (this.#waiting.size === 0) this.#waitingSince = undefined;
  }

  /** Records that a generation has started at an engine. */
  recordStart(waiting: WaitingGeneration, now: number): void {
    const key = waiting.workspace ?? "";
    this.#runningByWorkspace.set(key, (this.#runningByWorkspace.get(key) ?? 0) + 1);
    this.#admissions.push({ at: now, tokens: predictTokens(waiting) });
  }

  /** Records that a generation has left its engine. */
  recordEnd(waiting: WaitingGeneration): void {
    const key = waiting.workspace ?? "";
    const remaining = (this.#runningByWorkspace.get(key) ?? 1) - 1;
    if (remaining > 0) this.#runningByWorkspace.set(key, remaining);
    else this.#runningByWorkspace.delete(key);
  }

  /**
   * Places waiting generations, the most urgent first. Once a generation finds no room, skips
   * all further generations of its service.
   */
  placeWaiting(now: number, tryPlace: TryPlace): void {
    const blockedServices = new Set<core.ServiceName>();
    for (const waiting of this.#listByUrgency(now)) {
      if (blockedServices.has(waiting.service)) continue;
      if (!tryPlace(waiting)) blockedServices.add(waiting.service);
      else this.remove(waiting.request);
    }
  }

  /** Removes and returns generations that would miss their deadline even if they started now. */
  takeTooLate(now: number): WaitingGeneration[] {
    const tooLate: WaitingGeneration[] = [];
    for (const waiting of this.#waiting.values()) {
      if (now + this.#predictDurationMs(waiting) <= waiting.answerBy) continue;
      this.remove(waiting.request);
      tooLate.push(waiting);
    }
    return tooLate;
  }

  /**
   * Predicts how long `candidate` would wait, from the tokens of generations ahead of it and the
   * recent admission rate; 0 while the rate is unknown. Admissions show the engines' capacity
   * only if the queue was never empty during the window.
   */
  predictWaitMs(candidate: WaitingGeneration, now: number): number {
    this.#admissions = this.#admissions.filter((entry) => now - entry.at <= RATE_WINDOW_MS);
    const waitedMs = this.#waitingSince === undefined ? 0 : now - this.#waitingSince;
    if (waitedMs < RATE_WINDOW_MS || this.#admissions.length === 0) return 0;
    let tokensAhead = 0;
    for (const waiting of this.#waiting.values()) {
      if (waiting.rank <= candidate.rank) tokensAhead += predictTokens(waiting);
    }
    const admittedTokens = this.#admissions.reduce((sum, entry) => sum + entry.tokens, 0);
    return tokensAhead / (admittedTokens / RATE_WINDOW_MS);
  }

  /** Whether `candidate` would start too late to meet its deadline. */
  isTooLate(candidate: WaitingGeneration, now: number): boolean {
    const startAt = now + this.predictWaitMs(candidate, now);
    return startAt + this.#predictDurationMs(candidate) > candidate.answerBy;
  }

  /** Predicts the time of the output alone; prefill time depends on the engine's other prompts. */
  #predictDurationMs(waiting: WaitingGeneration): number {
    return (predictTokens(waiting) - waiting.size.promptTokens) * this.#getTokenMs();
  }

  #listByUrgency(now: number): WaitingGeneration[] {
    const countByWorkspace = new Map(this.#runningByWorkspace);
    const byArrival = [...this.#waiting.values()].sort((a, b) => a.arrivedAt - b.arrivedAt);
    const ordered = byArrival.map((waiting) => {
      const workspace = waiting.workspace ?? "";
      const workspaceCount = countByWorkspace.get(workspace) ?? 0;
      countByWorkspace.set(workspace, workspaceCount + 1);
      return { waiting, workspaceCount, isLate: now > waiting.targetBy };
    });
    ordered.sort((a, b) =>
      a.waiting.rank - b.waiting.rank || Number(a.isLate) - Number(b.isLate) ||
      a.workspaceCount - b.workspaceCount || a.waiting.arrivedAt - b.waiting.arrivedAt
    );
    return ordered.map((entry) => entry.waiting);
  }
}

function predictTokens(waiting: WaitingGeneration): number {
  return placements.predictTotalTokens(waiting.size, 0);
}
