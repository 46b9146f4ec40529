/** Which process owns which engines: weighted rendezvous hashing inside a zone. */

import * as core from "@peridotvale/core";

/** A process that can own. */
export interface OwnerCandidate {
  readonly process: core.ProcessId;
  readonly zone: core.ZoneName;
  readonly cores: number;
  readonly draining: boolean;
}

/** A group of engines that one process owns. */
export interface EngineGroup {
  readonly zone: core.ZoneName;
  readonly index: number;
}

/** Engines of one group, about. */
export const GROUP_SIZE = 16;

const TWO_POW_32 = 4294967296;

/** Number of groups of a zone with `engineCount` engines. */
export function countGroups(engineCount: number): number {
  return Math.max(1, Math.ceil(engineCount / GROUP_SIZE));
}

/** The group of an engine; moves few engines when the number of groups changes. */
export function getGroup(
  endpoint: core.EndpointId,
  options: { readonly zone: core.ZoneName; readonly engineCount: number },
): EngineGroup {
  const count = countGroups(options.engineCount);
  let best = 0;
  let bestScore = -1;
  for (let index = 0; index < count; index++) {
    const score = core.computeHash32(`${endpoint}|${index}`);
    if (score <= bestScore) continue;
    best = index;
    bestScore = score;
  }
  return { zone: options.zone, index: best };
}

/** The owner of a group among `candidates`, or `undefined` if its zone has none. */
export function chooseOwner(
  group: EngineGroup,
  candidates: readonly OwnerCandidate[],
): core.ProcessId | undefined {
  return rankOwners(`${group.zone}/${group.index}`, group.zone, { candidates, count: 1 })[0];
}

/** The processes of a zone that take on a named duty: the first `count` by rendezvous hash. */
export function rankOwners(
  duty: string,
  zone: core.ZoneName,
  options: { readonly candidates: readonly OwnerCandidate[]; readonly count: number },
): core.ProcessId[] {
  const scored: { readonly process: core.ProcessId; readonly score: number }[] = [];
  for (const candidate of options.candidates) {
    if (candidate.zone !== zone || candidate.draining) continue;
    scored.push({ process: candidate.process, score: computeScore(duty, candidate) });
  }
  scored.sort((a, b) => b.score - a.score || (a.process < b.process ? -1 : 1));
  return scored.slice(0, options.count).map((entry) => entry.process);
}

/** The weighted rendezvous score `-weight / ln(u)` with `u` uniform in (0, 1). */
function computeScore(duty: string, candidate: OwnerCandidate): number {
  const uniform = (core.computeHash32(`${duty}|${candidate.process}`) + 0.5) / TWO_POW_32;
  return -candidate.cores / Math.log(uniform);
}
