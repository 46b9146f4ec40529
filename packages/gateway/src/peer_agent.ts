/**
 * Links to the other gateway processes. Each tells the others what it runs at
 * engines, what it has seen leaving and what it knows of the store.
 */

import * as core from "@peridotvale/core";
import * as peers from "@peridotvale/peers";
import * as policy from "@peridotvale/policy";
import type * as settingsModule from "./gateway_settings.ts";
import type * as stores from "./routing_store.ts";

/** What is told to the others. */
export interface OwnReport {
  readonly loads: readonly policy.EngineLoad[];
  readonly notices: readonly policy.LeaveNotice[];
  readonly store: peers.StoreView | undefined;
}

/** How a report was received. */
export interface ReceivedReport {
  /** When the message that it answers was sent, by this process's clock. */
  readonly sentAt: number | undefined;
  /** Whether the report before it is so recent that no news was missed. */
  readonly isContinuous: boolean;
  readonly now: number;
}

/** Options of {@linkcode PeerAgent}. */
export interface PeerAgentOptions {
  readonly settings: settingsModule.GatewaySettings;
  readonly clock: core.Clock;
  readonly logger: core.Logger;
  readonly board: policy.LoadBoard;
  readonly createReport: (now: number) => OwnReport;
  /** Called with what another process has told; `sentAt` is when it was asked. */
  readonly onReport: (
    report: peers.ProcessReportMessage,
    received: ReceivedReport,
  ) => void;
  /** How often a report without change is repeated, which shows that the link lives. */
  readonly getRepeatIntervalMs: () => number;
  /** The configuration in force, if any. */
  readonly getConfig: () => core.RoutingConfig | undefined;
  /** Called with a configuration that another process has in force. */
  readonly onConfig: (config: core.RoutingConfig, now: number) => void;
}

interface KnownPeer {
  readonly target: peers.ProcessAddress;
  readonly learntAt: number;
  /** Whether the store named it, and not only another process. */
  readonly isAnnounced: boolean;
  /** Whether its announcement is gone; its reports decide whether it still lives. */
  isWithdrawn: boolean;
}

interface LastReport {
  readonly zone: core.ZoneName;
  readonly sentAt: number;
  readonly confirmedAt: number;
  readonly receivedAt: number;
  readonly hasStore: boolean;
}

/** Changes are reported at most this often in a small fleet. */
const REPORT_INTERVAL_MS = 100;
/** In larger fleets reports come less often, so that their number stays bounded. */
const PROCESSES_PER_INTERVAL = 8;
/** A link over which nothing came for this long is replaced. */
const SILENT_LINK_MS = 2_000;
/** Reports tell what changed in the last 1.5 s; two that are this close leave no gap. */
const CONTINUOUS_MS = 1_200;
/**
 * A newer configuration is asked for at most this often; it comes within a round trip,
 * and another process may be asked after that.
 */
const CONFIG_ASK_INTERVAL_MS = 200;
/** What was learnt of other processes is passed on for this long; some reports may be lost. */
const PEER_NEWS_MS = 1_500;
/** A process that others told of is forgotten if it has not reported by then. */
const UNHEARD_PEER_MS = 10_000;
/** Fleets up to this size are linked in full. */
const FULL_MESH_PROCESSES = 12;

/** Keeps links to the announced processes. */
export class PeerAgent {
  readonly #options: PeerAgentOptions;
  readonly #mesh: peers.PeerMesh;
  readonly #known = new Map<core.ProcessId, KnownPeer>();
  readonly #lastReports = new Map<core.ProcessId, LastReport>();
  readonly #incarnation: number;
  #timer: NodeJS.Timeout | undefined;
  #lastText = "";
  #lastReportAt = -Infinity;
  #configAskedAt = -Infinity;

