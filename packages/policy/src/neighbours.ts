/** Chooses the peers that a process keeps links to; their number stays bounded. */

import * as core from "@peridotvale/core";

/** A process that can be a neighbour. */
export interface NeighbourCandidate {
  readonly process: core.ProcessId;
  readonly zone: core.ZoneName;
}

/** Chooses neighbours. */
export interface NeighbourSet {
  chooseNeighbours(
    self: NeighbourCandidate,
    candidates: readonly NeighbourCandidate[],
  ): core.ProcessId[];
}

/** Largest zone in which every process is every other's neighbour. */
export const FULL_MESH_LIMIT = 8;
/** Neighbours in each other zone. */
const REMOTE_NEIGHBOURS = 2;

/**
 * Inside a zone: everyone while the zone is small, else the successors at
 * distances 1, 2, 4, ... on a ring. In each other zone: a few.
 */
export class RingNeighbourSet implements NeighbourSet {
  chooseNeighbours(
    self: NeighbourCandidate,
    candidates: readonly NeighbourCandidate[],
  ): core.ProcessId[] {
    const zones = new Map<core.ZoneName, core.ProcessId[]>();
    for (const candidate of candidates) {
      if (candidate.process === self.process) continue;
      const members = zones.get(candidate.zone) ?? [];
      members.push(candidate.process);
      zones.set(candidate.zone, members);
    }
    const chosen: core.ProcessId[] = [];
    for (const [zone, members] of zones) {
      if (zone === self.zone) chosen.push(...chooseInZone(self.process, members));
      else chosen.push(...chooseRemote(self.process, members));
    }
    return chosen;
  }
}

function chooseInZone(self: core.ProcessId, others: readonly core.ProcessId[]): core.ProcessId[] {
  if (others.length < FULL_MESH_LIMIT) return [...others];
  const ring = [...others, self].sort(compareByHash);
  const start = ring.indexOf(self);
  const chosen: core.ProcessId[] = [];
  for (let distance = 1; distance < ring.length; distance *= 2) {
    chosen.push(ring[(start + distance) % ring.length]!);
  }
  return chosen;
}

function chooseRemote(self: core.ProcessId, others: readonly core.ProcessId[]): core.ProcessId[] {
  const ranked = others.map((process) => ({
    process,
    score: core.computeHash32(`${self}|${process}`),
  }));
  ranked.sort((a, b) => a.score - b.score);
  return ranked.slice(0, REMOTE_NEIGHBOURS).map((entry) => entry.process);
}

function compareByHash(a: core.ProcessId, b: core.ProcessId): number {
  return core.computeHash32(a) - core.computeHash32(b) || (a < b ? -1 : 1);
}
