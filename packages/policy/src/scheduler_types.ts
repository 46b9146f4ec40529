/** Events that the scheduler takes and effects that it asks for. Times are in milliseconds. */

import type * as core from "@peridotvale/core";

/** An engine as the scheduler knows it. */
export interface EngineInfo {
  readonly endpoint: core.EndpointId;
  readonly models: readonly core.ModelName[];
  /** Whether new work may go to it. */
  readonly accepting: boolean;
  readonly memoryLimitTokens: number;
  readonly maxBatch: number;
}

/** An engine's own report; lags. */
export interface LoadReport {
  readonly endpoint: core.EndpointId;
  readonly memoryUsedTokens: number;
  /** Preemptions since the engine started. */
  readonly preemptions: number;
}

/** What an engine has published of its prompt cache; late, and with gaps. */
export interface CacheChange {
  /** Whether events are missing before these. */
  readonly gap: boolean;
  readonly added: readonly number[];
  readonly removed: readonly number[];
}

/** A request for capacity. */
export interface CapacityRequest {
  readonly request: core.RequestId;
  readonly workspace: core.WorkspaceName;
  readonly rank: core.RankName;
  readonly model: core.ModelName;
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** Hashes of the prompt's prefixes, shortest first, one per block. */
  readonly prefixes: readonly number[];
  /** When the first token must have come. */
  readonly startBy: number;
  /** Whether it may wait; else it is refused unless there is capacity at once. */
  readonly mayQueue: boolean;
  /** Endpoints that failed this request already. */
  readonly avoid: readonly core.EndpointId[];
}

/** An open stream that a front registers with a new owner. */
export interface AdoptedStream {
  readonly capacity: CapacityRequest;
  readonly endpoint: core.EndpointId;
  readonly emittedTokens: number;
}

/**
 * How a request has ended: its generation came to its own end, so that its
 * length may be learned; it was given up; or its engine could not be
 * reached or did not take it.
 */
export type StreamEnd = "completed" | "abandoned" | "not_taken";

/** What happened. */
export type SchedulerEvent =
  | { readonly type: "manifest_changed"; readonly manifest: core.Manifest }
  | { readonly type: "engine_updated"; readonly engine: EngineInfo }
  | { readonly type: "engine_removed"; readonly endpoint: core.EndpointId }
  | { readonly type: "load_reported"; readonly report: LoadReport }
  | {
    readonly type: "cache_changed";
    readonly endpoint: core.EndpointId;
    readonly change: CacheChange;
  }
  | { readonly type: "request_arrived"; readonly capacity: CapacityRequest }
  | { readonly type: "stream_adopted"; readonly stream: AdoptedStream }
  | {
    readonly type: "tokens_generated";
    readonly request: core.RequestId;
    /** Tokens since the last report. */
    readonly tokens: number;
  }
  | {
    readonly type: "request_ended";
    readonly request: core.RequestId;
    readonly end: StreamEnd;
  }
  | { readonly type: "ticked" };

/** Why capacity is refused. */
export type RefusalReason =
  | "queue_too_long"
  /** There was no capacity at once, and the request may not wait. */
  | "busy"
  | "deadline_exceeded"
  | "no_endpoint"
  | "too_large"
  | "unknown_workspace"
  | "unknown_model"
  | "unknown_rank"
  | "owner_unreachable"
  | "draining"
  | "workspace_limit";

/** What the scheduler asks for. */
export type SchedulerEffect =
  | {
    readonly type: "granted";
    readonly request: core.RequestId;
    readonly endpoint: core.EndpointId;
    readonly queuedMs: number;
  }
  | {
    readonly type: "refused";
    readonly request: core.RequestId;
    readonly reason: RefusalReason;
    readonly retryAfterMs: number;
  }
  /** The stream must leave its endpoint; its front may ask for capacity again. */
  | {
    readonly type: "evicted";
    readonly request: core.RequestId;
    readonly endpoint: core.EndpointId;
  };

/** Makes decisions about capacity; typed events in, typed effects out. */
export interface CapacityScheduler {
  handle(event: SchedulerEvent, now: number): readonly SchedulerEffect[];
}
