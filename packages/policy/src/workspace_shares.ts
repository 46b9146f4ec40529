/** Tells which workspaces hold more than their share of a rank's open streams. */

import type * as core from "@peridotvale/core";

interface OpenStreams {
  count: number;
  readonly weight: number;
}

/** Share over the fair one at which a workspace counts as above it. */
const ABOVE_SHARE_RATIO = 1.5;

/** Open streams by workspace. */
export class WorkspaceShares {
  readonly #open = new Map<core.WorkspaceName, OpenStreams>();
  #totalOpen = 0;
  #totalWeight = 0;

  /** Records that a stream has been opened. */
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

  /** Records that a stream has been closed. */
  recordClosed(workspace: core.WorkspaceName): void {
    const open = this.#open.get(workspace);
    if (open === undefined) return;
    open.count -= 1;
    this.#totalOpen -= 1;
    if (open.count > 0) return;
    this.#open.delete(workspace);
    this.#totalWeight -= open.weight;
  }

  /** Workspaces with open streams, and their numbers. */
  listOpen(): Iterable<readonly [core.WorkspaceName, { readonly count: number }]> {
    return this.#open;
  }

  /** Whether the workspace holds clearly more than its share. */
  isAboveShare(workspace: core.WorkspaceName): boolean {
    const open = this.#open.get(workspace);
    if (open === undefined || this.#open.size === 1) return false;
    const fair = this.#totalOpen * open.weight / this.#totalWeight;
    return open.count > fair * ABOVE_SHARE_RATIO;
  }
}
