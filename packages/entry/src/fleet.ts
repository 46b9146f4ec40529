/**
 * Connects this process to the other entry processes. Decides which peers to link
 * to, tracks membership, and exchanges manifests, endpoints and capacity messages
 * over the links.
 */

import * as core from "@peridotvale/core";
import * as peers from "@peridotvale/peers";
import * as policy from "@peridotvale/policy";
import type * as decisionLogs from "./decision_log.ts";
import type * as directories from "./endpoint_directory.ts";
import type * as manifests from "./manifest_agent.ts";
import * as topics from "./topics.ts";

/** Receives capacity messages, and is notified when a link has been opened or lost. */
export interface CapacityMessageHandler {
  onEvents(link: peers.PeerLink, events: readonly policy.SchedulerEvent[]): void;
  onEffects(link: peers.PeerLink, effects: readonly policy.SchedulerEffect[]): void;
  onLinkOpened(link: peers.PeerLink): void;
  onLinkLost(link: peers.PeerLink): void;
}

export interface FleetOptions {
  readonly self: policy.MemberInfo;
  readonly seedAddresses: readonly string[];
  readonly directory: directories.EndpointDirectory;
  readonly manifests: manifests.ManifestAgent;
  readonly decisions: decisionLogs.DecisionLog;
  readonly peerSelection: policy.PeerSelector;
  readonly capacityHandler: CapacityMessageHandler;
  /** Returns the load of this process, which is sent with heartbeats. */
  readonly getLoad: () => {
    readonly openRequests: number;
    readonly groups: readonly peers.GroupLoad[];
  };
  /** Returns the peers to link to in addition to those that peer selection chooses. */
  readonly getRequiredPeers: () => readonly core.ProcessId[];
}

/** State of a peer as of its last heartbeat. */
export interface PeerState {
  readonly release: number;
  readonly openRequests: number;
  readonly groups: readonly peers.GroupLoad[];
  /** Time on this process's clock at which a heartbeat first reported `release`. */
  readonly releaseSince: number;
}

interface ExplainQuery {
  readonly collectDecisions: (decisions: readonly peers.ExplainedDecision[]) => void;
}

const TICK_INTERVAL_MS = 100;
const HEARTBEAT_INTERVAL_MS = 500;
/** A linked peer that is not a required peer gets one heartbeat per this many intervals. */
const INTERVALS_PER_PEER_HEARTBEAT = 2;
/** Time without messages after which a link is closed and replaced. */
const LINK_SILENCE_TIMEOUT_MS = 3_000;
/** Number of watchers per zone, which read the VM list and the manifest more often. */
const WATCHERS_PER_ZONE = 2;
/** Time to wait for a manifest from one peer before requesting it from another one. */
const MANIFEST_TIMEOUT_MS = 500;
const EXPLAIN_WAIT_MS = 400;
const SEED_PEER_PREFIX = "seed:";

