/**
 * Collects the body of an endpoint's answer within the account of callers' memory. An answer that
 * has to wait for room is not read on; if there is none in time, the answer is cut off.
 */

import * as core from "@peridotvale/core";
import type * as policy from "@peridotvale/policy";
import type * as pools from "./connection_pool.ts";
import type * as memories from "./memory_agent.ts";

export interface AnswerCollectorOptions {
  readonly memory: memories.MemoryAgent;
  readonly holder: policy.MemoryHolder;
  readonly maxBytes: number;
  readonly getExchange: () => pools.Exchange | undefined;
}

export class AnswerCollector {
  readonly #options: AnswerCollectorOptions;
  readonly #collector = new core.ByteCollector();
  #announcedBytes = 0;
  /** Capacity that the account has granted. */
  #grantedBytes = 0;
  #isWaiting = false;
  #hasEnded = false;

  constructor(options: AnswerCollectorOptions) {
    this.#options = options;
  }

  /** Asks for room for all of an answer whose head announces its length. */
  startAnswer(headers: readonly string[]): void {
    for (let i = 0; i + 1 < headers.length; i += 2) {
      if (headers[i]!.toLowerCase() !== "content-length") continue;
      const length = Number(headers[i + 1]);
      if (length > 0 && length <= this.#options.maxBytes) this.#announcedBytes = length;
    }
    if (this.#announcedBytes > 0) this.#acquireCapacity(this.#announcedBytes);
  }

  add(chunk: Buffer): void {
    if (this.#collector.length > 0) this.#options.memory.recordPiece(chunk.length);
    if (this.#hasEnded) return;
    const length = this.#collector.length + chunk.length;
    if (length > this.#options.maxBytes) return this.#abort("answer too large");
    const isWhole = this.#collector.length === 0 && chunk.length === this.#announcedBytes;
    if (!isWhole) this.#collector.makeRoom(length, this.#grantedBytes);
    this.#collector.add(chunk);
    if (length <= this.#grantedBytes || this.#isWaiting) return;
    this.#acquireCapacity(Math.min(this.#options.maxBytes, 2 * length));
  }

  /** Returns the complete body; its bytes stay charged until the request ends. */
  finish(): Buffer {
    this.#hasEnded = true;
    const body = this.#collector.take();
    const { memory, holder } = this.#options;
    memory.charge(holder, "answer", body.length - this.#grantedBytes);
    return body;
  }

  /** Gives back what was collected of an answer that is not used. */
  drop(): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    this.#collector.drop();
    this.#options.memory.charge(this.#options.holder, "answer", -this.#grantedBytes);
  }

  #acquireCapacity(capacity: number): void {
    const { memory, holder, getExchange } = this.#options;
    const bytes = capacity - this.#grantedBytes;
    const decision = memory.acquireRoom(holder, { kind: "answer", bytes }, (isGranted) => {
      this.#isWaiting = false;
      if (this.#hasEnded) return void (isGranted && memory.charge(holder, "answer", -bytes));
      if (!isGranted) return this.#abort("memory exhausted");
      this.#grantedBytes = capacity;
      getExchange()?.resume();
    });
    if (decision === "granted") this.#grantedBytes = capacity;
    if (decision === "refused") this.#abort("memory exhausted");
    if (decision !== "waiting") return;
    this.#isWaiting = true;
    getExchange()?.pause();
  }

  #abort(reason: string): void {
    this.drop();
    this.#options.getExchange()?.abort(reason);
  }
}
