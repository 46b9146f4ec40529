/**
 * Maintains the links to other gateway processes (peers) and exchanges reports over them: the load
 * that each process places on engines, the endpoints that it has seen leaving, and its view of the
 * store. In a small fleet all processes are linked. In a larger one each is linked to the hubs of
 * its zone, which pass the loads of the others on; notices and the view of the store spread through
 * the reports of the hubs themselves.
 */

import * as core from "@peridotvale/core";
import * as peers from "@peridotvale/peers";
import * as policy from "@peridotvale/policy";
import * as planners from "./link_planner.ts";
import * as reports from "./last_reports.ts";
import * as exchanges from "./load_exchange.ts";
import type * as types from "./peer_agent_options.ts";
import * as registries from "./peer_registry.ts";
import type * as stores from "./routing_store.ts";

/** Interval at which links, targets and reports are checked. */
const TICK_INTERVAL_MS = 100;
/** Time without a message after which a link is closed and opened again. */
const SILENT_LINK_TIMEOUT_MS = 2_000;
/**
 * Shortest interval between requests for a newer configuration. An answer takes one round trip;
 * if it does not arrive, another peer is tried.
 */
const CONFIG_REQUEST_INTERVAL_MS = 200;
/** Time for which reports include a newly learned process, since a single report may be lost. */
const PEER_RELAY_DURATION_MS = 1_500;
/** Delay within which a hub passes on reports of new prompts, or of moves that others wait for. */
const URGENT_RELAY_DELAY_MS = 50;
/** Mean age of a load that a hub passes on: both processes' delays and two transfers. */
const RELAYED_REPORT_LAG_MS = 200;
/** Failed connections in a row after which a peer is avoided as a hub. */
const MAX_CONNECT_FAILURES = 3;

export class PeerAgent {
  readonly #options: types.PeerAgentOptions;
  readonly #mesh: peers.PeerMesh;
  readonly #registry: registries.PeerRegistry;
  readonly #schedule = new policy.ReportSchedule();
  readonly #linkPlanner: planners.LinkPlanner;
  readonly #loadExchange: exchanges.LoadExchange;
  readonly #lastReports: reports.LastReports;
  /** Identifies this process among all that have run under its name. */
  readonly incarnation: number;
  #timer: NodeJS.Timeout | undefined;
  #urgentTimer: NodeJS.Timeout | undefined;
  #configRequestedAt = -Infinity;

