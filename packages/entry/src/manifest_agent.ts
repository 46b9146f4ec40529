/**
 * Reads manifests from the platform and applies the one with the highest release.
 * Submits new manifests, and restores the stored manifest if it is missing or
 * older than the one in force.
 */

import * as core from "@peridotvale/core";
import type * as platform from "@peridotvale/platform";
import * as policy from "@peridotvale/policy";
import * as neverthrow from "neverthrow";
import * as topics from "./topics.ts";

/** Key of the manifest in the key-value service. */
export const MANIFEST_KEY = "peridotvale/manifest";

const WATCHER_POLL_INTERVAL_MS = 2_000;
/** A process that is not a watcher polls once per this many intervals. */
const INTERVALS_PER_NON_WATCHER_POLL = 15;
/** Time without an answer after which the platform is reported as unreachable. */
const PLATFORM_UNREACHABLE_AFTER_MS = 5_000;
const MAX_SUBMIT_ATTEMPTS = 4;
const SUBMIT_RETRY_DELAY_MS = 200;

/** Why a submission was not accepted. */
export type SubmitError =
  | {
    readonly type: "invalid";
    readonly problems: readonly core.DocumentProblem[];
  }
  | {
    readonly type: "conflict";
    readonly current: policy.ManifestRecord | undefined;
  }
  /** The submission did not take effect. */
  | { readonly type: "not_accepted"; readonly message: string }
  /** The submission may have taken effect. */
  | {
    readonly type: "unknown";
    readonly submission: string;
    readonly message: string;
  };

export interface PlatformReachability {
  /** Whether the platform has answered within `PLATFORM_UNREACHABLE_AFTER_MS`. */
  readonly reachable: boolean;
  /** Milliseconds since the platform last answered. */
  readonly silentMs: number;
}

/** Holds the manifest in force and exchanges manifests with the key-value service. */
export class ManifestAgent {
  readonly #runtime: core.Runtime;
  readonly #store: platform.KeyValueStore;
  readonly #manifestRegister = new policy.ManifestRegister();
  #manifest: core.Manifest | undefined;
  #platformAnsweredAt = -Infinity;
  #stopWatch: (() => void) | undefined;

  constructor(
    runtime: core.Runtime,
    options: { readonly store: platform.KeyValueStore },
  ) {
    this.#runtime = runtime;
    this.#store = options.store;
  }

  get manifest(): core.Manifest | undefined {
    return this.#manifest;
  }

  /** The record of the manifest in force. */
  get record(): policy.ManifestRecord | undefined {
    return this.#manifestRegister.record;
  }

  /** Time at which the record in force was applied. */
  get appliedAt(): number {
    return this.#manifestRegister.appliedAt;
  }

  getPlatformReachability(now: number): PlatformReachability {
    const silentMs = now - this.#platformAnsweredAt;
    return { reachable: silentMs < PLATFORM_UNREACHABLE_AFTER_MS, silentMs };
  }

