/**
 * Plans slot reservations for low-demand workspaces on the fastest engines. Without them,
 * a few high-demand workspaces fill every engine up to the slowest permitted time per
 * token, so that low-demand workspaces wait for slots and then run in large, slow batches.
 */

import type * as core from "@peridotvale/core";

/** The size and speed of an engine on which slots can be reserved. */
export interface ReservableEngine {
  readonly endpoint: core.EndpointId;
  readonly maxBatch: number;
  /** A batch of n streams takes `baseMs + n * slopeMs` per token. */
  readonly baseMs: number;
  readonly slopeMs: number;
}

/** The slots reserved on one engine. */
export interface SlotReservation {
  /**
   * Largest batch while slots are reserved. It keeps the time per token close to the time
   * that low-demand streams would see without other work.
   */
  readonly maxBatch: number;
  /** Slots out of `maxBatch` that only low-demand workspaces may use. */
  readonly reservedSlots: number;
}

/**
 * Largest ratio by which other work may slow down low-demand streams. It stays below the
 * target of 1.5 to leave a margin.
 */
const MAX_SLOWDOWN_RATIO = 1.3;
/** Ratio of reserved slots to low-demand streams; the excess absorbs bursts. */
const BURST_MARGIN_RATIO = 1.1;
const BISECTION_STEPS = 24;
const MAX_SEARCHED_TOKEN_MS = 10_000;

/** Reserves slots for `lowDemandStreams` streams on as few of the fastest engines as suffice. */
export function planReservations(
  engines: readonly ReservableEngine[],
  lowDemandStreams: number,
): Map<core.EndpointId, SlotReservation> {
  const reservations = new Map<core.EndpointId, SlotReservation>();
  if (lowDemandStreams <= 0 || engines.length === 0) return reservations;
  const maxTokenMs = MAX_SLOWDOWN_RATIO * findTokenMs(engines, lowDemandStreams);
  const fastestFirst = [...engines].sort((a, b) => a.baseMs + a.slopeMs - b.baseMs - b.slopeMs);
  let slotsLeft = Math.ceil(lowDemandStreams * BURST_MARGIN_RATIO);
  for (const engine of fastestFirst) {
    if (slotsLeft <= 0) break;
    const maxBatch = countSlotsWithin(engine, maxTokenMs);
    if (maxBatch <= 0) continue;
    const reservedSlots = Math.min(maxBatch, slotsLeft);
    reservations.set(engine.endpoint, { maxBatch, reservedSlots });
    slotsLeft -= reservedSlots;
  }
  return reservations;
}

/** Finds the time per token of `streams` streams if the engines served no others. */
function findTokenMs(engines: readonly ReservableEngine[], streams: number): number {
  let lowMs = 0;
  let highMs = MAX_SEARCHED_TOKEN_MS;
  for (let step = 0; step < BISECTION_STEPS; step += 1) {
    const middleMs = (lowMs + highMs) / 2;
    let slots = 0;
    for (const engine of engines) slots += countSlotsWithin(engine, middleMs);
    if (slots >= streams) highMs = middleMs;
    else lowMs = middleMs;
  }
  return highMs;
}

/** Counts the streams that the engine can serve at no more than `tokenMs` per token. */
function countSlotsWithin(engine: ReservableEngine, tokenMs: number): number {
  const slotsByTime = Math.floor((tokenMs - engine.baseMs) / engine.slopeMs);
  return Math.max(0, Math.min(engine.maxBatch, slotsByTime));
}
