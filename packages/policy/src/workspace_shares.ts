/** Tracks which workspaces hold more than their weighted share of a rank's open streams. */

import type * as core from "@peridotvale/core";

interface WorkspaceStreams {
  streamCount: number;
  readonly weight: number;
}

/** Ratio of open streams to the fair share above which a workspace has to leave slots free. */
const ABOVE_SHARE_RATIO = 1.5;

/** The open streams of one rank by workspace. */
export class WorkspaceShares {
  readonly #streamsByWorkspace = new Map<core.WorkspaceName, WorkspaceStreams>();
  #totalOpenStreams = 0;
  #totalWeight = 0;

  recordOpened(workspace: core.WorkspaceName, weight: number): void {
    let streams = this.#streamsByWorkspace.get(workspace);
    if (streams === undefined) {
      streams = { streamCount: 0, weight };
      this.#streamsByWorkspace.set(workspace, streams);
      this.#totalWeight += weight;
    }
    streams.streamCount += 1;
    this.#totalOpenStreams += 1;
  }

  recordClosed(workspace: core.WorkspaceName): void {
    const streams = this.#streamsByWorkspace.get(workspace);
    if (streams === undefined) return;
    streams.streamCount -= 1;
    this.#totalOpenStreams -= 1;
    if (streams.streamCount > 0) return;
    this.#streamsByWorkspace.delete(workspace);
    this.#totalWeight -= streams.weight;
  }

  /** Lists the workspaces with open streams, each with the number of its streams. */
  listOpenStreams(): Iterable<readonly [core.WorkspaceName, { readonly streamCount: number }]> {
    return this.#streamsByWorkspace;
  }

  /** Whether `workspace` holds clearly more than its share; false if no other has open streams. */
  isAboveShare(workspace: core.WorkspaceName): boolean {
    const streams = this.#streamsByWorkspace.get(workspace);
    if (streams === undefined || this.#streamsByWorkspace.size === 1) return false;
    const fairCount = this.#totalOpenStreams * streams.weight / this.#totalWeight;
    return streams.streamCount > fairCount * ABOVE_SHARE_RATIO;
  }
}
