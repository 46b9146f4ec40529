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
  /** Time by which the generation's first event is due. */
  readonly targetBy: number;
  /** Deadline of the generation's last event. */
  readonly answerBy: number;
}

/** Places a generation at an engine with room; returns false if there is none. */
export type TryPlace = (waiting: WaitingGeneration) => boolean;

/** Window over which the admission rate is measured. */
const ADMISSION_RATE_WINDOW_MS = 5_000;

interface Admission {
  readonly admittedAt: number;
  readonly tokens: number;
}

/** Waiting generations of one process. */
export class GenerationQueue {
  readonly #waitingGenerations = new Map<core.RequestId, WaitingGeneration>();
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
    return this.#waitingGenerations.size;
  }

  addGeneration(waiting: WaitingGeneration, now: number): void {
    this.#waitingSince ??= now;
    this.#waitingGenerations.set(waiting.request, waiting);
  }

  removeGeneration(request: core.RequestId): void {
    this.#waitingGenerations.delete(request);
    if (this.#waitingGenerations.size === 0) this.#waitingSince = undefined;
  }

  /** Records that a generation has started at an engine. */
  recordStart(waiting: WaitingGeneration, now: number): void {
    const workspaceKey = waiting.workspace ?? "";
    this.#runningByWorkspace.set(
      workspaceKey,
      (this.#runningByWorkspace.get(workspaceKey) ?? 0) + 1,
    );
    this.#admissions.push({ admittedAt: now, tokens: predictTokens(waiting) });
  }

  /** Records that a generation has left its engine. */
  recordEnd(waiting: WaitingGeneration): void {
    const workspaceKey = waiting.workspace ?? "";
    const remainingCount = (this.#runningByWorkspace.get(workspaceKey) ?? 1) - 1;
    if (remainingCount > 0) this.#runningByWorkspace.set(workspaceKey, remainingCount);
    else this.#runningByWorkspace.delete(workspaceKey);
  }

  /**
   * Places waiting generations, the most urgent first. After a generation that cannot be
   * placed, skips all further generations of its service.
   */
  placeWaiting(now: number, tryPlace: TryPlace): void {
    const blockedServices = new Set<core.ServiceName>();
    for (const waiting of this.#listByUrgency(now)) {
      if (blockedServices.has(waiting.service)) continue;
      if (!tryPlace(waiting)) blockedServices.add(waiting.service);
      else this.removeGeneration(waiting.request);
    }
  }

  /** Removes and returns generations that would miss their deadline even if they started now. */
  takeLateGenerations(now: number): WaitingGeneration[] {
    const lateGenerations: WaitingGeneration[] = [];
    for (const waiting of this.#waitingGenerations.values()) {
      if (now + this.#predictDurationMs(waiting) <= waiting.answerBy) continue;
      this.removeGeneration(waiting.request);
      lateGenerations.push(waiting);
    }
    return lateGenerations;
  }

  /**
   * Predicts how long `candidate` would wait, from the tokens of generations ahead of it and the
   * recent admission rate; 0 while the rate is unknown. Admissions show the engines' capacity
   * only if the queue was never empty during the window.
   */
  predictWaitMs(candidate: WaitingGeneration, now: number): number {
    this.#admissions = this.#admissions.filter((entry) =>
      now - entry.admittedAt <= ADMISSION_RATE_WINDOW_MS
    );
    const waitedMs = this.#waitingSince === undefined ? 0 : now - this.#waitingSince;
    if (waitedMs < ADMISSION_RATE_WINDOW_MS || this.#admissions.length === 0) return 0;
    let tokensAhead = 0;
    for (const waiting of this.#waitingGenerations.values()) {
      if (waiting.rank <= candidate.rank) tokensAhead += predictTokens(waiting);
    }
    const admittedTokens = this.#admissions.reduce((sum, entry) => sum + entry.tokens, 0);
    return tokensAhead / (admittedTokens / ADMISSION_RATE_WINDOW_MS);
  }

  /** Whether `candidate` would start too late to meet its deadline. */
  isTooLate(candidate: WaitingGeneration, now: number): boolean {
    const startAt = now + this.predictWaitMs(candidate, now);
    return startAt + this.#predictDurationMs(candidate) > candidate.answerBy;
  }

  /** Predicts the time to generate the output, without prefill, which depends on other prompts. */
  #predictDurationMs(waiting: WaitingGeneration): number {
    return (predictTokens(waiting) - waiting.size.promptTokens) * this.#getTokenMs();
  }

  #listByUrgency(now: number): WaitingGeneration[] {
    const countByWorkspace = new Map(this.#runningByWorkspace);
    const generationsByArrival = [...this.#waitingGenerations.values()].sort((a, b) =>
      a.arrivedAt - b.arrivedAt
    );
    const orderedEntries = generationsByArrival.map((waiting) => {
      const workspace = waiting.workspace ?? "";
      const workspaceCount = countByWorkspace.get(workspace) ?? 0;
      countByWorkspace.set(workspace, workspaceCount + 1);
      return { waiting, workspaceCount, isLate: now > waiting.targetBy };
    });
    orderedEntries.sort((a, b) =>
      a.waiting.rank - b.waiting.rank || Number(a.isLate) - Number(b.isLate) ||
      a.workspaceCount - b.workspaceCount || a.waiting.arrivedAt - b.waiting.arrivedAt
    );
    return orderedEntries.map((entry) => entry.waiting);
  }
}

function predictTokens(waiting: WaitingGeneration): number {
  return placements.predictTotalTokens(waiting.size, 0);
}
