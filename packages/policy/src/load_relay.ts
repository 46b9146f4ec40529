/**
 * Decides which load reports a hub passes on, and to whom. Answers many processes that place
 * generations on the same engines at once: without the loads of other zones, each zone would
 * fill the engines of the others as if they were empty.
 *
 * A report carries its origin's incarnation and send time, so that a copy that arrives late, by
 * another way, never replaces a newer one.
 */

import type * as core from "@peridotvale/core";
import type * as loads from "./peer_loads.ts";

/** Load report of one process, as hubs pass it on. */
export interface RelayedLoads {
  readonly process: core.ProcessId;
  readonly zone: core.ZoneName;
  /** Distinguishes the lives of a process that restarts. */
  readonly incarnation: number;
  /** Time of sending, by the origin's clock. */
  readonly sentAt: number;
  readonly loads: readonly loads.EngineLoad[];
  /** Whether a hub has lost its link to the origin; a report that the origin sends later wins. */
  readonly isLost: boolean;
}

/** Processes that a hub passes reports on to: those of its own zone, or hubs of other zones. */
export type RelayAudience = "own_zone" | "other_zones";

interface KnownReport {
  report: RelayedLoads;
  /** Whether the report arrived from its origin, not from a hub. */
  isDirect: boolean;
  lastQueuedAt: number;
}

/** Interval after which an unchanged report is passed on again. */
const RELAY_REFRESH_MS = 5_000;
/** A report that is not refreshed for this long is dropped; two refreshes may be missed. */
export const RELAYED_REPORT_TTL_MS = 12_500;

/** Newest known report of each process. */
export class LoadRelay {
  readonly #zone: core.ZoneName;
  readonly #reports = new Map<core.ProcessId, KnownReport>();
  /** Processes whose reports wait to be passed on. */
  readonly #queues: Record<RelayAudience, Set<core.ProcessId>> = {
    own_zone: new Set(),
    other_zones: new Set(),
  };

  /** `zone` is the zone of the process itself. */
  constructor(zone: core.ZoneName) {
    this.#zone = zone;
  }

  hasQueuedReports(audience: RelayAudience): boolean {
    return this.#queues[audience].size > 0;
  }

  /**
   * Applies a report. Returns whether it is newer than the known one of its origin. `isDirect`
   * tells whether the origin itself sent it, instead of a hub.
   */
  applyReport(
    report: RelayedLoads,
    options: { readonly isDirect: boolean; readonly now: number },
  ): boolean {
    const { isDirect, now } = options;
    const known = this.#reports.get(report.process);
    // Another hub may pass a report on before it arrives from its origin. Only the direct report
    // shows that this process has to pass it on as well.
    const isNewlyDirect = isDirect && known !== undefined && !known.isDirect;
    if (known !== undefined && !isNewer(report, known.report)) {
      if (!isNewlyDirect || isNewer(known.report, report)) return false;
      this.#reports.set(report.process, { ...known, isDirect, lastQueuedAt: now });
      this.#enqueue(report.process);
      return false;
    }
    const isChanged = known === undefined || isNewlyDirect ||
      report.isLost !== known.report.isLost || !hasSameLoads(report.loads, known.report.loads);
    const isRefreshDue = now - (known?.lastQueuedAt ?? -Infinity) >= RELAY_REFRESH_MS;
    const lastQueuedAt = isChanged || isRefreshDue ? now : known.lastQueuedAt;
    this.#reports.set(report.process, { report, isDirect, lastQueuedAt });
    if (isChanged || isRefreshDue) this.#enqueue(report.process);
    return true;
  }

  /**
   * Withdraws the loads of a process whose link is lost, unless a hub has passed on a newer report
   * of it. Returns whether there were any.
   */
  recordLinkLost(process: core.ProcessId, now: number): boolean {
    return this.#reports.get(process)?.isDirect === true && this.recordUnreachable(process, now);
  }

  /**
   * Withdraws the loads of a process that accepts no connections. Returns whether there were any.
   */
  recordUnreachable(process: core.ProcessId, now: number): boolean {
    const known = this.#reports.get(process);
    if (known === undefined || known.report.isLost) return false;
    const report = { ...known.report, loads: [], isLost: true };
    this.#reports.set(process, { report, isDirect: true, lastQueuedAt: now });
    this.#enqueue(process);
    return true;
  }

  /** Returns the reports to pass on since the last call for the same audience. */
  takeReports(audience: RelayAudience): RelayedLoads[] {
    const queue = this.#queues[audience];
    const reports = this.#listReports(queue, audience);
    queue.clear();
    return reports;
  }

  /** Returns all known reports that are passed on to `audience`, for a new link. */
  listAll(audience: RelayAudience): RelayedLoads[] {
    return this.#listReports(this.#reports.keys(), audience);
  }

  /** Drops reports that were not refreshed in time. */
  expireReports(now: number): void {
    for (const [process, known] of this.#reports) {
      if (now - known.lastQueuedAt > RELAYED_REPORT_TTL_MS) this.#reports.delete(process);
    }
  }

  #enqueue(process: core.ProcessId): void {
    for (const queue of Object.values(this.#queues)) queue.add(process);
  }

  /**
   * Reports of other zones stay within the own zone. Those of the own zone that another hub passed
   * on are left out, since that hub serves the same processes.
   */
  #listReports(processes: Iterable<core.ProcessId>, audience: RelayAudience): RelayedLoads[] {
    const reports: RelayedLoads[] = [];
    for (const process of processes) {
      const known = this.#reports.get(process);
      if (known === undefined) continue;
      const isOwnZone = known.report.zone === this.#zone;
      const isPassedOn = isOwnZone ? known.isDirect : audience === "own_zone";
      if (isPassedOn) reports.push(known.report);
    }
    return reports;
  }
}

function isNewer(report: RelayedLoads, known: RelayedLoads): boolean {
  if (report.incarnation !== known.incarnation) return report.incarnation > known.incarnation;
  if (report.sentAt !== known.sentAt) return report.sentAt > known.sentAt;
  return report.isLost && !known.isLost;
}

function hasSameLoads(
  left: readonly loads.EngineLoad[],
  right: readonly loads.EngineLoad[],
): boolean {
  if (left.length !== right.length) return false;
  for (const [index, load] of left.entries()) {
    const other = right[index]!;
    const isSame = load.instance === other.instance && load.runs === other.runs &&
      load.reservedTokens === other.reservedTokens &&
      load.unreadPromptTokens === other.unreadPromptTokens && load.moveValue === other.moveValue;
    if (!isSame) return false;
  }
  return true;
}
