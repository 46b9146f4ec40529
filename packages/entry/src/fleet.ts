/** Keeps this process in touch with the others: membership, manifests, endpoints. */

import * as core from "@peridotvale/core";
import * as peers from "@peridotvale/peers";
import * as policy from "@peridotvale/policy";
import type * as decisionLogs from "./decision_log.ts";
import type * as directories from "./endpoint_directory.ts";
import type * as manifests from "./manifest_agent.ts";
import * as topics from "./topics.ts";

/** Takes messages about capacity. */
export interface CapacityMessageHandler {
  onEvents(link: peers.PeerLink, events: readonly policy.SchedulerEvent[]): void;
  onEffects(link: peers.PeerLink, effects: readonly policy.SchedulerEffect[]): void;
  onLinkOpened(link: peers.PeerLink): void;
  onLinkLost(link: peers.PeerLink): void;
}

/** What the fleet works with. */
export interface FleetOptions {
  readonly self: policy.MemberInfo;
  readonly seeds: readonly string[];
  readonly directory: directories.EndpointDirectory;
  readonly manifests: manifests.ManifestAgent;
  readonly decisions: decisionLogs.DecisionLog;
  readonly neighbours: policy.PeerSelector;
  readonly capacity: CapacityMessageHandler;
  /** Load of this process, sent with heartbeats. */
  readonly getLoad: () => {
    readonly openRequests: number;
    readonly groups: readonly peers.GroupLoad[];
  };
  /** Peers beside the neighbours that links are wanted to. */
  readonly getWantedPeers: () => readonly core.ProcessId[];
}

/** What a peer last said of itself in a heartbeat. */
export interface PeerReport {
  readonly release: number;
  readonly openRequests: number;
  readonly groups: readonly peers.GroupLoad[];
  readonly releaseSince: number;
}

interface OpenQuery {
  readonly collect: (decisions: readonly peers.ExplainedDecision[]) => void;
}

const TICK_INTERVAL_MS = 100;
const HEARTBEAT_INTERVAL_MS = 500;
/** Neighbours that own nothing get one heartbeat in so many intervals. */
const NEIGHBOUR_HEARTBEAT_INTERVALS = 2;
/** Silence after which a link is replaced. */
const LINK_SILENCE_MS = 3_000;
/** Processes of a zone that watch the platform for all. */
const WATCHERS_PER_ZONE = 2;
/** Wait for a manifest from one peer before another one is asked. */
const MANIFEST_WAIT_MS = 500;
const EXPLAIN_WAIT_MS = 400;
const SEED_PREFIX = "seed:";

/** This process's view of the others, and its links to them. */
export class Fleet {
  readonly membership: policy.Membership;
  readonly mesh: peers.PeerMesh;
  readonly #runtime: core.Runtime;
  readonly #options: FleetOptions;
  readonly #reports = new Map<core.ProcessId, PeerReport>();
  readonly #queries = new Map<number, OpenQuery>();
  #nextQuery = 0;
  #heartbeats = 0;
  #wantedRelease = 0;
  #wantedUntil = -Infinity;
  #seenVersion = -1;

  constructor(
    runtime: core.Runtime,
    options: FleetOptions & { readonly host: string; readonly port: number },
  ) {
    this.#runtime = runtime;
    this.#options = options;
    this.membership = new policy.Membership(options.self);
    this.mesh = new peers.PeerMesh({
      host: options.host,
      port: options.port,
      clock: runtime.clock,
      getSelf: () => this.membership.self,
      listener: {
        onLinkOpened: (link) => this.#startLink(link),
        onMessage: (link, message) => this.#applyMessage(link, message),
        onLinkLost: (process, link) => this.#endLink(process, link),
      },
    });
  }

  /** What a peer last said of itself. */
  getReport(process: core.ProcessId): PeerReport | undefined {
    return this.#reports.get(process);
  }

  /** Whether this process watches the platform for its zone. */
  isWatcher(): boolean {
    const { process, zone } = this.membership.self;
    const watchers = policy.rankOwners("platform", zone, {
      candidates: this.membership.getLiveMembers(),
      count: WATCHERS_PER_ZONE,
    });
    return watchers.length === 0 || watchers.includes(process);
  }

  /** The process of this zone that holds a named duty. */
  getDutyHolder(duty: string): core.ProcessId | undefined {
    const { zone } = this.membership.self;
    const candidates = this.membership.getLiveMembers();
    return policy.rankOwners(duty, zone, { candidates, count: 1 })[0];
  }

