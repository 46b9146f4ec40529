/**
 * The scheduler's state of one model: its ranks with their queues, and the statistics from
 * which waiting times are predicted.
 */

import type * as core from "@peridotvale/core";
import * as queues from "./fair_queue.ts";
import * as lowDemand from "./low_demand_reservations.ts";
import * as stats from "./decaying_stats.ts";
import * as credits from "./rank_credits.ts";
import type * as types from "./scheduler_types.ts";
import * as workspaces from "./workspace_shares.ts";

/** A request that waits for capacity. */
export interface QueuedRequest extends queues.QueueItem {
  readonly capacity: types.CapacityRequest;
}

/** The queue and statistics of one rank for one model. */
export interface RankQueue {
  readonly name: core.RankName;
  /** Ranks with a lower order are served first. */
  readonly order: number;
  /** Share of served tokens that the rank receives at least while it has queued requests. */
  readonly floor: number;
  readonly queue: queues.FairQueue<QueuedRequest>;
  readonly grantRate: stats.DecayingRate;
  readonly workspaceShares: workspaces.WorkspaceShares;
  /** Recent peak of open streams and queued requests. */
  readonly demandPeak: stats.DecayingPeak;
  openStreams: number;
}

const GRANT_RATE_WINDOW_MS = 10_000;
/**
 * Time after a shortage of capacity during which grant rates are used to predict waiting
 * times. Without a shortage, grant rates only reflect the demand.
 */
const SATURATION_WINDOW_MS = 2_000;

export class ModelState {
  readonly rankCredits = new credits.RankCredits();
  readonly lowDemand = new lowDemand.LowDemandReservations();
  readonly #holdTimeMs = new stats.DecayingMean();
  #ranks: RankQueue[] = [];
  #lastSaturationAt = -Infinity;

  /** The ranks by their order, the most urgent first. */
  get ranks(): readonly RankQueue[] {
    return this.#ranks;
  }

  /** Adopts the ranks of a manifest and returns the queued requests of removed ranks. */
  updateRanks(manifest: core.Manifest): QueuedRequest[] {
    const previousRanks = new Map(this.#ranks.map((rank) => [rank.name, rank]));
    this.#ranks = [];
    for (const [name, spec] of manifest.ranks) {
      this.#ranks.push(createRankQueue(name, spec, previousRanks.get(name)));
      previousRanks.delete(name);
    }
    this.#ranks.sort((a, b) => a.order - b.order);
    return [...previousRanks.values()].flatMap((rank) => rank.queue.removeExpiredItems(Infinity));
  }

  /** Returns the rank `name`, creating it with the lowest urgency if no manifest declares it. */
  getRank(name: core.RankName): RankQueue {
    for (const rank of this.#ranks) if (rank.name === name) return rank;
    const rank = createRankQueue(name, { order: Number.MAX_SAFE_INTEGER, floor: 0 }, undefined);
    this.#ranks.push(rank);
    return rank;
  }

  /** Records that a queued request found no engine with capacity. */
  recordSaturation(now: number): void {
    this.#lastSaturationAt = now;
  }

  /** Records how long an ended stream held its slot. */
  recordHoldTime(durationMs: number): void {
    this.#holdTimeMs.recordValue(durationMs);
  }

  /**
   * Records tokens served to `rank` and updates the credits of this rank and of the ranks with
   * queued requests; a negative number is a refund.
   */
  recordServed(rank: RankQueue, tokens: number): void {
    const floors = new Map<core.RankName, number>();
    for (const otherRank of this.#ranks) {
      const isActive = otherRank === rank || otherRank.queue.size > 0;
      if (otherRank.floor > 0 && isActive) floors.set(otherRank.name, otherRank.floor);
    }
    if (floors.size > 0) this.rankCredits.recordServed(rank.name, tokens, { floors });
  }

  /**
   * Counts the slots to leave free for more urgent ranks: their recent peak demand less their
   * open streams.
   */
  countSlotsForUrgentRanks(rank: RankQueue, now: number): number {
    let slotsToLeave = 0;
    for (const urgentRank of this.#ranks) {
      if (urgentRank.order >= rank.order) break;
      slotsToLeave += Math.max(0, urgentRank.demandPeak.getPeak(now) - urgentRank.openStreams);
    }
    return slotsToLeave;
  }

  /**
   * Predicts how long the newest request of `workspace` waits; 0 if capacity has not been short
   * recently.
   */
  predictWaitMs(
    rank: RankQueue,
    workspace: core.WorkspaceName,
    options: { readonly weight: number; readonly now: number },
  ): number {
    if (options.now - this.#lastSaturationAt > SATURATION_WINDOW_MS) return 0;
    const itemsAhead = rank.queue.predictItemsAhead(workspace, options.weight);
    const rate = this.#predictGrantRate(rank, options.now);
    return rate > 0 ? itemsAhead / rate * 1000 : 0;
  }

  /**
   * Predicts the grants per second that remain for `rank` after more urgent ranks and the floors
   * of the others.
   */
  #predictGrantRate(rank: RankQueue, now: number): number {
    let totalRate = 0;
    let urgentRate = 0;
    let floorShare = 0;
    let openStreams = 0;
    for (const otherRank of this.#ranks) {
      const rate = otherRank.grantRate.getRate(now);
      totalRate += rate;
      openStreams += otherRank.openStreams;
      if (otherRank.order < rank.order) urgentRate += rate;
      else if (otherRank !== rank) floorShare += otherRank.floor;
    }
    // After a period of low demand, recent grants understate the capacity. Slots become free at
    // the rate of open streams divided by the mean time for which a stream holds its slot.
    const meanHoldMs = this.#holdTimeMs.getMean();
    const streamEndRate = meanHoldMs > 0 ? openStreams / meanHoldMs * 1000 : 0;
    const availableRate = Math.max(totalRate, streamEndRate) * (1 - floorShare) - urgentRate;
    return Math.max(rank.grantRate.getRate(now), availableRate);
  }
}

function createRankQueue(
  name: core.RankName,
  spec: { readonly order: number; readonly floor: number },
  previousRank: RankQueue | undefined,
): RankQueue {
  return {
    name,
    order: spec.order,
    floor: spec.floor,
    queue: previousRank?.queue ?? new queues.FairQueue<QueuedRequest>(),
    grantRate: previousRank?.grantRate ?? new stats.DecayingRate(GRANT_RATE_WINDOW_MS),
    workspaceShares: previousRank?.workspaceShares ?? new workspaces.WorkspaceShares(),
    demandPeak: previousRank?.demandPeak ?? new stats.DecayingPeak(),
    openStreams: previousRank?.openStreams ?? 0,
  };
}
