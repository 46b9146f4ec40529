/** Which prompt prefixes an engine probably holds in its cache. */

import type * as types from "./scheduler_types.ts";

/** Most prefixes remembered per engine. */
const MAX_PREFIXES = 4096;

/** A bounded set of prefix hashes, least recently used out first. */
export class PrefixBelief {
  readonly #seen = new Map<number, true>();

  /** Records that the engine has processed a prompt with these prefixes. */
  recordPrompt(prefixes: readonly number[]): void {
    for (const prefix of prefixes) {
      this.#seen.delete(prefix);
      this.#seen.set(prefix, true);
    }
    for (const oldest of this.#seen.keys()) {
      if (this.#seen.size <= MAX_PREFIXES) return;
      this.#seen.delete(oldest);
    }
  }

  /** Applies what the engine has published; after a gap, everything older is forgotten. */
  applyChange(change: types.CacheChange): void {
    if (change.gap) this.#seen.clear();
    this.recordPrompt(change.added);
    for (const prefix of change.removed) this.#seen.delete(prefix);
  }

  /** Share of the prompt that is probably cached, 0 to 1. */
  computeCachedShare(prefixes: readonly number[]): number {
    for (let index = prefixes.length - 1; index >= 0; index--) {
      if (this.#seen.has(prefixes[index]!)) {
        return (index + 1) / prefixes.length;
      }
    }
    return 0;
  }
}
