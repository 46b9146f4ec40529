/** Interface between the callers' HTTP server and the code that serves the requests. */

import * as core from "@peridotvale/core";
import type * as neverthrow from "neverthrow";

/** Fields common to generation and service requests, taken from the request's headers. */
export interface RequestHead {
  readonly requestId: core.RequestId;
  readonly workspace: core.WorkspaceName;
  /** If `undefined`, the manifest's default rank applies. */
  readonly rank: core.RankName | undefined;
  /** Deadline requested by the caller, relative to the arrival of the request. */
  readonly deadlineMs: number | undefined;
}

/** Request for a text generation. */
export interface GenerationRequest extends RequestHead {
  readonly kind: "completion" | "chat";
  readonly model: core.ModelName;
  /** Text of the prompt or of all messages, used to estimate its size and match cached prefixes. */
  readonly promptText: string;
  readonly maxTokens: number | undefined;
  readonly seed: number | undefined;
  readonly streamed: boolean;
  /** Fields that are forwarded to the engine unchanged. */
  readonly body: Readonly<Record<string, unknown>>;
  /** Cursor of the last event that the caller has received. */
  readonly cursor: string | undefined;
}

/** Receives the tokens of a generation. */
export interface TokenSink {
  /** Writes one token. A stream that is resumed with `cursor` continues after this token. */
  writeToken(text: string, cursor: string): void;
  /**
   * Discards the tokens written so far, so that the generation can start over. Returns `false`
   * if some of the response has already been sent to the caller.
   */
  reset(): boolean;
  /**
   * Returns a promise that resolves when the sink can take more tokens, or `undefined` if it
   * can take them now.
   */
  waitForWritable(): Promise<void> | undefined;
}

/** Result of a completed generation. */
export interface GenerationEnd {
  readonly finishReason: string;
  readonly promptTokens: number;
  /** Number of tokens of the complete generation. */
  readonly completionTokens: number;
}

/** Request to a plain service. */
export interface ServiceRequest extends RequestHead {
  readonly service: core.ServiceName;
  readonly method: string;
  /** Path below the service's root, starting with `/`, without the query string. */
  readonly path: string;
  /** Query string including the `?`, or an empty string. */
  readonly query: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array | undefined;
  readonly idempotencyKey: string | undefined;
}

/** Answer of a plain service. */
export interface ServiceAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

export type HandlerResult<T> = Promise<neverthrow.Result<T, core.RequestProblem>>;

export interface RequestHandler {
  generate(
    request: GenerationRequest,
    sink: TokenSink,
    options: { readonly signal: AbortSignal },
  ): HandlerResult<GenerationEnd>;
  call(
    request: ServiceRequest,
    options: { readonly signal: AbortSignal },
  ): HandlerResult<ServiceAnswer>;
  /** Whether this process should receive new requests. */
  isReady(): boolean;
  /** Returns the metrics in the Prometheus text format. */
  readMetrics(): Promise<string>;
}
