/** Configuration of the gateway: routes that forward requests unchanged, and their services. */

import type * as ids from "./ids.ts";

/**
 * Determines how the requests of a route are answered and how often each may run:
 * - `idempotent`: may run more than once.
 * - `non_idempotent`: runs at most once.
 * - `streaming`: answers with a stream of events; runs at most once.
 */
export type RouteKind = "idempotent" | "non_idempotent" | "streaming";

/** A service that receives a share of a route's requests, in proportion to `weight`. */
export interface RouteTarget {
  readonly service: ids.ServiceName;
  readonly weight: number;
}

/** Forwards the requests for one host and path prefix to services. */
export interface Route {
  readonly name: string;
  /** Host without port, in lower case. */
  readonly host: string;
  /** Starts and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Maximum time that a caller waits for the end of the answer. */
  readonly timeoutMs: number;
  /** Target time for the answer; for streams, for the first event. */
  readonly targetLatencyMs: number;
  /** Urgency; 0 is the most urgent. */
  readonly rank: number;
  readonly targets: readonly RouteTarget[];
  /** Maximum number of endpoints that one request may be sent to. */
  readonly maxAttempts: number;
  /** Whether a stream that broke off may be resumed at another endpoint, and counts as idempotent. */
  readonly isResumable: boolean;
  /** Longest pause between the events of a stream that is still on time; 0 if not stated. */
  readonly gapAimMs: number;
  readonly needsKey: boolean;
}

/** Capacity and capabilities of each engine of a service. */
export interface EngineProfile {
  /** Number of requests that an engine runs concurrently. */
  readonly slots: number;
  readonly memoryTokens: number;
  /** Tokens in each event of a stream. */
  readonly tokensPerEvent: number;
  /** Whether a running generation can migrate to another engine. */
  readonly canMove: boolean;
}

/** A group of endpoints that serve the same requests. */
export interface RoutedService {
  readonly name: ids.ServiceName;
  /** Maximum number of connections that an endpoint accepts in total, from all entry processes. */
  readonly maxConnections: number;
  /** Path of the health check, which fails if an endpoint is unhealthy or about to leave. */
  readonly healthPath: string;
  /** Time for which an endpoint is cold after a start under traffic; 0 if it never is. */
  readonly coldStartMs: number;
  /** Requests per second that a cold endpoint accepts from all processes together; 0: no limit. */
  readonly coldPerS: number;
  /** Set if the endpoints are model engines. */
  readonly engine: EngineProfile | undefined;
}

/** Limits on the requests and connections of callers. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** The workspace that an API key belongs to. */
export interface KeyOwner {
  readonly workspace: ids.WorkspaceName;
  /** Overrides the rank of the route, if set. */
  readonly rank: number | undefined;
}

/** One release of the routing configuration. */
export interface RoutingConfig {
  readonly release: ids.Release;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<ids.ServiceName, RoutedService>;
  readonly limits: CallerLimits;
  /** The owner of each API key; undefined if requests carry no keys. */
  readonly keys: ReadonlyMap<string, KeyOwner> | undefined;
}

/**
 * Identifies one start of an endpoint. Before an endpoint runs a request, it checks
 * that the request names its own instance.
 */
export type InstanceId = ids.Branded<string, "InstanceId">;

/** The entry of one instance in the endpoint directory. */
export interface EndpointRecord {
  readonly instance: InstanceId;
  readonly endpoint: ids.EndpointId;
  readonly service: ids.ServiceName;
  readonly zone: ids.ZoneName;
  readonly isDraining: boolean;
  /** Number of requests that the instance runs concurrently. */
  readonly slots: number;
  /** Wall-clock time of the start; distinguishes two starts with the same instance id. */
  readonly startedAt: number | undefined;
  /** Store revision at which the entry was written. */
  readonly revision: number;
  /** Time for which the instance stays cold, from the entry; undefined if it does not say so. */
  readonly coldLeftMs: number | undefined;
}
