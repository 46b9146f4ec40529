/**
 * What this process believes about endpoint instances: who serves, who leaves.
 * Answers leaving and reclaimed endpoints, entries that lapse while the store is
 * away, addresses that are used again, and instances that start anew.
 */

import type * as core from "@peridotvale/core";

/** Why an instance gets no new work. */
export type LeaveReason = "draining" | "removed" | "misdirected" | "reported" | "seen_leaving";

/** That an instance leaves, as one process tells another. */
export interface LeaveNotice {
  readonly instance: core.InstanceId;
  /** Revision of the store at which it was seen to leave. */
  readonly revision: number;
}

/** A change of what is believed. */
export type InstanceChange =
  | { readonly type: "added"; readonly record: core.EndpointRecord }
  | {
    readonly type: "leaving";
    readonly record: core.EndpointRecord;
    readonly reason: LeaveReason;
  };

interface KnownInstance {
  record: core.EndpointRecord;
  /** Set while it gets no new work. */
  leaving: LeaveReason | undefined;
  leavingSince: number;
  /** When its entry changed last. */
  changedAt: number;
  /** Revision of the store up to which its state is known. */
  revision: number;
  /** Set while its entry is missing after an outage of the store. */
  missingSince: number | undefined;
}

/** Entries that lapsed in an outage of the store are back within 2 s of its return. */
const LAPSED_ENTRY_GRACE_MS = 2_000;
/** How long others are told of a changed entry; several reports go out in this time. */
const NEWS_MS = 1_500;
/** How long others are told that an instance leaves. */
const NOTICE_MS = 10_000;
/** How long an instance that has left is remembered for requests still open on it. */
const FORGET_AFTER_MS = 60_000;

/** Instances by id. */
export class InstanceDirectory {
  readonly #instances = new Map<core.InstanceId, KnownInstance>();
  /** Until then a missing entry counts as lapsed in the outage. */
  #graceUntil = -Infinity;

  /** Records that the store answers again after it did not. */
  recordStoreReturn(now: number): void {
    this.#graceUntil = now + LAPSED_ENTRY_GRACE_MS;
  }

