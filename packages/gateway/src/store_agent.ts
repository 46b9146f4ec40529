/**
 * Follows the store: the configuration in force and the directory of endpoints.
 * One watch over both brings news at once; a read of the configuration at
 * intervals confirms it, and shows a watch that hears nothing.
 */

import * as core from "@peridotvale/core";
import type * as policy from "@peridotvale/policy";
import type * as stores from "./routing_store.ts";

/** Longest wait of one watch; shorter than the idle time-outs of what lies between. */
const WATCH_WAIT_MS = 10_000;
/** A process that hears of confirmations from others lets them grow this many intervals old. */
const RELAYED_CONFIRM_INTERVALS = 2;
/** How often the age of the last confirmation is looked at. */
const CONFIRM_POLL_MS = 200;
/** A read that takes longer counts as failed; a slow store answers within 250 ms. */
const READ_TIMEOUT_MS = 900;
/** Pause after a failed call, so that a store that is away is not flooded. */
const MIN_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 800;
/** A watch may lag behind a read by this much before it counts as deaf. */
const DEAF_WATCH_MS = 200;
/** Time in which a newer configuration comes from another process; it is read after that. */
const PEER_CONFIG_WAIT_MS = 500;
/** How often a process that does not watch looks whether it should. */
const DUTY_INTERVAL_MS = 100;
/** A store that does not answer is asked again after this time if others confirm. */
const OUTAGE_RETRY_MS = 2_000;
/** Failures of the store for this long count as an outage, in which entries may lapse. */
const OUTAGE_MS = 700;

/** Options of {@linkcode StoreAgent}. */
export interface StoreAgentOptions {
  readonly store: stores.RoutingStore;
  readonly config: policy.ConfigRegister;
  readonly directory: policy.InstanceDirectory;
  readonly clock: core.Clock;
  readonly logger: core.Logger;
  readonly random: core.RandomSource;
  /** How far apart confirmations of the configuration are. */
  readonly getConfirmIntervalMs: () => number;
  /** Whether this process watches the store, or hears of it from others. */
  readonly isWatcher: (now: number) => boolean;
  readonly onConfig: (now: number) => void;
  readonly onPeer: (peer: stores.AnnouncedPeer) => void;
  readonly onPeerRemoved: (process: core.ProcessId) => void;
  readonly onChanges: (changes: readonly policy.InstanceChange[], now: number) => void;
}

/** Keeps configuration and directory up to date. */
export class StoreAgent {
  readonly #options: StoreAgentOptions;
  #isStopped = false;
  /** Revision up to which the watch has reported; undefined before a listing. */
  #watchedRevision: number | undefined;
  #watch: AbortController | undefined;
  #confirming: Promise<boolean> | undefined;
  #lastConfirmStart = -Infinity;
  #failingSince: number | undefined;
  #lastSuccessAt = -Infinity;
  #deafSince: number | undefined;
  #hasListed = false;
  /** Highest release that another process has told of. */
  #toldRelease = 0;
  /** Since when one that another process has told of is not in force here. */
  #behindSince: number | undefined;

  constructor(options: StoreAgentOptions) {
    this.#options = options;
  }

  /** Whether the directory has been listed once. */
  get hasListed(): boolean {
    return this.#hasListed;
  }

  /** How long no call to the store has succeeded; 0 while calls do. */
  getOutageMs(now: number): number {
    return this.#failingSince === undefined ? 0 : now - this.#failingSince;
  }

  start(): void {
    void this.#runConfirmations();
    void this.#runWatches();
  }

  stop(): void {
    this.#isStopped = true;
    this.#watch?.abort();
  }

  /**
   * Confirms the configuration by a read that begins after this call, or joins one
   * that began within `maxAgeMs` and is under way. Returns whether it succeeded.
   */
  async confirm(maxAgeMs: number): Promise<boolean> {
    const now = this.#options.clock.now();
    if (this.#confirming !== undefined && now - this.#lastConfirmStart <= maxAgeMs) {
      return await this.#confirming;
    }
    this.#lastConfirmStart = now;
    const confirming = this.#readConfig(now);
    this.#confirming = confirming;
    const isConfirmed = await confirming;
    if (this.#confirming === confirming) this.#confirming = undefined;
    return isConfirmed;
  }

  async #runConfirmations(): Promise<void> {
    let backoffMs = MIN_BACKOFF_MS;
    while (!this.#isStopped) {
      if (this.#isConfirmedLately() && !this.#isRetryDue()) {
        await core.waitFor(CONFIRM_POLL_MS);
        continue;
      }
      const isConfirmed = await this.confirm(0);
      backoffMs = isConfirmed ? MIN_BACKOFF_MS : Math.min(backoffMs * 2, MAX_BACKOFF_MS);
      await core.waitFor(isConfirmed ? this.#drawInterval() : backoffMs);
    }
  }

  /** While others confirm, a store that did not answer is asked at intervals whether it does. */
  #isRetryDue(): boolean {
    const now = this.#options.clock.now();
    return this.#failingSince !== undefined && now - this.#lastConfirmStart > OUTAGE_RETRY_MS;
  }

