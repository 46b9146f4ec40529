/**
 * Maintains the links to other gateway processes (peers) and exchanges reports over them: the load
 * that each process places on engines, the endpoints that it has seen leaving, and its view of the
 * store.
 */

import * as core from "@peridotvale/core";
import * as peers from "@peridotvale/peers";
import * as policy from "@peridotvale/policy";
import type * as settingsModule from "./gateway_settings.ts";
import type * as stores from "./routing_store.ts";

/** State of this process that is reported to peers. */
export interface OwnReport {
  readonly loads: readonly policy.EngineLoad[];
  readonly notices: readonly policy.LeaveNotice[];
  readonly store: peers.StoreView | undefined;
}

/** When a peer's report arrived, and how it relates to earlier reports. */
export interface ReportTiming {
  /**
   * Time, by this process's clock, at which this process sent the last report that the peer has
   * acknowledged; undefined if the peer has received none.
   */
  readonly acknowledgedReportSentAt: number | undefined;
  /** Whether the peer's previous report is recent enough that the two contain every change. */
  readonly isContinuous: boolean;
  readonly now: number;
}

export interface PeerAgentOptions {
  readonly settings: settingsModule.GatewaySettings;
  readonly clock: core.Clock;
  readonly logger: core.Logger;
  readonly peerLoads: policy.PeerLoads;
  readonly createReport: (now: number) => OwnReport;
  /** Called for each report that a peer sends. */
  readonly onReport: (
    report: peers.ProcessReportMessage,
    timing: ReportTiming,
  ) => void;
  /** Returns the interval at which an unchanged report is sent to show that the link is alive. */
  readonly getReportRefreshIntervalMs: () => number;
  /** Returns the configuration in force, if any. */
  readonly getConfig: () => core.RoutingConfig | undefined;
  /** Called when a peer sends the configuration that is in force there. */
  readonly onConfig: (config: core.RoutingConfig, now: number) => void;
}

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
}

/** Contents of a peer's last report that are used later. */
interface LastReport {
  readonly zone: core.ZoneName;
  /** Time, by the peer's clock, at which the peer sent the report. */
  readonly sentAt: number;
  /** Lower bound for the time of the peer's last confirmation, by this process's clock. */
  readonly confirmedAt: number;
  readonly receivedAt: number;
  readonly isStoreReachable: boolean;
}

/** Interval at which changes are reported to peers while few peers are linked. */
const REPORT_INTERVAL_MS = 100;
/** With more linked peers, the report interval grows in proportion to bound the report rate. */
const MAX_PEERS_AT_SHORTEST_INTERVAL = 8;
/** Time without a message after which a link is closed and opened again. */
const SILENT_LINK_TIMEOUT_MS = 2_000;
/**
 * Interval below which two successive reports miss no change between them, since each report
 * contains the changes of the last 1.5 s.
 */
const MAX_REPORT_GAP_MS = 1_200;
/**
 * Shortest interval between requests for a newer configuration. An answer takes one round trip;
 * if it does not arrive, another peer is tried.
 */
const CONFIG_REQUEST_INTERVAL_MS = 200;
/** Time for which reports include a newly learned process, since a single report may be lost. */
const PEER_RELAY_DURATION_MS = 1_500;
/** Time after which a process that the store does not list is dropped if it sends no reports. */
const UNCONFIRMED_PEER_TTL_MS = 10_000;
/** In fleets up to this size all processes are linked, in larger ones those of the same zone. */
const MAX_FULL_MESH_PROCESSES = 12;

export class PeerAgent {
  readonly #options: PeerAgentOptions;
  readonly #mesh: peers.PeerMesh;
  readonly #knownPeers = new Map<core.ProcessId, KnownPeer>();
  readonly #lastReports = new Map<core.ProcessId, LastReport>();
  readonly #incarnation: number;
  #timer: NodeJS.Timeout | undefined;
  #lastReportText = "";
  #lastReportAt = -Infinity;
  #configRequestedAt = -Infinity;

