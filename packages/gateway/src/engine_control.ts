/**
 * Declares the calls that the gateway makes to endpoints in addition to callers' requests: probes
 * of an endpoint's state or health, and copies of a running generation's memory (KV cache).
 */

import type * as core from "@peridotvale/core";
import type * as neverthrow from "neverthrow";
import type * as codec from "./codec.ts";

/** Completed copy of a generation's memory to another engine. */
export interface MemoryCopy {
  /** Identifies the copy at the source engine; can be used once. */
  readonly handle: string;
  /** Number of events that the generation had produced when it was copied. */
  readonly eventCount: number;
}

export interface CopyError {
  readonly type: "no_run" | "busy" | "no_room" | "unreachable";
  /** Handle of the memory if the generation has stopped and the source still holds its memory. */
  readonly handle: string | undefined;
  readonly detail: string;
}

/** Parameters of {@linkcode EngineControl.copyMemory}. */
export interface CopyOrder {
  readonly request: core.RequestId;
  readonly target: core.EndpointId;
  /**
   * Whether the generation is stopped before the copy, so that the copy is up to date. Otherwise
   * the generation continues during the copy (pre-copy).
   */
  readonly isFinal: boolean;
  readonly timeoutMs: number;
}

export interface EngineState {
  /** Whether the engine accepts no new requests and will stop soon. */
  readonly isLeaving: boolean;
  /** Instance that answered; absent if the answer does not name it. */
  readonly instance?: core.InstanceId;
  /** Wall-clock time of the engine's start; absent if the engine does not state it. */
  readonly startedAt?: number;
  /** What the head of the answer states; missing if it states nothing. */
  readonly signals?: codec.EndpointSignals;
}

export interface EndpointHealth extends codec.EndpointSignals {
  /** Whether the endpoint is healthy and not leaving; undefined if it refused the check. */
  readonly isHealthy: boolean | undefined;
  /** Instance that answered the probe; undefined if the answer does not name it. */
  readonly instance: core.InstanceId | undefined;
  /** Time for which the endpoint stays cold; undefined if the answer does not state it. */
  readonly coldLeftMs: number | undefined;
}

/** Client for the calls that the gateway makes in addition to forwarding callers' requests. */
export interface EngineControl {
  /**
   * Copies the part of a generation's memory that the target does not have yet; resolves when the
   * copy is complete.
   */
  copyMemory(
    source: core.EndpointId,
    order: CopyOrder,
  ): Promise<neverthrow.Result<MemoryCopy, CopyError>>;
  /**
   * Returns the state of an engine, or undefined if the engine does not report it. Each call has
   * a cost, so callers limit the rate of their calls.
   */
  readState(endpoint: core.EndpointId): Promise<EngineState | undefined>;
  /** Returns the health of an endpoint, or undefined if the endpoint does not report it. */
  readHealth(endpoint: core.EndpointId, path: string): Promise<EndpointHealth | undefined>;
  /** Frees memory that `source` holds for a copy that will not be used. */
  releaseMemory(source: core.EndpointId, handle: string): Promise<void>;
}
