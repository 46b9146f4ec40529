/** Announces this process in the store, so that the others link to it. */

import * as core from "@peridotvale/core";
import type * as stores from "./routing_store.ts";

/** Options of {@linkcode Announcer}. */
export interface AnnouncerOptions {
  readonly store: stores.RoutingStore;
  readonly self: stores.AnnouncedPeer;
  readonly logger: core.Logger;
  readonly random: core.RandomSource;
}

/** How long the announcement outlives the process. */
const TTL_MS = 12_000;
/** Renewals are this far apart, so that two may fail before the announcement lapses. */
const RENEW_INTERVAL_MS = 4_000;
const RETRY_MS = 1_000;

/** Keeps the announcement alive. */
export class Announcer {
  readonly #options: AnnouncerOptions;
  #isStopped = false;

  constructor(options: AnnouncerOptions) {
    this.#options = options;
  }

  /** Announces and renews until stopped. */
  async run(): Promise<void> {
    let lease: string | undefined;
    while (!this.#isStopped) {
      lease = lease === undefined ? await this.#publishSelf() : await this.#renew(lease);
      const intervalMs = lease === undefined ? RETRY_MS : RENEW_INTERVAL_MS;
      await core.waitFor(intervalMs * (0.8 + 0.4 * this.#options.random.next()));
    }
  }

  stop(): void {
    this.#isStopped = true;
  }

  async #publishSelf(): Promise<string | undefined> {
    const announced = await this.#options.store.publishPeer(this.#options.self, TTL_MS);
    if (announced.isOk()) return announced.value;
    this.#options.logger.write("announce_failed", {
      reason: announced.error.type,
      detail: announced.error.detail,
    });
    return undefined;
  }

  /** A lease that could not be renewed is kept until the store says that it has ended. */
  async #renew(lease: string): Promise<string | undefined> {
    const renewed = await this.#options.store.renewAnnouncement(lease);
    if (renewed.isErr()) return lease;
    return renewed.value ? lease : undefined;
  }
}