  constructor(options: types.PeerAgentOptions) {
    const { settings, clock } = options;
    this.#options = options;
    this.#registry = new registries.PeerRegistry(settings.process);
    const { process, zone, linkMbps } = settings;
    this.#linkPlanner = new planners.LinkPlanner({
      self: { process, zone, linkMbps },
      registry: this.#registry,
      isLinked: (peer) => this.#lastReports.hasReport(peer),
      hasTarget: (peer) => this.#mesh.hasTarget(peer),
    });
    const { peerLoads } = options;
    this.#loadExchange = new exchanges.LoadExchange({ process, zone, peerLoads });
    this.incarnation = clock.readWallTime();
    this.#lastReports = new reports.LastReports(this.incarnation);
    this.#mesh = new peers.PeerMesh({
      ...settings.peers,
      clock,
      getOwnMemberInfo: () => ({
        process: settings.process,
        zone: settings.zone,
        address: this.address,
        cores: 1,
        incarnation: this.incarnation,
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
    return this.#registry.size;
  }

  /** Lists the other processes that are known, whether linked or not. */
  listKnownPeers(): peers.ProcessAddress[] {
    return this.#registry.listAddresses();
  }

  /** Returns the number of known processes whose names precede this one's. */
  countPrecedingPeers(): number {
    const { process } = this.#options.settings;
    return this.#registry.listAddresses().filter((peer) => peer.process < process).length;
  }

  /** Processes among which one watches the store. */
  get electionScope(): policy.ElectionScope {
    return this.#linkPlanner.isFullMesh ? "zone" : "fleet";
  }

  /** Age of the loads that hubs pass on; 0 in a full mesh, where loads arrive directly. */
  get reportLagMs(): number {
    return this.#linkPlanner.isFullMesh ? 0 : RELAYED_REPORT_LAG_MS;
  }

  /** Number of open links. */
  get linkCount(): number {
    return this.#mesh.getLinks().length;
  }

  async start(): Promise<void> {
    await this.#mesh.start();
    this.#timer = setInterval(() => this.#runTick(), TICK_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
    clearTimeout(this.#urgentTimer);
    this.#mesh.stop();
  }

  /** Records processes that are announced in the store. */
  recordAnnouncements(announcedPeers: readonly stores.AnnouncedPeer[]): void {
    this.#addPeers(announcedPeers, true);
  }

  /**
   * Records processes that the store lists or a peer reports. Peers relay the processes that they
   * learn of, because not every process watches the store.
   */
  #addPeers(targets: readonly peers.ProcessAddress[], isAnnounced: boolean): void {
    const now = this.#options.clock.now();
    let hasChanged = false;
    for (const target of targets) {
      hasChanged = this.#registry.addPeer(target, { isAnnounced, now }) || hasChanged;
    }
    if (hasChanged) this.#updateTargets(now);
  }

  /** Applies a change of an announcement in the store. */
  applyStoreChange(change: stores.StoreChange): void {
    if (change.type === "peer") this.recordAnnouncements([change.peer]);
    if (change.type === "peer_removed") this.#registry.recordWithdrawal(change.process);
  }

  /** Sends a report immediately, for example when peers wait for their turn in a hand-over. */
  reportNow(): void {
    this.#report(this.#options.clock.now(), true);
  }

  /** Returns the zone and the last contact with the store of each peer that has reported. */
  listStoreContacts(now: number): policy.StoreContact[] {
    return this.#lastReports.listStoreContacts(
      (process) => this.#registry.getAddress(process)?.linkMbps ?? 0,
      now,
    );
  }

  /** Returns all known peers as if each had just reported a contact with the store. */
  listAssumedContacts(): policy.StoreContact[] {
    return this.#registry.listAddresses().map((peer) => ({ ...peer, confirmAgeMs: 0 }));
  }

  /**
   * Whether a linked peer in this zone cannot reach the store. That peer may be the one that
   * watches the store for this process.
   */
  hasZonePeerLostStore(): boolean {
    return this.#lastReports.hasLostStore(this.#options.settings.zone);
  }

  #runTick(): void {
    const now = this.#options.clock.now();
    const { peerLoads } = this.#options;
    this.#mesh.closeSilentLinks(SILENT_LINK_TIMEOUT_MS, now);
    this.#loadExchange.expireReports(now);
    const hasDroppedPeers = this.#registry.expirePeers(
      now,
      (process) => peerLoads.hasReport(process),
    );
    const hasNewSuspects = this.#recordUnreachablePeers(now);
    const hasChanged = hasDroppedPeers || hasNewSuspects;
    if (hasChanged || this.#linkPlanner.isUpdateDue(now)) this.#updateTargets(now);
    this.#mesh.runTick(now);
    const { isFullMesh } = this.#linkPlanner;
    const linkedPeers = this.#lastReports.size;
    if (!this.#schedule.isCheckDue({ linkedPeers, isFullMesh }, now)) return;
    const refreshIntervalMs = this.#options.getReportRefreshIntervalMs();
    this.#report(now, this.#schedule.getAgeMs(now) >= refreshIntervalMs);
  }

  /** Withdraws the loads of peers that cannot be reached. Returns whether there are new ones. */
  #recordUnreachablePeers(now: number): boolean {
    let hasNewSuspects = false;
    for (const process of this.#mesh.listFailingTargets(MAX_CONNECT_FAILURES)) {
      if (!this.#registry.recordUnreachable(process, now)) continue;
      hasNewSuspects = true;
      this.#loadExchange.recordUnreachable(process, now);
    }
    return hasNewSuspects;
  }

  #report(now: number, isForced: boolean): void {
    const report = this.#options.createReport(now, "recent");
    const relayedPeers = this.#listRelayedPeers(now);
    const { store, notices, loads } = report;
    const { release, isReachable, changed } = store ?? {};
    const audiences = this.#schedule.takeAudiences({
      loads: JSON.stringify(loads),
      news: JSON.stringify([notices, release, isReachable, changed, relayedPeers]) +
        encodeNewsSubjects(report),
      hasRelayedReports: this.isHub && this.#loadExchange.hasQueuedReports("own_zone"),
      isForced,
      isFullMesh: this.#linkPlanner.isFullMesh,
    }, now);
    for (const audience of audiences) {
      const relayed = this.isHub ? this.#loadExchange.takeReports(audience) : [];
      for (const link of this.#mesh.getLinks()) {
        if (link.peer === undefined || this.#getAudience(link.peer) !== audience) continue;
        this.#sendReport(link, report, { now, relayedPeers, relayed });
      }
    }
  }

  #getAudience(peer: policy.MemberInfo): policy.RelayAudience {
    return peer.zone === this.#options.settings.zone ? "own_zone" : "other_zones";
  }

  #sendReport(
    link: peers.PeerLink,
    report: types.OwnReport,
    options: {
      readonly now: number;
      readonly relayedPeers: readonly peers.ProcessAddress[];
      readonly relayed: readonly policy.RelayedLoads[];
    },
  ): void {
    if (link.peer === undefined) return;
    const answers = this.#lastReports.createReceipt(link.peer);
    const { now, relayedPeers, relayed } = options;
    const timing = { sentAt: now, answers };
    link.send({ type: "process_report", ...report, ...timing, peers: relayedPeers, relayed });
  }

  /**
   * Returns the processes that were learned of recently. A process that is not a hub passes on
   * only those that it has read from the store itself; the hubs know all others.
   */
  #listRelayedPeers(now: number): peers.ProcessAddress[] {
    const onlyAnnounced = !this.#linkPlanner.isFullMesh && !this.isHub;
    return this.#registry.listLearnedSince(now - PEER_RELAY_DURATION_MS, { onlyAnnounced });
  }

  /** Whether this process is a hub, by its own choice or by that of others in its zone. */
  get isHub(): boolean {
    if (this.#linkPlanner.isFullMesh) return false;
    if (this.#linkPlanner.isOwnHub) return true;
    const { zone } = this.#options.settings;
    return this.#mesh.getLinks().some((link) => !link.isOutgoing && link.peer?.zone === zone);
  }

  #updateTargets(now: number): void {
    this.#mesh.updateTargets(this.#linkPlanner.planTargets(now), now);
  }

  #onLinkOpened(link: peers.PeerLink): void {
    this.#options.logger.write("peer_linked", { peer: link.peer?.process });
    // The bandwidth becomes known with the announcement.
    if (link.peer !== undefined) this.#addPeers([{ ...link.peer, linkMbps: 0 }], false);
    const now = this.#options.clock.now();
    const relayedPeers = this.#linkPlanner.isFullMesh || this.isHub
      ? this.#registry.listLearnedSince(-Infinity, { onlyAnnounced: false })
      : this.#listRelayedPeers(now);
    const relayed = link.peer !== undefined && this.isHub
      ? this.#loadExchange.listAll(this.#getAudience(link.peer))
      : [];
    this.#sendReport(link, this.#options.createReport(now, "all"), { now, relayedPeers, relayed });
  }

  /** Applies a message; a link whose message has another form than expected is closed. */
  #onMessage(link: peers.PeerLink, message: peers.PeerMessage): void {
    try {
      this.#applyMessage(link, message);
    } catch (error) {
      this.#options.logger.write("peer_message_invalid", {
        peer: link.peer?.process,
        type: message.type,
        error: (error as Error).message,
      });
      link.close();
    }
  }

  #applyMessage(link: peers.PeerLink, message: peers.PeerMessage): void {
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
    const { process, zone, incarnation } = peer;
    const { loads, sentAt } = message;
    const report = { process, zone, incarnation, sentAt, loads, isLost: false };
    const isUrgent = this.#loadExchange.applyReports([report, ...message.relayed], process, {
      now,
      ttlMs: this.#linkPlanner.isFullMesh ? policy.REPORT_TTL_MS : policy.RELAYED_REPORT_TTL_MS,
    });
    if (isUrgent && this.isHub) this.#scheduleUrgentReport();
    const timing = this.#lastReports.applyReport(peer, message, now);
    if (message.answers !== undefined && timing.acknowledgedReportSentAt === undefined) {
      this.#options.logger.write("receipt_rejected", {
        peer: process,
        incarnation: message.answers.incarnation,
        ahead_ms: Math.round(message.answers.sentAt - now),
      });
    }
    this.#options.onReport(message, timing);
    this.#addPeers(message.peers, false);
    this.#sendConfigRequest(link, message.store?.release ?? 0, now);
  }

  #sendConfigRequest(link: peers.PeerLink, release: number, now: number): void {
    if (release <= (this.#options.getConfig()?.release ?? 0)) return;
    if (now - this.#configRequestedAt < CONFIG_REQUEST_INTERVAL_MS) return;
    this.#configRequestedAt = now;
    link.send({ type: "config_wanted" });
  }

  #scheduleUrgentReport(): void {
    this.#urgentTimer ??= setTimeout(() => {
      this.#urgentTimer = undefined;
      this.#report(this.#options.clock.now(), false);
    }, URGENT_RELAY_DELAY_MS);
  }

  #onLinkLost(process: core.ProcessId): void {
    this.#lastReports.dropProcess(process);
    this.#options.logger.write("peer_lost", { peer: process });
    // A process that has lost one of its hubs hears of that hub's loads through the other one.
    if (!this.isHub) return;
    this.#loadExchange.recordLinkLost(process, this.#options.clock.now());
  }
}

/** Encodes what the news are about, without their ages, which change all the time. */
function encodeNewsSubjects(report: types.OwnReport): string {
  const { quarantine, limits, evacuations, leaving, paces = [] } = report;
  const crashes = quarantine.crashes.map(({ instance, suspects }) => [instance, suspects.length]);
  const soundParts = quarantine.soundParts.map(({ part }) => part);
  const limitRates = limits.map(({ instance, ratePerS }) => [instance, ratePerS]);
  const starts = leaving.map(({ instance, startedAt }) => [instance, startedAt]);
  const pacePhases = paces.map(({ instance, failures, rampAgeMs, blockedMs }) => [
    instance,
    failures,
    rampAgeMs === undefined,
    blockedMs > 0,
  ]);
  return JSON.stringify([crashes, soundParts, limitRates, evacuations, starts, pacePhases]);
}
