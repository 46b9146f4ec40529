/**
 * Reads the body of a request within the account of callers' memory. A body that has to wait for
 * room is not read on; one that is too large, or is refused room, is not read any more and its
 * connection is closed after the answer.
 */

import type * as http from "node:http";
import * as core from "@peridotvale/core";
import * as policy from "@peridotvale/policy";
import type * as memories from "./memory_agent.ts";

export type BodyResult =
  /** `body` is undefined if the request has none. */
  | { readonly type: "complete"; readonly body: Buffer | undefined }
  | { readonly type: "refused"; readonly status: number; readonly reason: string }
  /** The caller disconnected before the body was complete. */
  | { readonly type: "gone" };

export interface BodyReaderOptions {
  readonly incoming: http.IncomingMessage;
  readonly maxBodyBytes: number;
  readonly memory: memories.MemoryAgent;
  readonly holder: policy.MemoryHolder;
}

/** Time for which a caller whose body is not read on can still read its answer. */
const LINGER_MS = 500;
const MIN_CAPACITY = 1024;

export class BodyReader {
  readonly #options: BodyReaderOptions;
  readonly #collector = new core.ByteCollector();
  /** Length that the head announces; undefined if the body is sent in chunks. */
  readonly #announcedBytes: number | undefined;
  /** Capacity that the account has granted. */
  #grantedBytes = 0;
  #isWaiting = false;
  /** Whether the body is not read on because of its many small pieces. */
  #isThrottled = false;
  #hasStopped = false;
  #resolve: ((result: BodyResult) => void) | undefined;

  constructor(options: BodyReaderOptions) {
    this.#options = options;
    const { headers } = options.incoming;
    this.#announcedBytes = headers["transfer-encoding"] === undefined
      ? Number(headers["content-length"] ?? 0)
      : undefined;
  }

  /** Resolves when the body is complete or will not be read any more. */
  read(): Promise<BodyResult> {
    const { incoming, maxBodyBytes } = this.#options;
    if (this.#announcedBytes === 0) {
      incoming.resume();
      const hasLength = incoming.headers["content-length"] !== undefined;
      return Promise.resolve({ type: "complete", body: hasLength ? Buffer.alloc(0) : undefined });
    }
    return new Promise((resolve) => {
      this.#resolve = resolve;
      if ((this.#announcedBytes ?? 0) > maxBodyBytes) {
        this.#refuse(413, "body_too_large");
        return;
      }
      incoming.on("data", (chunk: Buffer) => this.#addChunk(chunk));
      incoming.on("end", () => this.#finish());
      incoming.on("error", () => this.#settle({ type: "gone" }));
      incoming.on("close", () => this.#settle({ type: "gone" }));
      if (this.#announcedBytes !== undefined) this.#acquireCapacity(this.#announcedBytes);
    });
  }

  /** Ends the reading of a body that makes no progress. */
  close(reason: policy.CloseReason): void {
    if (reason === "memory_pressure") this.#refuse(503, "memory_exhausted");
    else this.#refuse(408, reason);
  }

  #addChunk(chunk: Buffer): void {
    const { maxBodyBytes, holder, memory } = this.#options;
    if (this.#hasStopped || this.#collector.length > 0) memory.recordPiece(chunk.length);
    if (this.#hasStopped) return;
    if (this.#collector.length > 0 && chunk.length < policy.SMALL_PIECE_BYTES) this.#checkPieces();
    if (this.#resolve === undefined) return;
    const length = this.#collector.length + chunk.length;
    holder.movedBytes += chunk.length;
    if (length > maxBodyBytes) {
      this.#refuse(413, "body_too_large");
      return;
    }
    const isWhole = this.#collector.length === 0 && chunk.length === this.#announcedBytes;
    if (!isWhole) this.#collector.makeRoom(length, Math.max(MIN_CAPACITY, this.#grantedBytes));
    this.#collector.add(chunk);
    if (length <= this.#grantedBytes || this.#isWaiting) return;
    this.#acquireCapacity(this.#chooseCapacity(length));
  }

  /** Reads a throttled body on. */
  resumeThrottled(): void {
    this.#isThrottled = false;
    this.#resume();
  }

  /** Pauses the body if there are too many small pieces. */
  #checkPieces(): void {
    const { memory, holder } = this.#options;
    if (this.#isThrottled) return;
    const decision = memory.recordSmallPiece(holder);
    if (decision === "refused") this.#refuse(503, "too_many_pieces");
    if (decision !== "waiting") return;
    this.#isThrottled = true;
    this.#pause();
  }

  /** Chooses the next size of a body whose length is not announced. */
  #chooseCapacity(length: number): number {
    const { maxBodyBytes } = this.#options;
    if (length > policy.SMALL_BYTES) return maxBodyBytes;
    return Math.min(maxBodyBytes, policy.SMALL_BYTES, Math.max(4 * MIN_CAPACITY, 2 * length));
  }

  #acquireCapacity(capacity: number): void {
    const { memory, holder } = this.#options;
    const bytes = capacity - this.#grantedBytes;
    const decision = memory.acquireRoom(holder, { kind: "body", bytes }, (isGranted) => {
      if (this.#resolve === undefined) {
        if (isGranted) memory.charge(holder, "body", -bytes);
        return;
      }
      this.#isWaiting = false;
      if (!isGranted) return this.#refuse(503, "memory_exhausted");
      this.#grantedBytes = capacity;
      this.#resume();
    });
    if (decision === "granted") this.#grantedBytes = capacity;
    if (decision === "refused") this.#refuse(503, "memory_exhausted");
    if (decision !== "waiting") return;
    this.#isWaiting = true;
    this.#pause();
  }

  #finish(): void {
    if (this.#resolve === undefined) return;
    const { memory, holder } = this.#options;
    const body = this.#collector.take();
    memory.charge(holder, "body", body.length - this.#grantedBytes);
    // The rest of the body has arrived while the connection was paused.
    if (this.#isWaiting || this.#isThrottled) {
      this.#isWaiting = false;
      this.#isThrottled = false;
      this.#resume();
    }
    this.#settle({ type: "complete", body });
  }

  #refuse(status: number, reason: string): void {
    if (this.#resolve === undefined) return;
    this.stop();
    this.#settle({ type: "refused", status, reason });
  }

  /**
   * Stops reading and drops what was read. Returns whether the connection must be closed after the
   * answer, because a part of the body has not been read.
   */
  stop(): boolean {
    const { memory, holder, incoming } = this.#options;
    incoming.resume();
    if (this.#announcedBytes === 0) return false;
    if (this.#hasStopped) return true;
    this.#hasStopped = true;
    memory.charge(holder, "body", -this.#grantedBytes);
    this.#grantedBytes = 0;
    this.#collector.drop();
    this.#pause();
    const { socket } = incoming;
    // The default closes the connection as soon as the answer is sent. As data of the body has not
    // been read, the caller would receive a reset instead of the answer.
    socket.destroySoon = () => {
      socket.end();
      setTimeout(() => socket.destroy(), LINGER_MS);
    };
    return true;
  }

  #settle(result: BodyResult): void {
    this.#resolve?.(result);
    this.#resolve = undefined;
  }

  /** Stops reading from the connection at once; a stream that is paused reads on for a while. */
  #pause(): void {
    this.#options.incoming._read = () => {};
    this.#options.incoming.socket.pause();
  }

  #resume(): void {
    const { incoming } = this.#options;
    if (this.#isWaiting || this.#isThrottled || this.#hasStopped) return;
    Reflect.deleteProperty(incoming, "_read");
    incoming.socket.resume();
  }
}
