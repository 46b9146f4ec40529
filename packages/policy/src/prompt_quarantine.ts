/**
 * Quarantines prompt parts that crash engines, from the evidence of all processes. Each process
 * reports the crashes that it sees and the suspected parts that it has seen produce output, so
 * that every process draws the same conclusions, also one that starts later or was cut off.
 */

import type * as core from "@peridotvale/core";
import * as attribution from "./crash_attribution.ts";

/** A crash as processes report it to each other; ages replace times, since clocks differ. */
export interface CrashReport {
  readonly instance: core.InstanceId;
  readonly ageMs: number;
  readonly suspects: readonly attribution.SuspectPrompt[];
}

/** A suspected part with which a prompt has produced output. */
export interface SoundPartReport {
  readonly part: core.PromptPartId;
  readonly ageMs: number;
}

/** Evidence that one process reports to another. */
export interface QuarantineNews {
  readonly crashes: readonly CrashReport[];
  readonly soundParts: readonly SoundPartReport[];
}

export interface QuarantinedPart {
  readonly part: core.PromptPartId;
  readonly crashCount: number;
  readonly until: number;
}

/** Parts whose quarantine has begun or ended. */
export interface QuarantineChanges {
  readonly added: readonly QuarantinedPart[];
  readonly released: readonly core.PromptPartId[];
  /** Instances of crashes that became known and are recent. */
  readonly crashed: readonly core.InstanceId[];
}

interface KnownCrash extends attribution.EngineCrash {
  readonly suspects: attribution.SuspectPrompt[];
  /** Time at which the crash or a further suspect became known here. */
  learnedAt: number;
}

/** A quarantine that the store keeps; its crashes may not be known here. */
interface StoredPart extends QuarantinedPart {
  readonly learnedAt: number;
}

interface SoundPart {
  readonly at: number;
  /** Time at which output that matters to a known crash became known here. */
  readonly learnedAt: number;
}

/** Duration of a quarantine after the last crash that is attributed to the part. */
const QUARANTINE_MS = 10 * 60_000;
/**
 * Time for which crashes are kept. After the quarantine a part has its earlier crashes still
 * against it, so that a single further one renews the quarantine.
 */
const CRASH_RETENTION_MS = 2 * QUARANTINE_MS;
const MAX_CRASHES = 128;
const MAX_SUSPECTS_PER_CRASH = 16;
const MAX_STORED_PARTS = 128;
/** Two reports of a crash of one instance within this time are about the same crash. */
const SAME_CRASH_MS = 1_500;
/** Time for which output clears a part of crashes that follow it. */
const SOUND_RETENTION_MS = 60_000;
const MAX_SOUND_PARTS = 4_096;

const NO_CHANGES: QuarantineChanges = { added: [], released: [], crashed: [] };

/** Crashes with their suspects, the parts that are cleared of them, and the conclusions. */
export class PromptQuarantine {
  #crashes: KnownCrash[] = [];
  /** Last output by part, oldest first, for parts that no suspect of a known crash has. */
  readonly #recentOutput = new Map<core.PromptPartId, number>();
  /** Last output of the parts that suspects of known crashes have. */
  readonly #cleared = new Map<core.PromptPartId, SoundPart>();
  /** Parts of the suspects of all known crashes. */
  readonly #suspectedParts = new Set<core.PromptPartId>();
  readonly #stored = new Map<core.PromptPartId, StoredPart>();
  #quarantined = new Map<core.PromptPartId, QuarantinedPart>();

  /** Number of quarantined parts. */
  get size(): number {
    return this.#quarantined.size;
  }

