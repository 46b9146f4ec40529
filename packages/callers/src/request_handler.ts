/** What the callers' interface needs of the rest of the process. */

import * as core from "@peridotvale/core";
import type * as neverthrow from "neverthrow";

/** Fields that every request has. */
export interface RequestHead {
  readonly request: core.RequestId;
  readonly workspace: core.WorkspaceName;
  /** `undefined`: the manifest's default. */
  readonly rank: core.RankName | undefined;
  /** Deadline that the caller asks for, from arrival. */
  readonly deadlineMs: number | undefined;
}

/** A request for a generation. */
export interface GenerationAsk extends RequestHead {
  readonly kind: "completion" | "chat";
  readonly model: core.ModelName;
  /** Text of the prompt or of all messages, for size and prefixes. */
  readonly promptText: string;
  readonly maxTokens: number | undefined;
  readonly seed: number | undefined;
  readonly streamed: boolean;
  /** Fields that go to the engine as they are. */
  readonly body: Readonly<Record<string, unknown>>;
  /** Cursor of the last event that the caller has received. */
  readonly cursor: string | undefined;
}

/** Takes a generation's tokens. */
export interface TokenSink {
  /** Takes one token; `cursor` resumes after it. */
  writeToken(text: string, cursor: string): void;
  /** Forgets what was written; `false` if the caller has some of it already. */
  reset(): boolean;
  /** Resolves when more may be written; `undefined` at once. */
  waitForRoom(): Promise<void> | undefined;
}

/** The end of a whole generation. */
export interface GenerationEnd {
  readonly finishReason: string;
  readonly promptTokens: number;
  /** Tokens of the whole generation. */
  readonly completionTokens: number;
}

/** A call to a plain service. */
export interface ServiceAsk extends RequestHead {
  readonly service: core.ServiceName;
  readonly method: string;
  /** Path below the service, from its `/`, without the query. */
  readonly path: string;
  /** Query with its `?`, or empty. */
  readonly query: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array | undefined;
  readonly idempotencyKey: string | undefined;
}

/** A plain service's answer. */
export interface ServiceReply {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** Result of handling a request. */
export type Handled<T> = Promise<neverthrow.Result<T, core.RequestProblem>>;

/** Serves callers' requests. */
export interface RequestHandler {
  generate(
    ask: GenerationAsk,
    sink: TokenSink,
    options: { readonly signal: AbortSignal },
  ): Handled<GenerationEnd>;
  call(
    ask: ServiceAsk,
    options: { readonly signal: AbortSignal },
  ): Handled<ServiceReply>;
  /** Whether new requests should be sent here. */
  isReady(): boolean;
  /** Metrics in the Prometheus text format. */
  readMetrics(): Promise<string>;
}
