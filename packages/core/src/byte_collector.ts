/**
 * Merges the pieces of a body into one buffer as they arrive. A piece of one byte costs several
 * hundred bytes while it is kept as an object of its own.
 */

import type * as stream from "node:stream";

const LINE_FEED = 0x0a;
/** Smallest buffer of a collector that increases its capacity by itself. */
const MIN_CAPACITY = 256;
/** Capacity that a collector of more than that keeps beyond its length. */
const HEADROOM_BYTES = 64 * 1024;

/** Collects pieces; the first one is not copied unless another one follows. */
export class ByteCollector {
  #bytes: Buffer | undefined;
  #length = 0;

  get length(): number {
    return this.#length;
  }

  /** Bytes that the collector holds memory for. */
  get capacity(): number {
    return this.#bytes?.length ?? 0;
  }

  /** What was collected so far. The next piece may be written behind it. */
  get bytes(): Buffer {
    return this.#bytes?.subarray(0, this.#length) ?? Buffer.alloc(0);
  }

  /**
   * Adds a copy of a piece. The capacity grows by a factor, so that the time for all pieces is
   * proportional to their bytes.
   */
  addCopy(piece: Buffer): void {
    const length = this.#length + piece.length;
    if (length > this.capacity) {
      this.updateCapacity(Math.max(MIN_CAPACITY, length, 2 * this.capacity));
    }
    this.add(piece);
  }

  /** Adds a piece; there must be capacity for it, or it must be the first. */
  add(piece: Buffer): void {
    if (this.#bytes === undefined) this.#bytes = piece;
    else piece.copy(this.#bytes, this.#length);
    this.#length += piece.length;
  }

  /**
   * Increases the capacity to at least `length`, with headroom: pieces that arrive while the sender
   * is being paused are not copied one by one.
   */
  makeRoom(length: number, minCapacity: number): void {
    if (length <= this.capacity) return;
    const capacity = length <= HEADROOM_BYTES
      ? Math.max(length, Math.min(2 * this.capacity, HEADROOM_BYTES))
      : length + HEADROOM_BYTES;
    this.updateCapacity(Math.max(capacity, minCapacity));
  }

  /** Increases the capacity. Memory that was not written to is not resident. */
  updateCapacity(capacity: number): void {
    if (capacity <= this.capacity) return;
    const grown = Buffer.allocUnsafeSlow(capacity);
    this.#bytes?.copy(grown, 0, 0, this.#length);
    this.#bytes = grown;
  }

  /** Returns what was collected, and drops it. */
  take(): Buffer {
    const { bytes } = this;
    this.drop();
    return bytes;
  }

  drop(): void {
    this.#bytes = undefined;
    this.#length = 0;
  }
}

/**
 * Reads a body into one buffer. Rejects, and destroys the body, if it has more than `maxBytes` or
 * fails.
 */
export function collectBody(body: stream.Readable, maxBytes: number): Promise<Buffer> {
  const collector = new ByteCollector();
  return new Promise((resolve, reject) => {
    body.on("data", (piece: Buffer) => {
      if (body.destroyed) return;
      if (collector.length + piece.length <= maxBytes) return collector.addCopy(piece);
      body.destroy(new BodyTooLargeError(maxBytes));
    });
    body.once("end", () => resolve(collector.take()));
    body.once("error", reject);
    body.once("close", () => reject(new Error("the body was cut off")));
  });
}

/**
 * Splits a stream of bytes into lines. An incomplete line is kept in one buffer and not searched
 * again.
 */
export class LineSplitter {
  readonly #incompleteLine = new ByteCollector();
  readonly #maxLineBytes: number;

  constructor(maxLineBytes: number) {
    this.#maxLineBytes = maxLineBytes;
  }

  /**
   * Adds the next bytes of the stream; returns the lines that are now complete, without their line
   * feeds. Throws a {@linkcode BodyTooLargeError} if the incomplete line is too long.
   */
  push(chunk: Buffer): string[] {
    const lines: string[] = [];
    let start = 0;
    for (;;) {
      const end = chunk.indexOf(LINE_FEED, start);
      if (end < 0) break;
      this.#incompleteLine.addCopy(chunk.subarray(start, end));
      lines.push(this.#incompleteLine.take().toString("utf8"));
      start = end + 1;
    }
    if (start < chunk.length) this.#incompleteLine.addCopy(chunk.subarray(start));
    if (this.#incompleteLine.length <= this.#maxLineBytes) return lines;
    throw new BodyTooLargeError(this.#maxLineBytes);
  }
}

/** Thrown when a body exceeds the size limit of its reader. */
export class BodyTooLargeError extends Error {
  override readonly name = "BodyTooLargeError";
  constructor(maxBytes: number) {
    super(`body exceeds ${maxBytes} bytes`);
  }
}
