/**
 * Merges the pieces of a body into one buffer as they arrive. A piece of one byte costs several
 * hundred bytes while it is kept as an object of its own.
 */

import * as policy from "@peridotvale/policy";

/** Smallest buffer of a collector that increases its capacity by itself. */
const MIN_CAPACITY = 256;

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
  append(piece: Buffer): void {
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
    const capacity = length <= policy.SMALL_BYTES
      ? Math.max(length, Math.min(2 * this.capacity, policy.SMALL_BYTES))
      : length + policy.SMALL_BYTES;
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
