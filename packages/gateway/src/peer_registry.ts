/** Keeps the addresses of the other gateway processes, from the store and from peers. */

import type * as core from "@peridotvale/core";
import type * as peers from "@peridotvale/peers";
import type * as policy from "@peridotvale/policy";

interface KnownPeer {
  readonly target: peers.ProcessAddress;
  readonly learnedAt: number;
  /** Whether the store lists the peer; otherwise only other peers have reported it. */
  readonly isAnnounced: boolean;
  /**
   * Whether the peer's announcement was removed from the store. Such a peer is dropped once it
   * no longer sends reports.
   */
  isWithdrawn: boolean;
  /** Until this time, connections to the peer are assumed to fail; -Infinity without failures. */
  suspectUntil: number;
}

/** Time after which a process that the store does not list is dropped if it sends no reports. */
const UNCONFIRMED_PEER_TTL_MS = 10_000;
/** Time for which a peer that could not be reached is avoided as a hub. */
const SUSPICION_MS = 10_000;

/** Known processes other than this one. */
export class PeerRegistry {
  readonly #self: core.ProcessId;
  readonly #peers = new Map<core.ProcessId, KnownPeer>();

  constructor(self: core.ProcessId) {
    this.#self = self;
  }

  get size(): number {
    return this.#peers.size;
  }

  /**
   * Records a process that the store lists or a peer reports. Returns whether it is new or has a
   * new address.
   */
  addPeer(
    target: peers.ProcessAddress,
    source: { readonly isAnnounced: boolean; readonly now: number },
  ): boolean {
    const { process, zone, address, linkMbps } = target;
    if (process === this.#self) return false;
    const { isAnnounced, now } = source;
    const known = this.#peers.get(process);
    const isUnchanged = known !== undefined && !known.isWithdrawn &&
      known.target.address === address;
    if (isUnchanged && (known.isAnnounced || !isAnnounced)) return false;
    // A changed address is accepted from the store only.
    if (known !== undefined && !isAnnounced) return false;
    this.#peers.set(process, {
      target: { process, zone, address, linkMbps },
      learnedAt: isUnchanged ? known.learnedAt : now,
      isAnnounced,
      isWithdrawn: false,
      suspectUntil: isUnchanged ? known.suspectUntil : -Infinity,
    });
    return true;
  }

  /** Records that the announcement of `process` was removed from the store. */
  recordWithdrawal(process: core.ProcessId): void {
    const known = this.#peers.get(process);
    if (known !== undefined) known.isWithdrawn = true;
  }

  /** Records that connections to `process` fail. Returns whether that is new. */
  recordUnreachable(process: core.ProcessId, now: number): boolean {
    const known = this.#peers.get(process);
    if (known === undefined || now < known.suspectUntil) return false;
    known.suspectUntil = now + SUSPICION_MS;
    return true;
  }

  /**
   * Drops peers that the store does not list and that do not report. Returns whether any peer was
   * dropped.
   */
  expirePeers(now: number, hasReport: (process: core.ProcessId) => boolean): boolean {
    let hasChanged = false;
    for (const [process, known] of this.#peers) {
      const isUnconfirmed = !known.isAnnounced && now - known.learnedAt > UNCONFIRMED_PEER_TTL_MS;
      if (!known.isWithdrawn && !isUnconfirmed) continue;
      if (hasReport(process)) continue;
      this.#peers.delete(process);
      hasChanged = true;
    }
    return hasChanged;
  }

  getAddress(process: core.ProcessId): peers.ProcessAddress | undefined {
    return this.#peers.get(process)?.target;
  }

  listAddresses(): peers.ProcessAddress[] {
    return [...this.#peers.values()].map((known) => known.target);
  }

  listHubCandidates(now: number): policy.HubCandidate[] {
    const candidates: policy.HubCandidate[] = [];
    for (const { target, suspectUntil } of this.#peers.values()) {
      const { process, zone, linkMbps } = target;
      candidates.push({ process, zone, linkMbps, isSuspect: now < suspectUntil });
    }
    return candidates;
  }

  /** Lists the addresses learned at or after `since`, only announced ones if requested. */
  listLearnedSince(
    since: number,
    options: { readonly onlyAnnounced: boolean },
  ): peers.ProcessAddress[] {
    const addresses: peers.ProcessAddress[] = [];
    for (const known of this.#peers.values()) {
      if (known.learnedAt < since || known.isWithdrawn) continue;
      if (options.onlyAnnounced && !known.isAnnounced) continue;
      addresses.push(known.target);
    }
    return addresses;
  }
}
