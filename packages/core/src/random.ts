/** Seeded random numbers, so that a decision can be replayed. */

const GOLDEN_RATIO_32 = 0x9e3779b9;
const TWO_POW_32 = 4294967296;

/** A source of uniform random numbers. */
export interface RandomSource {
  /** The next number in [0, 1). */
  next(): number;
}

/** The splitmix32 generator: one 32-bit word of state, reproducible from its seed. */
export class SeededRandom implements RandomSource {
  #state: number;

  constructor(seed: number) {
    this.#state = seed >>> 0;
  }

  next(): number {
    this.#state = (this.#state + GOLDEN_RATIO_32) >>> 0;
    let z = this.#state;
    z = Math.imul(z ^ (z >>> 16), 0x21f0aaad);
    z = Math.imul(z ^ (z >>> 15), 0x735a2d97);
    return ((z ^ (z >>> 15)) >>> 0) / TWO_POW_32;
  }
}

/** Computes a 32-bit FNV-1a hash of `text`, for placement and sharding. */
export function computeHash32(text: string): number {
  let hash = 0x811c9dc5;
  for (let i = 0; i < text.length; i++) {
    hash = Math.imul(hash ^ text.charCodeAt(i), 0x01000193);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
