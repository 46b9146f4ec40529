/** Learns manifests from the platform, keeps the highest, and submits new ones. */

import * as core from "@peridotvale/core";
import type * as platform from "@peridotvale/platform";
import * as policy from "@peridotvale/policy";
import * as neverthrow from "neverthrow";
import * as topics from "./topics.ts";

/** Key of the manifest in the key-value service. */
export const MANIFEST_KEY = "peridotvale/manifest";

const WATCHER_POLL_MS = 2_000;
/** Polls of a process that is no watcher come once in so many intervals. */
const SLOW_POLL_INTERVALS = 15;
/** Silence after which the platform counts as unreachable. */
const PLATFORM_SILENCE_MS = 5_000;
const SUBMIT_ATTEMPTS = 4;
const SUBMIT_RETRY_MS = 200;

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
  /** It did not take effect. */
  | { readonly type: "not_accepted"; readonly message: string }
  /** It may have taken effect. */
  | {
    readonly type: "unknown";
    readonly submission: string;
    readonly message: string;
  };

/** What the agent knows of the platform. */
export interface PlatformState {
  readonly reachable: boolean;
  /** Milliseconds since the platform last answered. */
  readonly silentMs: number;
}

/** The manifest's agent. */
export class ManifestAgent {
  readonly #runtime: core.Runtime;
  readonly #store: platform.KeyValueStore;
  readonly #register = new policy.ManifestRegister();
  #manifest: core.Manifest | undefined;
  #heardAt = -Infinity;
  #stopWatch: (() => void) | undefined;

  constructor(
    runtime: core.Runtime,
    options: { readonly store: platform.KeyValueStore },
  ) {
    this.#runtime = runtime;
    this.#store = options.store;
  }

  /** The manifest in force. */
  get manifest(): core.Manifest | undefined {
    return this.#manifest;
  }

  /** The record in force. */
  get record(): policy.ManifestRecord | undefined {
    return this.#register.record;
  }

  /** When the record in force was applied. */
  get appliedAt(): number {
    return this.#register.appliedAt;
  }

  /** What is known of the platform. */
  getPlatformState(now: number): PlatformState {
    const silentMs = now - this.#heardAt;
    return { reachable: silentMs < PLATFORM_SILENCE_MS, silentMs };
  }

