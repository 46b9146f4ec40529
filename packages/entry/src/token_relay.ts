/**
 * Relays the tokens of a generation to the caller in order and exactly once.
 * Drops tokens that the caller has already received. If the generation was run
 * again from the start, the hash of the dropped tokens must match that of the
 * delivered text.
 */

import * as callers from "@peridotvale/callers";
import type * as engines from "@peridotvale/engines";

/** What the caller has received of a generation: the number of tokens and a hash of their text. */
export interface RelayPosition {
  readonly delivered: number;
  readonly prefixHash: bigint;
}

/**
 * Why the relay stopped an attempt: a missing event, a regeneration that differs
 * from the delivered tokens, or more tokens than the limit.
 */
export type RelayFault = "gap" | "diverged" | "overrun";

export interface RelayObserver {
  /** Called for each new token before it is written to the sink. */
  onToken(): void;
}

/** Receives the engine events of one attempt and writes new tokens to the caller's sink. */
export class TokenRelay implements engines.EngineEventSink {
  readonly #sink: callers.TokenSink;
  readonly #cursorWriter: callers.CursorWriter;
  readonly #observer: RelayObserver;
  readonly #maxTokens: number;
  /** Sequence number of the next event. */
  #nextSequence: number;
  #regeneratedHash = 0n;
  #fault: RelayFault | undefined;
  #end: Extract<engines.EngineEvent, { readonly type: "end" }> | undefined;

  constructor(
    sink: callers.TokenSink,
    cursorWriter: callers.CursorWriter,
    options: {
      readonly observer: RelayObserver;
      readonly maxTokens: number;
      /** Whether the generation was rerun, so that its sequence numbers begin at 0 again. */
      readonly isRegenerated: boolean;
    },
  ) {
    this.#sink = sink;
    this.#cursorWriter = cursorWriter;
    this.#observer = options.observer;
    this.#maxTokens = options.maxTokens;
    this.#nextSequence = options.isRegenerated ? 0 : cursorWriter.delivered;
  }

  /** Why the relay stopped the attempt; `undefined` if it did not. */
  get fault(): RelayFault | undefined {
    return this.#fault;
  }

  /** The end event of the generation; `undefined` if it was not reached. */
  get end():
    | Extract<engines.EngineEvent, { readonly type: "end" }>
    | undefined {
    return this.#end;
  }

  onEvent(event: engines.EngineEvent): boolean {
    if (event.type === "failed") return true;
    if (event.sequence < this.#nextSequence) return event.type === "token";
    if (event.sequence > this.#nextSequence) return this.#stop("gap");
    if (event.type === "end") return this.#applyEnd(event);
    this.#nextSequence += 1;
    if (event.sequence < this.#cursorWriter.delivered) {
      return this.#checkRegeneratedToken(event.text);
    }
    if (event.sequence >= this.#maxTokens) return this.#stop("overrun");
    this.#observer.onToken();
    this.#sink.writeToken(event.text, this.#cursorWriter.writeToken(event.text));
    return true;
  }

  waitForWritable(): Promise<void> | undefined {
    return this.#sink.waitForWritable();
  }

  #applyEnd(
    event: Extract<engines.EngineEvent, { readonly type: "end" }>,
  ): boolean {
    if (event.sequence < this.#cursorWriter.delivered) return this.#stop("diverged");
    this.#end = event;
    return true;
  }

  #checkRegeneratedToken(text: string): boolean {
    this.#regeneratedHash = callers.computePrefixHash(text, this.#regeneratedHash);
    if (this.#nextSequence < this.#cursorWriter.delivered) return true;
    if (this.#regeneratedHash === this.#cursorWriter.prefixHash) return true;
    return this.#stop("diverged");
  }

  #stop(fault: RelayFault): boolean {
    this.#fault = fault;
    return false;
  }
}
