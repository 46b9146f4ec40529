/**
 * Enforces the floor of each rank: the share of served tokens that the rank receives at least.
 * Without a floor, a flood of urgent requests would starve the less urgent ranks.
 */

import type * as core from "@peridotvale/core";

/** Maximum credit or debt of a rank; limits how long past service affects the order of ranks. */
const MAX_CREDIT_TOKENS = 20_000;

/** Tracks each rank's credit: the number of tokens that the rank lacks to reach its floor. */
export class RankCredits {
  readonly #credits = new Map<core.RankName, number>();

  /**
   * Records tokens served to `rank`; a negative number is a refund. `floors` holds the floors
   * of this rank and of the ranks that have queued requests.
   */
  recordServed(
    rank: core.RankName,
    tokens: number,
    options: { readonly floors: ReadonlyMap<core.RankName, number> },
  ): void {
    for (const [name, floor] of options.floors) {
      const creditTokens = tokens * floor - (name === rank ? tokens : 0);
      this.#addCredit(name, creditTokens);
    }
  }

  /** Whether `rank` has received less than its floor. */
  isBelowFloor(rank: core.RankName): boolean {
    return (this.#credits.get(rank) ?? 0) > 0;
  }

  #addCredit(rank: core.RankName, tokens: number): void {
    const creditTokens = (this.#credits.get(rank) ?? 0) + tokens;
    const clampedTokens = Math.min(
      MAX_CREDIT_TOKENS,
      Math.max(-MAX_CREDIT_TOKENS, creditTokens),
    );
    this.#credits.set(rank, clampedTokens);
  }
}
