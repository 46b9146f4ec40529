/**
 * Decides which process owns which engines, by weighted rendezvous hashing within
 * a zone. When a process leaves, only the groups that it owned get a new owner.
 */

import * as core from "@peridotvale/core";

/** A process that can own engine groups. */
export interface OwnerCandidate {
  readonly process: core.ProcessId;
  readonly zone: core.ZoneName;
  readonly cores: number;
  readonly draining: boolean;
}

/** A group of engines that have the same owner. */
export interface EngineGroup {
  readonly zone: core.ZoneName;
  readonly index: number;
}

/** Approximate number of engines in a group. */
export const ENGINES_PER_GROUP = 16;

const TWO_POW_32 = 4294967296;

/** Returns the number of groups in a zone with `engineCount` engines. */
export function countGroups(engineCount: number): number {
  return Math.max(1, Math.ceil(engineCount / ENGINES_PER_GROUP));
}

/** Returns the group of an engine. Few engines change group when the number of groups changes. */
export function getGroup(
  endpoint: core.EndpointId,
  options: { readonly zone: core.ZoneName; readonly engineCount: number },
): EngineGroup {
  const groupCount = countGroups(options.engineCount);
  let bestIndex = 0;
  let bestScore = -1;
  for (let index = 0; index < groupCount; index++) {
    const score = core.computeHash32(`${endpoint}|${index}`);
    if (score <= bestScore) continue;
    bestIndex = index;
    bestScore = score;
  }
  return { zone: options.zone, index: bestIndex };
}

/** Returns the owner of a group, or `undefined` if its zone has no candidate. */
export function chooseOwner(
  group: EngineGroup,
  candidates: readonly OwnerCandidate[],
): core.ProcessId | undefined {
  return rankOwners(`${group.zone}/${group.index}`, group.zone, { candidates, count: 1 })[0];
}

/**
 * Returns the `count` processes of a zone with the highest rendezvous scores for
 * `hashKey`, best first. The key names an engine group or a task of the zone.
 */
export function rankOwners(
  hashKey: string,
  zone: core.ZoneName,
  options: { readonly candidates: readonly OwnerCandidate[]; readonly count: number },
): core.ProcessId[] {
  const scoredProcesses: { readonly process: core.ProcessId; readonly score: number }[] = [];
  for (const candidate of options.candidates) {
    if (candidate.zone !== zone || candidate.draining) continue;
    scoredProcesses.push({ process: candidate.process, score: computeScore(hashKey, candidate) });
  }
  scoredProcesses.sort((a, b) => b.score - a.score || (a.process < b.process ? -1 : 1));
  return scoredProcesses.slice(0, options.count).map((scored) => scored.process);
}

/** Returns the weighted rendezvous score `-weight / ln(u)`, with `u` uniform in (0, 1). */
function computeScore(hashKey: string, candidate: OwnerCandidate): number {
  const uniformValue = (core.computeHash32(`${hashKey}|${candidate.process}`) + 0.5) / TWO_POW_32;
  return -candidate.cores / Math.log(uniformValue);
}
