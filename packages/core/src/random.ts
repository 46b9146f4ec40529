/** Seeded random numbers and hashes, which give equal results when a decision is replayed. */

const GOLDEN_RATIO_32 = 0x9e3779b9;
const TWO_POW_32 = 4294967296;

/** Generates uniformly distributed random numbers. */
export interface RandomSource {
  /** Returns the next number in [0, 1). */
  next(): number;
}

/** A splitmix32 generator, which has 32 bits of state and is reproducible from its seed. */
export class SeededRandom implements RandomSource {
  #state: number;

  constructor(seed: number) {
    this.#state = seed >>> 0;
  }

  next(): number {
    this.#state = (this.#state + GOLDEN_RATIO_32) >>> 0;
    let mixed = this.#state;
    mixed = Math.imul(mixed ^ (mixed >>> 16), 0x21f0aaad);
    mixed = Math.imul(mixed ^ (mixed >>> 15), 0x735a2d97);
    return ((mixed ^ (mixed >>> 15)) >>> 0) / TWO_POW_32;
  }
}

/**
 * Computes a 32-bit hash of `text`, for placement and sharding: FNV-1a over its
 * UTF-16 code units, followed by the finalizer of MurmurHash3.
 */
export function computeHash32(text: string): number {
  let hash = 0x811c9dc5;
  for (let i = 0; i < text.length; i++) {
    hash = Math.imul(hash ^ text.charCodeAt(i), 0x01000193);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
