/**
 * Updates the configuration in force and the directory of endpoints from the store. One watch
 * delivers the changes of both. Periodic reads confirm that the configuration is still the
 * newest. They also detect a stalled watch, which stays open but delivers no events.
 */

import * as core from "@peridotvale/core";
import * as policy from "@peridotvale/policy";
import type * as stores from "./routing_store.ts";

/** Longest duration of one watch call; below the idle time-outs of intermediate proxies. */
const MAX_WATCH_DURATION_MS = 10_000;
/** Interval at which the age of the last confirmation is checked. */
const CONFIRMATION_POLL_INTERVAL_MS = 200;
/** Interval at which a process that has just started checks whether its first listing ended. */
const FIRST_LISTING_POLL_MS = 20;
/** Pause before the next watch call after one that returned changes. */
const WATCH_BATCH_MS = 40;
/** Time-out of a read; even a slow store answers within 250 ms. */
const READ_TIMEOUT_MS = 900;
/** Pause after a failed call; it doubles with each failure so as not to flood the store. */
const MIN_BACKOFF_MS = 100;
/** Time within which a watch must reach the revision of a read; otherwise it is stalled. */
const STALLED_WATCH_TIMEOUT_MS = 200;
/** Longest wait for a peer's newer configuration before this process reads it from the store. */
const PEER_CONFIG_WAIT_MS = 500;
/** Interval at which a process that does not watch the store checks whether it now should. */
const WATCHER_CHECK_INTERVAL_MS = 100;
/** Failures for at least this long are treated as an outage, during which entries may expire. */
const MIN_OUTAGE_MS = 700;

export interface StoreAgentOptions {
  readonly store: stores.RoutingStore;
  readonly config: policy.ConfigRegister;
  readonly directory: policy.InstanceDirectory;
  readonly clock: core.Clock;
  readonly logger: core.Logger;
  readonly random: core.RandomSource;
  /** Returns the interval between confirmations of the configuration. */
  readonly getConfirmationIntervalMs: () => number;
  /** Whether this process itself watches the store; otherwise peers report the changes. */
  readonly isStoreWatcher: (now: number) => boolean;
  /** Called after a newer configuration has come into force. */
  readonly onConfig: (now: number) => void;
  readonly getElectionScope: () => policy.ElectionScope;
  /** Returns the pauses between calls while the store fails. */
  readonly getRetryIntervals: () => policy.StoreRetryIntervals;
  /** Called with each listing; its configuration and endpoints are applied already. */
  readonly onListing: (listing: stores.StoreListing, now: number) => void;
  /** Called for each change that concerns neither the configuration nor an endpoint. */
  readonly onOtherChange: (change: stores.StoreChange, now: number) => void;
  readonly onInstanceChanges: (changes: readonly policy.InstanceChange[], now: number) => void;
}

export class StoreAgent {
  readonly #options: StoreAgentOptions;
  /** This process's place, from 0 to 1, among those that read the store if the watcher fails. */
  readonly #fallbackJitter: number;
  #isStopped = false;
  /** Store revision up to which all changes are known; undefined if a listing is needed. */
  #watchedRevision: number | undefined;
  #watchAbortController: AbortController | undefined;
  #pendingConfirmation: Promise<boolean> | undefined;
  #lastConfirmationStartedAt = -Infinity;
  /** Time of the first failed call of the current outage; undefined while calls succeed. */
  #failingSince: number | undefined;
  #lastSuccessAt = -Infinity;
  /** Time at which a read showed that the watch lags behind; undefined if the watch does not. */
  #watchLagSince: number | undefined;
  #listedAt: number | undefined;
  #hasTriedListing = false;
  /** Highest release that a peer has reported. */
  #peerRelease = 0;
  /** Time at which a peer first reported a newer release than the one in force here. */
  #newerReleaseSince: number | undefined;

  constructor(options: StoreAgentOptions) {
    this.#options = options;
    this.#fallbackJitter = options.random.next();
  }

  /** Whether the store has been listed at least once. */
  get hasListing(): boolean {
    return this.#listedAt !== undefined;
  }

