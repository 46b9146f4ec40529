/**
 * Estimates how many processes share the rate of an endpoint, by availability zone. Answers a cold
 * endpoint that many processes send to while they start all at once, leave, or are cut off from the
 * store: an estimate that is too low floods the endpoint, one that is too high leaves it unused.
 */

import * as core from "@peridotvale/core";

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
  /** Position of this process among them. */
  readonly rank: number;
}

/**
 * Size assumed by a process that the others may not know yet: the largest fleet that is supported.
 * All of its processes together then stay within the rate if all of them start at once.
 */
export const MAX_FLEET_SIZE = 320;
/** Time from a process's announcement until all others know it, with a margin for hubs. */
const SETTLE_MS = 5_000;
/** Time after which a smaller size is believed is between this and twice this time. */
const SIZE_RETENTION_MS = 30_000;
/**
 * Parts of the rate for the processes of the endpoint's zone and for all others. Placement prefers
 * the own zone, so that equal shares would leave most of the rate unused in a small zone.
 */
const OWN_ZONE_SHARE = 0.85;
const OTHER_ZONES_SHARE = 0.15;
/** Part of the rate that is used if all processes are in the same pool. */
const SINGLE_POOL_SHARE = 0.9;

interface ZoneCount {
  /** Largest sizes in the present retention period and in the one before. */
  currentMax: number;
  previousMax: number;
  /** Number of its processes whose names precede this one's. */
  preceding: number;
}

/** This process's view of the fleet. */
export class FleetEstimate {
  readonly #self: FleetMember;
  readonly #zones = new Map<core.ZoneName, ZoneCount>();
  #settledAt = Infinity;
  #periodStartedAt = -Infinity;

  constructor(self: FleetMember) {
    this.#self = self;
  }

  /** Records that the store has acknowledged the announcement of this process. */
  recordAnnouncement(now: number): void {
    this.#settledAt = Math.min(this.#settledAt, now + SETTLE_MS);
  }

  /** Records the other processes that are known now. */
  recordPeers(peers: Iterable<FleetMember>, now: number): void {
    const isNewPeriod = now - this.#periodStartedAt >= SIZE_RETENTION_MS;
    if (isNewPeriod) this.#periodStartedAt = now;
    const sizes = new Map([[this.#self.zone, 1]]);
    for (const count of this.#zones.values()) count.preceding = 0;
    for (const { process, zone } of peers) {
      sizes.set(zone, (sizes.get(zone) ?? 0) + 1);
      if (process < this.#self.process) this.#getZone(zone).preceding += 1;
    }
    for (const zone of sizes.keys()) this.#getZone(zone);
    for (const [zone, count] of this.#zones) {
      const size = sizes.get(zone) ?? 0;
      if (isNewPeriod) {
        count.previousMax = count.currentMax;
        count.currentMax = size;
      }
      count.currentMax = Math.max(count.currentMax, size);
    }
  }

  /** Returns the pool of this process for the endpoints of `zone`. */
  getPool(zone: core.ZoneName, now: number): SendPool {
    if (now < this.#settledAt) {
      // Processes that know nobody would all have the same rank.
      const rank = core.computeHash32(this.#self.process) % MAX_FLEET_SIZE;
      return { share: 1, size: MAX_FLEET_SIZE, rank };
    }
    const own = { size: 0, preceding: 0 };
    const others = { size: 0, preceding: 0 };
    for (const [name, count] of this.#zones) {
      const pool = name === zone ? own : others;
      pool.size += Math.max(count.currentMax, count.previousMax);
      pool.preceding += count.preceding;
    }
    const isOwnZone = zone === this.#self.zone;
    const pool = isOwnZone ? own : others;
    const isSinglePool = own.size === 0 || others.size === 0;
    const poolShare = isOwnZone ? OWN_ZONE_SHARE : OTHER_ZONES_SHARE;
    const share = isSinglePool ? SINGLE_POOL_SHARE : poolShare;
    return { share, size: Math.max(1, pool.size), rank: pool.preceding };
  }

  #getZone(zone: core.ZoneName): ZoneCount {
    let count = this.#zones.get(zone);
    if (count === undefined) {
      count = { currentMax: 0, previousMax: 0, preceding: 0 };
      this.#zones.set(zone, count);
    }
    return count;
  }
}
