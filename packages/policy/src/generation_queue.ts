/**
 * Generations that wait for an engine with room: who is next, and who cannot be
 * served any more. Answers floods of one kind of request beyond the engines'
 * memory: the most urgent go first, a workspace with little running goes before
 * one with much, and what can still be on time goes before what is late.
 */

import type * as core from "@peridotvale/core";
import * as placements from "./engine_placement.ts";

/** A generation that waits. */
export interface WaitingGeneration {
  readonly request: core.RequestId;
  readonly service: core.ServiceName;
  readonly size: placements.GenerationSize;
  /** 0 is the most urgent. */
  readonly rank: number;
  readonly workspace: core.WorkspaceName | undefined;
  readonly arrivedAt: number;
  /** When its first event has to come to be on time. */
  readonly targetBy: number;
  /** When its last event has to have come. */
  readonly answerBy: number;
}

/** Tries to place a generation; returns whether it did. */
export type TryPlace = (waiting: WaitingGeneration) => boolean;

/** Rate of admissions is measured over this time. */
const RATE_WINDOW_MS = 5_000;

interface Admission {
  readonly at: number;
  readonly tokens: number;
}

/** The queue of one process. */
export class GenerationQueue {
  readonly #waiting = new Map<core.RequestId, WaitingGeneration>();
  readonly #running = new Map<string, number>();
  readonly #getTokenMs: () => number;
  #admissions: Admission[] = [];
  /** Since when something has been waiting; undefined while nothing is. */
  #waitingSince: number | undefined;

  /** `getTokenMs` gives the time of one token at the quickest engine; 0 if it is not known. */
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
    this.#running.set(key, (this.#running.get(key) ?? 0) + 1);
    this.#admissions.push({ at: now, tokens: getTokens(waiting) });
  }

  /** Records that a generation has left its engine. */
  recordEnd(waiting: WaitingGeneration): void {
    const key = waiting.workspace ?? "";
    const left = (this.#running.get(key) ?? 1) - 1;
    if (left > 0) this.#running.set(key, left);
    else this.#running.delete(key);
  }

  /** Places what can be placed, the next first; stops at the first that finds no room. */
  placeWaiting(now: number, tryPlace: TryPlace): void {
    const blockedServices = new Set<core.ServiceName>();
    for (const waiting of this.#listInOrder(now)) {
      if (blockedServices.has(waiting.service)) continue;
      if (!tryPlace(waiting)) blockedServices.add(waiting.service);
      else this.remove(waiting.request);
    }
  }

  /** Takes out those that could not be whole in time even if they started now. */
  takeHopeless(now: number): WaitingGeneration[] {
    const hopeless: WaitingGeneration[] = [];
    for (const waiting of this.#waiting.values()) {
      if (now + this.#predictDurationMs(waiting) <= waiting.answerBy) continue;
      this.remove(waiting.request);
      hopeless.push(waiting);
    }
    return hopeless;
  }

  /**
   * Predicts the wait of one more generation from what waits before it and from how
   * fast generations were admitted lately; 0 while that is not known. Admissions show
   * the engines' capacity only while others wait all the time.
   */
  predictWaitMs(candidate: WaitingGeneration, now: number): number {
    this.#admissions = this.#admissions.filter((one) => now - one.at <= RATE_WINDOW_MS);
    const waitedMs = this.#waitingSince === undefined ? 0 : now - this.#waitingSince;
    if (waitedMs < RATE_WINDOW_MS || this.#admissions.length === 0) return 0;
    let before = 0;
    for (const waiting of this.#waiting.values()) {
      if (waiting.rank <= candidate.rank) before += getTokens(waiting);
    }
    const admitted = this.#admissions.reduce((sum, one) => sum + one.tokens, 0);
    return before / (admitted / RATE_WINDOW_MS);
  }

  /** Whether `candidate` would start too late to be whole in time. */
  isHopeless(candidate: WaitingGeneration, now: number): boolean {
    const startAt = now + this.predictWaitMs(candidate, now);
    return startAt + this.#predictDurationMs(candidate) > candidate.answerBy;
  }

  /** Time of the output alone; reading the prompt depends on what else the engine reads. */
  #predictDurationMs(waiting: WaitingGeneration): number {
    return (getTokens(waiting) - waiting.size.promptTokens) * this.#getTokenMs();
  }

  #listInOrder(now: number): WaitingGeneration[] {
    const ahead = new Map(this.#running);
    const byArrival = [...this.#waiting.values()].sort((a, b) => a.arrivedAt - b.arrivedAt);
    const keyed = byArrival.map((waiting) => {
      const workspace = waiting.workspace ?? "";
      const share = ahead.get(workspace) ?? 0;
      ahead.set(workspace, share + 1);
      return { waiting, share, isLate: now > waiting.targetBy };
    });
    keyed.sort((a, b) =>
      a.waiting.rank - b.waiting.rank || Number(a.isLate) - Number(b.isLate) ||
      a.share - b.share || a.waiting.arrivedAt - b.waiting.arrivedAt
    );
    return keyed.map((one) => one.waiting);
  }
}

function getTokens(waiting: WaitingGeneration): number {
  return placements.predictTotalTokens(waiting.size, 0);
}
