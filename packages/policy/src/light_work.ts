/**
 * Tells workspaces that want less than their share of the most urgent rank from those
 * that want more, and keeps lanes for them while there are both.
 */

import type * as core from "@peridotvale/core";
import type * as engines from "./engine_state.ts";
import type * as queues from "./fair_queue.ts";
import * as lanes from "./light_lanes.ts";
import * as reserves from "./rank_reserve.ts";
import type * as workspaces from "./workspace_shares.ts";

/** Work of the most urgent rank. */
export interface RankWork {
  readonly queue: queues.FairQueue<queues.QueueItem>;
  readonly workspaces: workspaces.WorkspaceShares;
}

/** Most places kept for bursts, for each light stream that there is now. */
const MAX_BURST = 3;
/** After a workspace wanted more than its share, lanes are kept for this long; floods pause. */
const LANES_KEPT_MS = 5_000;

/** What is known of light work for one model. */
export class LightWork {
  /** Most light streams that were open or wanted lately. */
  readonly #peak = new reserves.DecayingPeak();
  #heavy: ReadonlySet<core.WorkspaceName> = new Set();
  #lanes: ReadonlyMap<core.EndpointId, lanes.Lane> = new Map();
  #keptUntil = -Infinity;

  /** Whether places are kept for light work. */
  get hasLanes(): boolean {
    return this.#lanes.size > 0;
  }

  /** Whether `workspace` wants no more than its share. */
  isLight(workspace: core.WorkspaceName): boolean {
    return !this.#heavy.has(workspace);
  }

  /** Tells light and heavy workspaces apart anew, and plans lanes on `engines`. */
  updateLanes(work: RankWork, engines: readonly lanes.LaneEngine[], now: number): void {
    let slots = 0;
    for (const engine of engines) slots += engine.maxBatch;
    const demands = countDemands(work);
    const heavy = new Set<core.WorkspaceName>();
    let lightStreams = 0;
    for (const [workspace, demand] of demands) {
      if (demand > slots / demands.size) heavy.add(workspace);
      else lightStreams += demand;
    }
    this.#heavy = heavy;
    this.#peak.recordValue(lightStreams, now);
    if (heavy.size > 0) this.#keptUntil = now + LANES_KEPT_MS;
    // The peak may be of workspaces that are heavy by now.
    const kept = Math.min(this.#peak.getPeak(now), MAX_BURST * lightStreams);
    this.#lanes = lanes.planLanes(engines, now < this.#keptUntil ? kept : 0);
  }

  /** Slots of `engine` that a request may have; only `mayUseLanes` gives those of light work. */
  countSlots(
    engine: engines.EngineState,
    options: { readonly maxBatch: number; readonly mayUseLanes: boolean },
  ): number {
    const lane = this.#lanes.get(engine.info.endpoint);
    const open = engine.streams.size;
    if (options.mayUseLanes || lane === undefined) return options.maxBatch - open;
    const kept = Math.max(lane.reserved, engine.lightCount);
    return Math.min(options.maxBatch, lane.maxBatch) - kept - (open - engine.lightCount);
  }

  /** Whether light work finds room in the lane of `engine`. */
  hasLaneRoom(engine: engines.EngineState): boolean {
    const lane = this.#lanes.get(engine.info.endpoint);
    return lane !== undefined && engine.streams.size < lane.maxBatch;
  }
}

/** Streams that each workspace has open or waits for. */
function countDemands(work: RankWork): Map<core.WorkspaceName, number> {
  const demands = work.queue.countByWorkspace();
  for (const [workspace, open] of work.workspaces.listOpen()) {
    demands.set(workspace, (demands.get(workspace) ?? 0) + open.count);
  }
  return demands;
}
