/**
 * Tracks which endpoint instances may get new work and which ones leave. Handles draining and
 * reclaimed endpoints, entries that expire during a store outage, addresses that another
 * instance takes over, and instances that restart under the same id.
 */

import type * as core from "@peridotvale/core";
import * as signals from "./leave_signals.ts";

/** Why an instance gets no new work. */
export type LeaveReason =
  | "draining"
  | "removed"
  | "misdirected"
  | "reported"
  | "seen_leaving"
  /** The instance stated in an answer that it leaves. */
  | "signalled";

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
  /** Why the instance gets no new work; undefined while it may get new work. */
  leaveReason: LeaveReason | undefined;
  leavingSince: number;
  /** Time at which the instance's entry was first read or last changed. */
  changedAt: number;
  /** Store revision up to which the instance's state is known; older information is ignored. */
  revision: number;
  /** Time at which the entry was found missing after a store outage; undefined while it exists. */
  missingSince: number | undefined;
}

/** Time after a store outage within which instances with expired entries write new ones. */
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
  readonly #leaveSignals = new signals.LeaveSignals();
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
    const listedInstances = new Set<core.InstanceId>();
    for (const record of records) {
      listedInstances.add(record.instance);
      changes.push(...this.applyRecord(record, now));
    }
    for (const [instance, knownInstance] of this.#instances) {
      if (listedInstances.has(instance) || knownInstance.leaveReason === "removed") continue;
      if (knownInstance.revision > revision) continue;
      changes.push(...this.#handleMissingEntry(knownInstance, { revision, now }));
    }
    return changes;
  }

  /** Applies one entry, unless the known state of its instance is newer. */
  applyRecord(record: core.EndpointRecord, now: number): InstanceChange[] {
    const knownInstance = this.#instances.get(record.instance);
    const isNewIncarnation = knownInstance === undefined ||
      knownInstance.record.startedAt !== record.startedAt ||
      knownInstance.record.endpoint !== record.endpoint;
    const drainReason = record.isDraining ? "draining" as const : undefined;
    if (knownInstance !== undefined && record.revision < knownInstance.revision) return [];
    if (this.#isUndatedNewStart(record, knownInstance)) {
      this.#leaveSignals.endSignal(record.instance);
    }
    const isSignalled = this.#leaveSignals.isLeaving(record);
    if (isNewIncarnation) {
      const leaveReason = drainReason ?? (isSignalled ? "signalled" as const : undefined);
      const newInstance = {
        record,
        leaveReason,
        leavingSince: now,
        changedAt: now,
        revision: record.revision,
        missingSince: undefined,
      };
      this.#instances.set(record.instance, newInstance);
      if (leaveReason !== undefined) return [{ type: "leaving", record, reason: leaveReason }];
      return [{ type: "added", record }];
    }
    const isNewer = record.revision > knownInstance.revision;
    if (isNewer) knownInstance.changedAt = now;
    knownInstance.record = record;
    knownInstance.revision = record.revision;
    knownInstance.missingSince = undefined;
    if (drainReason === knownInstance.leaveReason) return [];
    if (drainReason === undefined) {
      // Its signal ends with its lifetime, whatever its entry says.
      if (isSignalled) return [];
      // A misdirected instance gets no new work until it restarts.
      if (knownInstance.leaveReason === "misdirected") return [];
      // Only an entry newer than the leave notice revokes it.
      if (knownInstance.leaveReason !== "removed" && !isNewer) return [];
      knownInstance.leaveReason = undefined;
      return [{ type: "added", record }];
    }
    return this.#recordLeaving(knownInstance, drainReason, now);
  }

  /** Applies the removal of an entry. */
  removeRecord(instance: core.InstanceId, revision: number, now: number): InstanceChange[] {
    const knownInstance = this.#instances.get(instance);
    if (knownInstance === undefined || knownInstance.leaveReason === "removed") return [];
    if (revision < knownInstance.revision) return [];
    return this.#handleMissingEntry(knownInstance, { revision, now });
  }

  /** Applies a peer's leave notice if it is newer than the known state of the instance. */
  applyNotice(notice: LeaveNotice, now: number): InstanceChange[] {
    const knownInstance = this.#instances.get(notice.instance);
    if (knownInstance === undefined || knownInstance.leaveReason !== undefined) return [];
    if (notice.revision <= knownInstance.revision) return [];
    knownInstance.revision = notice.revision;
    return this.#recordLeaving(knownInstance, "reported", now);
  }

  /** Records that `instance` itself announced that it leaves. */
  recordAnnouncedLeaving(instance: core.InstanceId, now: number): InstanceChange[] {
    const knownInstance = this.#instances.get(instance);
    if (knownInstance === undefined || knownInstance.leaveReason !== undefined) return [];
    // Orders the announcement after the current entry and before any later write.
    knownInstance.revision += 0.5;
    return this.#recordLeaving(knownInstance, "seen_leaving", now);
  }

  /**
   * Records that the instance of `record`, which a request was sent to, stated in its answer that it
   * leaves. Ignores the statement of an earlier start than the one that is known.
   */
  recordLeaveSignal(record: core.EndpointRecord, now: number): InstanceChange[] {
    const { instance, startedAt } = record;
    return this.#applyLeaveSignal({ instance, startedAt, ageMs: 0 }, now);
  }

  /** Applies the statements that a peer reports. */
  applyLeaveSignals(
    reports: readonly signals.LeaveSignalReport[],
    now: number,
  ): InstanceChange[] {
    return reports.flatMap((report) => this.#applyLeaveSignal(report, now));
  }

  /** Lists the statements learned after `since`, for reports to peers. */
  listLeaveSignals(since: number, now: number): signals.LeaveSignalReport[] {
    return this.#leaveSignals.listNews(since, now);
  }

  /** Number of starts that are remembered because they stated that they leave. */
  get leaveSignalCount(): number {
    return this.#leaveSignals.size;
  }

  /** Lists entries first read or changed in the last `CHANGE_REPORT_MS`, for reports to peers. */
  listChangedRecords(now: number): core.EndpointRecord[] {
    const changedRecords: core.EndpointRecord[] = [];
    for (const knownInstance of this.#instances.values()) {
      if (now - knownInstance.changedAt <= CHANGE_REPORT_MS) {
        changedRecords.push(knownInstance.record);
      }
    }
    return changedRecords;
  }

  /** Lists notices of instances that began to leave in the last `LEAVE_NOTICE_MS`. */
  listLeaveNotices(now: number): LeaveNotice[] {
    const notices: LeaveNotice[] = [];
    for (const [instance, knownInstance] of this.#instances) {
      const { leaveReason } = knownInstance;
      if (leaveReason === undefined || leaveReason === "misdirected") continue;
      // Reported with its age and its start instead.
      if (leaveReason === "signalled") continue;
      if (now - knownInstance.leavingSince > LEAVE_NOTICE_MS) continue;
      notices.push({ instance, revision: knownInstance.revision });
    }
    return notices;
  }

  /** Records that another instance answered at the address of `instance`. */
  recordMisdirected(instance: core.InstanceId, now: number): InstanceChange[] {
    const knownInstance = this.#instances.get(instance);
    if (knownInstance === undefined || knownInstance.leaveReason !== undefined) return [];
    return this.#recordLeaving(knownInstance, "misdirected", now);
  }

  /**
   * Removes instances whose entries are still missing at the end of the grace period, and drops
   * removed instances once their retention period is over.
   */
  expireInstances(now: number): InstanceChange[] {
    const changes: InstanceChange[] = [];
    for (const [instance, knownInstance] of this.#instances) {
      const { missingSince } = knownInstance;
      if (missingSince !== undefined && now >= this.#graceUntil) {
        changes.push(...this.#recordLeaving(knownInstance, "removed", now));
      }
      const isRetentionOver = knownInstance.leaveReason === "removed" &&
        now - knownInstance.leavingSince > REMOVED_INSTANCE_RETENTION_MS;
      if (isRetentionOver) this.#instances.delete(instance);
    }
    return changes;
  }

  /** Lists instances of `service` that may get new work. */
  listUsableEndpoints(service: core.ServiceName): core.EndpointRecord[] {
    const usableRecords: core.EndpointRecord[] = [];
    for (const knownInstance of this.#instances.values()) {
      if (knownInstance.leaveReason !== undefined || knownInstance.record.service !== service) {
        continue;
      }
      usableRecords.push(knownInstance.record);
    }
    return usableRecords;
  }

  /** Lists the instances of all services that may get new work. */
  *listUsableInstances(): Iterable<core.EndpointRecord> {
    for (const { record, leaveReason } of this.#instances.values()) {
      if (leaveReason === undefined) yield record;
    }
  }

  /** Number of instances, of all services, that may get new work. */
  get usableInstanceCount(): number {
    let count = 0;
    for (const knownInstance of this.#instances.values()) {
      if (knownInstance.leaveReason === undefined) count += 1;
    }
    return count;
  }

  /** Whether the entry of `instance` is missing and may have expired in a store outage. */
  isEntryMissing(instance: core.InstanceId): boolean {
    return this.#instances.get(instance)?.missingSince !== undefined;
  }

  /** Returns the time of the start that the last known entry of `instance` names. */
  getStartedAt(instance: core.InstanceId): number | undefined {
    return this.#instances.get(instance)?.record.startedAt;
  }

  /** Whether `instance` is known and may get new work. */
  isUsable(instance: core.InstanceId): boolean {
    const knownInstance = this.#instances.get(instance);
    return knownInstance !== undefined && knownInstance.leaveReason === undefined;
  }

  #applyLeaveSignal(report: signals.LeaveSignalReport, now: number): InstanceChange[] {
    const { instance, startedAt, ageMs } = report;
    const knownInstance = this.#instances.get(instance);
    const knownStart = knownInstance?.record.startedAt;
    if (knownStart !== undefined && (startedAt === undefined || startedAt < knownStart)) return [];
    const seenAt = now - ageMs;
    // Without a time of its start, a statement from before the entry's last change may be about an
    // earlier start.
    if (startedAt === undefined && seenAt < (knownInstance?.changedAt ?? -Infinity)) return [];
    this.#leaveSignals.recordSignal(instance, { startedAt, seenAt, learnedAt: now });
    if (knownInstance === undefined || knownInstance.leaveReason !== undefined) return [];
    return this.#recordLeaving(knownInstance, "signalled", now);
  }

  /**
   * Whether `record`, which states no start, describes a new one: it says `ready` after its instance
   * was removed or drained, or at another address.
   */
  #isUndatedNewStart(
    record: core.EndpointRecord,
    knownInstance: KnownInstance | undefined,
  ): boolean {
    if (record.startedAt !== undefined || knownInstance === undefined || record.isDraining) {
      return false;
    }
    if (record.endpoint !== knownInstance.record.endpoint) return true;
    const hadLeft = knownInstance.leaveReason === "draining" ||
      knownInstance.leaveReason === "removed";
    return hadLeft && record.revision > knownInstance.revision;
  }

  #handleMissingEntry(
    knownInstance: KnownInstance,
    removal: { readonly revision: number; readonly now: number },
  ): InstanceChange[] {
    const { revision, now } = removal;
    knownInstance.revision = Math.max(knownInstance.revision, revision);
    if (now >= this.#graceUntil) return this.#recordLeaving(knownInstance, "removed", now);
    knownInstance.missingSince ??= now;
    return [];
  }

  #recordLeaving(knownInstance: KnownInstance, reason: LeaveReason, now: number): InstanceChange[] {
    const wasUsable = knownInstance.leaveReason === undefined;
    knownInstance.leaveReason = reason;
    knownInstance.missingSince = undefined;
    if (wasUsable) knownInstance.leavingSince = now;
    return [{ type: "leaving", record: knownInstance.record, reason }];
  }
}
