/**
 * Keeps capacity free for workspaces that use less than their share, from how
 * many of their streams were open lately.
 */

import type * as core from "@peridotvale/core";
import * as reserves from "./rank_reserve.ts";

/** Share over its fair one at which a workspace counts as heavy. */
const HEAVY_RATIO = 1.5;

/** Open streams by workspace. */
export class WorkspaceShares {
  readonly #open = new Map<core.WorkspaceName, number>();
  readonly #lightPeak = new reserves.DecayingPeak();
  #heavy = new Set<core.WorkspaceName>();
  #totalOpen = 0;
  #lightOpen = 0;

  /** Records that a stream has been opened. */
  recordOpened(workspace: core.WorkspaceName, now: number): void {
    this.#open.set(workspace, (this.#open.get(workspace) ?? 0) + 1);
    this.#totalOpen += 1;
    if (this.#heavy.has(workspace)) return;
    this.#lightOpen += 1;
    this.#lightPeak.recordValue(this.#lightOpen, now);
  }

  /** Records that a stream has been closed. */
  recordClosed(workspace: core.WorkspaceName): void {
    const left = (this.#open.get(workspace) ?? 1) - 1;
    if (left === 0) this.#open.delete(workspace);
    else this.#open.set(workspace, left);
    this.#totalOpen -= 1;
    if (!this.#heavy.has(workspace)) this.#lightOpen -= 1;
  }

  /** Finds anew which workspaces use more than their share. */
  updateHeavy(getWeight: (workspace: core.WorkspaceName) => number): void {
    let totalWeight = 0;
    for (const workspace of this.#open.keys()) totalWeight += getWeight(workspace);
    this.#heavy = new Set();
    this.#lightOpen = 0;
    for (const [workspace, open] of this.#open) {
      const fair = this.#totalOpen * getWeight(workspace) / totalWeight;
      if (open > fair * HEAVY_RATIO) this.#heavy.add(workspace);
      else this.#lightOpen += open;
    }
  }

  /** Slots that `workspace` must leave to lighter ones. */
  countReserved(workspace: core.WorkspaceName, now: number): number {
    if (!this.#heavy.has(workspace)) return 0;
    return Math.max(0, this.#lightPeak.getPeak(now) - this.#lightOpen);
  }
}