  /** Passes endpoints on that are new or leaving. */
  sendEndpoints(endpoints: readonly policy.ListedEndpoint[]): void {
    if (endpoints.length === 0) return;
    this.#sendAll({ type: "endpoints", endpoints });
  }

  /** Tells all others that this process drains. */
  startDrain(): void {
    const now = this.#runtime.clock.now();
    this.membership.handle({ type: "drain_started" }, now);
    this.runTick(now);
  }

  /** Collects what the linked processes know of a request. */
  explain(
    request: core.RequestId,
  ): Promise<
    readonly { readonly process: core.ProcessId; readonly decision: peers.ExplainedDecision }[]
  > {
    const found: { process: core.ProcessId; decision: peers.ExplainedDecision }[] = [];
    for (const link of this.mesh.getOutgoingLinks()) {
      const query = this.#nextQuery++;
      const { process } = link.peer!;
      this.#queries.set(query, {
        collect: (decisions) => {
          for (const decision of decisions) found.push({ process, decision });
        },
      });
      setTimeout(() => this.#queries.delete(query), EXPLAIN_WAIT_MS);
      link.send({ type: "explain", query, request });
    }
    return new Promise((resolve) => setTimeout(() => resolve(found), EXPLAIN_WAIT_MS));
  }

  /** Updates beliefs and links. */
  runTick(now: number): void {
    this.membership.handle({ type: "ticked" }, now);
    this.mesh.closeSilent(LINK_SILENCE_MS, now);
    this.#updateTargets(now);
    const updates = this.membership.takeUpdates();
    if (updates.length > 0) this.#sendAll({ type: "updates", updates });
    this.#publishChanges();
  }

  /** Sends heartbeats: to owners of engines each time, to other neighbours every second time. */
  sendHeartbeats(): void {
    this.#heartbeats += 1;
    const owners = new Set(this.#options.getWantedPeers());
    const isForAll = this.#heartbeats % NEIGHBOUR_HEARTBEAT_INTERVALS === 0;
    const heartbeat = this.#createHeartbeat(true);
    for (const link of this.mesh.getOutgoingLinks()) {
      if (isForAll || owners.has(link.peer!.process)) link.send(heartbeat);
    }
  }

  /** Tells every peer at once of a release that has just come into force. */
  sendRelease(): void {
    this.#sendAll(this.#createHeartbeat(false));
  }

  #sendAll(message: peers.PeerMessage): void {
    const told = new Set<core.ProcessId>();
    for (const link of this.mesh.getLinks()) {
      if (link.peer === undefined || told.has(link.peer.process)) continue;
      told.add(link.peer.process);
      link.send(message);
    }
  }

  #updateTargets(now: number): void {
    const known = new Map<core.ProcessId, policy.MemberCandidate>();
    for (const candidate of this.membership.candidates) known.set(candidate.process, candidate);
    for (const member of this.membership.getLiveMembers()) known.set(member.process, member);
    const { self } = this.membership;
    known.delete(self.process);
    const wanted = new Set([
      ...this.#options.neighbours.choosePeers(self, [...known.values()]),
      ...this.#options.getWantedPeers(),
    ]);
    const targets: peers.PeerTarget[] = [];
    for (const process of wanted) {
      const peer = known.get(process);
      if (peer !== undefined) targets.push({ process, address: peer.address });
    }
    this.mesh.updateTargets([...targets, ...this.#getSeedTargets(known)], now);
    for (const member of this.membership.getMembers()) {
      if (wanted.has(member.process)) continue;
      this.membership.handle({ type: "watch_ended", process: member.process }, now);
    }
  }

  /** Seeds are dialled only while nobody else is known. */
  #getSeedTargets(known: ReadonlyMap<core.ProcessId, unknown>): peers.PeerTarget[] {
    if (known.size > 0) return [];
    return this.#options.seeds.map((address) => ({
      process: `${SEED_PREFIX}${address}` as core.ProcessId,
      address,
    }));
  }

  #publishChanges(): void {
    if (this.membership.version === this.#seenVersion) return;
    this.#seenVersion = this.membership.version;
    this.#runtime.publish(topics.MEMBERS_CHANGED, undefined);
  }

  #startLink(link: peers.PeerLink): void {
    const now = this.#runtime.clock.now();
    this.#recordPeer(link, link.peer!, now);
    link.send({ type: "updates", updates: this.membership.getAllUpdates() });
    const endpoints = this.#options.directory.table.getAll();
    if (endpoints.length > 0) link.send({ type: "endpoints", endpoints });
    if (!link.outgoing) return;
    link.send(this.#createHeartbeat(true));
    this.#options.capacity.onLinkOpened(link);
  }

  #recordPeer(link: peers.PeerLink, info: policy.MemberInfo, now: number): void {
    if (info.process === this.membership.self.process) return;
    if (link.outgoing && this.mesh.getLink(info.process) === link) {
      this.membership.handle({ type: "peer_heard", info }, now);
      return;
    }
    const updates = [{ ...info, state: "alive" as const }];
    this.membership.handle({ type: "updates_received", updates }, now);
  }

  #endLink(process: core.ProcessId, link: peers.PeerLink | undefined): void {
    const now = this.#runtime.clock.now();
    if (link !== undefined) this.#options.capacity.onLinkLost(link);
    if (link?.outgoing) this.membership.handle({ type: "link_lost", process }, now);
  }

  #applyMessage(link: peers.PeerLink, message: peers.PeerMessage): void {
    const now = this.#runtime.clock.now();
    switch (message.type) {
      case "heartbeat":
        return this.#applyHeartbeat(link, message, now);
      case "updates":
        this.membership.handle({ type: "updates_received", updates: message.updates }, now);
        return;
      case "manifest_wanted":
        return this.#sendManifest(link);
      case "manifest":
        this.#options.manifests.applyRecord(message.record, `peer ${link.peer!.process}`);
        return;
      case "endpoints":
        return this.#applyEndpoints(message.endpoints);
      case "capacity_events":
        return this.#options.capacity.onEvents(link, message.events);
      case "capacity_effects":
        return this.#options.capacity.onEffects(link, message.effects);
      case "explain":
        link.send({
          type: "explained",
          query: message.query,
          decisions: this.#options.decisions.getDecisions(message.request),
        });
        return;
      case "explained":
        this.#queries.get(message.query)?.collect(message.decisions);
        return;
      case "hello":
        return;
    }
  }

  #applyHeartbeat(
    link: peers.PeerLink,
    message: peers.HeartbeatMessage,
    now: number,
  ): void {
    const info = link.peer!;
    this.#recordPeer(link, info, now);
    const { process } = info;
    const known = this.#reports.get(process);
    const isSame = known?.release === message.release;
    this.#reports.set(process, {
      release: message.release,
      openRequests: message.openRequests,
      groups: message.groups,
      releaseSince: isSame ? known.releaseSince : now,
    });
    this.#collectManifest(link, message.release, now);
    if (message.ask) link.send(this.#createHeartbeat(false));
  }

  /** Takes a higher release from one peer at a time, since a manifest may be large. */
  #collectManifest(link: peers.PeerLink, release: number, now: number): void {
    const inForce = this.#options.manifests.record?.release ?? 0;
    if (release <= Math.max(inForce, now < this.#wantedUntil ? this.#wantedRelease : 0)) return;
    this.#wantedRelease = release;
    this.#wantedUntil = now + MANIFEST_WAIT_MS;
    link.send({ type: "manifest_wanted" });
  }

  #sendManifest(link: peers.PeerLink): void {
    const { record } = this.#options.manifests;
    if (record !== undefined) link.send({ type: "manifest", record });
  }

  #applyEndpoints(endpoints: readonly policy.ListedEndpoint[]): void {
    const news = this.#options.directory.applyNews(endpoints);
    if (news.length === 0) return;
    this.sendEndpoints(news);
    this.#runtime.publish(topics.ENDPOINTS_CHANGED, undefined);
  }

  #createHeartbeat(ask: boolean): peers.HeartbeatMessage {
    return {
      type: "heartbeat",
      incarnation: this.membership.self.incarnation,
      draining: this.membership.self.draining,
      release: this.#options.manifests.record?.release ?? 0,
      ask,
      ...this.#options.getLoad(),
    };
  }
}

/** Keeps `fleet` going. */
export function registerFleet(runtime: core.Runtime, fleet: Fleet): core.Disposer {
  return core.mergeDisposers(
    () => fleet.mesh.stop(),
    runtime.registerInterval((now) => fleet.runTick(now), TICK_INTERVAL_MS),
    runtime.registerInterval(() => fleet.sendHeartbeats(), HEARTBEAT_INTERVAL_MS),
    runtime.registerListener(topics.MANIFEST_APPLIED, () => fleet.sendRelease()),
  );
}