  /** Applies a record if its release is higher than the one in force; `source` is logged. */
  applyRecord(
    record: policy.ManifestRecord,
    source: string,
  ): policy.ManifestApplyResult {
    const currentRecord = this.#manifestRegister.record;
    if (
      currentRecord?.submission === record.submission &&
      currentRecord.release === record.release
    ) return "same";
    const parseResult = core.parseManifest(record.json, { source: "manifest" });
    if (parseResult.isErr()) {
      this.#runtime.logger.write("manifest_unreadable", {
        release: record.release,
        source,
        error: parseResult.error.map(core.formatDocumentProblem).join("; "),
      });
      return "conflicting";
    }
    const applyResult = this.#manifestRegister.applyRecord(
      record,
      this.#runtime.clock.now(),
    );
    if (applyResult === "applied") {
      this.#manifest = parseResult.value;
      this.#runtime.logger.write("manifest_applied", {
        release: record.release,
        source,
      });
      this.#runtime.publish(topics.MANIFEST_APPLIED, {
        record,
        manifest: parseResult.value,
      });
    } else if (applyResult !== "same") {
      this.#runtime.logger.write("manifest_ignored", {
        release: record.release,
        source,
        verdict: applyResult,
        in_force: currentRecord?.release,
      });
    }
    return applyResult;
  }

  /** Submits `text` as the successor of release `base`, which is 0 for the first manifest. */
  async submit(
    text: string,
    options: { readonly base: number; readonly submission: string },
  ): Promise<neverthrow.Result<policy.ManifestRecord, SubmitError>> {
    const parseResult = core.parseManifest(text, { source: "manifest" });
    if (parseResult.isErr()) {
      return neverthrow.err({ type: "invalid", problems: parseResult.error });
    }
    const { submission } = options;
    const { release } = parseResult.value;
    const record = { release, submission, text, json: core.convertYamlToJson(text) };
    if (record.release <= options.base) {
      const message = `release ${record.release} is not above its base ${options.base}`;
      return neverthrow.err({ type: "not_accepted", message });
    }
    const currentRecord = this.record;
    if (currentRecord !== undefined && currentRecord.release > options.base) {
      return neverthrow.err({ type: "conflict", current: currentRecord });
    }
    return await this.#commit(record, options.base);
  }

  /**
   * Writes the record by compare-and-swap, with retries. A write whose answer was lost
   * may have succeeded, so each attempt first looks for the submission in the store.
   */
  async #commit(
    record: policy.ManifestRecord,
    base: number,
  ): Promise<neverthrow.Result<policy.ManifestRecord, SubmitError>> {
    let isOutcomeUnknown = false;
    let message = "";
    for (let attempt = 0; attempt < MAX_SUBMIT_ATTEMPTS; attempt++) {
      if (attempt > 0) await core.waitFor(SUBMIT_RETRY_DELAY_MS);
      const readResult = await this.#store.read(MANIFEST_KEY);
      if (readResult.isErr()) {
        message = readResult.error.message;
        continue;
      }
      this.#recordPlatformAnswer();
      const storedRecord = decodeRecord(readResult.value?.value);
      if (storedRecord?.submission === record.submission) {
        return this.#acceptSubmission(record);
      }
      if ((storedRecord?.release ?? 0) !== base) {
        return neverthrow.err({ type: "conflict", current: storedRecord });
      }
      const commitResult = await this.#store.commit([{
        key: MANIFEST_KEY,
        expectedRevision: readResult.value?.revision ?? 0,
        value: encodeRecord(record),
      }]);
      if (commitResult.isOk()) {
        if (commitResult.value.committed) return this.#acceptSubmission(record);
        const latestRecord = decodeRecord(commitResult.value.current[0]?.value);
        if (latestRecord?.submission === record.submission) {
          return this.#acceptSubmission(record);
        }
        if ((latestRecord?.release ?? 0) !== base) {
          return neverthrow.err({ type: "conflict", current: latestRecord });
        }
        continue;
      }
      message = commitResult.error.message;
      if (commitResult.error.type === "unknown") isOutcomeUnknown = true;
    }
    if (!isOutcomeUnknown) return neverthrow.err({ type: "not_accepted", message });
    return neverthrow.err({
      type: "unknown",
      submission: record.submission,
      message,
    });
  }

  #acceptSubmission(
    record: policy.ManifestRecord,
  ): neverthrow.Result<policy.ManifestRecord, SubmitError> {
    this.applyRecord(record, "submission");
    return neverthrow.ok(record);
  }

  /** Applies the stored record; if it is missing or outdated, stores the one in force instead. */
  async poll(): Promise<void> {
    const readResult = await this.#store.read(MANIFEST_KEY);
    if (readResult.isErr()) return;
    this.#recordPlatformAnswer();
    const record = decodeRecord(readResult.value?.value);
    const applyResult = record === undefined ? "stale" : this.applyRecord(record, "platform");
    const currentRecord = this.record;
    if (applyResult !== "stale" || currentRecord === undefined) return;
    const restoreResult = await this.#store.commit([{
      key: MANIFEST_KEY,
      expectedRevision: readResult.value?.revision ?? 0,
      value: encodeRecord(currentRecord),
    }]);
    const committed = restoreResult.isOk() && restoreResult.value.committed;
    this.#runtime.logger.write("manifest_restored", {
      release: currentRecord.release,
      committed,
    });
  }

  /** Opens a watch on the manifest's key if none is open. */
  startWatch(): void {
    if (this.#stopWatch !== undefined) return;
    const stop = this.#store.watch(MANIFEST_KEY, {
      onChange: (change) => {
        this.#recordPlatformAnswer();
        const record = decodeRecord(change.value);
        if (record !== undefined) this.applyRecord(record, "watch");
      },
      onEnd: () => {
        if (this.#stopWatch === stop) this.#stopWatch = undefined;
      },
    });
    this.#stopWatch = stop;
  }

  stopWatch(): void {
    const stop = this.#stopWatch;
    this.#stopWatch = undefined;
    stop?.();
  }

  #recordPlatformAnswer(): void {
    this.#platformAnsweredAt = this.#runtime.clock.now();
  }
}

/**
 * Polls the platform at intervals. A watcher opens a watch and polls at every interval.
 * Another process opens no watch. It polls at every interval until it has a manifest, and
 * then once in `INTERVALS_PER_NON_WATCHER_POLL` intervals.
 */
export function registerManifestAgent(
  runtime: core.Runtime,
  agent: ManifestAgent,
  options: { readonly isWatcher: () => boolean },
): core.Disposer {
  let intervalsSincePoll = 0;
  void agent.poll();
  const runTick = async () => {
    intervalsSincePoll += 1;
    const isWatcher = options.isWatcher();
    if (isWatcher) agent.startWatch();
    else agent.stopWatch();
    if (
      !isWatcher && intervalsSincePoll < INTERVALS_PER_NON_WATCHER_POLL &&
      agent.record !== undefined
    ) return;
    intervalsSincePoll = 0;
    await agent.poll();
  };
  return core.mergeDisposers(
    () => agent.stopWatch(),
    runtime.registerInterval(runTick, WATCHER_POLL_INTERVAL_MS),
  );
}

/** Encodes a record as the value that is stored under `MANIFEST_KEY`. */
export function encodeRecord(record: policy.ManifestRecord): string {
  return JSON.stringify(record);
}

/** Decodes a stored record; returns `undefined` if the value is missing or not valid JSON. */
export function decodeRecord(
  value: string | undefined,
): policy.ManifestRecord | undefined {
  if (value === undefined) return undefined;
  try {
    return JSON.parse(value) as policy.ManifestRecord;
  } catch {
    return undefined;
  }
}
