/** Tracks which workspaces hold more than their weighted share of a rank's open streams. */

import type * as core from "@peridotvale/core";

interface WorkspaceStreams {
  count: number;
  readonly weight: number;
}

/** Ratio of open streams to the fair share above which a workspace has to leave slots free. */
const ABOVE_SHARE_RATIO = 1.5;

/** The open streams of one rank by workspace. */
export class WorkspaceShares {
  readonly #open = new Map<core.WorkspaceName, WorkspaceStreams>();
  #totalOpen = 0;
  #totalWeight = 0;

  recordOpened(workspace: core.WorkspaceName, weight: number): void {
    let open = this.#open.get(workspace);
    if (open === undefined) {
      open = { count: 0, weight };
      this.#open.set(workspace, open);
      this.#totalWeight += weight;
    }
    open.count += 1;
    this.#totalOpen += 1;
  }

  recordClosed(workspace: core.WorkspaceName): void {
    const open = this.#open.get(workspace);
    if (open === undefined) return;
    open.count -= 1;
    this.#totalOpen -= 1;
    if (open.count > 0) return;
    this.#open.delete(workspace);
    this.#totalWeight -= open.weight;
  }

  /** Lists the workspaces that have open streams, each with their number. */
  listOpen(): Iterable<readonly [core.WorkspaceName, { readonly count: number }]> {
    return this.#open;
  }

  /** Whether the workspace holds clearly more than its share; false while it is the only one. */
  isAboveShare(workspace: core.WorkspaceName): boolean {
    const open = this.#open.get(workspace);
    if (open === undefined || this.#open.size === 1) return false;
    const fairCount = this.#totalOpen * open.weight / this.#totalWeight;
    return open.count > fairCount * ABOVE_SHARE_RATIO;
  }
}
