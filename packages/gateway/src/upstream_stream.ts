/**
 * One engine's part of the stream that a caller receives. Splits the engine's answer into events
 * and reports whether the stream was completed, was refused with an error status or broke off.
 */

import * as core from "@peridotvale/core";
import * as answers from "./answer_check.ts";
import type * as codec from "./codec.ts";
import * as pools from "./connection_pool.ts";
import * as splitters from "./event_splitter.ts";
import type * as requests from "./open_request.ts";

/**
 * Why a stream is broken: the head of an answer showed it, this process ended it, no connection was
 * made, or the connection was lost.
 */
export type BreakCause = "answer" | "aborted" | "connect_failed" | "connection_lost";

export type UpstreamEnd =
  /** The engine ended the stream normally, after a complete event. */
  | {
    readonly type: "whole";
    /**
     * Whether a length or chunks show that nothing is missing. Otherwise the end of the connection
     * is the only sign of the end.
     */
    readonly isFramed: boolean;
  }
  /** The engine answered with a status that is not a success. */
  | {
    readonly type: "failed";
    readonly status: number;
    readonly headers: codec.RawHeaders;
    readonly body: Buffer;
  }
  /** The stream did not start, broke off, or its answer failed the checks. */
  | {
    readonly type: "broken";
    readonly outcome: core.FailureOutcome;
    readonly reason: string;
    readonly cause: BreakCause;
  };

/** Receives the events and the end of an upstream stream. */
export interface UpstreamListener {
  /** Called when a successful answer begins, before its first events. */
  onStart(status: number, headers: codec.RawHeaders): void;
  /** Called with the head of an answer that belongs to the request. */
  onAnswerHead(head: codec.AnswerHead): void;
  onEvents(events: readonly splitters.StreamEvent[]): void;
  onUpstreamEnd(end: UpstreamEnd): void;
}

const FIRST_NON_SUCCESS_STATUS = 300;
/** Maximum size of the body of an error answer; a larger answer is treated as broken. */
const MAX_FAILURE_BODY_BYTES = 1024 * 1024;
/** Maximum size of an event, which bounds the buffer; engines send a few hundred bytes each. */
const MAX_EVENT_BYTES = 1024 * 1024;

/** Receives one engine's answer to a generation and splits it into events. */
export class UpstreamStream implements pools.ExchangeListener {
  readonly endpoint: core.EndpointRecord;
  readonly #request: requests.OpenRequest;
  readonly #codec: codec.HeaderCodec;
  readonly #listener: UpstreamListener;
  readonly #splitter = new splitters.EventSplitter();
  readonly #failureBody = new core.ByteCollector();
  #exchange: pools.Exchange | undefined;
  #hasDelivered: boolean;
  #connectionUse: pools.ConnectionUse | undefined;
  #hasEnded = false;
  #fault: answers.AnswerFault | undefined;
  #unusedBytes = 0;
  #status = 0;
  #headers: codec.RawHeaders = [];

  constructor(options: {
    readonly endpoint: core.EndpointRecord;
    readonly request: requests.OpenRequest;
    readonly codec: codec.HeaderCodec;
    /** Whether the generation has delivered events from another engine before. */
    readonly hasDelivered: boolean;
    readonly listener: UpstreamListener;
  }) {
    this.#hasDelivered = options.hasDelivered;
    this.endpoint = options.endpoint;
    this.#request = options.request;
    this.#codec = options.codec;
    this.#listener = options.listener;
  }

  get hasEnded(): boolean {
    return this.#hasEnded;
  }

  /** The connection that the request was sent on; undefined if it was not sent. */
  get connectionUse(): pools.ConnectionUse | undefined {
    return this.#connectionUse;
  }

  start(exchange: pools.Exchange): void {
    this.#exchange = exchange;
    if (this.#hasEnded) exchange.abort("ended");
  }

  /** Ends the stream and closes the connection to the engine. */
  abort(reason: string): void {
    if (this.#hasEnded) return;
    this.#end({
      type: "broken",
      outcome: this.#connectionUse === undefined ? "not_run" : "unknown",
      reason,
      cause: "aborted",
    });
    this.#exchange?.abort(reason);
  }

