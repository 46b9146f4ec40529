/**
 * Remembers which starts of endpoints have stated in an answer that they leave. Handles endpoints
 * that leave while the store cannot say so, and entries that say `ready` again although they were
 * written before the statement or by the same start.
 */

import type * as core from "@peridotvale/core";

interface LeaveSignal {
  /** The start that leaves; undefined if its entry does not state one. */
  readonly startedAt: number | undefined;
  /** Time of the answer. */
  readonly seenAt: number;
  /** Time at which this process learned of it. */
  readonly learnedAt: number;
}

/** A statement as processes report it to each other; its age replaces its time. */
export interface LeaveSignalReport {
  readonly instance: core.InstanceId;
  readonly startedAt: number | undefined;
  readonly ageMs: number;
}

/** Several times the endpoints of the largest site; beyond it the oldest statements are dropped. */
const MAX_SIGNALS = 4_096;

export class LeaveSignals {
  /** Oldest first. */
  readonly #signals = new Map<core.InstanceId, LeaveSignal>();

  get size(): number {
    return this.#signals.size;
  }

  /** Records a statement. Returns whether it is new for that start of the endpoint. */
  recordSignal(instance: core.InstanceId, signal: LeaveSignal): boolean {
    const known = this.#signals.get(instance);
    if (known !== undefined && !isLaterStart(signal.startedAt, known.startedAt)) return false;
    this.#signals.delete(instance);
    this.#signals.set(instance, signal);
    if (this.#signals.size > MAX_SIGNALS) {
      const [oldest] = this.#signals.keys();
      this.#signals.delete(oldest!);
    }
    return true;
  }

  /** Whether the start that `record` describes, or a later one, has stated that it leaves. */
  isLeaving(record: core.EndpointRecord): boolean {
    const signal = this.#signals.get(record.instance);
    return signal !== undefined && !isLaterStart(record.startedAt, signal.startedAt);
  }

  /** Ends the statement of a start that is known to be over. */
  endSignal(instance: core.InstanceId): void {
    this.#signals.delete(instance);
  }

  /** Lists the statements that became known here after `since`, for reports to peers. */
  listNews(since: number, now: number): LeaveSignalReport[] {
    const reports: LeaveSignalReport[] = [];
    for (const [instance, { startedAt, seenAt, learnedAt }] of this.#signals) {
      if (learnedAt > since) reports.push({ instance, startedAt, ageMs: now - seenAt });
    }
    return reports;
  }
}

/** Whether `startedAt` is a later start than `other`; one without a time follows none. */
function isLaterStart(startedAt: number | undefined, other: number | undefined): boolean {
  return startedAt !== undefined && (other === undefined || startedAt > other);
}