  /** Applies a whole listing. */
  applyListing(
    records: readonly core.EndpointRecord[],
    listing: { readonly revision: number; readonly now: number },
  ): InstanceChange[] {
    const { revision, now } = listing;
    const changes: InstanceChange[] = [];
    const listed = new Set<core.InstanceId>();
    for (const record of records) {
      listed.add(record.instance);
      changes.push(...this.applyRecord(record, now));
    }
    for (const [instance, known] of this.#instances) {
      if (listed.has(instance) || known.leaving === "removed") continue;
      if (known.revision > revision) continue;
      changes.push(...this.#loseEntry(known, { revision, now }));
    }
    return changes;
  }

  /** Applies one entry. */
  applyRecord(record: core.EndpointRecord, now: number): InstanceChange[] {
    const known = this.#instances.get(record.instance);
    const isNewLife = known === undefined || known.record.startedAt !== record.startedAt ||
      known.record.endpoint !== record.endpoint;
    const leaving = record.isDraining ? "draining" as const : undefined;
    if (known !== undefined && record.revision < known.revision) return [];
    if (isNewLife) {
      const fresh = {
        record,
        leaving,
        leavingSince: now,
        changedAt: now,
        revision: record.revision,
        missingSince: undefined,
      };
      this.#instances.set(record.instance, fresh);
      if (leaving !== undefined) return [{ type: "leaving", record, reason: leaving }];
      return [{ type: "added", record }];
    }
    const isNews = record.revision > known.revision;
    if (isNews) known.changedAt = now;
    known.record = record;
    known.revision = record.revision;
    known.missingSince = undefined;
    if (leaving === known.leaving) return [];
    if (leaving === undefined) {
      // An instance that answered for another one stays out until it starts anew.
      if (known.leaving === "misdirected") return [];
      // An entry that is as old as the notice does not contradict it.
      if (known.leaving !== "removed" && !isNews) return [];
      known.leaving = undefined;
      return [{ type: "added", record }];
    }
    return this.#leave(known, leaving, now);
  }

  /** Applies the removal of an entry. */
  removeRecord(instance: core.InstanceId, revision: number, now: number): InstanceChange[] {
    const known = this.#instances.get(instance);
    if (known === undefined || known.leaving === "removed") return [];
    if (revision < known.revision) return [];
    return this.#loseEntry(known, { revision, now });
  }

  /** Applies another process's notice, if it is newer than what is known here. */
  applyNotice(notice: LeaveNotice, now: number): InstanceChange[] {
    const known = this.#instances.get(notice.instance);
    if (known === undefined || known.leaving !== undefined) return [];
    if (notice.revision <= known.revision) return [];
    known.revision = notice.revision;
    return this.#leave(known, "reported", now);
  }

  /** Records that an instance says itself that it leaves. */
  recordSeenLeaving(instance: core.InstanceId, now: number): InstanceChange[] {
    const known = this.#instances.get(instance);
    if (known === undefined || known.leaving !== undefined) return [];
    // Newer than its entry, older than any further write.
    known.revision += 0.5;
    return this.#leave(known, "seen_leaving", now);
  }

  /** Entries that were lately read for the first time or changed. */
  listChanged(now: number): core.EndpointRecord[] {
    const changed: core.EndpointRecord[] = [];
    for (const known of this.#instances.values()) {
      if (now - known.changedAt <= NEWS_MS) changed.push(known.record);
    }
    return changed;
  }

  /** Instances that were lately seen to leave. */
  listNotices(now: number): LeaveNotice[] {
    const notices: LeaveNotice[] = [];
    for (const [instance, known] of this.#instances) {
      if (known.leaving === undefined || known.leaving === "misdirected") continue;
      if (now - known.leavingSince > NOTICE_MS) continue;
      notices.push({ instance, revision: known.revision });
    }
    return notices;
  }

  /** Records that the address of `instance` answers for another instance. */
  recordMisdirected(instance: core.InstanceId, now: number): InstanceChange[] {
    const known = this.#instances.get(instance);
    if (known === undefined || known.leaving !== undefined) return [];
    return this.#leave(known, "misdirected", now);
  }

  /** Ends the grace of lapsed entries and forgets instances that left long ago. */
  expireInstances(now: number): InstanceChange[] {
    const changes: InstanceChange[] = [];
    for (const [instance, known] of this.#instances) {
      const { missingSince } = known;
      if (missingSince !== undefined && now >= this.#graceUntil) {
        changes.push(...this.#leave(known, "removed", now));
      }
      const isLongGone = known.leaving === "removed" &&
        now - known.leavingSince > FORGET_AFTER_MS;
      if (isLongGone) this.#instances.delete(instance);
    }
    return changes;
  }

  /** Instances of `service` that may get new work. */
  listUsable(service: core.ServiceName): core.EndpointRecord[] {
    const usable: core.EndpointRecord[] = [];
    for (const known of this.#instances.values()) {
      if (known.leaving !== undefined || known.record.service !== service) continue;
      usable.push(known.record);
    }
    return usable;
  }

  /** Instances that may get new work. */
  get usableCount(): number {
    let count = 0;
    for (const known of this.#instances.values()) {
      if (known.leaving === undefined) count += 1;
    }
    return count;
  }

  /** Whether the entry of `instance` is missing after an outage, in which it may have lapsed. */
  isEntryMissing(instance: core.InstanceId): boolean {
    return this.#instances.get(instance)?.missingSince !== undefined;
  }

  /** Whether `instance` may get new work. */
  isUsable(instance: core.InstanceId): boolean {
    const known = this.#instances.get(instance);
    return known !== undefined && known.leaving === undefined;
  }

  #loseEntry(
    known: KnownInstance,
    loss: { readonly revision: number; readonly now: number },
  ): InstanceChange[] {
    const { revision, now } = loss;
    known.revision = Math.max(known.revision, revision);
    if (now >= this.#graceUntil) return this.#leave(known, "removed", now);
    known.missingSince ??= now;
    return [];
  }

  #leave(known: KnownInstance, reason: LeaveReason, now: number): InstanceChange[] {
    const wasUsable = known.leaving === undefined;
    known.leaving = reason;
    known.missingSince = undefined;
    if (wasUsable) known.leavingSince = now;
    return [{ type: "leaving", record: known.record, reason }];
  }
}
