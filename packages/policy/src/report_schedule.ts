/**
 * Decides when a process reports to its peers, and whether to those of its zone only. Answers the
 * volume of reports: they grow with the number of links, and bytes between zones are dear.
 */

import type * as relays from "./load_relay.ts";

/** What a report would contain, and why it is considered. */
export interface ReportOccasion {
  /** Encoded loads of the process itself. */
  readonly loads: string;
  /** Encoded news of the store, of leaving endpoints and of other processes. */
  readonly news: string;
  /** Whether reports of other processes wait to be passed on within the zone. */
  readonly hasRelayedReports: boolean;
  /** Whether to report although nothing has changed. */
  readonly isForced: boolean;
  /** Whether all processes of the fleet are linked. */
  readonly isFullMesh: boolean;
}

/** Interval at which changes are reported to peers while few peers are linked. */
const MIN_INTERVAL_MS = 100;
/** With more linked peers, the report interval grows in proportion to bound the report rate. */
const MAX_PEERS_AT_SHORTEST_INTERVAL = 8;
/** Longest interval between the reports of a hub, on which the other processes depend. */
const MAX_HUB_INTERVAL_MS = 250;
/** Interval between reports to other zones that contain no news, only loads. */
const REMOTE_INTERVAL_MS = 500;

/** Times and contents of the last reports. */
export class ReportSchedule {
  #reportedAt = -Infinity;
  #reportText = "";
  #remoteReportedAt = -Infinity;
  #remoteNews = "";

  /** Returns the time since the last report. */
  getAgeMs(now: number): number {
    return now - this.#reportedAt;
  }

  /** Whether enough time has passed since the last report to check for changes. */
  isCheckDue(
    links: { readonly linkedPeers: number; readonly isFullMesh: boolean },
    now: number,
  ): boolean {
    const intervalMs = MIN_INTERVAL_MS *
      Math.max(1, links.linkedPeers / MAX_PEERS_AT_SHORTEST_INTERVAL);
    const maxIntervalMs = links.isFullMesh ? Infinity : MAX_HUB_INTERVAL_MS;
    return this.getAgeMs(now) >= Math.min(intervalMs, maxIntervalMs);
  }

  /** Returns who gets a report now, and records it as sent. */
  takeAudiences(occasion: ReportOccasion, now: number): relays.RelayAudience[] {
    const { loads, news, hasRelayedReports, isForced, isFullMesh } = occasion;
    const reportText = `${loads}${news}`;
    if (!isForced && !hasRelayedReports && reportText === this.#reportText) return [];
    this.#reportText = reportText;
    this.#reportedAt = now;
    const isRemoteDue = isFullMesh || news !== this.#remoteNews ||
      now - this.#remoteReportedAt >= REMOTE_INTERVAL_MS;
    if (!isRemoteDue) return ["own_zone"];
    this.#remoteNews = news;
    this.#remoteReportedAt = now;
    return ["own_zone", "other_zones"];
  }
}
