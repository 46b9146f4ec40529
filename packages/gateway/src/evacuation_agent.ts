/**
 * Keeps requests away from the endpoints of evacuated zones. Learns of evacuations from the store
 * and from the reports of peers, each of which contains all entries.
 */

import type * as core from "@peridotvale/core";
import * as policy from "@peridotvale/policy";
import type * as stores from "./routing_store.ts";

export interface EvacuationAgentOptions {
  readonly logger: core.Logger;
  /** Called when the evacuation of a zone has ended. */
  readonly onRestored: (entry: policy.ZoneEvacuation) => void;
}

export class EvacuationAgent {
  readonly #options: EvacuationAgentOptions;
  readonly #register = new policy.EvacuationRegister();

  constructor(options: EvacuationAgentOptions) {
    this.#options = options;
  }

  /** Lists the zones that are evacuated. */
  listEvacuated(): policy.ZoneEvacuation[] {
    return this.#register.listEvacuated();
  }

  /** Whether `endpoint` may receive requests: its zone is not evacuated. */
  isUsable(endpoint: core.EndpointRecord): boolean {
    return !this.#register.isEvacuated(endpoint.zone);
  }

  /** Lists all entries, also of ended evacuations, for a report to a peer. */
  listEntries(): policy.ZoneEvacuation[] {
    return this.#register.listEntries();
  }

  applyListing(listing: stores.StoreListing): void {
    const { evacuations, storeRevision } = listing;
    for (const entry of this.#register.applyListing(evacuations, storeRevision)) {
      this.#writeChange(entry, "listing");
    }
  }

  /** Applies a change of an evacuation in the store; ignores other changes. */
  applyStoreChange(change: stores.StoreChange): void {
    if (change.type === "evacuation") this.#applyEntry(change.evacuation, "watch");
  }

  /** Applies the entries in the report of a peer. */
  applyReport(entries: readonly policy.ZoneEvacuation[]): void {
    for (const entry of entries) this.#applyEntry(entry, "peer");
  }

  #applyEntry(entry: policy.ZoneEvacuation, from: "watch" | "peer"): void {
    if (this.#register.applyEntry(entry)) this.#writeChange(entry, from);
  }

  #writeChange(entry: policy.ZoneEvacuation, from: "listing" | "watch" | "peer"): void {
    const { zone, revision, isEvacuated } = entry;
    this.#options.logger.write(isEvacuated ? "zone_evacuated" : "zone_restored", {
      zone,
      revision,
      from,
    });
    if (!isEvacuated) this.#options.onRestored(entry);
  }
}
