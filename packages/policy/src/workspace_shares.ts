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
  readonly #streamsByWorkspace = new Map<core.WorkspaceName, WorkspaceStreams>();
  #totalOpen = 0;
  #totalWeight = 0;

  recordOpened(workspace: core.WorkspaceName, weight: number): void {
    let streams = this.#streamsByWorkspace.get(workspace);
    if (streams === undefined) {
      streams = { count: 0, weight };
      this.#streamsByWorkspace.set(workspace, streams);
      this.#totalWeight += weight;
    }
    streams.count += 1;
    this.#totalOpen += 1;
  }

  recordClosed(workspace: core.WorkspaceName): void {
    const streams = this.#streamsByWorkspace.get(workspace);
    if (streams === undefined) return;
    streams.count -= 1;
    this.#totalOpen -= 1;
    if (streams.count > 0) return;
    this.#streamsByWorkspace.delete(workspace);
    this.#totalWeight -= streams.weight;
  }

  /** Lists the workspaces that have open streams, each with their number. */
  listOpen(): Iterable<readonly [core.WorkspaceName, { readonly count: number }]> {
    return this.#streamsByWorkspace;
  }

  /** Whether the workspace holds clearly more than its share; false while it is the only one. */
  isAboveShare(workspace: core.WorkspaceName): boolean {
    const streams = this.#streamsByWorkspace.get(workspace);
    if (streams === undefined || this.#streamsByWorkspace.size === 1) return false;
    const fairCount = this.#totalOpen * streams.weight / this.#totalWeight;
    return streams.count > fairCount * ABOVE_SHARE_RATIO;
  }
}
