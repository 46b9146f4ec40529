/**
 * Tracks which endpoints are cold, and the rate that a cold one accepts. Answers endpoints that
 * crash if they are flooded after a start: a single start, two starts under one id, the return of
 * a zone all at once, and entries that arrive late.
 */

import type * as core from "@peridotvale/core";
import type * as rates from "./endpoint_limits.ts";
import type * as fleets from "./fleet_estimate.ts";

/** Limits of a service's cold endpoints; 0 means none. */
export interface ColdRule {
  /** Time for which an endpoint is cold after a start under traffic. */
  readonly coldStartMs: number;
  /** Requests per second that a cold endpoint accepts from all processes together. */
  readonly coldPerS: number;
}

/** What a cold endpoint may receive in a single second: `coldPerS` x `over` + `slack`. */
export interface ColdBounds {
  readonly over: number;
  readonly slack: number;
}

/** The moment at which an entry is observed. */
export interface ObservationTiming {
  readonly now: number;
  readonly wallTime: number;
  /** Whether this process reads its first listing, in which endpoints are not new. */
  readonly isFirstListing: boolean;
}

interface ColdState {
  record: core.EndpointRecord;
  /** Time from which the endpoint counts as cold for `coldStartMs`; -Infinity if it does not. */
  coldFrom: number;
  /** Time from which turns are counted. */
  originAt: number;
  /** Time until which the endpoint itself says that it is cold. */
  statedUntil: number;
  /** Store revision above which an entry ends the coldness of a restored zone, if there was one. */
  restoredRevision: number | undefined;
  /**
   * Time at which the instance was found to leave; undefined while it may get new work. The next
   * entry counts as a start unless it states the same time of the start.
   */
  leftAt: number | undefined;
}

/** Bounds if the settings contain none. */
export const DEFAULT_COLD_BOUNDS: ColdBounds = { over: 1.5, slack: 5 };
/** Difference between the wall clocks of two machines that is allowed for. */
const CLOCK_SKEW_MS = 1_000;
/** Age of a start up to which turns are counted from it; later on, intervals have drifted apart. */
const MAX_ORIGIN_AGE_MS = 60_000;
/** Time after which an instance without an entry is forgotten. */
const STATE_RETENTION_MS = 90_000;
/**
 * Parts of the rate and of the slack above it that sends after an idle time may use. The rest is
 * for processes whose turns coincide.
 */
const BURST_RATE_SHARE = 0.85;
const BURST_SLACK_SHARE = 0.5;
const MAX_VALIDITY_MS = 1_000;

/** Starts of endpoints that are known here. */
export class ColdLimits {
  readonly #states = new Map<core.InstanceId, ColdState>();

  /** Whether `record` is not the last entry that was observed of its instance. */
  isNews(record: core.EndpointRecord): boolean {
    const state = this.#states.get(record.instance);
    return state === undefined || state.record !== record || state.leftAt !== undefined;
  }

  /**
   * Applies the entry of an instance; the state is unchanged if the entry is known. Returns whether
   * it is that of a start under traffic.
   */
  observeRecord(record: core.EndpointRecord, timing: ObservationTiming): boolean {
    const state = this.#states.get(record.instance);
    if (state === undefined) {
      this.#states.set(record.instance, createState(record, timing));
      return !timing.isFirstListing;
    }
    if (state.record === record && state.leftAt === undefined) return false;
    const isUpdate = record.revision > state.record.revision;
    const isStart = record.startedAt !== state.record.startedAt ||
      record.endpoint !== state.record.endpoint ||
      (state.leftAt !== undefined && record.startedAt === undefined);
    state.record = record;
    state.leftAt = undefined;
    if (isStart) {
      this.#states.set(record.instance, createState(record, { ...timing, isFirstListing: false }));
      return true;
    }
    if (!isUpdate || record.coldLeftMs === undefined) return false;
    const statedUntil = timing.now + record.coldLeftMs;
    if (state.restoredRevision !== undefined && record.revision > state.restoredRevision) {
      state.coldFrom = -Infinity;
      state.statedUntil = statedUntil;
      state.restoredRevision = undefined;
      return false;
    }
    state.statedUntil = Math.max(state.statedUntil, statedUntil);
    return false;
  }