/** The other entry processes as known to this one, and the links to them. */
export class Fleet {
  readonly membership: policy.Membership;
  readonly mesh: peers.PeerMesh;
  readonly #runtime: core.Runtime;
  readonly #options: FleetOptions;
  readonly #peerStates = new Map<core.ProcessId, PeerState>();
  readonly #explainQueries = new Map<number, ExplainQuery>();
  #nextExplainQueryId = 0;
  #heartbeatRoundCount = 0;
  #requestedRelease = 0;
  #manifestTimeoutAt = -Infinity;
  #publishedMembershipVersion = -1;

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
      getOwnMemberInfo: () => this.membership.self,
      listener: {
        onLinkOpened: (link) => this.#handleLinkOpened(link),
        onMessage: (link, message) => this.#applyMessage(link, message),
        onLinkLost: (process, link) => this.#handleLinkLost(process, link),
      },
    });
  }

  /** Returns the state of a peer; `undefined` if no heartbeat of it has been received. */
  getPeerState(process: core.ProcessId): PeerState | undefined {
    return this.#peerStates.get(process);
  }

  /** Whether this process is a watcher, which reads the VM list and the manifest more often. */
  isWatcher(): boolean {
    const { process, zone } = this.membership.self;
    const watchers = policy.rankOwners("platform", zone, {
      candidates: this.membership.getLiveMembers(),
      count: WATCHERS_PER_ZONE,
    });
    return watchers.length === 0 || watchers.includes(process);
  }

  /** Returns the process of this zone that is elected for the named task. */
  getElectedProcess(task: string): core.ProcessId | undefined {
    const { zone } = this.membership.self;
    const candidates = this.membership.getLiveMembers();
    return policy.rankOwners(task, zone, { candidates, count: 1 })[0];
  }

  /** Notifies all peers of endpoints that are new or leaving. */
  sendEndpoints(endpoints: readonly policy.ListedEndpoint[]): void {
    if (endpoints.length === 0) return;
    this.#sendToAllPeers({ type: "endpoints", endpoints });
  }

  /** Notifies all peers that this process is draining. */
  startDrain(): void {
    const now = this.#runtime.clock.now();
    this.membership.handle({ type: "drain_started" }, now);
    this.runTick(now);
  }

  /**
   * Collects the decisions on a request from all linked peers. Resolves after a
   * fixed wait; answers that arrive later are ignored.
   */
  explain(
    request: core.RequestId,
  ): Promise<
    readonly { readonly process: core.ProcessId; readonly decision: peers.ExplainedDecision }[]
  > {
    const results: { process: core.ProcessId; decision: peers.ExplainedDecision }[] = [];
    for (const link of this.mesh.getOutgoingLinks()) {
      const query = this.#nextExplainQueryId++;
      const { process } = link.peer!;
      this.#explainQueries.set(query, {
        collectDecisions: (decisions) => {
          for (const decision of decisions) results.push({ process, decision });
        },
      });
      setTimeout(() => this.#explainQueries.delete(query), EXPLAIN_WAIT_MS);
      link.send({ type: "explain", query, request });
    }
    return new Promise((resolve) => setTimeout(() => resolve(results), EXPLAIN_WAIT_MS));
  }

  /** Updates membership and links, and sends pending membership updates to all peers. */
  runTick(now: number): void {
    this.membership.handle({ type: "ticked" }, now);
    this.mesh.closeSilentLinks(LINK_SILENCE_TIMEOUT_MS, now);
    this.#updateLinkTargets(now);
    const updates = this.membership.takeUpdates();
    if (updates.length > 0) this.#sendToAllPeers({ type: "updates", updates });
    this.#publishChanges();
  }

  /** Sends heartbeats: to required peers at each call, to other linked peers less often. */
  sendHeartbeats(): void {
    this.#heartbeatRoundCount += 1;
    const requiredPeers = new Set(this.#options.getRequiredPeers());
    const includesAllPeers = this.#heartbeatRoundCount % INTERVALS_PER_PEER_HEARTBEAT === 0;
    const heartbeat = this.#createHeartbeat(true);
    for (const link of this.mesh.getOutgoingLinks()) {
      if (includesAllPeers || requiredPeers.has(link.peer!.process)) link.send(heartbeat);
    }
  }

  /** Notifies every peer immediately of a release that has just been applied. */
  sendRelease(): void {
    this.#sendToAllPeers(this.#createHeartbeat(false));
  }

  #sendToAllPeers(message: peers.PeerMessage): void {
    const notifiedProcesses = new Set<core.ProcessId>();
    for (const link of this.mesh.getLinks()) {
      if (link.peer === undefined || notifiedProcesses.has(link.peer.process)) continue;
      notifiedProcesses.add(link.peer.process);
      link.send(message);
    }
  }

  #updateLinkTargets(now: number): void {
    const processes = new Map<core.ProcessId, policy.MemberCandidate>();
    for (const candidate of this.membership.candidates) processes.set(candidate.process, candidate);
    for (const member of this.membership.getLiveMembers()) processes.set(member.process, member);
    const { self } = this.membership;
    processes.delete(self.process);
    const targetProcesses = new Set([
      ...this.#options.peerSelection.choosePeers(self, [...processes.values()]),
      ...this.#options.getRequiredPeers(),
    ]);
    const targets: peers.PeerTarget[] = [];
    for (const process of targetProcesses) {
      const peer = processes.get(process);
      if (peer !== undefined) targets.push({ process, address: peer.address });
    }
    this.mesh.updateTargets([...targets, ...this.#getSeedTargets(processes)], now);
    for (const member of this.membership.getMembers()) {
      if (targetProcesses.has(member.process)) continue;
      this.membership.handle({ type: "watch_ended", process: member.process }, now);
    }
  }

  /** Returns the seeds as link targets, but only while no other process is known. */
  #getSeedTargets(processes: ReadonlyMap<core.ProcessId, unknown>): peers.PeerTarget[] {
    if (processes.size > 0) return [];
    return this.#options.seedAddresses.map((address) => ({
      process: `${SEED_PEER_PREFIX}${address}` as core.ProcessId,
      address,
    }));
  }

  #publishChanges(): void {
    if (this.membership.version === this.#publishedMembershipVersion) return;
    this.#publishedMembershipVersion = this.membership.version;
    this.#runtime.publish(topics.MEMBERS_CHANGED, undefined);
  }

  #handleLinkOpened(link: peers.PeerLink): void {
    const now = this.#runtime.clock.now();
    this.#recordPeer(link, link.peer!, now);
    link.send({ type: "updates", updates: this.membership.getAllUpdates() });
    const endpoints = this.#options.directory.table.getAllEndpoints();
    if (endpoints.length > 0) link.send({ type: "endpoints", endpoints });
    if (!link.isOutgoing) return;
    link.send(this.#createHeartbeat(true));
    this.#options.capacityHandler.onLinkOpened(link);
  }

  #recordPeer(link: peers.PeerLink, info: policy.MemberInfo, now: number): void {
    if (info.process === this.membership.self.process) return;
    if (link.isOutgoing && this.mesh.getLink(info.process) === link) {
      this.membership.handle({ type: "peer_heard", info }, now);
      return;
    }
    const updates = [{ ...info, state: "alive" as const }];
    this.membership.handle({ type: "updates_received", updates }, now);
  }

  #handleLinkLost(process: core.ProcessId, link: peers.PeerLink | undefined): void {
    const now = this.#runtime.clock.now();
    if (link !== undefined) this.#options.capacityHandler.onLinkLost(link);
    if (link?.isOutgoing) this.membership.handle({ type: "link_lost", process }, now);
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
        return this.#options.capacityHandler.onEvents(link, message.events);
      case "capacity_effects":
        return this.#options.capacityHandler.onEffects(link, message.effects);
      case "explain":
        link.send({
          type: "explained",
          query: message.query,
          decisions: this.#options.decisions.getDecisions(message.request),
        });
        return;
      case "explained":
        this.#explainQueries.get(message.query)?.collectDecisions(message.decisions);
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
    const previousState = this.#peerStates.get(process);
    const isSameRelease = previousState?.release === message.release;
    this.#peerStates.set(process, {
      release: message.release,
      openRequests: message.openRequests,
      groups: message.groups,
      releaseSince: isSameRelease ? previousState.releaseSince : now,
    });
    this.#sendManifestRequest(link, message.release, now);
    if (message.ask) link.send(this.#createHeartbeat(false));
  }

  /**
   * Requests the manifest from a peer that has a higher release. Requests it from one
   * peer at a time, since a manifest can be large.
   */
  #sendManifestRequest(link: peers.PeerLink, release: number, now: number): void {
    const currentRelease = this.#options.manifests.record?.release ?? 0;
    if (
      release <=
        Math.max(currentRelease, now < this.#manifestTimeoutAt ? this.#requestedRelease : 0)
    ) return;
    this.#requestedRelease = release;
    this.#manifestTimeoutAt = now + MANIFEST_TIMEOUT_MS;
    link.send({ type: "manifest_wanted" });
  }

  #sendManifest(link: peers.PeerLink): void {
    const { record } = this.#options.manifests;
    if (record !== undefined) link.send({ type: "manifest", record });
  }

  #applyEndpoints(endpoints: readonly policy.ListedEndpoint[]): void {
    const changedEndpoints = this.#options.directory.applyUpdates(endpoints);
    if (changedEndpoints.length === 0) return;
    this.sendEndpoints(changedEndpoints);
    this.#runtime.publish(topics.ENDPOINTS_CHANGED, undefined);
  }

  #createHeartbeat(wantsAnswer: boolean): peers.HeartbeatMessage {
    return {
      type: "heartbeat",
      incarnation: this.membership.self.incarnation,
      draining: this.membership.self.draining,
      release: this.#options.manifests.record?.release ?? 0,
      ask: wantsAnswer,
      ...this.#options.getLoad(),
    };
  }
}

/** Runs the timers of `fleet` and notifies its peers when a manifest is applied. */
export function registerFleet(runtime: core.Runtime, fleet: Fleet): core.Disposer {
  return core.mergeDisposers(
    () => fleet.mesh.stop(),
    runtime.registerInterval((now) => fleet.runTick(now), TICK_INTERVAL_MS),
    runtime.registerInterval(() => fleet.sendHeartbeats(), HEARTBEAT_INTERVAL_MS),
    runtime.registerListener(topics.MANIFEST_APPLIED, () => fleet.sendRelease()),
  );
}
