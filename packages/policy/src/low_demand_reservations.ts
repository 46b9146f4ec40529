/**
 * Classifies workspaces as low-demand or high-demand by whether they want more than an equal
 * share of the slots in the most urgent rank. Reserves slots for the low-demand workspaces
 * while workspaces of both kinds exist, so that a flood from a few workspaces doesn't displace
 * the others.
 */

import type * as core from "@peridotvale/core";
import type * as engines from "./engine_state.ts";
import type * as queues from "./fair_queue.ts";
import * as reservations from "./slot_reservations.ts";
import * as stats from "./decaying_stats.ts";
import type * as workspaces from "./workspace_shares.ts";

/** Queue of the most urgent rank, and the workspace shares that list its open streams. */
export interface RankDemand {
  readonly queue: queues.FairQueue<queues.QueueItem>;
  readonly workspaceShares: workspaces.WorkspaceShares;
}

/** Maximum number of slots reserved per current low-demand stream; the excess absorbs bursts. */
const MAX_RESERVED_SLOTS_PER_STREAM = 3;
/** How long reservations stay after the last high demand, since floods pause and resume. */
const RESERVATION_HOLD_MS = 5_000;

/** The slot reservations for the low-demand workspaces of one model. */
export class LowDemandReservations {
  /** Recent peak of low-demand streams, open and queued. */
  readonly #lowDemandPeak = new stats.DecayingPeak();
  #highDemandWorkspaces: ReadonlySet<core.WorkspaceName> = new Set();
  #reservations: ReadonlyMap<core.EndpointId, reservations.SlotReservation> = new Map();
  #reservationsHeldUntil = -Infinity;

  /** Whether any slots are reserved. */
  get hasReservations(): boolean {
    return this.#reservations.size > 0;
  }

  /** Whether `workspace` wanted no more than its share at the last update. */
  isLowDemand(workspace: core.WorkspaceName): boolean {
    return !this.#highDemandWorkspaces.has(workspace);
  }

  /** Classifies the workspaces by their current demand and reserves slots on `engines`. */
  updateReservations(
    rank: RankDemand,
    engines: readonly reservations.ReservableEngine[],
    now: number,
  ): void {
    let totalSlots = 0;
    for (const engine of engines) totalSlots += engine.maxBatch;
    const demandByWorkspace = countDemands(rank);
    const highDemandWorkspaces = new Set<core.WorkspaceName>();
    let lowDemandStreamCount = 0;
    for (const [workspace, demand] of demandByWorkspace) {
      if (demand > totalSlots / demandByWorkspace.size) highDemandWorkspaces.add(workspace);
      else lowDemandStreamCount += demand;
    }
    this.#highDemandWorkspaces = highDemandWorkspaces;
    this.#lowDemandPeak.recordValue(lowDemandStreamCount, now);
    if (highDemandWorkspaces.size > 0) this.#reservationsHeldUntil = now + RESERVATION_HOLD_MS;
    // The peak may stem from workspaces that have become high-demand since.
    const slotsToReserve = Math.min(
      this.#lowDemandPeak.getPeak(now),
      MAX_RESERVED_SLOTS_PER_STREAM * lowDemandStreamCount,
    );
    this.#reservations = reservations.planReservations(
      engines,
      now < this.#reservationsHeldUntil ? slotsToReserve : 0,
    );
  }

  /** Counts the free slots of `engine`; reserved ones are included only with `mayUseReserved`. */
  countFreeSlots(
    engine: engines.EngineState,
    options: { readonly maxBatch: number; readonly mayUseReserved: boolean },
  ): number {
    const reservation = this.#reservations.get(engine.info.endpoint);
    const openStreams = engine.streams.size;
    if (options.mayUseReserved || reservation === undefined) return options.maxBatch - openStreams;
    const keptSlots = Math.max(reservation.reservedSlots, engine.lowDemandStreamCount);
    return Math.min(options.maxBatch, reservation.maxBatch) - keptSlots -
      (openStreams - engine.lowDemandStreamCount);
  }

  /** Whether `engine` has reserved slots and fewer streams than its reservation permits. */
  hasReservedRoom(engine: engines.EngineState): boolean {
    const reservation = this.#reservations.get(engine.info.endpoint);
    return reservation !== undefined && engine.streams.size < reservation.maxBatch;
  }
}

/** Counts the open streams and queued requests of each workspace. */
function countDemands(rank: RankDemand): Map<core.WorkspaceName, number> {
  const demandByWorkspace = rank.queue.countByWorkspace();
  for (const [workspace, streams] of rank.workspaceShares.listOpenStreams()) {
    demandByWorkspace.set(workspace, (demandByWorkspace.get(workspace) ?? 0) + streams.streamCount);
  }
  return demandByWorkspace;
}
