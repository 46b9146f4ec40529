/**
 * Tracks which endpoint instances may get new work and which ones leave. Handles draining and
 * reclaimed endpoints, entries that expire during a store outage, addresses that another
 * instance takes over, and instances that restart under the same id.
 */

import type * as core from "@peridotvale/core";

/** Why an instance gets no new work. */
export type LeaveReason = "draining" | "removed" | "misdirected" | "reported" | "seen_leaving";

/** Notice from one process to another that an instance leaves. */
export interface LeaveNotice {
  readonly instance: core.InstanceId;
  /** Store revision at which the instance was found to leave. */
  readonly revision: number;
}

/** A change of an instance's known state. */
export type InstanceChange =
  | { readonly type: "added"; readonly record: core.EndpointRecord }
  | {
    readonly type: "leaving";
    readonly record: core.EndpointRecord;
    readonly reason: LeaveReason;
  };

interface KnownInstance {
  record: core.EndpointRecord;
  /** Why the instance gets no new work; undefined while it may get some. */
  leaveReason: LeaveReason | undefined;
  leavingSince: number;
  /** Time at which its entry was first read or last changed. */
  changedAt: number;
  /** Store revision up to which its state is known; older information is ignored. */
  revision: number;
  /** When its entry was found missing after a store outage; undefined while it is not missing. */
  missingSince: number | undefined;
}

/** Instances whose entries expired in a store outage write them again within 2 s of its end. */
const EXPIRED_ENTRY_GRACE_MS = 2_000;
/** How long reports to peers include a changed entry; several reports fall within this time. */
const CHANGE_REPORT_MS = 1_500;
/** How long reports to peers include the notice that an instance leaves. */
const LEAVE_NOTICE_MS = 10_000;
/** How long a removed instance is kept, for requests still open on it. */
const REMOVED_INSTANCE_RETENTION_MS = 60_000;

/** Known state of endpoint instances, by id. */
export class InstanceDirectory {
  readonly #instances = new Map<core.InstanceId, KnownInstance>();
  /** Until this time, missing entries are assumed to have expired during the store outage. */
  #graceUntil = -Infinity;

  /** Records the end of a store outage. */
  recordStoreRecovery(now: number): void {
    this.#graceUntil = now + EXPIRED_ENTRY_GRACE_MS;
  }