  /** Applies a record from any source; never goes back to a lower release. */
  applyRecord(
    record: policy.ManifestRecord,
    source: string,
  ): policy.ManifestApplyResult {
    const known = this.#register.record;
    if (
      known?.submission === record.submission &&
      known.release === record.release
    ) return "same";
    const parsed = core.parseManifest(record.json, { source: "manifest" });
    if (parsed.isErr()) {
      this.#runtime.logger.write("manifest_unreadable", {
        release: record.release,
        source,
        error: parsed.error.map(core.formatProblem).join("; "),
      });
      return "conflicting";
    }
    const verdict = this.#register.applyRecord(
      record,
      this.#runtime.clock.now(),
    );
    if (verdict === "applied") {
      this.#manifest = parsed.value;
      this.#runtime.logger.write("manifest_applied", {
        release: record.release,
        source,
      });
      this.#runtime.publish(topics.MANIFEST_APPLIED, {
        record,
        manifest: parsed.value,
      });
    } else if (verdict !== "same") {
      this.#runtime.logger.write("manifest_ignored", {
        release: record.release,
        source,
        verdict,
        in_force: known?.release,
      });
    }
    return verdict;
  }

  /** Submits `text` as the successor of release `base`; 0 is the base of the first. */
  async submit(
    text: string,
    options: { readonly base: number; readonly submission: string },
  ): Promise<neverthrow.Result<policy.ManifestRecord, SubmitError>> {
    const parsed = core.parseManifest(text, { source: "manifest" });
    if (parsed.isErr()) {
      return neverthrow.err({ type: "invalid", problems: parsed.error });
    }
    const { submission } = options;
    const { release } = parsed.value;
    const record = { release, submission, text, json: core.convertToJson(text) };
    if (record.release <= options.base) {
      const message = `release ${record.release} is not above its base ${options.base}`;
      return neverthrow.err({ type: "not_accepted", message });
    }
    const inForce = this.record;
    if (inForce !== undefined && inForce.release > options.base) {
      return neverthrow.err({ type: "conflict", current: inForce });
    }
    return await this.#commit(record, options.base);
  }

  /** A write without an answer is resolved by looking for the submission in the store. */
  async #commit(
    record: policy.ManifestRecord,
    base: number,
  ): Promise<neverthrow.Result<policy.ManifestRecord, SubmitError>> {
    let isUncertain = false;
    let message = "";
    for (let attempt = 0; attempt < SUBMIT_ATTEMPTS; attempt++) {
      if (attempt > 0) await core.waitFor(SUBMIT_RETRY_MS);
      const stored = await this.#store.read(MANIFEST_KEY);
      if (stored.isErr()) {
        message = stored.error.message;
        continue;
      }
      this.#recordHeard();
      const current = decodeRecord(stored.value?.value);
      if (current?.submission === record.submission) {
        return this.#accept(record);
      }
      if ((current?.release ?? 0) !== base) {
        return neverthrow.err({ type: "conflict", current });
      }
      const committed = await this.#store.commit([{
        key: MANIFEST_KEY,
        expectedRevision: stored.value?.revision ?? 0,
        value: encodeRecord(record),
      }]);
      if (committed.isOk()) {
        if (committed.value.committed) return this.#accept(record);
        const winner = decodeRecord(committed.value.current[0]?.value);
        if (winner?.submission === record.submission) {
          return this.#accept(record);
        }
        if ((winner?.release ?? 0) !== base) {
          return neverthrow.err({ type: "conflict", current: winner });
        }
        continue;
      }
      message = committed.error.message;
      if (committed.error.type === "unknown") isUncertain = true;
    }
    if (!isUncertain) return neverthrow.err({ type: "not_accepted", message });
    return neverthrow.err({
      type: "unknown",
      submission: record.submission,
      message,
    });
  }

  #accept(
    record: policy.ManifestRecord,
  ): neverthrow.Result<policy.ManifestRecord, SubmitError> {
    this.applyRecord(record, "submission");
    return neverthrow.ok(record);
  }

  /** Reads the store once; brings it up to date when it is behind. */
  async poll(): Promise<void> {
    const stored = await this.#store.read(MANIFEST_KEY);
    if (stored.isErr()) return;
    this.#recordHeard();
    const record = decodeRecord(stored.value?.value);
    const verdict = record === undefined ? "stale" : this.applyRecord(record, "platform");
    const inForce = this.record;
    if (verdict !== "stale" || inForce === undefined) return;
    const restored = await this.#store.commit([{
      key: MANIFEST_KEY,
      expectedRevision: stored.value?.revision ?? 0,
      value: encodeRecord(inForce),
    }]);
    const committed = restored.isOk() && restored.value.committed;
    this.#runtime.logger.write("manifest_restored", {
      release: inForce.release,
      committed,
    });
  }

  /** Opens a watch unless one is open. */
  startWatch(): void {
    if (this.#stopWatch !== undefined) return;
    const stop = this.#store.watch(MANIFEST_KEY, {
      onChange: (change) => {
        this.#recordHeard();
        const record = decodeRecord(change.value);
        if (record !== undefined) this.applyRecord(record, "watch");
      },
      onEnd: () => {
        if (this.#stopWatch === stop) this.#stopWatch = undefined;
      },
    });
    this.#stopWatch = stop;
  }

  /** Closes the watch if one is open. */
  stopWatch(): void {
    const stop = this.#stopWatch;
    this.#stopWatch = undefined;
    stop?.();
  }

  #recordHeard(): void {
    this.#heardAt = this.#runtime.clock.now();
  }
}

/** Keeps `agent` in touch with the platform; only watchers watch and read often. */
export function registerManifestAgent(
  runtime: core.Runtime,
  agent: ManifestAgent,
  options: { readonly isWatcher: () => boolean },
): core.Disposer {
  let skipped = 0;
  void agent.poll();
  const run = async () => {
    skipped += 1;
    const isWatcher = options.isWatcher();
    if (isWatcher) agent.startWatch();
    else agent.stopWatch();
    if (!isWatcher && skipped < SLOW_POLL_INTERVALS && agent.record !== undefined) return;
    skipped = 0;
    await agent.poll();
  };
  return core.mergeDisposers(
    () => agent.stopWatch(),
    runtime.registerInterval(run, WATCHER_POLL_MS),
  );
}

/** Encodes a record as the value of its key. */
export function encodeRecord(record: policy.ManifestRecord): string {
  return JSON.stringify(record);
}

/** Decodes the value of the manifest's key; `undefined` if there is none or it is unreadable. */
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
