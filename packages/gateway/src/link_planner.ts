/** Plans to which peers this process opens links, from the peers that it knows. */

import type * as core from "@peridotvale/core";
import type * as peers from "@peridotvale/peers";
import * as policy from "@peridotvale/policy";
import type * as registries from "./peer_registry.ts";

export interface LinkPlannerOptions {
  readonly self: Omit<policy.HubCandidate, "isSuspect">;
  readonly registry: registries.PeerRegistry;
  /** Whether a link to the process is open, whichever side opened it. */
  readonly isLinked: (process: core.ProcessId) => boolean;
  /** Whether this process already opens and keeps a link to the process. */
  readonly hasTarget: (process: core.ProcessId) => boolean;
}

/** In fleets up to this size all processes are linked; in larger ones hubs pass reports on. */
const MAX_FULL_MESH_PROCESSES = 12;
/** Interval at which the choice of hubs is reconsidered, also without a known change. */
const UPDATE_INTERVAL_MS = 1_000;

export class LinkPlanner {
  readonly #options: LinkPlannerOptions;
  #updatedAt = -Infinity;
  #isOwnHub = false;
  /** Chosen peers without a link at the last regular update. */
  #missingLinks: ReadonlySet<core.ProcessId> = new Set();

  constructor(options: LinkPlannerOptions) {
    this.#options = options;
  }

  get isFullMesh(): boolean {
    return this.#options.registry.size < MAX_FULL_MESH_PROCESSES;
  }

  /** Whether this process is a hub by its own view of the fleet. */
  get isOwnHub(): boolean {
    return !this.isFullMesh && this.#isOwnHub;
  }

  isUpdateDue(now: number): boolean {
    return now - this.#updatedAt > UPDATE_INTERVAL_MS;
  }

  /** Returns the peers to which this process opens links. */
  planTargets(now: number): peers.PeerTarget[] {
    const { self, registry, isLinked, hasTarget } = this.#options;
    if (this.isFullMesh) {
      // The process with the lower id opens the link.
      return registry.listAddresses().filter((peer) => self.process < peer.process);
    }
    const ownCandidate = { ...self, isSuspect: false };
    const candidates = registry.listHubCandidates(now);
    this.#isOwnHub = policy.isHub(ownCandidate, candidates);
    const targets: peers.PeerTarget[] = [];
    const missingLinks = new Set<core.ProcessId>();
    for (const { process, isPassive } of policy.chooseLinks(ownCandidate, candidates)) {
      const address = registry.getAddress(process);
      if (address === undefined) continue;
      if (!isLinked(process)) missingLinks.add(process);
      // The other hub may have chosen differently. Then this process opens the link after all.
      const isOverdue = missingLinks.has(process) && this.#missingLinks.has(process);
      if (isPassive && !isOverdue && !hasTarget(process)) continue;
      targets.push(address);
    }
    if (this.isUpdateDue(now)) {
      this.#missingLinks = missingLinks;
      this.#updatedAt = now;
    }
    return targets;
  }
}
