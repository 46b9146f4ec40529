/** Messages between entry processes. */

import type * as core from "@peridotvale/core";
import type * as policy from "@peridotvale/policy";

/** Load of one engine group, as its owner sees it. */
export interface GroupLoad {
  readonly index: number;
  readonly openStreams: number;
  readonly queuedRequests: number;
}

/** First message on every link, in both directions. */
export interface HelloMessage {
  readonly type: "hello";
  readonly info: policy.MemberInfo;
}

/** Sent at intervals by the side that opened the link; the other side answers with its own. */
export interface HeartbeatMessage {
  readonly type: "heartbeat";
  /** Incarnation of the sender; its other fields come with its hello and its news. */
  readonly incarnation: number;
  readonly draining: boolean;
  /** Release in force; 0 if none. */
  readonly release: number;
  readonly openRequests: number;
  /** Groups that the sender owns. */
  readonly groups: readonly GroupLoad[];
  /** Whether an answer is wanted. */
  readonly ask: boolean;
}

/** News of members. */
export interface UpdatesMessage {
  readonly type: "updates";
  readonly updates: readonly policy.MemberUpdate[];
}

/** Asks for the manifest in force at the receiver, whose heartbeat told of a higher release. */
export interface ManifestWantedMessage {
  readonly type: "manifest_wanted";
}

/** A manifest that is in force at the sender. */
export interface ManifestMessage {
  readonly type: "manifest";
  readonly record: policy.ManifestRecord;
}

/** Endpoints that the sender's VM list names anew or as leaving. */
export interface EndpointsMessage {
  readonly type: "endpoints";
  readonly endpoints: readonly policy.ListedEndpoint[];
}

/** Events for the receiver's scheduler. */
export interface CapacityEventsMessage {
  readonly type: "capacity_events";
  readonly events: readonly policy.SchedulerEvent[];
}

/** Effects of the sender's scheduler. */
export interface CapacityEffectsMessage {
  readonly type: "capacity_effects";
  readonly effects: readonly policy.SchedulerEffect[];
}

/** What the sender runs, has seen and knows of the store; replaces its earlier report. */
export interface ProcessReportMessage {
  readonly type: "process_report";
  readonly loads: readonly policy.EngineLoad[];
  /** Endpoints that the sender has seen leaving. */
  readonly notices: readonly policy.LeaveNotice[];
  /** Time of the sender's clock. */
  readonly sentAt: number;
  /** The `sentAt` that the receiver sent last; undefined before the first. */
  readonly answersSentAt: number | undefined;
  /** What the sender knows of the store. */
  readonly store: StoreView | undefined;
  /** Processes that the sender has lately learnt of; all that it knows on a new link. */
  readonly peers: readonly ProcessAddress[];
}

/** Where a process is reached. */
export interface ProcessAddress {
  readonly process: core.ProcessId;
  readonly zone: core.ZoneName;
  readonly address: string;
}

/** How a process sees the store. */
export interface StoreView {
  readonly release: number;
  /** Age of its last confirmation of the configuration. */
  readonly confirmAgeMs: number;
  /** Whether its last call to the store succeeded. */
  readonly isReachable: boolean;
  /** Revision up to which the sender knows the endpoints. */
  readonly revision: number;
  /** Endpoints that have changed lately. */
  readonly changed: readonly core.EndpointRecord[];
}

/** Asks for the routing configuration in force at the receiver, which told of a higher release. */
export interface ConfigWantedMessage {
  readonly type: "config_wanted";
}

/** The routing configuration in force at the sender; it confirms nothing. */
export interface ConfigMessage {
  readonly type: "config";
  readonly config: core.RoutingConfig;
}

/** Asks for the decisions about a request. */
export interface ExplainMessage {
  readonly type: "explain";
  readonly query: number;
  readonly request: core.RequestId;
}

/** One decision. */
export interface ExplainedDecision {
  readonly at: number;
  readonly event: string;
  readonly fields: core.LogFields;
}

/** Answers {@linkcode ExplainMessage}. */
export interface ExplainedMessage {
  readonly type: "explained";
  readonly query: number;
  readonly decisions: readonly ExplainedDecision[];
}

/** Every message. */
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
