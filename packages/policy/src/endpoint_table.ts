/**
 * Decides which endpoints may get new work, from the platform's list of VMs, the endpoints' own
 * announcements and failed connections. Any of the three is enough to stop new work at an endpoint.
 */

import type * as core from "@peridotvale/core";

/** An endpoint as described in the VM list. */
export interface ListedEndpoint {
  readonly endpoint: core.EndpointId;
  readonly zone: core.ZoneName;
  readonly role: "engine" | "service";
  readonly service: core.ServiceName | undefined;
  readonly leaving: boolean;
}

interface EndpointState {
  listed: ListedEndpoint;
  announcedLeaving: boolean;
  failures: number;
  blockedUntil: number;
}

/** Time without new work after an endpoint's first failure; doubles with each further one. */
const FIRST_BLOCK_MS = 250;
const MAX_BLOCK_MS = 4_000;

/** Known endpoints, with their announcements and failures. */
export class EndpointTable {
  readonly #states = new Map<core.EndpointId, EndpointState>();

  /**
   * Applies the VM list and removes endpoints that are no longer in it. An empty list is
   * ignored. Returns the endpoints that are new or have begun to leave.
   */
  applyList(listed: readonly ListedEndpoint[]): ListedEndpoint[] {
    if (listed.length === 0) return [];
    const updates = this.applyUpdates(listed);
    const listedIds = new Set<core.EndpointId>();
    for (const entry of listed) {
      listedIds.add(entry.endpoint);
      this.#states.get(entry.endpoint)!.listed = entry;
    }
    for (const endpoint of [...this.#states.keys()]) {
      if (!listedIds.has(endpoint)) this.#states.delete(endpoint);
    }
    return updates;
  }

  /**
   * Applies a list received from a peer: adds new endpoints and marks those that leave, but
   * removes none. Returns the entries that changed something, to be passed on to other peers.
   */
  applyUpdates(endpoints: readonly ListedEndpoint[]): ListedEndpoint[] {
    const updates: ListedEndpoint[] = [];
    for (const entry of endpoints) {
      const state = this.#states.get(entry.endpoint);
      if (state === undefined) this.#states.set(entry.endpoint, createState(entry));
      else if (entry.leaving && !state.listed.leaving) state.listed = entry;
      else continue;
      updates.push(entry);
    }
    return updates;
  }

  /** Records whether the endpoint itself announces that it leaves. */
  recordAnnouncement(endpoint: core.EndpointId, leaving: boolean): void {
    const state = this.#states.get(endpoint);
    if (state !== undefined) state.announcedLeaving = leaving;
  }

  /** Records that the endpoint could not be reached, and blocks it for a while. */
  recordFailure(endpoint: core.EndpointId, now: number): void {
    const state = this.#states.get(endpoint);
    if (state === undefined) return;
    const blockMs = Math.min(
      MAX_BLOCK_MS,
      FIRST_BLOCK_MS * 2 ** state.failures,
    );
    state.failures += 1;
    state.blockedUntil = now + blockMs;
  }

  /** Records that the endpoint answered, which ends its block. */
  recordSuccess(endpoint: core.EndpointId): void {
    const state = this.#states.get(endpoint);
    if (state === undefined) return;
    state.failures = 0;
    state.blockedUntil = -Infinity;
  }

  /** Whether the endpoint may get new work. */
  isAccepting(endpoint: core.EndpointId, now: number): boolean {
    const state = this.#states.get(endpoint);
    if (state === undefined) return false;
    if (state.listed.leaving || state.announcedLeaving) return false;
    return now >= state.blockedUntil;
  }

  /** Whether the endpoint is unknown, or leaves according to the VM list or its announcement. */
  isLeaving(endpoint: core.EndpointId): boolean {
    const state = this.#states.get(endpoint);
    return state === undefined || state.listed.leaving || state.announcedLeaving;
  }

  getAll(): ListedEndpoint[] {
    return [...this.#states.values()].map((state) => state.listed);
  }

  getEndpoints(role: ListedEndpoint["role"]): ListedEndpoint[] {
    const found: ListedEndpoint[] = [];
    for (const state of this.#states.values()) {
      if (state.listed.role === role) found.push(state.listed);
    }
    return found;
  }
}

function createState(listed: ListedEndpoint): EndpointState {
  return { listed, announcedLeaving: false, failures: 0, blockedUntil: -Infinity };
}
