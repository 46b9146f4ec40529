/**
 * Spreads placements over several good engines. Answers many processes that place at once on
 * reports of the same age: if each took the least loaded engine, all would take the same one, and
 * their prompts would wait for each other there.
 */

import type * as core from "@peridotvale/core";

export interface SpreadCandidate {
  /** The lower, the better. */
  readonly score: number;
  /** Increase of the score by one more placement. */
  readonly increment: number;
}

/**
 * Chooses at random among as many of the best candidates as placements of other processes are
 * expected to be unknown, and one more. A candidate that would still be worse after such a placement
 * at the best one is not among them. `unseenStarts` is 0 if the scores are up to date.
 */
export function chooseSpread<T extends SpreadCandidate>(
  candidates: readonly T[],
  unseenStarts: number,
  random: core.RandomSource,
): T | undefined {
  const orderedCandidates = [...candidates].sort((a, b) => a.score - b.score);
  const [best] = orderedCandidates;
  if (best === undefined) return undefined;
  const maxScore = best.score + best.increment;
  const choices = orderedCandidates.slice(0, 1 + Math.floor(unseenStarts))
    .filter((candidate) => candidate.score <= maxScore);
  return choices[Math.floor(random.next() * choices.length)];
}
