/** What the scheduler knows of one model: its ranks, their queues, and how fast they move. */

import type * as core from "@peridotvale/core";
import * as queues from "./fair_queue.ts";
import * as lightWork from "./light_work.ts";
import * as reserves from "./rank_reserve.ts";
import * as shares from "./rank_shares.ts";
import type * as types from "./scheduler_types.ts";
import * as workspaces from "./workspace_shares.ts";

/** A request that waits. */
export interface QueuedRequest extends queues.QueueItem {
  readonly capacity: types.CapacityRequest;
}

/** One rank of one model. */
export interface RankQueue {
  readonly name: core.RankName;
  /** Lower is served first. */
  readonly order: number;
  readonly floor: number;
  readonly queue: queues.FairQueue<QueuedRequest>;
  readonly grants: reserves.DecayingRate;
  readonly workspaces: workspaces.WorkspaceShares;
  /** Most streams of the rank that were open or wanted lately. */
  readonly openPeak: reserves.DecayingPeak;
  openStreams: number;
}

const GRANT_RATE_WINDOW_MS = 10_000;
/** Time after running out of capacity in which rates say what can be had. */
const SATURATION_MEMORY_MS = 2_000;

/** The ranks of one model, the most urgent first. */
export class ModelState {
  readonly shares = new shares.RankShares();
  readonly light = new lightWork.LightWork();
  readonly #residence = new reserves.DecayingMean();
  #ranks: RankQueue[] = [];
  #saturatedAt = -Infinity;

  /** The ranks, the most urgent first. */
  get ranks(): readonly RankQueue[] {
    return this.#ranks;
  }

  /** Takes over the ranks of a manifest; returns what waited in ranks that are gone. */
  updateRanks(manifest: core.Manifest): QueuedRequest[] {
    const kept = new Map(this.#ranks.map((rank) => [rank.name, rank]));
    this.#ranks = [];
    for (const [name, spec] of manifest.ranks) {
      this.#ranks.push(createRankQueue(name, spec, kept.get(name)));
      kept.delete(name);
    }
    this.#ranks.sort((a, b) => a.order - b.order);
    return [...kept.values()].flatMap((rank) => rank.queue.removeExpired(Infinity));
  }

  /** The rank of that name; one that no manifest declares is served last. */
  getRank(name: core.RankName): RankQueue {
    for (const rank of this.#ranks) if (rank.name === name) return rank;
    const rank = createRankQueue(name, { order: Number.MAX_SAFE_INTEGER, floor: 0 }, undefined);
    this.#ranks.push(rank);
    return rank;
  }

  /** Records that a request found no capacity. */
  recordSaturation(now: number): void {
    this.#saturatedAt = now;
  }

  /** Records how long a stream held its capacity. */
  recordResidence(durationMs: number): void {
    this.#residence.recordValue(durationMs);
  }

  /** Records tokens served to `rank`, or refunded, against the floors of the ranks that wait. */
  recordServed(rank: RankQueue, tokens: number): void {
    const floors = new Map<core.RankName, number>();
    for (const other of this.#ranks) {
      const counts = other === rank || other.queue.size > 0;
      if (other.floor > 0 && counts) floors.set(other.name, other.floor);
    }
    if (floors.size > 0) this.shares.recordServed(rank.name, tokens, { floors });
  }

  /** Slots that more urgent ranks needed lately and do not hold now. */
  countReserved(rank: RankQueue, now: number): number {
    let reserved = 0;
    for (const urgent of this.#ranks) {
      if (urgent.order >= rank.order) break;
      reserved += Math.max(0, urgent.openPeak.getPeak(now) - urgent.openStreams);
    }
    return reserved;
  }

  /** Predicted wait of the newest request of `workspace` in `rank`; 0 while nothing is known. */
  predictWaitMs(
    rank: RankQueue,
    workspace: core.WorkspaceName,
    options: { readonly weight: number; readonly now: number },
  ): number {
    if (options.now - this.#saturatedAt > SATURATION_MEMORY_MS) return 0;
    const ahead = rank.queue.predictItemsAhead(workspace, options.weight);
    const rate = this.#predictGrantRate(rank, options.now);
    return rate > 0 ? ahead / rate * 1000 : 0;
  }

  /** Grants a second that the rank can have: what more urgent ranks and floors leave of all. */
  #predictGrantRate(rank: RankQueue, now: number): number {
    let granted = 0;
    let urgent = 0;
    let floors = 0;
    let open = 0;
    for (const other of this.#ranks) {
      const rate = other.grants.getRate(now);
      granted += rate;
      open += other.openStreams;
      if (other.order < rank.order) urgent += rate;
      else if (other !== rank) floors += other.floor;
    }
    // After a lull past grants say little; streams end at the rate of open ones over their time.
    const residenceMs = this.#residence.getMean();
    const ending = residenceMs > 0 ? open / residenceMs * 1000 : 0;
    const left = Math.max(granted, ending) * (1 - floors) - urgent;
    return Math.max(rank.grants.getRate(now), left);
  }
}

function createRankQueue(
  name: core.RankName,
  spec: { readonly order: number; readonly floor: number },
  old: RankQueue | undefined,
): RankQueue {
  return {
    name,
    order: spec.order,
    floor: spec.floor,
    queue: old?.queue ?? new queues.FairQueue<QueuedRequest>(),
    grants: old?.grants ?? new reserves.DecayingRate(GRANT_RATE_WINDOW_MS),
    workspaces: old?.workspaces ?? new workspaces.WorkspaceShares(),
    openPeak: old?.openPeak ?? new reserves.DecayingPeak(),
    openStreams: old?.openStreams ?? 0,
  };
}
