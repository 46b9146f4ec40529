/**
 * Keeps the quickest engines quick for workspaces that ask for little. Answers a few
 * large workspaces that fill every engine up to the slowest time per token that is
 * allowed, so that small ones wait for slots and for long batches.
 */

import type * as core from "@peridotvale/core";

/** An engine, as far as lanes need it. */
export interface LaneEngine {
  readonly endpoint: core.EndpointId;
  readonly maxBatch: number;
  /** Time per token with one stream, and what each further one adds. */
  readonly baseMs: number;
  readonly slopeMs: number;
}

/** What is kept of one engine. */
export interface Lane {
  /** Most streams, so that the time per token stays near that of light work alone. */
  readonly maxBatch: number;
  /** Slots of these that other work leaves free. */
  readonly reserved: number;
}

/** Most by which other work may slow light work down; the target is 1.5. */
const LANE_STRETCH = 1.3;
/** Slots beside those that light work needed lately, for its bursts. */
const LANE_MARGIN = 1.1;
const SEARCH_STEPS = 24;
const MAX_TOKEN_MS = 10_000;

/** Plans lanes for `lightStreams` streams, on as few and as quick engines as hold them. */
export function planLanes(
  engines: readonly LaneEngine[],
  lightStreams: number,
): Map<core.EndpointId, Lane> {
  const lanes = new Map<core.EndpointId, Lane>();
  if (lightStreams <= 0 || engines.length === 0) return lanes;
  const laneMs = LANE_STRETCH * findTokenMs(engines, lightStreams);
  const quickest = [...engines].sort((a, b) => a.baseMs + a.slopeMs - b.baseMs - b.slopeMs);
  let left = Math.ceil(lightStreams * LANE_MARGIN);
  for (const engine of quickest) {
    if (left <= 0) break;
    const maxBatch = countWithin(engine, laneMs);
    if (maxBatch <= 0) continue;
    const reserved = Math.min(maxBatch, left);
    lanes.set(engine.endpoint, { maxBatch, reserved });
    left -= reserved;
  }
  return lanes;
}

/** Time per token that `streams` streams would see if they had all engines alone. */
function findTokenMs(engines: readonly LaneEngine[], streams: number): number {
  let low = 0;
  let high = MAX_TOKEN_MS;
  for (let step = 0; step < SEARCH_STEPS; step += 1) {
    const middle = (low + high) / 2;
    let places = 0;
    for (const engine of engines) places += countWithin(engine, middle);
    if (places >= streams) high = middle;
    else low = middle;
  }
  return high;
}

function countWithin(engine: LaneEngine, tokenMs: number): number {
  const byTime = Math.floor((tokenMs - engine.baseMs) / engine.slopeMs);
  return Math.max(0, Math.min(engine.maxBatch, byTime));
}
