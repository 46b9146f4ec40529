/** Routes that requests are forwarded on unchanged, and the services behind them. */

import type * as ids from "./ids.ts";

/**
 * What may be repeated:
 * - `idempotent`: may run more than once.
 * - `non_idempotent`: runs at most once.
 * - `streaming`: answers with a series of events, and runs at most once.
 */
export type RouteKind = "idempotent" | "non_idempotent" | "streaming";

/** A service that a route sends a share of its requests to. */
export interface RouteTarget {
  readonly service: ids.ServiceName;
  readonly weight: number;
}

/** Requests of one host below one path. */
export interface Route {
  readonly name: string;
  /** Host without port, in lower case. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Longest time that a caller is kept waiting for the end of the answer. */
  readonly timeoutMs: number;
  /** Time within which an answer (streams: the first event) is on time. */
  readonly targetLatencyMs: number;
  /** 0 is the most urgent. */
  readonly rank: number;
  readonly targets: readonly RouteTarget[];
  /** Most endpoints that one request may be sent to. */
  readonly maxAttempts: number;
  readonly needsKey: boolean;
}

/** What engines of a service can do. */
export interface EngineProfile {
  /** Requests that run at once. */
  readonly slots: number;
  readonly memoryTokens: number;
  /** Tokens that one event of a stream holds. */
  readonly tokensPerEvent: number;
  /** Whether a running generation can be moved to another engine. */
  readonly canMove: boolean;
}

/** A group of endpoints that serve the same requests. */
export interface RoutedService {
  readonly name: ids.ServiceName;
  /** Connections that one endpoint accepts from all callers together. */
  readonly maxConnections: number;
  /** Path that tells whether an endpoint is healthy and does not leave. */
  readonly healthPath: string;
  /** Set where the endpoints are model engines. */
  readonly engine: EngineProfile | undefined;
}

/** Bounds on what a caller may send. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** The workspace that an API key belongs to. */
export interface KeyOwner {
  readonly workspace: ids.WorkspaceName;
  /** Replaces the route's rank. */
  readonly rank: number | undefined;
}

/** One release of the routing configuration. */
export interface RoutingConfig {
  readonly release: ids.Release;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<ids.ServiceName, RoutedService>;
  readonly limits: CallerLimits;
  /** Owners by API key; undefined where requests carry no keys. */
  readonly keys: ReadonlyMap<string, KeyOwner> | undefined;
}

/** Identifies one start of an endpoint; endpoints check it before they run a request. */
export type InstanceId = ids.Branded<string, "InstanceId">;

/** What the directory of endpoints says of one instance. */
export interface EndpointRecord {
  readonly instance: InstanceId;
  readonly endpoint: ids.EndpointId;
  readonly service: ids.ServiceName;
  readonly zone: ids.ZoneName;
  readonly isDraining: boolean;
  /** Requests that it runs at once. */
  readonly slots: number;
  /** Wall time of its start; tells apart two lives under one instance id. */
  readonly startedAt: number | undefined;
  /** Revision of the store at which the entry was written. */
  readonly revision: number;
  /** How much longer it is slow after its start. */
  readonly coldLeftMs: number;
}
