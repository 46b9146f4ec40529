/** Keeps each rank's floor: a share of served tokens that other ranks cannot take. */

import type * as core from "@peridotvale/core";

/** Most tokens that a rank may be owed. */
const MAX_CREDIT_TOKENS = 20_000;

/** Counts what each waiting rank is owed. */
export class RankShares {
  readonly #credits = new Map<core.RankName, number>();

  /** Records tokens served to `rank` while the ranks in `waiting` had work queued. */
  recordServed(
    rank: core.RankName,
    tokens: number,
    options: { readonly floors: ReadonlyMap<core.RankName, number> },
  ): void {
    for (const [name, floor] of options.floors) {
      const earned = tokens * floor - (name === rank ? tokens : 0);
      this.#addCredit(name, earned);
    }
  }

  /** Whether `rank` has received less than its floor. */
  isOwed(rank: core.RankName): boolean {
    return (this.#credits.get(rank) ?? 0) > 0;
  }

  #addCredit(rank: core.RankName, tokens: number): void {
    const credit = (this.#credits.get(rank) ?? 0) + tokens;
    const clamped = Math.min(
      MAX_CREDIT_TOKENS,
      Math.max(-MAX_CREDIT_TOKENS, credit),
    );
    this.#credits.set(rank, clamped);
  }
}
