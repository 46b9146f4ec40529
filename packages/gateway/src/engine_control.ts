/**
 * Declares the calls that the gateway makes to endpoints in addition to callers' requests: probes
 * of their state and copies of the memory (KV cache) of running generations.
 */

import type * as core from "@peridotvale/core";
import type * as neverthrow from "neverthrow";

/** Completed copy of a generation's memory to another engine. */
export interface MemoryCopy {
  /** Identifies the copy at the source engine; can be used once. */
  readonly handle: string;
  /** Number of events that the generation had produced when it was copied. */
  readonly events: number;
}

export interface CopyError {
  readonly type: "no_run" | "busy" | "no_room" | "unreachable";
  /** Set if the generation has stopped and the source engine still holds its memory. */
  readonly handle: string | undefined;
  readonly detail: string;
}

/** Parameters of {@linkcode EngineControl.copyMemory}. */
export interface CopyOrder {
  readonly request: core.RequestId;
  readonly target: core.EndpointId;
  /**
   * Whether the generation stops first, so that the copy holds its last state. Otherwise it
   * continues during the copy (pre-copy).
   */
  readonly isFinal: boolean;
  readonly timeoutMs: number;
}

export interface EngineState {
  /** Whether it accepts no new requests and will stop soon. */
  readonly isLeaving: boolean;
}

export interface EndpointHealth {
  /** Whether the endpoint is healthy and not leaving. */
  readonly isHealthy: boolean;
  /** Instance that now serves at the address; undefined if the answer does not name it. */
  readonly instance: core.InstanceId | undefined;
}

/** Client for the calls that the gateway makes in addition to forwarding callers' requests. */
export interface EngineControl {
  /** Copies the memory that the target does not have yet; resolves when the copy is complete. */
  copyMemory(
    source: core.EndpointId,
    order: CopyOrder,
  ): Promise<neverthrow.Result<MemoryCopy, CopyError>>;
  /**
   * Reads the state of an engine; undefined if it does not return one. Each call has a cost, so
   * callers limit their rate.
   */
  readState(endpoint: core.EndpointId): Promise<EngineState | undefined>;
  /** Reads the health of an endpoint; undefined if it does not return one. */
  readHealth(endpoint: core.EndpointId, path: string): Promise<EndpointHealth | undefined>;
  /** Frees memory that `source` holds for a copy that will not be used. */
  releaseMemory(source: core.EndpointId, handle: string): Promise<void>;
}