  constructor(options: PeerAgentOptions) {
    const { settings, clock } = options;
    this.#options = options;
    this.#incarnation = clock.readWallTime();
    this.#mesh = new peers.PeerMesh({
      ...settings.peers,
      clock,
      getOwnMemberInfo: () => ({
        process: settings.process,
        zone: settings.zone,
        address: this.address,
        cores: 1,
        incarnation: this.#incarnation,
        draining: false,
      }),
      listener: {
        onLinkOpened: (link) => this.#onLinkOpened(link),
        onMessage: (link, message) => this.#onMessage(link, message),
        onLinkLost: (process) => this.#onLinkLost(process),
      },
    });
  }

  /** Address at which peers reach this process, as `host:port`. */
  get address(): string {
    const { host, port } = this.#options.settings.peers;
    return `${host}:${port}`;
  }

  /** Number of other processes that are known, whether linked or not. */
  get knownPeerCount(): number {
    return this.#knownPeers.size;
  }

  async start(): Promise<void> {
    await this.#mesh.start();
    this.#timer = setInterval(() => this.#runTick(), REPORT_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#mesh.stop();
  }

  /** Records a process that is announced in the store. */
  recordAnnouncement(peer: stores.AnnouncedPeer): void {
    this.#recordPeer(peer, true);
  }

  /**
   * Records a process that the store lists or a peer reports. Peers relay the processes that they
   * learn of, because not every process watches the store.
   */
  #recordPeer(target: peers.ProcessAddress, isAnnounced: boolean): void {
    if (target.process === this.#options.settings.process) return;
    const knownPeer = this.#knownPeers.get(target.process);
    const isUnchanged = knownPeer !== undefined && !knownPeer.isWithdrawn &&
      knownPeer.target.address === target.address;
    if (isUnchanged && (knownPeer.isAnnounced || !isAnnounced)) return;
    // A changed address is accepted from the store only.
    if (knownPeer !== undefined && !isAnnounced) return;
    const learnedAt = isUnchanged ? knownPeer.learnedAt : this.#options.clock.now();
    const { process, zone, address } = target;
    this.#knownPeers.set(process, {
      target: { process, zone, address },
      learnedAt,
      isAnnounced,
      isWithdrawn: false,
    });
    this.#updateTargets();
  }

  /** Records that the announcement of `process` was removed from the store. */
  recordWithdrawal(process: core.ProcessId): void {
    const knownPeer = this.#knownPeers.get(process);
    if (knownPeer !== undefined) knownPeer.isWithdrawn = true;
  }

  /** Sends a report immediately, for example when peers wait for their turn in a hand-over. */
  reportNow(): void {
    this.#report(this.#options.clock.now(), true);
  }

  /** Returns the zone and the last contact with the store of each peer that has reported. */
  listStoreContacts(now: number): policy.StoreContact[] {
    const contacts: policy.StoreContact[] = [];
    for (const [process, lastReport] of this.#lastReports) {
      const confirmAgeMs = lastReport.isStoreReachable ? now - lastReport.confirmedAt : Infinity;
      contacts.push({ process, zone: lastReport.zone, confirmAgeMs });
    }
    return contacts;
  }

  /**
   * Whether a linked peer in this zone cannot reach the store. That peer may be the one that
   * watches the store for this process.
   */
  hasZonePeerLostStore(): boolean {
    const { zone } = this.#options.settings;
    for (const lastReport of this.#lastReports.values()) {
      if (lastReport.zone === zone && !lastReport.isStoreReachable) return true;
    }
    return false;
  }

  #runTick(): void {
    const now = this.#options.clock.now();
    this.#mesh.closeSilentLinks(SILENT_LINK_TIMEOUT_MS, now);
    this.#options.peerLoads.expireReports(now);
    let hasChanged = false;
    for (const [process, knownPeer] of this.#knownPeers) {
      const isUnconfirmed = !knownPeer.isAnnounced &&
        now - knownPeer.learnedAt > UNCONFIRMED_PEER_TTL_MS;
      if (!knownPeer.isWithdrawn && !isUnconfirmed) continue;
      if (this.#options.peerLoads.hasReport(process)) continue;
      this.#knownPeers.delete(process);
      hasChanged = true;
    }
    if (hasChanged) this.#updateTargets();
    this.#mesh.runTick(now);
    const linkedCount = this.#lastReports.size;
    const intervalMs = REPORT_INTERVAL_MS *
      Math.max(1, linkedCount / MAX_PEERS_AT_SHORTEST_INTERVAL);
    if (now - this.#lastReportAt < intervalMs) return;
    this.#report(now, now - this.#lastReportAt >= this.#options.getReportRefreshIntervalMs());
  }

  #report(now: number, isForced: boolean): void {
    const report = this.#options.createReport(now);
    const reportText = JSON.stringify([
      report.loads,
      report.notices,
      report.store?.release,
      report.store?.isReachable,
      report.store?.changed,
      this.#listPeersLearnedSince(now - PEER_RELAY_DURATION_MS),
    ]);
    if (!isForced && reportText === this.#lastReportText) return;
    this.#lastReportText = reportText;
    this.#lastReportAt = now;
    const relayedPeers = this.#listPeersLearnedSince(now - PEER_RELAY_DURATION_MS);
    for (const link of this.#mesh.getLinks()) this.#sendReport(link, report, { now, relayedPeers });
  }

  #sendReport(
    link: peers.PeerLink,
    report: OwnReport,
    options: { readonly now: number; readonly relayedPeers: readonly peers.ProcessAddress[] },
  ): void {
    if (link.peer === undefined) return;
    const answersSentAt = this.#lastReports.get(link.peer.process)?.sentAt;
    const { now, relayedPeers } = options;
    link.send({
      type: "process_report",
      ...report,
      sentAt: now,
      answersSentAt,
      peers: relayedPeers,
    });
  }

  /** Returns the addresses of the processes that were learned of at or after `since`. */
  #listPeersLearnedSince(since: number): peers.ProcessAddress[] {
    const addresses: peers.ProcessAddress[] = [];
    for (const knownPeer of this.#knownPeers.values()) {
      if (knownPeer.learnedAt >= since && !knownPeer.isWithdrawn) addresses.push(knownPeer.target);
    }
    return addresses;
  }

  /**
   * Updates the set of peers to which this process opens links. Of two linked processes, the one
   * with the lower id opens the link.
   */
  #updateTargets(): void {
    const { process: self, zone } = this.#options.settings;
    const isFullMesh = this.#knownPeers.size < MAX_FULL_MESH_PROCESSES;
    const targets: peers.PeerTarget[] = [];
    for (const { target } of this.#knownPeers.values()) {
      const isSelected = isFullMesh || target.zone === zone;
      if (isSelected && self < target.process) targets.push(target);
    }
    this.#mesh.updateTargets(targets, this.#options.clock.now());
  }

  #onLinkOpened(link: peers.PeerLink): void {
    this.#options.logger.write("peer_linked", { peer: link.peer?.process });
    if (link.peer !== undefined) this.#recordPeer(link.peer, false);
    const now = this.#options.clock.now();
    const relayedPeers = this.#listPeersLearnedSince(-Infinity);
    this.#sendReport(link, this.#options.createReport(now), { now, relayedPeers });
  }

  #onMessage(link: peers.PeerLink, message: peers.PeerMessage): void {
    if (link.peer === undefined) return;
    const { getConfig, onConfig, clock } = this.#options;
    switch (message.type) {
      case "process_report":
        return this.#applyReport(link, link.peer, message);
      case "config_wanted": {
        const config = getConfig();
        if (config !== undefined) link.send({ type: "config", config });
        return;
      }
      case "config":
        return onConfig(message.config, clock.now());
      default:
        // Only entry processes use the remaining messages.
        return;
    }
  }

  #applyReport(
    link: peers.PeerLink,
    peer: policy.MemberInfo,
    message: peers.ProcessReportMessage,
  ): void {
    const now = this.#options.clock.now();
    const { process, zone } = peer;
    this.#options.peerLoads.applyReport(process, message.loads, now);
    const acknowledgedReportSentAt = message.answersSentAt;
    const confirmAgeMs = message.store?.confirmAgeMs ?? Infinity;
    const confirmedAt = acknowledgedReportSentAt === undefined
      ? -Infinity
      : acknowledgedReportSentAt - confirmAgeMs;
    const previousReport = this.#lastReports.get(process);
    this.#lastReports.set(process, {
      zone,
      sentAt: message.sentAt,
      confirmedAt,
      receivedAt: now,
      isStoreReachable: message.store?.isReachable ?? false,
    });
    const isContinuous = previousReport !== undefined &&
      now - previousReport.receivedAt < MAX_REPORT_GAP_MS;
    this.#options.onReport(message, { acknowledgedReportSentAt, isContinuous, now });
    for (const target of message.peers) this.#recordPeer(target, false);
    this.#sendConfigRequest(link, message.store?.release ?? 0, now);
  }

  #sendConfigRequest(link: peers.PeerLink, release: number, now: number): void {
    if (release <= (this.#options.getConfig()?.release ?? 0)) return;
    if (now - this.#configRequestedAt < CONFIG_REQUEST_INTERVAL_MS) return;
    this.#configRequestedAt = now;
    link.send({ type: "config_wanted" });
  }

  #onLinkLost(process: core.ProcessId): void {
    this.#lastReports.delete(process);
    this.#options.logger.write("peer_lost", { peer: process });
  }
}
