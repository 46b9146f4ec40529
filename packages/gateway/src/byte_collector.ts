/**
 * Merges the pieces of a body into one buffer as they arrive. A piece of one byte costs several
 * hundred bytes while it is kept as an object of its own.
 */

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

  /** Adds a piece; there must be capacity for it, or it must be the first. */
  add(piece: Buffer): void {
    if (this.#bytes === undefined) this.#bytes = piece;
    else piece.copy(this.#bytes, this.#length);
    this.#length += piece.length;
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
    const bytes = this.#bytes?.subarray(0, this.#length) ?? Buffer.alloc(0);
    this.drop();
    return bytes;
  }

  drop(): void {
    this.#bytes = undefined;
    this.#length = 0;
  }
}
