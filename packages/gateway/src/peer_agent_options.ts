/** Declares what a peer agent reports to peers, and what it needs for that. */

import type * as core from "@peridotvale/core";
import type * as peers from "@peridotvale/peers";
import type * as policy from "@peridotvale/policy";
import type * as settingsModule from "./gateway_settings.ts";

/** State of this process that is reported to peers. */
export interface OwnReport {
  readonly loads: readonly policy.EngineLoad[];
  readonly notices: readonly policy.LeaveNotice[];
  readonly store: peers.StoreView | undefined;
  readonly quarantine: policy.QuarantineNews;
  readonly limits: readonly policy.LimitReport[];
  /** All known evacuations of zones; an empty list states that the sender knows of none. */
  readonly evacuations: readonly policy.ZoneEvacuation[];
  readonly leaving: readonly policy.LeaveSignalReport[];
  readonly paces?: readonly policy.PaceReport[];
}

/** When a peer's report arrived, and how it relates to earlier reports. */
export interface ReportTiming {
  /**
   * Time, by this process's clock, at which this process sent the last report that the peer has
   * acknowledged; undefined if the peer has received none.
   */
  readonly acknowledgedReportSentAt: number | undefined;
  /** Whether the peer's previous report is recent enough that the two contain every change. */
  readonly isContinuous: boolean;
  readonly now: number;
}

/** Which news a report contains. */
export type ReportScope = "recent" | "all";

export interface PeerAgentOptions {
  readonly settings: settingsModule.GatewaySettings;
  readonly clock: core.Clock;
  readonly logger: core.Logger;
  readonly peerLoads: policy.PeerLoads;
  /** Creates a report with recent news only, or with all news for a peer that has none yet. */
  readonly createReport: (now: number, scope: ReportScope) => OwnReport;
  /** Called for each report that a peer sends. */
  readonly onReport: (
    report: peers.ProcessReportMessage,
    timing: ReportTiming,
  ) => void;
  /** Returns the interval at which an unchanged report is sent to show that the link is alive. */
  readonly getReportRefreshIntervalMs: () => number;
  /** Returns the configuration in force, if any. */
  readonly getConfig: () => core.RoutingConfig | undefined;
  /** Called when a peer sends the configuration that is in force there. */
  readonly onConfig: (config: core.RoutingConfig, now: number) => void;
}
