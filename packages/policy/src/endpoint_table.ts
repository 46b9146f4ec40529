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
  listEntry: ListedEndpoint;
  announcedLeaving: boolean;
  failureCount: number;
  blockedUntil: number;
}

/** Time without new work after an endpoint's first failure; doubles with each further failure. */
const FIRST_BLOCK_MS = 250;
const MAX_BLOCK_MS = 4_000;

/** Known endpoints, with their announcements and failures. */
export class EndpointTable {
  readonly #states = new Map<core.EndpointId, EndpointState>();

  /**
   * Applies the VM list and removes endpoints that are no longer in it. An empty list is
   * ignored. Returns the endpoints that are new or have begun to leave.
   */
  applyList(entries: readonly ListedEndpoint[]): ListedEndpoint[] {
    if (entries.length === 0) return [];
    const updates = this.applyUpdates(entries);
    const listedIds = new Set<core.EndpointId>();
    for (const entry of entries) {
      listedIds.add(entry.endpoint);
      this.#states.get(entry.endpoint)!.listEntry = entry;
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
      else if (entry.leaving && !state.listEntry.leaving) state.listEntry = entry;
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

  /** Records that the endpoint could not be reached, and gives it no new work for some time. */
  recordFailure(endpoint: core.EndpointId, now: number): void {
    const state = this.#states.get(endpoint);
    if (state === undefined) return;
    const blockMs = Math.min(
      MAX_BLOCK_MS,
      FIRST_BLOCK_MS * 2 ** state.failureCount,
    );
    state.failureCount += 1;
    state.blockedUntil = now + blockMs;
  }

  /** Records that the endpoint answered, and ends the pause after its failures. */
  recordSuccess(endpoint: core.EndpointId): void {
    const state = this.#states.get(endpoint);
    if (state === undefined) return;
    state.failureCount = 0;
    state.blockedUntil = -Infinity;
  }

  /** Whether the endpoint may get new work. */
  isAccepting(endpoint: core.EndpointId, now: number): boolean {
    const state = this.#states.get(endpoint);
    if (state === undefined) return false;
    if (state.listEntry.leaving || state.announcedLeaving) return false;
    return now >= state.blockedUntil;
  }

  /** Whether the endpoint is unknown, or leaves according to the VM list or its announcement. */
  isLeaving(endpoint: core.EndpointId): boolean {
    const state = this.#states.get(endpoint);
    return state === undefined || state.listEntry.leaving || state.announcedLeaving;
  }

  getAllEndpoints(): ListedEndpoint[] {
    return [...this.#states.values()].map((state) => state.listEntry);
  }

  getEndpointsByRole(role: ListedEndpoint["role"]): ListedEndpoint[] {
    const endpoints: ListedEndpoint[] = [];
    for (const state of this.#states.values()) {
      if (state.listEntry.role === role) endpoints.push(state.listEntry);
    }
    return endpoints;
  }
}

function createState(listEntry: ListedEndpoint): EndpointState {
  return {
    listEntry,
    announcedLeaving: false,
    failureCount: 0,
    blockedUntil: -Infinity,
  };
}
