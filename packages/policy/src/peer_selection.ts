/**
 * Chooses the peers that a process keeps links to. Keeps the number of links bounded in
 * large fleets, where a full mesh would need too many.
 */

import * as core from "@peridotvale/core";

export interface PeerCandidate {
  readonly process: core.ProcessId;
  readonly zone: core.ZoneName;
}

/** Chooses the peers that `self` links to. */
export interface PeerSelector {
  choosePeers(
    self: PeerCandidate,
    candidates: readonly PeerCandidate[],
  ): core.ProcessId[];
}

/** Maximum number of processes of a zone in which each process links to all others. */
export const MAX_FULL_MESH_PROCESSES = 8;
const PEERS_PER_REMOTE_ZONE = 2;

/**
 * Links to all peers of the own zone while the zone is small, else to the successors at
 * distances 1, 2, 4, ... on a hash ring. Links to a fixed number of peers in each other zone.
 */
export class RingPeerSelector implements PeerSelector {
  choosePeers(
    self: PeerCandidate,
    candidates: readonly PeerCandidate[],
  ): core.ProcessId[] {
    const membersByZone = new Map<core.ZoneName, core.ProcessId[]>();
    for (const candidate of candidates) {
      if (candidate.process === self.process) continue;
      const members = membersByZone.get(candidate.zone) ?? [];
      members.push(candidate.process);
      membersByZone.set(candidate.zone, members);
    }
    const chosenPeers: core.ProcessId[] = [];
    for (const [zone, members] of membersByZone) {
      if (zone === self.zone) chosenPeers.push(...chooseInOwnZone(self.process, members));
      else chosenPeers.push(...chooseInRemoteZone(self.process, members));
    }
    return chosenPeers;
  }
}

function chooseInOwnZone(
  self: core.ProcessId,
  others: readonly core.ProcessId[],
): core.ProcessId[] {
  if (others.length < MAX_FULL_MESH_PROCESSES) return [...others];
  const ring = [...others, self].sort(compareByHash);
  const selfIndex = ring.indexOf(self);
  const chosenPeers: core.ProcessId[] = [];
  for (let distance = 1; distance < ring.length; distance *= 2) {
    chosenPeers.push(ring[(selfIndex + distance) % ring.length]!);
  }
  return chosenPeers;
}

function chooseInRemoteZone(
  self: core.ProcessId,
  others: readonly core.ProcessId[],
): core.ProcessId[] {
  const scoredPeers = others.map((process) => ({
    process,
    score: core.computeHash32(`${self}|${process}`),
  }));
  scoredPeers.sort((a, b) => a.score - b.score);
  return scoredPeers.slice(0, PEERS_PER_REMOTE_ZONE).map((entry) => entry.process);
}

function compareByHash(a: core.ProcessId, b: core.ProcessId): number {
  return core.computeHash32(a) - core.computeHash32(b) || (a < b ? -1 : 1);
}
