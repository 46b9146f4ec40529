/** Messages that entry processes exchange over their links. */

import type * as core from "@peridotvale/core";
import type * as policy from "@peridotvale/policy";

/** Load of one engine group, reported by the process that owns the group. */
export interface GroupLoad {
  readonly index: number;
  readonly openStreams: number;
  readonly queuedRequests: number;
}

/** Introduces the sender. It is the first message on every link, in both directions. */
export interface HelloMessage {
  readonly type: "hello";
  readonly info: policy.MemberInfo;
}

/**
 * Reports that the sender is alive, and its load. The side that opened the link sends it
 * periodically; the other side replies with a heartbeat of its own.
 */
export interface HeartbeatMessage {
  readonly type: "heartbeat";
  /** Incarnation of the sender. Its other member fields arrive in hello and update messages. */
  readonly incarnation: number;
  readonly draining: boolean;
  /** Release in force at the sender; 0 if there is none. */
  readonly release: number;
  readonly openRequests: number;
  /** Load of the groups that the sender owns. */
  readonly groups: readonly GroupLoad[];
  /** Whether the receiver should reply with a heartbeat. */
  readonly ask: boolean;
}

/** Updates of the membership state. */
export interface UpdatesMessage {
  readonly type: "updates";
  readonly updates: readonly policy.MemberUpdate[];
}

/** Requests the receiver's manifest because the receiver's heartbeat reported a higher release. */
export interface ManifestWantedMessage {
  readonly type: "manifest_wanted";
}

/** Carries the manifest in force at the sender. */
export interface ManifestMessage {
  readonly type: "manifest";
  readonly record: policy.ManifestRecord;
}

/** Reports endpoints that were added to the sender's VM list or newly marked as leaving in it. */
export interface EndpointsMessage {
  readonly type: "endpoints";
  readonly endpoints: readonly policy.ListedEndpoint[];
}

/** Carries events to the receiver's scheduler. */
export interface CapacityEventsMessage {
  readonly type: "capacity_events";
  readonly events: readonly policy.SchedulerEvent[];
}

/** Reports which of the receiver's requests the sender's scheduler grants, refuses or evicts. */
export interface CapacityEffectsMessage {
  readonly type: "capacity_effects";
  readonly effects: readonly policy.SchedulerEffect[];
}

/**
 * Reports the sender's engine loads, the leaving endpoints that it has observed and its view
 * of the store. Replaces the sender's previous report.
 */
export interface ProcessReportMessage {
  readonly type: "process_report";
  readonly loads: readonly policy.EngineLoad[];
  /** Leaving endpoints that the sender has observed. */
  readonly notices: readonly policy.LeaveNotice[];
  /** Time of sending, by the sender's clock. */
  readonly sentAt: number;
  /** The last report that the sender got from the receiver; `undefined` if it got none. */
  readonly answers: ReportReceipt | undefined;
  /** The sender's view of the store. */
  readonly store: StoreView | undefined;
  /** Processes that the sender discovered recently; on a new link, all that it knows. */
  readonly peers: readonly ProcessAddress[];
  /** Crashes of engines and cleared prompt parts that the sender learned of recently. */
  readonly quarantine: policy.QuarantineNews;
  /** Limits of endpoints that the sender learned of recently, and those that have ended. */
  readonly limits: readonly policy.LimitReport[];
  /**
   * All known evacuations of zones, also ended ones; undefined if the sender runs a version that
   * does not report them.
   */
  readonly evacuations?: readonly policy.ZoneEvacuation[];
  /** Starts of endpoints of which the sender learned recently that they stated they leave. */
  readonly leaving: readonly policy.LeaveSignalReport[];
  /** Endpoints in slow start; missing if there are none, or from versions without slow start. */
  readonly paces?: readonly policy.PaceReport[];
  /** Loads of other processes that the sender, a hub, passes on since its last report. */
  readonly relayed: readonly policy.RelayedLoads[];
}

/** Names a report that has arrived. */
export interface ReportReceipt {
  /** Incarnation of the process that sent the report; each process has a clock of its own. */
  readonly incarnation: number;
  /** Time of sending, by the clock of that process. */
  readonly sentAt: number;
}

/** Identity, zone and address of an entry process. */
export interface ProcessAddress {
  readonly process: core.ProcessId;
  readonly zone: core.ZoneName;
  readonly address: string;
  /** Bandwidth of its VM's network link; 0 if it is not known. */
  readonly linkMbps: number;
}

/** What one process knows of the store: its configuration, reachability and endpoint records. */
export interface StoreView {
  readonly release: number;
  /** Time since the store last confirmed the configuration, directly or through a peer. */
  readonly confirmAgeMs: number;
  /** Whether the sender's last call to the store succeeded. */
  readonly isReachable: boolean;
  /** Store revision up to which the sender's endpoint records are current. */
  readonly revision: number;
  /** Records of recently changed endpoints. */
  readonly changed: readonly core.EndpointRecord[];
}

/** Requests the receiver's routing configuration because the receiver reported a higher release. */
export interface ConfigWantedMessage {
  readonly type: "config_wanted";
}

/**
 * Carries the routing configuration in force at the sender. Receiving it does not count as a
 * confirmation of the configuration.
 */
export interface ConfigMessage {
  readonly type: "config";
  readonly config: core.RoutingConfig;
}

/** Requests the receiver's logged decisions about a request. */
export interface ExplainMessage {
  readonly type: "explain";
  /** Number that the reply repeats, so that the sender can match the reply to this message. */
  readonly query: number;
  readonly request: core.RequestId;
}

/** One logged decision about a request. */
export interface ExplainedDecision {
  readonly at: number;
  readonly event: string;
  readonly fields: core.LogFields;
}

/** Replies to {@linkcode ExplainMessage}. */
export interface ExplainedMessage {
  readonly type: "explained";
  readonly query: number;
  readonly decisions: readonly ExplainedDecision[];
}

/** Any message between entry processes. */
export type PeerMessage =
  | HelloMessage
  | HeartbeatMessage
  | UpdatesMessage
  | ManifestWantedMessage
  | ManifestMessage
  | EndpointsMessage
  | CapacityEventsMessage
  | CapacityEffectsMessage
  | ProcessReportMessage
  | ConfigWantedMessage
  | ConfigMessage
  | ExplainMessage
  | ExplainedMessage;
