/**
 * Which endpoints may get new work, from the VM list, their own announcements
 * and their failures. Any of the three is enough to stop new work.
 */

import type * as core from "@peridotvale/core";

/** An endpoint of the VM list. */
export interface ListedEndpoint {
  readonly endpoint: core.EndpointId;
  readonly zone: core.ZoneName;
  readonly role: "engine" | "service";
  readonly service: core.ServiceName | undefined;
  readonly leaving: boolean;
}

interface EndpointRecord {
  listed: ListedEndpoint;
  announcedLeaving: boolean;
  failures: number;
  blockedUntil: number;
}

/** Block after the first failure; doubles with each further one. */
const FIRST_BLOCK_MS = 250;
const MAX_BLOCK_MS = 4_000;

/** The endpoints that this process knows. */
export class EndpointTable {
  readonly #records = new Map<core.EndpointId, EndpointRecord>();

  /**
   * Applies a VM list that was read: endpoints that it lacks are forgotten. A
   * wholly empty list is ignored. Returns what is new or leaving.
   */
  applyList(listed: readonly ListedEndpoint[]): ListedEndpoint[] {
    if (listed.length === 0) return [];
    const news = this.applyNews(listed);
    const present = new Set<core.EndpointId>();
    for (const entry of listed) {
      present.add(entry.endpoint);
      this.#records.get(entry.endpoint)!.listed = entry;
    }
    for (const endpoint of [...this.#records.keys()]) {
      if (!present.has(endpoint)) this.#records.delete(endpoint);
    }
    return news;
  }

  /**
   * Applies what a peer's list says: new endpoints and those that leave.
   * Returns what was news, to be passed on.
   */
  applyNews(endpoints: readonly ListedEndpoint[]): ListedEndpoint[] {
    const news: ListedEndpoint[] = [];
    for (const entry of endpoints) {
      const record = this.#records.get(entry.endpoint);
      if (record === undefined) this.#records.set(entry.endpoint, createRecord(entry));
      else if (entry.leaving && !record.listed.leaving) record.listed = entry;
      else continue;
      news.push(entry);
    }
    return news;
  }

  /** Records what the endpoint says of itself. */
  recordAnnouncement(endpoint: core.EndpointId, leaving: boolean): void {
    const record = this.#records.get(endpoint);
    if (record !== undefined) record.announcedLeaving = leaving;
  }

  /** Records that the endpoint could not be reached. */
  recordFailure(endpoint: core.EndpointId, now: number): void {
    const record = this.#records.get(endpoint);
    if (record === undefined) return;
    const blockMs = Math.min(
      MAX_BLOCK_MS,
      FIRST_BLOCK_MS * 2 ** record.failures,
    );
    record.failures += 1;
    record.blockedUntil = now + blockMs;
  }

  /** Records that the endpoint answered. */
  recordSuccess(endpoint: core.EndpointId): void {
    const record = this.#records.get(endpoint);
    if (record === undefined) return;
    record.failures = 0;
    record.blockedUntil = -Infinity;
  }

  /** Whether new work may go to the endpoint. */
  isAccepting(endpoint: core.EndpointId, now: number): boolean {
    const record = this.#records.get(endpoint);
    if (record === undefined) return false;
    if (record.listed.leaving || record.announcedLeaving) return false;
    return now >= record.blockedUntil;
  }

  /** Whether the VM list or the endpoint itself says that it leaves. */
  isLeaving(endpoint: core.EndpointId): boolean {
    const record = this.#records.get(endpoint);
    return record === undefined || record.listed.leaving || record.announcedLeaving;
  }

  /** Every endpoint. */
  getAll(): ListedEndpoint[] {
    return [...this.#records.values()].map((record) => record.listed);
  }

  /** Endpoints of a role. */
  getEndpoints(role: ListedEndpoint["role"]): ListedEndpoint[] {
    const found: ListedEndpoint[] = [];
    for (const record of this.#records.values()) {
      if (record.listed.role === role) found.push(record.listed);
    }
    return found;
  }
}

function createRecord(listed: ListedEndpoint): EndpointRecord {
  return { listed, announcedLeaving: false, failures: 0, blockedUntil: -Infinity };
}