  pause(): void {
    this.#exchange?.pause();
  }

  resume(): void {
    this.#exchange?.resume();
  }

  onSent(use: pools.ConnectionUse): void {
    this.#connectionUse = use;
    this.#request.usedConnections.add(use.connection);
  }

  onHead(status: number, headers: codec.RawHeaders): void {
    const head = this.#codec.decodeAnswer(status, headers);
    this.#status = status;
    this.#headers = headers;
    this.#fault = answers.findAnswerFault(status, head, {
      id: this.#request.id,
      isConnectionReused: (this.#connectionUse?.carriedRequests ?? 0) > 0,
    });
    if (this.#fault?.outcome !== "unknown") this.#listener.onAnswerHead(head);
    if (this.#fault?.outcome === "unknown") return this.abort(this.#fault.reason);
    if (this.#hasEnded || this.#fault !== undefined || status >= FIRST_NON_SUCCESS_STATUS) return;
    this.#listener.onStart(status, headers);
  }

  onData(chunk: Buffer): void {
    if (this.#hasEnded) return;
    if (this.#fault !== undefined) return this.#dropUnused(chunk, this.#fault);
    if (this.#status >= FIRST_NON_SUCCESS_STATUS) {
      this.#failureBody.addCopy(chunk);
      this.#request.flow.recordPending(this.#failureBody.length);
      if (this.#failureBody.length > MAX_FAILURE_BODY_BYTES) this.abort("failure too large");
      return;
    }
    const events = this.#splitter.push(chunk);
    if (events.length > 0) {
      this.#hasDelivered = true;
      this.#listener.onEvents(events);
    }
    this.#request.flow.recordPending(this.#splitter.pendingBytes);
    if (this.#splitter.pendingBytes > MAX_EVENT_BYTES) this.abort("event too large");
  }

  onEnd(): boolean {
    const fault = this.#fault;
    if (fault !== undefined) {
      this.#endFaulty(fault);
      return fault.outcome === "not_run";
    }
    if (this.#status >= FIRST_NON_SUCCESS_STATUS) {
      const body = this.#failureBody.take();
      this.#end({ type: "failed", status: this.#status, headers: this.#headers, body });
      return true;
    }
    const isFramed = pools.hasBodyFraming(this.#headers);
    const isUnstarted = !this.#hasDelivered && !isFramed;
    if (this.#splitter.pendingBytes > 0 || isUnstarted) {
      // A connection that delimits the answer ends in the same way if the engine crashes.
      const reason = isUnstarted ? "ended without an event" : "ended within an event";
      this.#end({
        type: "broken",
        outcome: "unknown",
        reason,
        cause: "connection_lost",
      });
      return false;
    }
    this.#end({ type: "whole", isFramed });
    return true;
  }

  onError(error: Error): void {
    const isSent = this.#connectionUse !== undefined;
    const outcome = isSent ? "unknown" as const : "not_run" as const;
    const reasonPrefix = isSent ? "broken" : "not_sent";
    this.#end({
      type: "broken",
      outcome,
      reason: `${reasonPrefix}: ${error.message}`,
      cause: isSent ? "connection_lost" : "connect_failed",
    });
  }

  /** Drops a part of the body of a faulty answer; does not wait for the end of a long one. */
  #dropUnused(chunk: Buffer, fault: answers.AnswerFault): void {
    this.#unusedBytes += chunk.length;
    if (this.#unusedBytes <= answers.MAX_UNUSED_BODY_BYTES) return;
    this.#endFaulty(fault);
    this.#exchange?.abort(fault.reason);
  }

  #endFaulty({ outcome, reason }: answers.AnswerFault): void {
    this.#end({ type: "broken", outcome, reason, cause: "answer" });
  }

  #end(end: UpstreamEnd): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    this.#listener.onUpstreamEnd(end);
  }
}
