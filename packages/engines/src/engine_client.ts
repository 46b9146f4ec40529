/** A model engine, as the product needs it. */

import type * as core from "@peridotvale/core";
import type * as neverthrow from "neverthrow";
import type * as errors from "./errors.ts";

/** What is asked of an engine. */
export interface EngineRequest {
  /** Identifies this attempt; the engine echoes it. */
  readonly attempt: string;
  readonly kind: "completion" | "chat";
  /** Fields of the OpenAI-style body that go to the engine as they are. */
  readonly body: Readonly<Record<string, unknown>>;
  readonly seed: number;
  readonly maxTokens: number;
  /** Lower is more urgent. */
  readonly priority: number;
}

/** An event of a generation. */
export type EngineEvent =
  | { readonly type: "token"; readonly sequence: number; readonly text: string }
  | {
    readonly type: "end";
    /** Number of tokens of the whole generation. */
    readonly sequence: number;
    readonly finishReason: string;
    readonly promptTokens: number;
  }
  | { readonly type: "failed"; readonly message: string };

/** Takes a generation's events, in the order of arrival. */
export interface EngineEventSink {
  /** Takes one event; `false` stops the stream. */
  onEvent(event: EngineEvent): boolean;
  /** Resolves when more may be read; `undefined` at once. */
  waitForRoom(): Promise<void> | undefined;
}

/** An open stream of one generation. */
export interface EngineStream {
  readonly generation: core.GenerationId;
  /** Model version that generates. */
  readonly version: string;
  /** Relays events to `sink` until the generation's end or an error. */
  relay(
    sink: EngineEventSink,
  ): Promise<neverthrow.Result<void, errors.EngineError>>;
  close(): void;
}

/** How to resume a generation. */
export interface ResumeRequest {
  readonly attempt: string;
  readonly kind: "completion" | "chat";
  readonly generation: core.GenerationId;
  /** First sequence number that is wanted. */
  readonly from: number;
}

/** A generation that an engine holds. */
export interface RunningGeneration {
  readonly generation: core.GenerationId;
  readonly attempt: string;
  /** Tokens generated so far. */
  readonly tokens: number;
  /** Whether a connection reads it now. */
  readonly attached: boolean;
}

/** An engine's report of itself; lags. */
export interface EngineStatus {
  /** Whether it takes new work. */
  readonly accepting: boolean;
  readonly role: "serving" | "standby";
  readonly models: readonly LoadedModel[];
  readonly runningStreams: number;
  readonly memoryUsedTokens: number;
  readonly memoryLimitTokens: number;
  readonly maxBatch: number;
  readonly preemptions: number;
  /** Highest fencing number seen, where the engine checks it. */
  readonly fencing: number;
}

/** Changes of an engine's prompt cache. */
export interface CacheEvents {
  /** Sequence number of the last event; to be asked after next time. */
  readonly last: number;
  /** Whether events between the one asked after and these are missing. */
  readonly gap: boolean;
  /** Hashes of prompt prefixes that the engine now holds. */
  readonly added: readonly number[];
  readonly removed: readonly number[];
}

/** A model that an engine holds. */
export interface LoadedModel {
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
  readonly state: "loading" | "ready";
}

/** An order to an engine. */
export type EngineOrder =
  | {
    readonly type: "load_model";
    readonly model: string;
    readonly version: string;
    readonly adapters: readonly string[];
  }
  | { readonly type: "unload_model"; readonly model: string }
  | { readonly type: "set_role"; readonly role: "serving" | "standby" };

/** Result of a call to an engine. */
export type EngineResult<T> = Promise<neverthrow.Result<T, errors.EngineError>>;

/** Speaks to engines. */
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
  readStatus(endpoint: core.EndpointId): EngineResult<EngineStatus>;
  /** Reads the changes of the prompt cache after event number `after`. */
  readCacheEvents(endpoint: core.EndpointId, after: number): EngineResult<CacheEvents>;
  sendOrder(
    endpoint: core.EndpointId,
    order: EngineOrder,
    options: { readonly fencing: number },
  ): EngineResult<void>;
}
