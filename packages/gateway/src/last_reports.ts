/**
 * Remembers the last report of each peer. A time in a report is stated by the clock of the process
 * that sent it, which starts anew with each process; so what is remembered of a process, and what
 * it is told about its own reports, does not apply to its successor under the same name.
 */

import type * as core from "@peridotvale/core";
import type * as peers from "@peridotvale/peers";
import type * as policy from "@peridotvale/policy";
import type * as types from "./peer_agent_options.ts";

/** Contents of a peer's last report that are used later. */
interface LastReport {
  /** Identifies the process that sent the report; a restarted one has a new incarnation. */
  readonly incarnation: number;
  readonly zone: core.ZoneName;
  /** Time, by the peer's clock, at which the peer sent the report. */
  readonly sentAt: number;
  /** Lower bound for the time of the peer's last confirmation, by this process's clock. */
  readonly confirmedAt: number;
  readonly receivedAt: number;
  readonly isStoreReachable: boolean;
}

/**
 * Interval below which two successive reports miss no change between them, since each report
 * contains the changes of the last 1.5 s.
 */
const MAX_REPORT_GAP_MS = 1_200;

/** The last reports of all linked peers. */
export class LastReports {
  readonly #ownIncarnation: number;
  readonly #reports = new Map<core.ProcessId, LastReport>();

  /** `ownIncarnation` identifies this process among all that have run under its name. */
  constructor(ownIncarnation: number) {
    this.#ownIncarnation = ownIncarnation;
  }

  /** Number of processes whose reports are remembered. */
  get size(): number {
    return this.#reports.size;
  }

  hasReport(process: core.ProcessId): boolean {
    return this.#reports.has(process);
  }

  dropProcess(process: core.ProcessId): void {
    this.#reports.delete(process);
  }

  /** Creates the receipt for the last report of `peer`, if this incarnation of it has sent one. */
  createReceipt(peer: policy.MemberInfo): peers.ReportReceipt | undefined {
    const lastReport = this.#findReport(peer);
    if (lastReport === undefined) return undefined;
    return { incarnation: lastReport.incarnation, sentAt: lastReport.sentAt };
  }

  /** Records a report of `peer` and returns how it relates to earlier reports. */
  applyReport(
    peer: policy.MemberInfo,
    message: peers.ProcessReportMessage,
    now: number,
  ): types.ReportTiming {
    const { incarnation, zone } = peer;
    const { sentAt, store } = message;
    const acknowledgedReportSentAt = this.#readReceipt(message.answers, now);
    const confirmedAt = acknowledgedReportSentAt === undefined
      ? -Infinity
      : acknowledgedReportSentAt - (store?.confirmAgeMs ?? Infinity);
    const previousReport = this.#findReport(peer);
    this.#reports.set(peer.process, {
      incarnation,
      zone,
      sentAt,
      confirmedAt,
      receivedAt: now,
      isStoreReachable: store?.isReachable ?? false,
    });
    const isContinuous = previousReport !== undefined &&
      now - previousReport.receivedAt < MAX_REPORT_GAP_MS;
    return { acknowledgedReportSentAt, isContinuous, now };
  }

  /** Returns the zone and the last contact with the store of each peer that has reported. */
  listStoreContacts(
    getLinkMbps: (process: core.ProcessId) => number,
    now: number,
  ): policy.StoreContact[] {
    const contacts: policy.StoreContact[] = [];
    for (const [process, lastReport] of this.#reports) {
      const confirmAgeMs = lastReport.isStoreReachable ? now - lastReport.confirmedAt : Infinity;
      contacts.push({
        process,
        zone: lastReport.zone,
        linkMbps: getLinkMbps(process),
        confirmAgeMs,
      });
    }
    return contacts;
  }

  /** Whether a peer in `zone` has reported that it cannot reach the store. */
  hasLostStore(zone: core.ZoneName): boolean {
    for (const lastReport of this.#reports.values()) {
      if (lastReport.zone === zone && !lastReport.isStoreReachable) return true;
    }
    return false;
  }

  #findReport(peer: policy.MemberInfo): LastReport | undefined {
    const lastReport = this.#reports.get(peer.process);
    return lastReport?.incarnation === peer.incarnation ? lastReport : undefined;
  }

  /** Returns the time at which this process sent the report that `receipt` names. */
  #readReceipt(receipt: peers.ReportReceipt | undefined, now: number): number | undefined {
    if (receipt === undefined || receipt.incarnation !== this.#ownIncarnation) return undefined;
    return receipt.sentAt <= now ? receipt.sentAt : undefined;
  }
}
