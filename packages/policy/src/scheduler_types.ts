/** Input events and output effects of the scheduler. Times are in milliseconds. */

import type * as core from "@peridotvale/core";

/** The state of an engine as reported to the scheduler. */
export interface EngineInfo {
  readonly endpoint: core.EndpointId;
  readonly models: readonly core.ModelName[];
  /** Whether the engine accepts new streams. */
  readonly accepting: boolean;
  /** Time at which the read of the status that this state is derived from was sent. */
  readonly statusReadAt: number;
  readonly memoryLimitTokens: number;
  /** Largest number of concurrent streams. */
  readonly maxBatch: number;
}

/** A load report from an engine; it arrives with a delay. */
export interface LoadReport {
  readonly endpoint: core.EndpointId;
  readonly memoryUsedTokens: number;
  /** Preemptions since the engine started. */
  readonly preemptions: number;
}

/** Changes of an engine's prompt cache; they arrive with a delay, and some may be lost. */
export interface CacheChange {
  /** Whether earlier changes were lost. */
  readonly gap: boolean;
  readonly added: readonly number[];
  readonly removed: readonly number[];
}

/** A request for a slot and memory of an engine. */
export interface CapacityRequest {
  readonly request: core.RequestId;
  readonly workspace: core.WorkspaceName;
  readonly rank: core.RankName;
  readonly model: core.ModelName;
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** Hashes of the prompt's prefixes, shortest first, one per block. */
  readonly prefixes: readonly number[];
  /** Time by which the first token must be delivered. */
  readonly startBy: number;
  /** Whether the request may queue; otherwise it is refused if no capacity is free. */
  readonly mayQueue: boolean;
  /** Endpoints that already failed this request. */
  readonly avoid: readonly core.EndpointId[];
}

/** An open stream that a front registers with the new owner of its engine. */
export interface AdoptedStream {
  readonly capacity: CapacityRequest;
  readonly endpoint: core.EndpointId;
  readonly emittedTokens: number;
}

/**
 * How a request ended: `completed` if the generation finished by itself, so that its length
 * is a valid sample; `abandoned` if it was given up; `not_taken` if its engine could not be
 * reached or did not accept it.
 */
export type StreamEnd = "completed" | "abandoned" | "not_taken";

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
    /** Number of tokens since the last report. */
    readonly tokens: number;
  }
  | {
    readonly type: "request_ended";
    readonly request: core.RequestId;
    readonly end: StreamEnd;
  }
  | { readonly type: "ticked" };

export type RefusalReason =
  | "queue_too_long"
  /** No capacity was free, and the request may not queue. */
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

/** An output of the scheduler, to be carried out by its caller. */
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
  /** The stream must leave its endpoint; its front may request capacity again. */
  | {
    readonly type: "evicted";
    readonly request: core.RequestId;
    readonly endpoint: core.EndpointId;
  };

/** Decides which requests get capacity; a state machine without I/O. */
export interface CapacityScheduler {
  /** Applies `event` and returns the resulting effects. */
  handle(event: SchedulerEvent, now: number): readonly SchedulerEffect[];
}
