/**
 * Keeps this process from endpoints that have asked for a pause. Handles an overloaded endpoint
 * that answers 503 with the time after which it accepts requests again: every earlier request costs
 * it work, and costs the caller an attempt.
 */

import type * as core from "@peridotvale/core";

interface HoldOff {
  /** Lifetime of the endpoint that asked; a new start is not held off. */
  readonly startedAt: number | undefined;
  readonly endpoint: core.EndpointId;
  readonly until: number;
}

/**
 * Longest pause. It bounds the loss by a mistaken value, such as milliseconds for seconds; an
 * endpoint that still accepts nothing after it can ask for another pause at the cost of a request.
 */
export const MAX_HOLD_OFF_MS = 300_000;

/** Pauses that endpoints have asked this process for. Other processes are not concerned. */
export class HoldOffs {
  readonly #holdOffs = new Map<core.InstanceId, HoldOff>();

  /** Number of endpoints that have asked for a pause. */
  get size(): number {
    return this.#holdOffs.size;
  }

  /**
   * Records that `record`'s endpoint accepts nothing for `retryAfterMs`. Returns the pause in
   * milliseconds if the endpoint was not held off before, and 0 otherwise.
   */
  recordPause(record: core.EndpointRecord, retryAfterMs: number, now: number): number {
    const waitMs = Math.min(retryAfterMs, MAX_HOLD_OFF_MS);
    const knownWaitMs = this.getWaitMs(record, now);
    // Answers to concurrent requests may arrive in any order.
    if (waitMs <= knownWaitMs) return 0;
    const { startedAt, endpoint } = record;
    this.#holdOffs.set(record.instance, { startedAt, endpoint, until: now + waitMs });
    return knownWaitMs === 0 ? waitMs : 0;
  }

  /** Returns the time until requests may be sent to the endpoint; 0 if they may be sent now. */
  getWaitMs(record: core.EndpointRecord, now: number): number {
    const holdOff = this.#holdOffs.get(record.instance);
    if (holdOff === undefined) return 0;
    const isSameStart = holdOff.startedAt === record.startedAt &&
      holdOff.endpoint === record.endpoint;
    return isSameStart ? Math.max(0, holdOff.until - now) : 0;
  }

  /** Drops the pauses that have ended; returns their instances. */
  expirePauses(now: number): core.InstanceId[] {
    const ended: core.InstanceId[] = [];
    for (const [instance, { until }] of this.#holdOffs) {
      if (until > now) continue;
      this.#holdOffs.delete(instance);
      ended.push(instance);
    }
    return ended;
  }
}
