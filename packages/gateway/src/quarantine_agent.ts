/**
 * Keeps prompts that crash engines away from further engines. Detects crashes from broken streams,
 * collects the prompts that may have caused them, which are those whose answers had not begun or
 * had only just begun, and exchanges this evidence with the other processes.
 */

import * as core from "@peridotvale/core";
import * as policy from "@peridotvale/policy";
import * as probes from "./connect_probe.ts";
import type * as stores from "./routing_store.ts";

export interface QuarantineAgentOptions {
  /** Keeps quarantines for a fleet whose processes all restart. */
  readonly store: stores.RoutingStore;
  readonly clock: core.Clock;
  readonly logger: core.Logger;
  /** Whether `instance` may get new work; one that leaves closes its connections too. */
  readonly isUsable: (instance: core.InstanceId) => boolean;
  /** Called for each crash that this process or a peer has just seen. */
  readonly onCrash: (instance: core.InstanceId, now: number) => void;
  /** Called when further prompt parts are quarantined. */
  readonly onQuarantined: (now: number) => void;
}

/** A generation whose connection to its engine was lost. */
export interface BrokenGeneration {
  readonly endpoint: core.EndpointRecord;
  /** Time since its first event; undefined if it has produced none. */
  readonly outputMs: number | undefined;
  readonly suspect: policy.SuspectPrompt;
}

/** Time for which reports contain news, since a single report may be lost. */
const NEWS_REPORT_MS = 1_500;
/** Time for which the store keeps a quarantine. */
const STORED_TTL_MS = 10 * 60_000;
const STORE_RETRY_INTERVAL_MS = 2_000;
const MAX_STORE_ATTEMPTS = 10;
const MAX_OWN_PARTS = 1_024;
/** Time for the other streams of a crashed engine to break as well. */
const COLLECTION_MS = 30;
/** An engine that accepts no connection within this time is not taken for crashed. */
const PROBE_TIMEOUT_MS = 500;
/** A generation that has produced output for this long did not crash its engine by beginning. */
export const SOUND_OUTPUT_MS = 500;

/** Collects broken generations by engine, and records a crash once it is certain. */
export class QuarantineAgent {
  readonly #options: QuarantineAgentOptions;
  readonly #quarantine = new policy.PromptQuarantine();
  /** Suspects of the breaks that are being checked. */
  readonly #suspects = new Map<core.InstanceId, policy.SuspectPrompt[]>();
  /** Parts of prompts that this process has sent to engines that crashed. */
  readonly #ownParts = new Set<core.PromptPartId>();

  constructor(options: QuarantineAgentOptions) {
    this.#options = options;
  }

  /** Number of quarantined prompt parts. */
  get quarantinedCount(): number {
    return this.#quarantine.size;
  }

  /** Returns the first of `parts` that is quarantined. */
  findQuarantined(
    parts: readonly core.PromptPartId[],
    now: number,
  ): policy.QuarantinedPart | undefined {
    return this.#quarantine.findQuarantined(parts, now);
  }

  /** Records the loss of a generation's connection to its engine, which may have crashed. */
  recordBreak(broken: BrokenGeneration): void {
    const { endpoint, outputMs, suspect } = broken;
    if (outputMs !== undefined && outputMs >= SOUND_OUTPUT_MS) return;
    if (!this.#options.isUsable(endpoint.instance)) return;
    const suspects = this.#suspects.get(endpoint.instance);
    if (suspects !== undefined) return void suspects.push(suspect);
    this.#suspects.set(endpoint.instance, [suspect]);
    const checkEngine = () => this.#checkEngine(endpoint);
    setTimeout(
      () => core.startTask("check_engine", checkEngine, this.#options.logger),
      COLLECTION_MS,
    );
  }

  /** Records that a prompt with these parts has produced output without a crash. */
  recordSoundOutput(parts: readonly core.PromptPartId[], now: number): void {
    const changes = this.#quarantine.recordOutput(parts, now);
    this.#publish(changes, now);
    for (const part of changes.released) {
      this.#writeStore(() => this.#options.store.removeQuarantine(part));
    }
  }

  /** Lists the evidence for a report to a peer; a peer on a new link gets all of it. */
  listNews(scope: "recent" | "all", now: number): policy.QuarantineNews {
    return this.#quarantine.listNews(scope === "all" ? -Infinity : now - NEWS_REPORT_MS, now);
  }

  applyNews(news: policy.QuarantineNews, now: number): void {
    this.#publish(this.#quarantine.applyNews(news, now), now);
  }

  applyListing(listing: stores.StoreListing, now: number): void {
    for (const stored of listing.quarantines) {
      this.#publish(this.#quarantine.applyStored(stored, now), now);
    }
  }

  /** Applies a change of a quarantine in the store. */
  applyStoreChange(change: stores.StoreChange, now: number): void {
    if (change.type === "quarantine") {
      this.#publish(this.#quarantine.applyStored(change.quarantine, now), now);
    }
    if (change.type === "quarantine_removed") {
      this.#publish(this.#quarantine.removeStored(change.part, now), now);
    }
  }

  expireEvidence(now: number): void {
    this.#publish(this.#quarantine.expireEvidence(now), now);
  }

  async #checkEngine(endpoint: core.EndpointRecord): Promise<void> {
    const { clock, logger } = this.#options;
    const { instance } = endpoint;
    const state = await probes.checkListener(endpoint.endpoint, PROBE_TIMEOUT_MS);
    const suspects = this.#suspects.get(instance) ?? [];
    this.#suspects.delete(instance);
    logger.write("engine_break_checked", { instance, state, suspects: suspects.length });
    if (state !== "refused") return;
    const now = clock.now();
    for (const part of suspects.flatMap((suspect) => suspect.parts)) this.#recordOwnPart(part);
    this.#publish(this.#quarantine.recordCrash({ instance, suspects }, now), now);
  }

  #recordOwnPart(part: core.PromptPartId): void {
    if (this.#ownParts.size >= MAX_OWN_PARTS) this.#ownParts.clear();
    this.#ownParts.add(part);
  }

  /** Starts a write to the store; an outage of the store must not lose the write. */
  #writeStore(write: () => stores.StoreResult<void>): void {
    core.startTask("write_quarantine", () => this.#tryWriting(write), this.#options.logger);
  }

  async #tryWriting(write: () => stores.StoreResult<void>): Promise<void> {
    for (let attempt = 1; attempt <= MAX_STORE_ATTEMPTS; attempt += 1) {
      const result = await write();
      if (result.isOk()) return;
      const { type, detail } = result.error;
      this.#options.logger.write("quarantine_write_failed", { reason: type, detail });
      await core.waitFor(STORE_RETRY_INTERVAL_MS);
    }
  }

  #publish(changes: policy.QuarantineChanges, now: number): void {
    const { logger, onCrash, onQuarantined } = this.#options;
    for (const instance of changes.crashed) onCrash(instance, now);
    for (const { part, crashCount } of changes.added) {
      logger.write("part_quarantined", { part, crashes: crashCount });
      // Only processes that have seen a crash under the part write, so that few do.
      if (!this.#ownParts.has(part)) continue;
      const stored = { part, crashCount };
      this.#writeStore(() => this.#options.store.publishQuarantine(stored, STORED_TTL_MS));
    }
    for (const part of changes.released) logger.write("part_released", { part });
    if (changes.added.length > 0) onQuarantined(now);
  }
}
