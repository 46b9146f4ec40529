/** What an adapter translates between a platform's headers and the gateway's types. */

import type * as core from "@peridotvale/core";

/** Header names and values in turn, as they came over the wire. */
export type RawHeaders = readonly string[];

/** A part of a prompt that other requests may share. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What a generation declares of itself. */
export interface GenerationHead {
  readonly model: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** In the order of the prompt; the last belongs to the request or its session. */
  readonly parts: readonly PromptPart[];
  /** The caller's estimate of the output's length, often far off. */
  readonly expectedOutputTokens: number | undefined;
}

/** What a caller says in the head of a request. */
export interface RequestHead {
  readonly id: core.RequestId | undefined;
  readonly deadlineMs: number | undefined;
  readonly apiKey: string | undefined;
  readonly generation: GenerationHead | undefined;
}

/** The memory of a generation that another engine holds. */
export interface GenerationMemory {
  /** The engine that the generation ran at. */
  readonly source: core.EndpointId;
  readonly handle: string;
  /** Id of the last event that the caller has. */
  readonly lastEventId: string | undefined;
}

/** What the gateway adds to a request on its way to an endpoint. */
export interface ForwardFields {
  readonly remainingMs: number;
  /** The instance that alone may run the request. */
  readonly instance: core.InstanceId;
  readonly workspace: core.WorkspaceName | undefined;
  /** 0 is first; undefined leaves the endpoint's default. */
  readonly urgency: number | undefined;
  /** Set where the request goes on from another engine's memory. */
  readonly memory: GenerationMemory | undefined;
}

/** What an endpoint says in the head of an answer. */
export interface AnswerHead {
  /** The request that the answer belongs to. */
  readonly request: string | undefined;
  /** The endpoint says that it has not run the request. */
  readonly isNotRun: boolean;
  /** Another instance has the address. */
  readonly isMisdirected: boolean;
  /** Whether the endpoint vouches for the answer. */
  readonly isGenuine: boolean;
  /** The endpoint closes the connection, as one that leaves does. */
  readonly isClosing: boolean;
  /** Whether the body is encoded, and so not the endpoint's own. */
  readonly isEncoded: boolean;
}

/** Translates heads of requests and answers. */
export interface HeaderCodec {
  decodeRequest(headers: RawHeaders): RequestHead;
  /** Creates the headers of a forwarded request from those of the caller. */
  encodeRequest(headers: RawHeaders, fields: ForwardFields): string[];
  decodeAnswer(status: number, headers: RawHeaders): AnswerHead;
  /** Creates the headers of an answer to a caller from those of the endpoint. */
  encodeAnswer(headers: RawHeaders): string[];
}