  /** Applies the remaining cold time that an instance itself states. */
  recordStatement(instance: core.InstanceId, coldLeftMs: number, now: number): void {
    const state = this.#states.get(instance);
    if (state === undefined) return;
    state.statedUntil = Math.max(state.statedUntil, now + coldLeftMs);
  }

  /**
   * Counts the known endpoints of `zone` as cold from now on. Entries above `revision`, the store
   * revision of the restoration, may state another time; without it, entries not yet known may.
   * Returns the entries of these endpoints.
   */
  recordZoneRestored(
    zone: core.ZoneName,
    now: number,
    revision?: number,
  ): core.EndpointRecord[] {
    const restored: core.EndpointRecord[] = [];
    for (const state of this.#states.values()) {
      if (state.record.zone !== zone) continue;
      const isStatedLater = revision !== undefined && state.record.revision > revision &&
        state.record.coldLeftMs !== undefined;
      if (isStatedLater) continue;
      state.coldFrom = now;
      state.originAt = now;
      state.restoredRevision = revision ?? state.record.revision;
      restored.push(state.record);
    }
    return restored;
  }

  /** Records that an instance gets no new work. */
  recordLeft(instance: core.InstanceId, now: number): void {
    const state = this.#states.get(instance);
    if (state !== undefined) state.leftAt = now;
  }

  /**
   * Returns the time from which the processes count their turns at `instance`: that of its start,
   * which all know, if it states it.
   */
  getOriginAt(instance: core.InstanceId): number {
    return this.#states.get(instance)?.originAt ?? 0;
  }

  /** Returns the time until which `instance` is cold under `rule`. */
  getColdUntil(instance: core.InstanceId, rule: ColdRule): number {
    const state = this.#states.get(instance);
    if (state === undefined) return -Infinity;
    return Math.max(state.coldFrom + rule.coldStartMs, state.statedUntil);
  }

  /** Drops the instances that left a while ago. */
  expireStates(now: number): void {
    for (const [instance, { leftAt }] of this.#states) {
      if (leftAt !== undefined && now - leftAt > STATE_RETENTION_MS) this.#states.delete(instance);
    }
  }
}

/** Creates the permit of one process of `pool` for a cold endpoint. */
export function createColdPermit(
  coldPerS: number,
  pool: fleets.SendPool,
  options: { readonly bounds: ColdBounds; readonly originAt: number },
): rates.SendPermit {
  return {
    intervalMs: 1_000 * pool.size / (pool.share * coldPerS),
    validityMs: computeColdValidityMs(coldPerS, options.bounds),
    place: pool.place,
    originAt: options.originAt,
  };
}

/**
 * Computes the time for which a process may use a permission that it had no request for. If all
 * processes get requests at once after an idle time, they use that much of the rate at once.
 */
function computeColdValidityMs(coldPerS: number, bounds: ColdBounds): number {
  const burst = BURST_RATE_SHARE * Math.max(0, bounds.over - 1) * coldPerS +
    BURST_SLACK_SHARE * bounds.slack;
  return Math.min(MAX_VALIDITY_MS, 1_000 * burst / coldPerS);
}

function createState(record: core.EndpointRecord, timing: ObservationTiming): ColdState {
  const { now, wallTime, isFirstListing } = timing;
  const statedAgeMs = record.startedAt === undefined ? Infinity : wallTime - record.startedAt;
  const ageMs = Math.max(0, statedAgeMs - CLOCK_SKEW_MS);
  return {
    record,
    coldFrom: isFirstListing ? now - ageMs : now,
    originAt: statedAgeMs < MAX_ORIGIN_AGE_MS ? now - statedAgeMs : now,
    statedUntil: now + (record.coldLeftMs ?? 0),
    restoredRevision: undefined,
    leftAt: undefined,
  };
}
