/** Calls to endpoints besides the requests that are forwarded to them. */

import type * as core from "@peridotvale/core";
import type * as neverthrow from "neverthrow";

/** A generation's memory, copied to another engine. */
export interface MemoryCopy {
  /** Names the copy at the engine that it was copied from; can be used once. */
  readonly handle: string;
  /** Events that the generation had made. */
  readonly events: number;
}

/** Why memory was not copied. */
export interface CopyError {
  readonly type: "no_run" | "busy" | "no_room" | "unreachable";
  /** Set where the run has stopped and its engine keeps its memory. */
  readonly handle: string | undefined;
  readonly detail: string;
}

/** A copy to make. */
export interface CopyOrder {
  readonly request: core.RequestId;
  readonly target: core.EndpointId;
  /** Whether the run stops first, so that the copy is its last state. */
  readonly isFinal: boolean;
  readonly timeoutMs: number;
}

/** What an engine says of itself. */
export interface EngineState {
  /** Whether it takes no new work and will be gone soon. */
  readonly isLeaving: boolean;
}

/** What an endpoint answers on its health path. */
export interface EndpointHealth {
  /** Whether it is healthy and does not leave. */
  readonly isHealthy: boolean;
  /** The instance that has the address now. */
  readonly instance: core.InstanceId | undefined;
}

/** Reads the state of endpoints and moves the memory of running generations. */
export interface EngineControl {
  /** Copies what the target does not have yet; the result comes when the copy is whole. */
  copyMemory(
    source: core.EndpointId,
    order: CopyOrder,
  ): Promise<neverthrow.Result<MemoryCopy, CopyError>>;
  /** Asks an engine for its state; undefined if it gave none. Each question has its price. */
  readState(endpoint: core.EndpointId): Promise<EngineState | undefined>;
  /** Asks an endpoint for its health; undefined if it gave none. */
  readHealth(endpoint: core.EndpointId, path: string): Promise<EndpointHealth | undefined>;
  /** Frees a copy that will not be used. */
  releaseMemory(source: core.EndpointId, handle: string): Promise<void>;
}