  /** Another process's confirmation serves as well as an own one. */
  #isConfirmedLately(): boolean {
    const { config, clock, isWatcher } = this.#options;
    const now = clock.now();
    const intervals = isWatcher(now) ? 1 : RELAYED_CONFIRM_INTERVALS;
    return config.getAge(now) < intervals * this.#options.getConfirmIntervalMs();
  }

  async #readConfig(askedAt: number): Promise<boolean> {
    const { store, clock } = this.#options;
    const reading = await store.readConfig({ timeoutMs: READ_TIMEOUT_MS });
    const now = clock.now();
    if (reading.isErr()) {
      this.#recordFailure(reading.error, { begunAt: askedAt });
      return false;
    }
    this.#recordSuccess(now);
    this.#checkWatch(reading.value.storeRevision, now);
    const found = reading.value.config;
    if (found === undefined) return true;
    this.#adopt(found, { askedAt, from: "read" });
    return true;
  }

  async #runWatches(): Promise<void> {
    let backoffMs = MIN_BACKOFF_MS;
    while (!this.#isStopped) {
      if (this.#hasListed && !this.#options.isWatcher(this.#options.clock.now())) {
        await core.waitFor(DUTY_INTERVAL_MS);
        continue;
      }
      const hasWorked = this.#watchedRevision === undefined
        ? await this.#list()
        : await this.#watchOnce(this.#watchedRevision);
      if (hasWorked) {
        backoffMs = MIN_BACKOFF_MS;
        continue;
      }
      await core.waitFor(backoffMs * (0.5 + this.#options.random.next()));
      backoffMs = Math.min(backoffMs * 2, MAX_BACKOFF_MS);
    }
  }

  async #list(): Promise<boolean> {
    const { store, directory, clock, logger } = this.#options;
    const askedAt = clock.now();
    const listing = await store.listAll({ timeoutMs: READ_TIMEOUT_MS });
    const now = clock.now();
    if (listing.isErr()) {
      this.#recordFailure(listing.error, { begunAt: askedAt });
      return false;
    }
    this.#recordSuccess(now);
    this.#watchedRevision = listing.value.storeRevision;
    this.#hasListed = true;
    for (const detail of listing.value.unreadable) logger.write("entry_unreadable", { detail });
    const changes = directory.applyListing(listing.value.records, {
      revision: listing.value.storeRevision,
      now,
    });
    logger.write("endpoints_listed", {
      endpoints: listing.value.records.length,
      revision: listing.value.storeRevision,
      changes: changes.length,
    });
    this.#options.onChanges(changes, now);
    for (const peer of listing.value.peers) this.#options.onPeer(peer);
    const found = listing.value.config;
    if (found !== undefined) this.#adopt(found, { askedAt, from: "listing" });
    return true;
  }

  #adopt(
    found: core.RoutingConfig,
    source: {
      readonly askedAt: number;
      readonly from: "read" | "listing" | "watch" | "peer";
    },
  ): void {
    const now = this.#options.clock.now();
    if (!this.#options.config.adopt(found, source.askedAt)) return;
    this.#options.logger.write("config_adopted", { release: found.release, from: source.from });
    this.#options.onConfig(now);
  }

  async #watchOnce(afterRevision: number): Promise<boolean> {
    const { store, clock } = this.#options;
    const watch = new AbortController();
    const begunAt = clock.now();
    this.#watch = watch;
    const seen = await store.watch(afterRevision, {
      waitMs: WATCH_WAIT_MS,
      signal: watch.signal,
    });
    this.#watch = undefined;
    const now = clock.now();
    if (seen.isOk()) {
      this.#recordSuccess(now);
      this.#watchedRevision = Math.max(afterRevision, seen.value.storeRevision);
      for (const change of seen.value.changes) this.#applyChange(change, now);
      return true;
    }
    // A watch that ends in any other way may have missed changes.
    this.#watchedRevision = undefined;
    const { error } = seen;
    this.#options.logger.write("watch_ended", { reason: error.type, detail: error.detail });
    if (error.type !== "history_lost" && !watch.signal.aborted) {
      this.#recordFailure(error, { begunAt });
    }
    return error.type === "history_lost" || watch.signal.aborted;
  }

  #applyChange(change: stores.StoreChange, now: number): void {
    const { directory, logger } = this.#options;
    switch (change.type) {
      case "config":
        // A watch shows what has changed, but not that nothing newer has.
        return this.#adopt(change.config, { askedAt: -Infinity, from: "watch" });
      case "endpoint":
        return this.#options.onChanges(directory.applyRecord(change.record, now), now);
      case "endpoint_removed":
        return this.#options.onChanges(
          directory.removeRecord(change.instance, change.revision, now),
          now,
        );
      case "peer":
        return this.#options.onPeer(change.peer);
      case "peer_removed":
        return this.#options.onPeerRemoved(change.process);
      case "unreadable":
        logger.write("entry_unreadable", { detail: change.detail });
    }
  }

  /** Revision up to which the endpoints are known; 0 before the first listing. */
  get revision(): number {
    return this.#watchedRevision ?? 0;
  }

  /**
   * Applies what a process has told of the store. `isContinuous` says that its last
   * report is so recent that no change was missed between the two.
   */
  applyNews(
    news: {
      readonly release: number;
      readonly revision: number;
      readonly changed: readonly core.EndpointRecord[];
    },
    received: { readonly isContinuous: boolean; readonly now: number },
  ): void {
    const { isContinuous, now } = received;
    for (const record of news.changed) {
      this.#options.onChanges(this.#options.directory.applyRecord(record, now), now);
    }
    const known = this.#watchedRevision;
    if (known !== undefined && known < news.revision && !this.#options.isWatcher(now)) {
      if (isContinuous) this.#watchedRevision = news.revision;
      else void this.#list();
    }
    this.#checkRelease(news.release, now);
  }

  /** Applies the configuration that another process has in force; it confirms nothing. */
  applyPeerConfig(config: core.RoutingConfig, now: number): void {
    this.#adopt(config, { askedAt: -Infinity, from: "peer" });
    this.#checkRelease(config.release, now);
  }

  /** Reads a release that others have told of if none of them has passed it on in time. */
  #checkRelease(release: number, now: number): void {
    this.#toldRelease = Math.max(this.#toldRelease, release);
    if (this.#toldRelease <= (this.#options.config.inForce?.config.release ?? 0)) {
      this.#behindSince = undefined;
      return;
    }
    this.#behindSince ??= now;
    if (now - this.#behindSince < PEER_CONFIG_WAIT_MS) return;
    if (now - this.#lastConfirmStart < PEER_CONFIG_WAIT_MS) return;
    void this.confirm(0);
  }

  /** Ends a watch that does not report what a read has shown to exist. */
  #checkWatch(storeRevision: number, now: number): void {
    const watched = this.#watchedRevision;
    if (watched === undefined || watched >= storeRevision) {
      this.#deafSince = undefined;
      return;
    }
    if (this.#deafSince !== undefined) return;
    this.#deafSince = now;
    setTimeout(() => {
      this.#deafSince = undefined;
      if (this.#watchedRevision === undefined || this.#watchedRevision >= storeRevision) return;
      this.#options.logger.write("watch_deaf", {
        watched: this.#watchedRevision,
        revision: storeRevision,
      });
      this.#watch?.abort();
      if (this.#watch === undefined) void this.#list();
    }, DEAF_WATCH_MS);
  }

  /** A call that began before another one succeeded says nothing new. */
  #recordFailure(error: stores.StoreError, call: { readonly begunAt: number }): void {
    if (this.#failingSince !== undefined || call.begunAt < this.#lastSuccessAt) return;
    const now = this.#options.clock.now();
    this.#failingSince = now;
    this.#options.logger.write("store_lost", { reason: error.type, detail: error.detail });
  }

  #recordSuccess(now: number): void {
    this.#lastSuccessAt = now;
    if (this.#failingSince === undefined) return;
    const durationMs = now - this.#failingSince;
    this.#failingSince = undefined;
    this.#options.logger.write("store_regained", { after_ms: Math.round(durationMs) });
    if (durationMs >= OUTAGE_MS) this.#options.directory.recordStoreReturn(now);
  }

  #drawInterval(): number {
    return this.#options.getConfirmIntervalMs() * (0.8 + 0.4 * this.#options.random.next());
  }
}