  /** Returns the first of `parts` that is quarantined. */
  findQuarantined(
    parts: readonly core.PromptPartId[],
    now: number,
  ): QuarantinedPart | undefined {
    if (this.#quarantined.size === 0) return undefined;
    for (const part of parts) {
      const quarantined = this.#quarantined.get(part);
      if (quarantined !== undefined && now < quarantined.until) return quarantined;
    }
    return undefined;
  }

  /** Records a crash that this process has seen, and which of its prompts may have caused it. */
  recordCrash(
    crash: {
      readonly instance: core.InstanceId;
      readonly suspects: attribution.EngineCrash["suspects"];
    },
    now: number,
  ): QuarantineChanges {
    if (!this.#mergeCrash({ ...crash, at: now }, now)) return NO_CHANGES;
    return { ...this.#update(now), crashed: [crash.instance] };
  }

  /** Records that a prompt with `parts` produces output and its engine has not crashed. */
  recordOutput(parts: readonly core.PromptPartId[], now: number): QuarantineChanges {
    let isCleared = false;
    for (const part of parts) isCleared = this.#recordSoundPart(part, now, now) || isCleared;
    return isCleared ? this.#update(now) : NO_CHANGES;
  }

  /** Applies the evidence that a peer reports. */
  applyNews(news: QuarantineNews, now: number): QuarantineChanges {
    let hasChanged = false;
    const crashed: core.InstanceId[] = [];
    for (const { instance, ageMs, suspects } of news.crashes) {
      if (!this.#mergeCrash({ instance, at: now - ageMs, suspects }, now)) continue;
      hasChanged = true;
      if (ageMs <= SAME_CRASH_MS) crashed.push(instance);
    }
    for (const { part, ageMs } of news.soundParts) {
      hasChanged = this.#recordSoundPart(part, now - ageMs, now) || hasChanged;
    }
    return hasChanged ? { ...this.#update(now), crashed } : NO_CHANGES;
  }

  /** Applies a quarantine that the store keeps for processes that start without peers. */
  applyStored(
    stored: { readonly part: core.PromptPartId; readonly crashCount: number },
    now: number,
  ): QuarantineChanges {
    if (this.#stored.has(stored.part) || this.#stored.size >= MAX_STORED_PARTS) return NO_CHANGES;
    this.#stored.set(stored.part, { ...stored, learnedAt: now, until: now + QUARANTINE_MS });
    return this.#update(now);
  }

  /** Applies the removal of a quarantine from the store. */
  removeStored(part: core.PromptPartId, now: number): QuarantineChanges {
    return this.#stored.delete(part) ? this.#update(now) : NO_CHANGES;
  }

  /** Lists the evidence that became known here after `since`, for reports to peers. */
  listNews(since: number, now: number): QuarantineNews {
    const crashes: CrashReport[] = [];
    const soundParts: SoundPartReport[] = [];
    for (const { instance, at, suspects, learnedAt } of this.#crashes) {
      if (learnedAt > since) crashes.push({ instance, ageMs: now - at, suspects: [...suspects] });
    }
    for (const [part, { at, learnedAt }] of this.#cleared) {
      if (learnedAt > since) soundParts.push({ part, ageMs: now - at });
    }
    return { crashes, soundParts };
  }

  /** Drops evidence and ends quarantines whose time is over. */
  expireEvidence(now: number): QuarantineChanges {
    for (const [part, at] of this.#recentOutput) {
      if (now - at <= SOUND_RETENTION_MS) break;
      this.#recentOutput.delete(part);
    }
    if (this.#crashes.length === 0 && this.#stored.size === 0) return NO_CHANGES;
    const kept = this.#crashes.filter((crash) => now - crash.at <= CRASH_RETENTION_MS);
    const hasDropped = kept.length < this.#crashes.length;
    const hasEnded = [...this.#quarantined.values()].some((entry) => now >= entry.until);
    if (!hasDropped && !hasEnded) return NO_CHANGES;
    this.#crashes = kept;
    for (const [part, { until }] of this.#stored) if (now >= until) this.#stored.delete(part);
    return this.#update(now);
  }

  /** Returns whether the crash, or one of its suspects, was not known yet. */
  #mergeCrash(crash: attribution.EngineCrash, now: number): boolean {
    if (now - crash.at > CRASH_RETENTION_MS || crash.suspects.length === 0) return false;
    let known = this.#crashes.find((other) =>
      other.instance === crash.instance && Math.abs(other.at - crash.at) < SAME_CRASH_MS
    );
    const isNew = known === undefined;
    known ??= { ...crash, suspects: [], learnedAt: now };
    let hasChanged = isNew;
    for (const suspect of crash.suspects) {
      if (known.suspects.length >= MAX_SUSPECTS_PER_CRASH) break;
      if (known.suspects.some((other) => other.prompt === suspect.prompt)) continue;
      known.suspects.push(suspect);
      hasChanged = true;
    }
    if (!hasChanged) return false;
    known.learnedAt = now;
    if (isNew) this.#crashes.push(known);
    if (this.#crashes.length > MAX_CRASHES) this.#crashes.shift();
    this.#applyRecentOutput(known, now);
    return true;
  }

  /** Clears parts of the suspects of `crash` that have produced output before. */
  #applyRecentOutput(crash: KnownCrash, now: number): void {
    for (const { parts } of crash.suspects) {
      for (const part of parts) {
        this.#suspectedParts.add(part);
        const outputAt = this.#recentOutput.get(part);
        if (outputAt === undefined || this.#cleared.has(part)) continue;
        if (crash.at - outputAt <= SOUND_RETENTION_MS) {
          this.#cleared.set(part, { at: outputAt, learnedAt: now });
        }
      }
    }
  }

  /** Returns whether the output clears the part of a known crash. */
  #recordSoundPart(part: core.PromptPartId, at: number, now: number): boolean {
    if (!this.#suspectedParts.has(part)) {
      this.#recordRecentOutput(part, at);
      return false;
    }
    const clearedAt = this.#cleared.get(part)?.at;
    const storedAt = this.#stored.get(part)?.learnedAt;
    const clearsStored = storedAt !== undefined && at > storedAt;
    const isKnown = clearedAt !== undefined && !this.#hasCrashBetween(part, clearedAt, at);
    if (isKnown && !clearsStored) return false;
    if (clearsStored) this.#stored.delete(part);
    this.#cleared.set(part, { at, learnedAt: now });
    return true;
  }

  /** Whether `part` is suspected in a crash after `from`, up to `to`. */
  #hasCrashBetween(part: core.PromptPartId, from: number, to: number): boolean {
    return this.#crashes.some((crash) =>
      crash.at > from && crash.at <= to && attribution.hasSuspectWith(crash, part)
    );
  }

  #recordRecentOutput(part: core.PromptPartId, at: number): void {
    if (at <= (this.#recentOutput.get(part) ?? -Infinity)) return;
    this.#recentOutput.delete(part);
    this.#recentOutput.set(part, at);
    if (this.#recentOutput.size <= MAX_SOUND_PARTS) return;
    for (const oldest of this.#recentOutput.keys()) {
      this.#recentOutput.delete(oldest);
      return;
    }
  }

  /** Draws the conclusions from all evidence. */
  #update(now: number): QuarantineChanges {
    this.#dropUnsuspectedParts();
    const soundAt = new Map([...this.#cleared].map(([part, { at }]) => [part, at]));
    const quarantined = new Map<core.PromptPartId, QuarantinedPart>(this.#stored);
    const knownParts = [...this.#stored.keys()];
    for (const harmful of attribution.listHarmfulParts(this.#crashes, soundAt, knownParts)) {
      const { part, crashCount, lastCrashAt } = harmful;
      const until = lastCrashAt + QUARANTINE_MS;
      if (now < until) quarantined.set(part, { part, crashCount, until });
    }
    const previous = this.#quarantined;
    this.#quarantined = quarantined;
    return {
      added: [...quarantined.values()].filter((entry) => !previous.has(entry.part)),
      released: [...previous.keys()].filter((part) => !quarantined.has(part)),
      crashed: [],
    };
  }

  #dropUnsuspectedParts(): void {
    this.#suspectedParts.clear();
    for (const part of this.#stored.keys()) this.#suspectedParts.add(part);
    for (const { suspects } of this.#crashes) {
      for (const part of suspects.flatMap((suspect) => suspect.parts)) {
        this.#suspectedParts.add(part);
      }
    }
    for (const part of this.#cleared.keys()) {
      if (!this.#suspectedParts.has(part)) this.#cleared.delete(part);
    }
  }
}
