/**
 * Estimates how many processes share the rate of an endpoint, by availability zone. Answers a cold
 * endpoint that many processes send to while they start all at once, leave, or are cut off from the
 * store: an estimate that is too low floods the endpoint, one that is too high leaves it unused.
 */

import * as core from "@peridotvale/core";
import type * as rates from "./endpoint_limits.ts";

/** A process that shares rates, and its availability zone. */
export interface FleetMember {
  readonly process: core.ProcessId;
  readonly zone: core.ZoneName;
}

/** The processes with which this one shares a part of an endpoint's rate. */
export interface SendPool {
  /** Part of the endpoint's rate that the pool uses. */
  readonly share: number;
  /** Estimated number of processes in the pool, this one included. */
  readonly size: number;
  /** Place of this process among those that it knows now. */
  readonly place: rates.FleetPlace;
}

/**
 * Size assumed by a process that the others may not know yet: the largest fleet that is supported.
 * All of its processes together then stay within the rate if all of them start at once.
 */
export const MAX_FLEET_SIZE = 320;
/** Time from a process's announcement until all others know it, with a margin for hubs. */
const SETTLE_MS = 3_000;
/** A smaller size is believed after between this time and twice this time. */
const SIZE_RETENTION_MS = 30_000;
/**
 * Part of a zone's largest size that is believed for longer. Processes that are cut off from the
 * store and from this process may still reach the endpoint; of those that vanish together, only a
 * third is taken to have ended.
 */
const LASTING_SIZE_SHARE = 2 / 3;
/** The lasting size is believed for between this time and twice this time. */
const LASTING_RETENTION_MS = 300_000;
/**
 * Parts of the rate for the processes of the endpoint's zone and for all others. Placement prefers
 * the own zone, so that equal shares would leave most of the rate unused in a small zone.
 */
const OWN_ZONE_SHARE = 0.85;
const OTHER_ZONES_SHARE = 0.15;
/** Part of the rate that is used if all processes are in the same pool. */
const SINGLE_POOL_SHARE = 0.9;

interface ZoneCount {
  /** Largest size within the retention time. */
  readonly recentMax: PeriodMaximum;
  /** Largest size within the retention time of the lasting size. */
  readonly lastingMax: PeriodMaximum;
  /** Number of processes that are known now. */
  size: number;
  /** Number of them that precede this one. */
  preceding: number;
}

/** The largest value of the present period and the one before it. */
class PeriodMaximum {
  readonly #periodMs: number;
  #periodStartedAt = -Infinity;
  #current = 0;
  #previous = 0;

  constructor(periodMs: number) {
    this.#periodMs = periodMs;
  }

  get value(): number {
    return Math.max(this.#current, this.#previous);
  }

  record(value: number, now: number): void {
    if (now - this.#periodStartedAt >= this.#periodMs) {
      this.#previous = this.#current;
      this.#current = value;
      this.#periodStartedAt = now;
    }
    this.#current = Math.max(this.#current, value);
  }
}

/** This process's view of the fleet. */
export class FleetEstimate {
  readonly #self: FleetMember;
  readonly #zones = new Map<core.ZoneName, ZoneCount>();
  readonly #orders = new Map<core.ProcessId, number>();
  #settledAt = Infinity;

  constructor(self: FleetMember) {
    this.#self = self;
  }

  /** Records that the store has acknowledged the announcement of this process. */
  recordAnnouncement(now: number): void {
    this.#settledAt = Math.min(this.#settledAt, now + SETTLE_MS);
  }

  /** Returns the time until the others are assumed to know this process; 0 if they do. */
  getUnsettledMs(now: number): number {
    return Math.min(SETTLE_MS, Math.max(0, this.#settledAt - now));
  }

  /** Records the other processes that are known now. */
  recordPeers(peers: Iterable<FleetMember>, now: number): void {
    // Names of processes that have ended are dropped.
    if (this.#orders.size > 2 * MAX_FLEET_SIZE) this.#orders.clear();
    for (const count of this.#zones.values()) {
      count.size = 0;
      count.preceding = 0;
    }
    this.#getZone(this.#self.zone).size = 1;
    const ownOrder = this.#getOrder(this.#self.process);
    for (const { process, zone } of peers) {
      const count = this.#getZone(zone);
      count.size += 1;
      if (this.#getOrder(process) < ownOrder) count.preceding += 1;
    }
    for (const count of this.#zones.values()) {
      count.recentMax.record(count.size, now);
      count.lastingMax.record(count.size, now);
    }
  }

  /** Returns the pool of this process for the endpoints of `zone`. */
  getPool(zone: core.ZoneName, now: number): SendPool {
    if (now < this.#settledAt) {
      // Processes that know nobody would all have the same rank.
      const rank = this.#getOrder(this.#self.process) % MAX_FLEET_SIZE;
      return { share: 1, size: MAX_FLEET_SIZE, place: { size: MAX_FLEET_SIZE, rank } };
    }
    const own = { maxSize: 0, size: 0, preceding: 0 };
    const others = { maxSize: 0, size: 0, preceding: 0 };
    for (const [name, count] of this.#zones) {
      const pool = name === zone ? own : others;
      const lastingSize = Math.floor(LASTING_SIZE_SHARE * count.lastingMax.value);
      pool.maxSize += Math.max(count.recentMax.value, lastingSize);
      pool.size += count.size;
      pool.preceding += count.preceding;
    }
    const isOwnZone = zone === this.#self.zone;
    const pool = isOwnZone ? own : others;
    const isSinglePool = own.maxSize === 0 || others.maxSize === 0;
    const poolShare = isOwnZone ? OWN_ZONE_SHARE : OTHER_ZONES_SHARE;
    const share = isSinglePool ? SINGLE_POOL_SHARE : poolShare;
    const place = { size: Math.max(1, pool.size), rank: pool.preceding };
    return { share, size: computeRoundedSize(Math.max(1, pool.maxSize)), place };
  }

  /**
   * Returns the number by which processes take turns. It does not follow their names, since the
   * processes of a zone or machine, which fail together, often have similar ones.
   */
  #getOrder(process: core.ProcessId): number {
    let order = this.#orders.get(process);
    if (order === undefined) {
      order = core.computeHash32(process);
      this.#orders.set(process, order);
    }
    return order;
  }

  #getZone(zone: core.ZoneName): ZoneCount {
    let count = this.#zones.get(zone);
    if (count === undefined) {
      count = {
        recentMax: new PeriodMaximum(SIZE_RETENTION_MS),
        lastingMax: new PeriodMaximum(LASTING_RETENTION_MS),
        size: 0,
        preceding: 0,
      };
      this.#zones.set(zone, count);
    }
    return count;
  }
}

/**
 * Rounds a size up by less than a sixteenth, so that processes whose views differ by a few others
 * mostly use the same interval, and their turns stay apart.
 */
function computeRoundedSize(size: number): number {
  const step = 2 ** Math.max(0, Math.floor(Math.log2(size)) - 4);
  return Math.ceil(size / step) * step;
}
