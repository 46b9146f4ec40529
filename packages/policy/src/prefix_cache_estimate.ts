/**
 * Estimates which prompt prefixes an engine holds in its cache, from the prompts sent to it
 * and from the cache changes that it publishes.
 */

import type * as types from "./scheduler_types.ts";

const MAX_PREFIXES = 4096;

/** A bounded set of prefix hashes that evicts the least recently used. */
export class PrefixCacheEstimate {
  readonly #recentPrefixes = new Map<number, true>();

  /** Records a prompt that the engine processes, by the hashes of its prefixes. */
  recordPrompt(prefixes: readonly number[]): void {
    for (const prefix of prefixes) {
      this.#recentPrefixes.delete(prefix);
      this.#recentPrefixes.set(prefix, true);
    }
    for (const oldestPrefix of this.#recentPrefixes.keys()) {
      if (this.#recentPrefixes.size <= MAX_PREFIXES) return;
      this.#recentPrefixes.delete(oldestPrefix);
    }
  }

  /** Applies a published change; after a gap in the changes, older prefixes are dropped. */
  applyChange(change: types.CacheChange): void {
    if (change.gap) this.#recentPrefixes.clear();
    this.recordPrompt(change.added);
    for (const prefix of change.removed) this.#recentPrefixes.delete(prefix);
  }

  /** Computes the share of the prompt that is probably cached, from 0 to 1. */
  computeCachedShare(prefixes: readonly number[]): number {
    for (let index = prefixes.length - 1; index >= 0; index--) {
      if (this.#recentPrefixes.has(prefixes[index]!)) {
        return (index + 1) / prefixes.length;
      }
    }
    return 0;
  }
}
