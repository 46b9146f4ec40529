/** Interface to model engines, independent of the transport. */

import type * as core from "@peridotvale/core";
import type * as neverthrow from "neverthrow";
import type * as errors from "./errors.ts";

/** Request to start a generation. */
export interface EngineRequest {
  /** Id of this attempt, which the engine returns with its answer. */
  readonly attempt: string;
  readonly kind: "completion" | "chat";
  /** Fields of the OpenAI-style body that are forwarded to the engine unchanged. */
  readonly body: Readonly<Record<string, unknown>>;
  readonly seed: number;
  readonly maxTokens: number;
  /** Scheduling priority at the engine; lower values are more urgent. */
  readonly priority: number;
}

export type EngineEvent =
  | { readonly type: "token"; readonly sequence: number; readonly text: string }
  | {
    readonly type: "end";
    /** Number of tokens of the complete generation. */
    readonly sequence: number;
    readonly finishReason: string;
    readonly promptTokens: number;
  }
  | { readonly type: "failed"; readonly message: string };

/** Receives the events of a generation in the order of arrival. */
export interface EngineEventSink {
  /** Handles one event. Returns `false` to stop the stream. */
  onEvent(event: EngineEvent): boolean;
  /**
   * Returns a promise that resolves when the sink can take more events, or `undefined` if it
   * can take them now.
   */
  waitForWritable(): Promise<void> | undefined;
}

/** Open event stream of one generation. */
export interface EngineStream {
  readonly generation: core.GenerationId;
  /** Version of the model that generates the tokens. */
  readonly version: string;
  /** Passes events to `sink` until the generation ends, the sink stops it or an error occurs. */
  relay(
    sink: EngineEventSink,
  ): Promise<neverthrow.Result<void, errors.EngineError>>;
  close(): void;
}

/** Request to resume reading a generation. */
export interface ResumeRequest {
  readonly attempt: string;
  readonly kind: "completion" | "chat";
  readonly generation: core.GenerationId;
  /** Sequence number of the first event to read. */
  readonly fromSequence: number;
}

/** A generation that an engine is running or still keeps. */
export interface RunningGeneration {
  readonly generation: core.GenerationId;
  readonly attempt: string;
  /** Tokens generated so far. */
  readonly tokens: number;
  /** Whether a connection is currently reading the generation. */
  readonly attached: boolean;
}

/** An engine's report of its own state. It can be out of date. */
export interface EngineStatus {
  /** Whether the engine accepts new requests. */
  readonly accepting: boolean;
  readonly role: "serving" | "standby";
  readonly models: readonly LoadedModel[];
  readonly runningStreams: number;
  readonly memoryUsedTokens: number;
  readonly memoryLimitTokens: number;
  readonly maxBatch: number;
  readonly preemptions: number;
  /** Highest fencing number that the engine has received, if it checks fencing numbers. */
  readonly fencing: number;
}

/** Changes of an engine's prompt cache since a given event. */
export interface CacheEvents {
  /** Sequence number of the last event, to pass as `after` in the next call. */
  readonly last: number;
  /** Whether events after the requested position are missing from this list. */
  readonly gap: boolean;
  /** Hashes of prompt prefixes that the engine has added to its cache. */
  readonly added: readonly number[];
  readonly removed: readonly number[];
}

/** A model that an engine has loaded or is loading. */
export interface LoadedModel {
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
  readonly state: "loading" | "ready";
}

/** Command to an engine: load or unload a model, or change its role. */
export type EngineOrder =
  | {
    readonly type: "load_model";
    readonly model: string;
    readonly version: string;
    readonly adapters: readonly string[];
  }
  | { readonly type: "unload_model"; readonly model: string }
  | { readonly type: "set_role"; readonly role: "serving" | "standby" };

export type EngineResult<T> = Promise<neverthrow.Result<T, errors.EngineError>>;

/** Client of model engines. Every method makes one call to one engine. */
export interface EngineClient {
  startGeneration(
    endpoint: core.EndpointId,
    request: EngineRequest,
    options: { readonly signal: AbortSignal },
  ): EngineResult<EngineStream>;
  resumeGeneration(
    endpoint: core.EndpointId,
    request: ResumeRequest,
    options: { readonly signal: AbortSignal },
  ): EngineResult<EngineStream>;
  cancelGeneration(
    endpoint: core.EndpointId,
    generation: core.GenerationId,
  ): EngineResult<void>;
  listGenerations(
    endpoint: core.EndpointId,
  ): EngineResult<readonly RunningGeneration[]>;
  /** Reads the engine's report of its own state. */
  readStatus(endpoint: core.EndpointId): EngineResult<EngineStatus>;
  /** Reads the changes of the prompt cache after event number `after`. */
  readCacheEvents(endpoint: core.EndpointId, after: number): EngineResult<CacheEvents>;
  /** Sends a command with the sender's fencing number. */
  sendOrder(
    endpoint: core.EndpointId,
    order: EngineOrder,
    options: { readonly fencing: number },
  ): EngineResult<void>;
}