  constructor(options: PeerAgentOptions) {
    const { settings, clock } = options;
    this.#options = options;
    this.#incarnation = clock.readWallTime();
    this.#mesh = new peers.PeerMesh({
      ...settings.peers,
      clock,
      getSelf: () => ({
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

  /** Where other processes reach this one. */
  get address(): string {
    const { host, port } = this.#options.settings.peers;
    return `${host}:${port}`;
  }

  /** Other processes that are announced, linked or not. */
  get announcedCount(): number {
    return this.#known.size;
  }

  async start(): Promise<void> {
    await this.#mesh.start();
    this.#timer = setInterval(() => this.#runTick(), REPORT_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#mesh.stop();
  }

  /** Applies what the store says of other processes. */
  applyPeer(peer: stores.AnnouncedPeer): void {
    this.#recordPeer(peer, true);
  }

  /** Not every process watches the store, so each tells the others of those it learns of. */
  #recordPeer(target: peers.ProcessAddress, isAnnounced: boolean): void {
    if (target.process === this.#options.settings.process) return;
    const known = this.#known.get(target.process);
    const isSame = known !== undefined && !known.isWithdrawn &&
      known.target.address === target.address;
    if (isSame && (known.isAnnounced || !isAnnounced)) return;
    // Only the store tells of a process that has moved.
    if (known !== undefined && !isAnnounced) return;
    const learntAt = isSame ? known.learntAt : this.#options.clock.now();
    const { process, zone, address } = target;
    this.#known.set(process, {
      target: { process, zone, address },
      learntAt,
      isAnnounced,
      isWithdrawn: false,
    });
    this.#updateTargets();
  }

  /** Applies that a process's announcement is gone. */
  removePeer(process: core.ProcessId): void {
    const known = this.#known.get(process);
    if (known !== undefined) known.isWithdrawn = true;
  }

  /** Reports at once, such as when another process waits for its turn. */
  reportNow(): void {
    this.#report(this.#options.clock.now(), true);
  }

  /** The contact of other processes with the store, as they last told. */
  listContacts(now: number): policy.StoreContact[] {
    const contacts: policy.StoreContact[] = [];
    for (const [process, last] of this.#lastReports) {
      const confirmAgeMs = last.hasStore ? now - last.confirmedAt : Infinity;
      contacts.push({ process, zone: last.zone, confirmAgeMs });
    }
    return contacts;
  }

  /** Whether a linked process that watches for this one cannot reach the store. */
  hasLostStore(): boolean {
    const { zone } = this.#options.settings;
    for (const last of this.#lastReports.values()) {
      if (last.zone === zone && !last.hasStore) return true;
    }
    return false;
  }

  #runTick(): void {
    const now = this.#options.clock.now();
    this.#mesh.closeSilent(SILENT_LINK_MS, now);
    this.#options.board.expireReports(now);
    let hasChanged = false;
    for (const [process, known] of this.#known) {
      const isUnheard = !known.isAnnounced && now - known.learntAt > UNHEARD_PEER_MS;
      if (!known.isWithdrawn && !isUnheard) continue;
      if (this.#options.board.hasReport(process)) continue;
      this.#known.delete(process);
      hasChanged = true;
    }
    if (hasChanged) this.#updateTargets();
    this.#mesh.runTick(now);
    const linked = this.#lastReports.size;
    const intervalMs = REPORT_INTERVAL_MS * Math.max(1, linked / PROCESSES_PER_INTERVAL);
    if (now - this.#lastReportAt < intervalMs) return;
    this.#report(now, now - this.#lastReportAt >= this.#options.getRepeatIntervalMs());
  }

  #report(now: number, isForced: boolean): void {
    const report = this.#options.createReport(now);
    const text = JSON.stringify([
      report.loads,
      report.notices,
      report.store?.release,
      report.store?.isReachable,
      report.store?.changed,
      this.#listPeers(now - PEER_NEWS_MS),
    ]);
    if (!isForced && text === this.#lastText) return;
    this.#lastText = text;
    this.#lastReportAt = now;
    const news = this.#listPeers(now - PEER_NEWS_MS);
    for (const link of this.#mesh.getLinks()) this.#sendReport(link, report, { now, news });
  }

  #sendReport(
    link: peers.PeerLink,
    report: OwnReport,
    options: { readonly now: number; readonly news: readonly peers.ProcessAddress[] },
  ): void {
    if (link.peer === undefined) return;
    const answersSentAt = this.#lastReports.get(link.peer.process)?.sentAt;
    const { now, news } = options;
    link.send({ type: "process_report", ...report, sentAt: now, answersSentAt, peers: news });
  }

  /** Other processes that were learnt of after `since`. */
  #listPeers(since: number): peers.ProcessAddress[] {
    const list: peers.ProcessAddress[] = [];
    for (const known of this.#known.values()) {
      if (known.learntAt >= since && !known.isWithdrawn) list.push(known.target);
    }
    return list;
  }

  /** Of two processes, the one whose name comes first opens the link. */
  #updateTargets(): void {
    const { process: self, zone } = this.#options.settings;
    const isSmall = this.#known.size < FULL_MESH_PROCESSES;
    const targets: peers.PeerTarget[] = [];
    for (const { target } of this.#known.values()) {
      const isWanted = isSmall || target.zone === zone;
      if (isWanted && self < target.process) targets.push(target);
    }
    this.#mesh.updateTargets(targets, this.#options.clock.now());
  }

  #onLinkOpened(link: peers.PeerLink): void {
    this.#options.logger.write("peer_linked", { peer: link.peer?.process });
    if (link.peer !== undefined) this.#recordPeer(link.peer, false);
    const now = this.#options.clock.now();
    const news = this.#listPeers(-Infinity);
    this.#sendReport(link, this.#options.createReport(now), { now, news });
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
        // Messages of the product's own entry processes.
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
    this.#options.board.applyReport(process, message.loads, now);
    const sentAt = message.answersSentAt;
    const ageMs = message.store?.confirmAgeMs ?? Infinity;
    const confirmedAt = sentAt === undefined ? -Infinity : sentAt - ageMs;
    const last = this.#lastReports.get(process);
    this.#lastReports.set(process, {
      zone,
      sentAt: message.sentAt,
      confirmedAt,
      receivedAt: now,
      hasStore: message.store?.isReachable ?? false,
    });
    const isContinuous = last !== undefined && now - last.receivedAt < CONTINUOUS_MS;
    this.#options.onReport(message, { sentAt, isContinuous, now });
    for (const target of message.peers) this.#recordPeer(target, false);
    this.#sendConfigWanted(link, message.store?.release ?? 0, now);
  }

  #sendConfigWanted(link: peers.PeerLink, release: number, now: number): void {
    if (release <= (this.#options.getConfig()?.release ?? 0)) return;
    if (now - this.#configAskedAt < CONFIG_ASK_INTERVAL_MS) return;
    this.#configAskedAt = now;
    link.send({ type: "config_wanted" });
  }

  #onLinkLost(process: core.ProcessId): void {
    this.#lastReports.delete(process);
    this.#options.logger.write("peer_lost", { peer: process });
  }
}
