/** One engine's part of a stream: the exchange that delivers its events. */

import type * as core from "@peridotvale/core";
import * as answers from "./answer_check.ts";
import type * as codec from "./codec.ts";
import type * as pools from "./connection_pool.ts";
import * as splitters from "./event_splitter.ts";

/** How a leg ended. */
export type LegEnd =
  /** The engine ended the stream as whole. */
  | { readonly type: "whole" }
  /** The engine answered with a failure of its own. */
  | {
    readonly type: "failed";
    readonly status: number;
    readonly headers: codec.RawHeaders;
    readonly body: Buffer;
  }
  | {
    readonly type: "broken";
    readonly outcome: core.FailureOutcome;
    readonly reason: string;
  };

/** Receives what comes over a leg. */
export interface LegListener {
  /** The engine runs the request; events follow. */
  onStart(status: number, headers: codec.RawHeaders): void;
  onEvents(events: readonly splitters.StreamEvent[]): void;
  onLegEnd(end: LegEnd): void;
}

const FIRST_FAILURE_STATUS = 300;
/** Largest failure body of an engine. */
const MAX_FAILURE_BYTES = 1024 * 1024;
/** Largest event; engines send some hundred bytes. One that never ends would fill memory. */
const MAX_EVENT_BYTES = 1024 * 1024;

/** Turns the bytes of an exchange into events. */
export class StreamLeg implements pools.ExchangeListener {
  readonly endpoint: core.EndpointRecord;
  readonly #request: core.RequestId;
  readonly #codec: codec.HeaderCodec;
  readonly #listener: LegListener;
  readonly #splitter = new splitters.EventSplitter();
  readonly #failureChunks: Buffer[] = [];
  #exchange: pools.Exchange | undefined;
  #isSent = false;
  #hasEnded = false;
  #fault: answers.AnswerFault | undefined;
  #status = 0;
  #headers: codec.RawHeaders = [];

  constructor(options: {
    readonly endpoint: core.EndpointRecord;
    readonly request: core.RequestId;
    readonly codec: codec.HeaderCodec;
    readonly listener: LegListener;
  }) {
    this.endpoint = options.endpoint;
    this.#request = options.request;
    this.#codec = options.codec;
    this.#listener = options.listener;
  }

  get hasEnded(): boolean {
    return this.#hasEnded;
  }

  start(exchange: pools.Exchange): void {
    this.#exchange = exchange;
    if (this.#hasEnded) exchange.abort("ended");
  }

  /** Ends the leg; the engine sees its connection closed. */
  abort(reason: string): void {
    if (this.#hasEnded) return;
    this.#end({ type: "broken", outcome: this.#isSent ? "unknown" : "not_run", reason });
    this.#exchange?.abort(reason);
  }

  pause(): void {
    this.#exchange?.pause();
  }

  resume(): void {
    this.#exchange?.resume();
  }

  onSent(): void {
    this.#isSent = true;
  }

  onHead(status: number, headers: codec.RawHeaders): void {
    const head = this.#codec.decodeAnswer(status, headers);
    this.#status = status;
    this.#headers = headers;
    this.#fault = answers.findAnswerFault(status, head, this.#request);
    if (this.#fault?.outcome === "unknown") return this.abort(this.#fault.reason);
    if (this.#hasEnded || this.#fault !== undefined || status >= FIRST_FAILURE_STATUS) return;
    this.#listener.onStart(status, headers);
  }

  onData(chunk: Buffer): void {
    if (this.#hasEnded || this.#fault !== undefined) return;
    if (this.#status >= FIRST_FAILURE_STATUS) {
      this.#failureChunks.push(chunk);
      const size = this.#failureChunks.reduce((sum, part) => sum + part.length, 0);
      if (size > MAX_FAILURE_BYTES) this.abort("failure too large");
      return;
    }
    const events = this.#splitter.push(chunk);
    if (events.length > 0) this.#listener.onEvents(events);
    if (this.#splitter.pendingBytes > MAX_EVENT_BYTES) this.abort("event too large");
  }

  onEnd(): boolean {
    const fault = this.#fault;
    if (fault !== undefined) {
      this.#end({ type: "broken", outcome: fault.outcome, reason: fault.reason });
      return fault.outcome === "not_run";
    }
    if (this.#status >= FIRST_FAILURE_STATUS) {
      const body = Buffer.concat(this.#failureChunks);
      this.#end({ type: "failed", status: this.#status, headers: this.#headers, body });
      return true;
    }
    if (this.#splitter.pendingBytes > 0) {
      this.#end({ type: "broken", outcome: "unknown", reason: "ended within an event" });
      return false;
    }
    this.#end({ type: "whole" });
    return true;
  }

  onError(error: Error): void {
    const outcome = this.#isSent ? "unknown" as const : "not_run" as const;
    const prefix = this.#isSent ? "broken" : "not_sent";
    this.#end({ type: "broken", outcome, reason: `${prefix}: ${error.message}` });
  }

  #end(end: LegEnd): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    this.#listener.onLegEnd(end);
  }
}