  /** Time of the first listing; undefined before it. */
  get listedAt(): number | undefined {
    return this.#listedAt;
  }

  /** Returns the time since the first failed call of the current outage; 0 while calls succeed. */
  getOutageMs(now: number): number {
    return this.#failingSince === undefined ? 0 : now - this.#failingSince;
  }

  start(): void {
    const { logger } = this.#options;
    core.startLoop("confirm_config", () => this.#runConfirmations(), logger);
    core.startLoop("watch_store", () => this.#runWatches(), logger);
  }

  stop(): void {
    this.#isStopped = true;
    this.#watchAbortController?.abort();
  }

  /**
   * Confirms the configuration with a new read, or joins a pending read that began at most
   * `maxAgeMs` ago. Returns whether the read succeeded.
   */
  async confirm(maxAgeMs: number): Promise<boolean> {
    const now = this.#options.clock.now();
    if (
      this.#pendingConfirmation !== undefined && now - this.#lastConfirmationStartedAt <= maxAgeMs
    ) {
      return await this.#pendingConfirmation;
    }
    this.#lastConfirmationStartedAt = now;
    const pendingConfirmation = this.#readConfig(now);
    this.#pendingConfirmation = pendingConfirmation;
    const isConfirmed = await pendingConfirmation;
    if (this.#pendingConfirmation === pendingConfirmation) this.#pendingConfirmation = undefined;
    return isConfirmed;
  }

  async #runConfirmations(): Promise<void> {
    let backoffMs = MIN_BACKOFF_MS;
    while (!this.#isStopped) {
      // The first listing contains the configuration, so that no separate read is needed.
      if (!this.#hasTriedListing) {
        await core.waitFor(FIRST_LISTING_POLL_MS);
        continue;
      }
      if (this.isConfirmationRecent() && !this.#isRetryDue()) {
        await core.waitFor(CONFIRMATION_POLL_INTERVAL_MS);
        continue;
      }
      const isConfirmed = await this.confirm(0);
      backoffMs = isConfirmed ? MIN_BACKOFF_MS : this.#computeNextBackoffMs(backoffMs);
      await core.waitFor(isConfirmed ? this.#drawConfirmationIntervalMs() : backoffMs);
    }
  }

  #computeNextBackoffMs(backoffMs: number): number {
    return Math.min(backoffMs * 2, this.#options.getRetryIntervals().maxBackoffMs);
  }

  /** Whether to retry an unavailable store although the confirmations of peers are recent. */
  #isRetryDue(): boolean {
    const now = this.#options.clock.now();
    return this.#failingSince !== undefined &&
      now - this.#lastConfirmationStartedAt > this.#options.getRetryIntervals().whileConfirmedMs;
  }

  /** Whether the last confirmation, by this process or by a peer, is recent enough. */
  isConfirmationRecent(): boolean {
    const { config, clock, isStoreWatcher, getElectionScope } = this.#options;
    const now = clock.now();
    const intervalMs = this.#options.getConfirmationIntervalMs();
    const isWatcher = isStoreWatcher(now);
    if (!isWatcher && policy.isLinking(this.#listedAt, now)) return true;
    const maxAgeMs = isWatcher
      ? intervalMs
      : policy.computeFallbackAgeMs(intervalMs, getElectionScope(), this.#fallbackJitter);
    return config.getConfirmAgeMs(now) < maxAgeMs;
  }

  async #readConfig(sentAt: number): Promise<boolean> {
    const { store, clock } = this.#options;
    const reading = await store.readConfig({ timeoutMs: READ_TIMEOUT_MS });
    const now = clock.now();
    if (reading.isErr()) {
      this.#recordFailure(reading.error, { sentAt });
      return false;
    }
    this.#recordSuccess(now);
    this.#checkWatchProgress(reading.value.storeRevision, now);
    const config = reading.value.config;
    if (config === undefined) return true;
    this.#adoptConfig(config, { sentAt, from: "read" });
    return true;
  }

  async #runWatches(): Promise<void> {
    let backoffMs = MIN_BACKOFF_MS;
    while (!this.#isStopped) {
      if (this.hasListing && !this.#options.isStoreWatcher(this.#options.clock.now())) {
        await core.waitFor(WATCHER_CHECK_INTERVAL_MS);
        continue;
      }
      const hasSucceeded = this.#watchedRevision === undefined
        ? await this.#listStore()
        : await this.#watchOnce(this.#watchedRevision);
      if (hasSucceeded) {
        backoffMs = MIN_BACKOFF_MS;
        continue;
      }
      await core.waitFor(backoffMs * (0.5 + this.#options.random.next()));
      backoffMs = this.#computeNextBackoffMs(backoffMs);
    }
  }

  async #listStore(): Promise<boolean> {
    const { store, directory, clock, logger } = this.#options;
    const sentAt = clock.now();
    const listing = await store.listEntries({ timeoutMs: READ_TIMEOUT_MS });
    const now = clock.now();
    this.#hasTriedListing = true;
    if (listing.isErr()) {
      this.#recordFailure(listing.error, { sentAt });
      return false;
    }
    this.#recordSuccess(now);
    this.#watchedRevision = listing.value.storeRevision;
    this.#listedAt ??= now;
    for (const detail of listing.value.entryErrors) logger.write("entry_unreadable", { detail });
    const changes = directory.applyListing(listing.value.records, {
      revision: listing.value.storeRevision,
      now,
    });
    logger.write("endpoints_listed", {
      endpoints: listing.value.records.length,
      revision: listing.value.storeRevision,
      changes: changes.length,
    });
    this.#options.onInstanceChanges(changes, now);
    const config = listing.value.config;
    if (config !== undefined) this.#adoptConfig(config, { sentAt, from: "listing" });
    this.#options.onListing(listing.value, now);
    return true;
  }

  #adoptConfig(
    config: core.RoutingConfig,
    source: {
      /**
       * Time at which the read that returned the configuration was sent; -Infinity if the
       * configuration may be outdated.
       */
      readonly sentAt: number;
      readonly from: "read" | "listing" | "watch" | "peer";
    },
  ): void {
    const now = this.#options.clock.now();
    if (!this.#options.config.adopt(config, source.sentAt)) return;
    this.#options.logger.write("config_adopted", { release: config.release, from: source.from });
    this.#options.onConfig(now);
  }

  async #watchOnce(afterRevision: number): Promise<boolean> {
    const { store, clock } = this.#options;
    const abortController = new AbortController();
    const sentAt = clock.now();
    this.#watchAbortController = abortController;
    const result = await store.watch(afterRevision, {
      waitMs: MAX_WATCH_DURATION_MS,
      signal: abortController.signal,
    });
    this.#watchAbortController = undefined;
    const now = clock.now();
    if (result.isOk()) {
      this.#recordSuccess(now);
      this.#watchedRevision = Math.max(afterRevision, result.value.storeRevision);
      for (const change of result.value.changes) this.#applyChange(change, now);
      // Changes that follow closely, as when many processes start, arrive with the next call.
      if (result.value.changes.length > 0) await core.waitFor(WATCH_BATCH_MS);
      return true;
    }
    // A failed watch may have missed changes, so a new listing is needed.
    this.#watchedRevision = undefined;
    const { error } = result;
    this.#options.logger.write("watch_ended", { reason: error.type, detail: error.detail });
    if (error.type !== "history_lost" && !abortController.signal.aborted) {
      this.#recordFailure(error, { sentAt });
    }
    return error.type === "history_lost" || abortController.signal.aborted;
  }

  #applyChange(change: stores.StoreChange, now: number): void {
    const { directory, logger } = this.#options;
    switch (change.type) {
      case "config":
        // A watch event does not prove that this is the newest configuration.
        return this.#adoptConfig(change.config, { sentAt: -Infinity, from: "watch" });
      case "endpoint":
        return this.#options.onInstanceChanges(directory.applyRecord(change.record, now), now);
      case "endpoint_removed":
        return this.#options.onInstanceChanges(
          directory.removeRecord(change.instance, change.revision, now),
          now,
        );
      case "unreadable":
        return logger.write("entry_unreadable", { detail: change.detail });
      default:
        return this.#options.onOtherChange(change, now);
    }
  }

  /** Store revision up to which all changes of endpoints are known; 0 if a listing is needed. */
  get revision(): number {
    return this.#watchedRevision ?? 0;
  }

  /**
   * Applies a peer's view of the store. If `isContinuous` is set, the peer's last two reports
   * contain every change, so this process adopts the peer's revision without a listing.
   */
  applyPeerView(
    view: {
      readonly release: number;
      readonly revision: number;
      readonly changed: readonly core.EndpointRecord[];
    },
    timing: { readonly isContinuous: boolean; readonly now: number },
  ): void {
    const { isContinuous, now } = timing;
    for (const record of view.changed) {
      this.#options.onInstanceChanges(this.#options.directory.applyRecord(record, now), now);
    }
    const knownRevision = this.#watchedRevision;
    if (
      knownRevision !== undefined && knownRevision < view.revision &&
      !this.#options.isStoreWatcher(now)
    ) {
      if (isContinuous) this.#watchedRevision = view.revision;
      else core.startTask("list_store", () => this.#listStore(), this.#options.logger);
    }
    this.#checkPeerRelease(view.release, now);
  }

  /** Applies the configuration in force at a peer, which may be older than the one in the store. */
  applyPeerConfig(config: core.RoutingConfig, now: number): void {
    this.#adoptConfig(config, { sentAt: -Infinity, from: "peer" });
    this.#checkPeerRelease(config.release, now);
  }

  /** Reads the configuration from the store if peers do not send the newest release in time. */
  #checkPeerRelease(release: number, now: number): void {
    this.#peerRelease = Math.max(this.#peerRelease, release);
    if (this.#peerRelease <= (this.#options.config.inForce?.config.release ?? 0)) {
      this.#newerReleaseSince = undefined;
      return;
    }
    this.#newerReleaseSince ??= now;
    if (now - this.#newerReleaseSince < PEER_CONFIG_WAIT_MS) return;
    if (now - this.#lastConfirmationStartedAt < PEER_CONFIG_WAIT_MS) return;
    core.startTask("confirm_config", () => this.confirm(0), this.#options.logger);
  }

  /**
   * Aborts the watch if it does not reach `storeRevision` within STALLED_WATCH_TIMEOUT_MS. A read
   * has returned this revision, so the watch should have delivered the changes up to it.
   */
  #checkWatchProgress(storeRevision: number, now: number): void {
    const watchedRevision = this.#watchedRevision;
    if (watchedRevision === undefined || watchedRevision >= storeRevision) {
      this.#watchLagSince = undefined;
      return;
    }
    if (this.#watchLagSince !== undefined) return;
    this.#watchLagSince = now;
    setTimeout(() => {
      this.#watchLagSince = undefined;
      if (this.#watchedRevision === undefined || this.#watchedRevision >= storeRevision) return;
      this.#options.logger.write("watch_deaf", {
        watched: this.#watchedRevision,
        revision: storeRevision,
      });
      this.#watchAbortController?.abort();
      if (this.#watchAbortController !== undefined) return;
      core.startTask("list_store", () => this.#listStore(), this.#options.logger);
    }, STALLED_WATCH_TIMEOUT_MS);
  }

  /**
   * Records a failed call, which starts an outage if none is in progress. A call that was sent
   * before the last success is ignored.
   */
  #recordFailure(error: stores.StoreError, call: { readonly sentAt: number }): void {
    if (this.#failingSince !== undefined || call.sentAt < this.#lastSuccessAt) return;
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
    if (durationMs >= MIN_OUTAGE_MS) this.#options.directory.recordStoreRecovery(now);
  }

  #drawConfirmationIntervalMs(): number {
    return this.#options.getConfirmationIntervalMs() * (0.8 + 0.4 * this.#options.random.next());
  }
}