  /**
   * Applies a complete listing. Instances without an entry in it leave; after a store outage,
   * they leave only when the grace period ends.
   */
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
      if (listed.has(instance) || known.leaveReason === "removed") continue;
      if (known.revision > revision) continue;
      changes.push(...this.#handleMissingEntry(known, { revision, now }));
    }
    return changes;
  }

  /** Applies one entry, unless it is older than what is known of its instance. */
  applyRecord(record: core.EndpointRecord, now: number): InstanceChange[] {
    const known = this.#instances.get(record.instance);
    const isNewIncarnation = known === undefined || known.record.startedAt !== record.startedAt ||
      known.record.endpoint !== record.endpoint;
    const drainReason = record.isDraining ? "draining" as const : undefined;
    if (known !== undefined && record.revision < known.revision) return [];
    if (isNewIncarnation) {
      const created = {
        record,
        leaveReason: drainReason,
        leavingSince: now,
        changedAt: now,
        revision: record.revision,
        missingSince: undefined,
      };
      this.#instances.set(record.instance, created);
      if (drainReason !== undefined) return [{ type: "leaving", record, reason: drainReason }];
      return [{ type: "added", record }];
    }
    const isNewer = record.revision > known.revision;
    if (isNewer) known.changedAt = now;
    known.record = record;
    known.revision = record.revision;
    known.missingSince = undefined;
    if (drainReason === known.leaveReason) return [];
    if (drainReason === undefined) {
      // A misdirected instance gets no new work until it restarts.
      if (known.leaveReason === "misdirected") return [];
      // Only an entry newer than the leave notice revokes it.
      if (known.leaveReason !== "removed" && !isNewer) return [];
      known.leaveReason = undefined;
      return [{ type: "added", record }];
    }
    return this.#recordLeaving(known, drainReason, now);
  }

  /** Applies the removal of an entry. */
  removeRecord(instance: core.InstanceId, revision: number, now: number): InstanceChange[] {
    const known = this.#instances.get(instance);
    if (known === undefined || known.leaveReason === "removed") return [];
    if (revision < known.revision) return [];
    return this.#handleMissingEntry(known, { revision, now });
  }

  /** Applies a notice from a peer, if it is newer than what is known here. */
  applyNotice(notice: LeaveNotice, now: number): InstanceChange[] {
    const known = this.#instances.get(notice.instance);
    if (known === undefined || known.leaveReason !== undefined) return [];
    if (notice.revision <= known.revision) return [];
    known.revision = notice.revision;
    return this.#recordLeaving(known, "reported", now);
  }

  /** Records that the instance itself reported that it leaves. */
  recordAnnouncedLeaving(instance: core.InstanceId, now: number): InstanceChange[] {
    const known = this.#instances.get(instance);
    if (known === undefined || known.leaveReason !== undefined) return [];
    // Orders the report after the current entry and before any later write.
    known.revision += 0.5;
    return this.#recordLeaving(known, "seen_leaving", now);
  }

  /** Lists entries first read or changed in the last `CHANGE_REPORT_MS`, for reports to peers. */
  listChanged(now: number): core.EndpointRecord[] {
    const changed: core.EndpointRecord[] = [];
    for (const known of this.#instances.values()) {
      if (now - known.changedAt <= CHANGE_REPORT_MS) changed.push(known.record);
    }
    return changed;
  }

  /** Lists notices of instances that began to leave in the last `LEAVE_NOTICE_MS`. */
  listNotices(now: number): LeaveNotice[] {
    const notices: LeaveNotice[] = [];
    for (const [instance, known] of this.#instances) {
      if (known.leaveReason === undefined || known.leaveReason === "misdirected") continue;
      if (now - known.leavingSince > LEAVE_NOTICE_MS) continue;
      notices.push({ instance, revision: known.revision });
    }
    return notices;
  }

  /** Records that another instance answered at the address of `instance`. */
  recordMisdirected(instance: core.InstanceId, now: number): InstanceChange[] {
    const known = this.#instances.get(instance);
    if (known === undefined || known.leaveReason !== undefined) return [];
    return this.#recordLeaving(known, "misdirected", now);
  }

  /**
   * Removes instances whose entries are still missing at the end of the grace period, and drops
   * removed instances once their retention period is over.
   */
  expireInstances(now: number): InstanceChange[] {
    const changes: InstanceChange[] = [];
    for (const [instance, known] of this.#instances) {
      const { missingSince } = known;
      if (missingSince !== undefined && now >= this.#graceUntil) {
        changes.push(...this.#recordLeaving(known, "removed", now));
      }
      const isRetentionOver = known.leaveReason === "removed" &&
        now - known.leavingSince > REMOVED_INSTANCE_RETENTION_MS;
      if (isRetentionOver) this.#instances.delete(instance);
    }
    return changes;
  }

  /** Lists instances of `service` that may get new work. */
  listUsable(service: core.ServiceName): core.EndpointRecord[] {
    const usable: core.EndpointRecord[] = [];
    for (const known of this.#instances.values()) {
      if (known.leaveReason !== undefined || known.record.service !== service) continue;
      usable.push(known.record);
    }
    return usable;
  }

  /** Number of instances, of all services, that may get new work. */
  get usableCount(): number {
    let count = 0;
    for (const known of this.#instances.values()) {
      if (known.leaveReason === undefined) count += 1;
    }
    return count;
  }

  /** Whether the entry of `instance` is missing and may have expired in a store outage. */
  isEntryMissing(instance: core.InstanceId): boolean {
    return this.#instances.get(instance)?.missingSince !== undefined;
  }

  /** Whether `instance` is known and may get new work. */
  isUsable(instance: core.InstanceId): boolean {
    const known = this.#instances.get(instance);
    return known !== undefined && known.leaveReason === undefined;
  }

  #handleMissingEntry(
    known: KnownInstance,
    removal: { readonly revision: number; readonly now: number },
  ): InstanceChange[] {
    const { revision, now } = removal;
    known.revision = Math.max(known.revision, revision);
    if (now >= this.#graceUntil) return this.#recordLeaving(known, "removed", now);
    known.missingSince ??= now;
    return [];
  }

  #recordLeaving(known: KnownInstance, reason: LeaveReason, now: number): InstanceChange[] {
    const wasUsable = known.leaveReason === undefined;
    known.leaveReason = reason;
    known.missingSince = undefined;
    if (wasUsable) known.leavingSince = now;
    return [{ type: "leaving", record: known.record, reason }];
  }
}
