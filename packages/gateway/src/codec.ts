/** Declares the interface that converts a platform's HTTP headers to the gateway's own types. */

import type * as core from "@peridotvale/core";

/** Alternating header names and values, exactly as received. */
export type RawHeaders = readonly string[];

/** Section of a prompt that other requests may share as a prefix. */
export interface PromptPart {
  readonly id: core.PromptPartId;
  readonly tokens: number;
}

/** Parameters of a generation that its request declares in headers. */
export interface GenerationHead {
  readonly model: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** Sections in the order of the prompt; the last is specific to one request or session. */
  readonly parts: readonly PromptPart[];
  /** The caller's estimate of the output length, which is often far off. */
  readonly expectedOutputTokens: number | undefined;
}

/** Information that a caller gives in the head of a request. */
export interface RequestHead {
  readonly id: core.RequestId | undefined;
  readonly deadlineMs: number | undefined;
  readonly apiKey: string | undefined;
  readonly generation: GenerationHead | undefined;
}

/** Reference to the memory (KV cache) of a generation that another engine holds. */
export interface GenerationMemory {
  /** Engine that the generation ran on. */
  readonly source: core.EndpointId;
  readonly handle: string;
  /** Id of the last event that the caller has received. */
  readonly lastEventId: string | undefined;
}

/** Fields that the gateway adds to a request when it forwards it to an endpoint. */
export interface ForwardFields {
  /** Time limit for the endpoint, slightly shorter than the time left until the deadline. */
  readonly remainingMs: number;
  /** The only instance that may run the request. */
  readonly instance: core.InstanceId;
  readonly workspace: core.WorkspaceName | undefined;
  /** 0 is the most urgent; if undefined, the endpoint applies its default. */
  readonly urgency: number | undefined;
  /** Set if the request continues a generation whose memory another engine holds. */
  readonly memory: GenerationMemory | undefined;
  /**
   * Id of the last event that the caller has received, if the request resumes its stream without
   * the memory of another engine. It replaces the caller's own.
   */
  readonly lastEventId?: string | undefined;
}

/** What an endpoint states of itself in the head of any answer. */
export interface EndpointSignals {
  /** Whether the endpoint leaves. */
  readonly isLeaving: boolean;
  /**
   * Time for which the endpoint accepts nothing from this process, in milliseconds. Undefined if
   * the answer is not a 503, or if it states no such time or one that is not a number of seconds.
   */
  readonly retryAfterMs: number | undefined;
}

/** Information that an endpoint gives in the head of an answer. */
export interface AnswerHead extends EndpointSignals {
  /** Id of the request that the answer belongs to. */
  readonly request: string | undefined;
  /** Whether the endpoint declares that it has not run the request. */
  readonly isRefused: boolean;
  /** Whether the request reached another instance than the one that it was meant for. */
  readonly isMisdirected: boolean;
  /** Whether the answer has the header that shows that the endpoint itself produced it. */
  readonly isGenuine: boolean;
  /** Whether the endpoint closes the connection after the answer, as a leaving endpoint does. */
  readonly isClosing: boolean;
  /**
   * Requests per second that the endpoint takes from all processes together; undefined if it names
   * no limit.
   */
  readonly rateLimitPerS: number | undefined;
  /** Whether the body has a content encoding; if so, an intermediary has changed the answer. */
  readonly isEncoded: boolean;
}

/** Translates the heads of requests and answers. */
export interface HeaderCodec {
  decodeRequest(headers: RawHeaders): RequestHead;
  /** Creates the headers of a forwarded request from the caller's headers. */
  encodeRequest(headers: RawHeaders, forwardFields: ForwardFields): string[];
  decodeAnswer(status: number, headers: RawHeaders): AnswerHead;
  /** Creates the headers of the answer to the caller from the endpoint's headers. */
  encodeAnswer(headers: RawHeaders): string[];
}
