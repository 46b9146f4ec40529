/**
 * Passes a generation's tokens on once, in order. Tokens that the caller has
 * already are dropped; when the generation was run anew, they are compared.
 */

import * as callers from "@peridotvale/callers";
import type * as engines from "@peridotvale/engines";

/** Position of the caller in its generation. */
export interface RelayPosition {
  readonly delivered: number;
  readonly prefixHash: bigint;
}

/** How a relayed attempt has ended, besides an error of the engine. */
export type RelayFault = "gap" | "diverged" | "overrun";

/** Listens to the pace of a relay. */
export interface RelayObserver {
  /** Called for each new token before it is passed on. */
  onToken(): void;
}

/** The sink of one attempt at a generation. */
export class TokenRelay implements engines.EngineEventSink {
  readonly #sink: callers.TokenSink;
  readonly #cursors: callers.CursorWriter;
  readonly #observer: RelayObserver;
  readonly #maxTokens: number;
  /** Sequence number of the next event. */
  #next: number;
  #comparedHash = 0n;
  #fault: RelayFault | undefined;
  #end: Extract<engines.EngineEvent, { readonly type: "end" }> | undefined;

  constructor(
    sink: callers.TokenSink,
    cursors: callers.CursorWriter,
    options: {
      readonly observer: RelayObserver;
      readonly maxTokens: number;
      /** Whether the generation was run anew, so that its tokens come from the first. */
      readonly compare: boolean;
    },
  ) {
    this.#sink = sink;
    this.#cursors = cursors;
    this.#observer = options.observer;
    this.#maxTokens = options.maxTokens;
    this.#next = options.compare ? 0 : cursors.delivered;
  }

  /** What went wrong, if anything. */
  get fault(): RelayFault | undefined {
    return this.#fault;
  }

  /** The generation's end, if it was reached. */
  get end():
    | Extract<engines.EngineEvent, { readonly type: "end" }>
    | undefined {
    return this.#end;
  }

  onEvent(event: engines.EngineEvent): boolean {
    if (event.type === "failed") return true;
    if (event.sequence < this.#next) return event.type === "token";
    if (event.sequence > this.#next) return this.#stop("gap");
    if (event.type === "end") return this.#applyEnd(event);
    this.#next += 1;
    if (event.sequence < this.#cursors.delivered) {
      return this.#compareToken(event.text);
    }
    if (event.sequence >= this.#maxTokens) return this.#stop("overrun");
    this.#observer.onToken();
    this.#sink.writeToken(event.text, this.#cursors.writeToken(event.text));
    return true;
  }

  waitForRoom(): Promise<void> | undefined {
    return this.#sink.waitForRoom();
  }

  #applyEnd(
    event: Extract<engines.EngineEvent, { readonly type: "end" }>,
  ): boolean {
    if (event.sequence < this.#cursors.delivered) return this.#stop("diverged");
    this.#end = event;
    return true;
  }

  #compareToken(text: string): boolean {
    this.#comparedHash = callers.computePrefixHash(text, this.#comparedHash);
    if (this.#next < this.#cursors.delivered) return true;
    if (this.#comparedHash === this.#cursors.prefixHash) return true;
    return this.#stop("diverged");
  }

  #stop(fault: RelayFault): boolean {
    this.#fault = fault;
    return false;
  }
}
