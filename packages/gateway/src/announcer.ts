/**
 * Announces this process in the store under a lease, so that other processes find its address
 * and link to it.
 */

import * as core from "@peridotvale/core";
import type * as stores from "./routing_store.ts";

export interface AnnouncerOptions {
  readonly store: stores.RoutingStore;
  readonly self: stores.AnnouncedPeer;
  readonly logger: core.Logger;
  readonly random: core.RandomSource;
  /** Called when the store has acknowledged the announcement. */
  readonly onPublished: () => void;
}

/**
 * Time after which the store removes an announcement that is not renewed. Links show sooner that a
 * process is gone; the announcement only makes its address known.
 */
const ANNOUNCEMENT_TTL_MS = 45_000;
/** With jitter, two renewals may fail before the announcement expires. */
const RENEW_INTERVAL_MS = 12_000;
const RETRY_INTERVAL_MS = 1_000;

/** Publishes the announcement and keeps renewing its lease. */
export class Announcer {
  readonly #options: AnnouncerOptions;
  #isStopped = false;

  constructor(options: AnnouncerOptions) {
    this.#options = options;
  }

  /**
   * Runs until {@linkcode stop} is called. If the lease has expired, publishes the announcement
   * again under a new one.
   */
  async run(): Promise<void> {
    let lease: string | undefined;
    while (!this.#isStopped) {
      lease = lease === undefined ? await this.#publishSelf() : await this.#renew(lease);
      const intervalMs = lease === undefined ? RETRY_INTERVAL_MS : RENEW_INTERVAL_MS;
      await core.waitFor(intervalMs * (0.8 + 0.4 * this.#options.random.next()));
    }
  }

  stop(): void {
    this.#isStopped = true;
  }

  async #publishSelf(): Promise<string | undefined> {
    const publishResult = await this.#options.store.publishPeer(
      this.#options.self,
      ANNOUNCEMENT_TTL_MS,
    );
    if (publishResult.isOk()) {
      this.#options.onPublished();
      return publishResult.value;
    }
    this.#options.logger.write("announce_failed", {
      reason: publishResult.error.type,
      detail: publishResult.error.detail,
    });
    return undefined;
  }

  /**
   * Renews the lease. Returns undefined if the store reports that the lease has expired. Returns
   * the lease also if the call fails, since the lease may still be valid.
   */
  async #renew(lease: string): Promise<string | undefined> {
    const renewResult = await this.#options.store.renewAnnouncement(lease);
    if (renewResult.isErr()) return lease;
    return renewResult.value ? lease : undefined;
  }
}
