/**
 * Routes capacity requests to the owners of engines: this process or its peers.
 * While an owner does not answer, a local fallback scheduler allocates a
 * conservative share of the zone's engines: their capacity divided by the number
 * of processes in the zone.
 */

import type * as core from "@peridotvale/core";
import type * as peers from "@peridotvale/peers";
import * as policy from "@peridotvale/policy";
import type * as client from "./capacity_client.ts";
import type * as hosts from "./capacity_host.ts";
import * as wire from "./capacity_wire.ts";
import type * as directories from "./endpoint_directory.ts";
import type * as monitors from "./engine_monitor.ts";
import type * as fleets from "./fleet.ts";
import * as localLinks from "./local_link.ts";

export interface CapacityRouterOptions {
  readonly self: core.ProcessId;
  readonly zone: core.ZoneName;
  readonly directory: directories.EndpointDirectory;
  /** Schedules the engines that this process owns. */
  readonly host: hosts.CapacityHost;
  /** Schedules a share of the zone's engines while their owner does not answer. */
  readonly fallbackHost: hosts.CapacityHost;
  readonly getFleet: () => fleets.Fleet;
  readonly getMonitor: () => monitors.EngineMonitor;
  readonly onEffect: (effect: policy.SchedulerEffect, link: client.CapacityLink) => void;
  /** Called when the connection to an owner has been opened again. */
  readonly onLinkReopened: (link: client.CapacityLink) => void;
}

/** Time without messages after which a peer's scheduler is considered unreachable. */
const OWNER_SILENCE_TIMEOUT_MS = 900;
/** Time that the fallback scheduler stays active after its last request. */
const FALLBACK_DURATION_MS = 10_000;
/** Maximum number of owners in other zones to try after those in this zone have refused. */
const MAX_REMOTE_OWNER_COUNT = 2;

/** Chooses links to owners and passes capacity messages between links and schedulers. */
export class CapacityRouter implements client.LinkChooser, fleets.CapacityMessageHandler {
  readonly #runtime: core.Runtime;
  readonly #options: CapacityRouterOptions;
  readonly #localLink: localLinks.LocalLink;
  readonly #fallbackLink: localLinks.LocalLink;
  readonly #remoteLinks = new Map<core.ProcessId, RemoteLink>();
  readonly #origins = new Map<peers.PeerLink, PeerOrigin>();
  #fallbackEndsAt = -Infinity;
  #ownersVersionKey = "";
  #owners = new Map<core.EndpointId, core.ProcessId>();

  constructor(runtime: core.Runtime, options: CapacityRouterOptions) {
    this.#runtime = runtime;
    this.#options = options;
    const { host, fallbackHost, onEffect } = options;
    this.#localLink = new localLinks.LocalLink(runtime, { host, onEffect });
    this.#fallbackLink = new localLinks.LocalLink(runtime, {
      host: fallbackHost,
      onEffect,
      onRequest: () => this.#startFallback(),
    });
  }

  chooseRoute(_capacity: policy.CapacityRequest): client.LinkRoute {
    const owners = this.#rankOwners();
    return { owners: owners.map((owner) => this.#getLink(owner)), fallback: this.#fallbackLink };
  }

  chooseOwnerLink(endpoint: core.EndpointId): client.CapacityLink | undefined {
    const owner = this.getOwner(endpoint);
    return owner === undefined ? undefined : this.#getLink(owner);
  }

  /** Returns the owner of an engine according to the members known to this process. */
  getOwner(endpoint: core.EndpointId): core.ProcessId | undefined {
    this.#updateOwners();
    return this.#owners.get(endpoint);
  }

  /** Returns the schedulers of this process that may use an engine, with their shares. */
  getAssignments(engine: policy.ListedEndpoint): monitors.EngineAssignment[] {
    const assignments: monitors.EngineAssignment[] = [];
    if (this.getOwner(engine.endpoint) === this.#options.self) {
      assignments.push({ host: this.#options.host, share: 1 });
    } else if (engine.zone === this.#options.zone && this.#isFallbackActive()) {
      const share = 1 / Math.max(1, this.#countZoneProcesses());
      assignments.push({ host: this.#options.fallbackHost, share });
    }
    return assignments;
  }

  /** Returns the peers that own engines that this process's requests may use. */
  getRequiredPeers(): core.ProcessId[] {
    return this.#rankOwners().filter((owner) => owner !== this.#options.self);
  }

  /** Returns the load of the engines that this process owns; empty if it owns none. */
  getGroupLoads(): peers.GroupLoad[] {
    const { host, self } = this.#options;
    this.#updateOwners();
    if (![...this.#owners.values()].includes(self)) return [];
    return [{ index: 0, openStreams: host.openStreamCount, queuedRequests: host.queuedCount }];
  }

  onEvents(link: peers.PeerLink, events: readonly policy.SchedulerEvent[]): void {
    const now = this.#runtime.clock.now();
    let origin = this.#origins.get(link);
    if (origin === undefined) {
      origin = new PeerOrigin(link);
      this.#origins.set(link, origin);
    }
    for (const event of events) {
      if (!wire.isRequestEvent(event)) continue;
      this.#options.host.handleRequestEvent(wire.decodeEvent(event, now), now, { origin });
    }
  }

  onEffects(link: peers.PeerLink, effects: readonly policy.SchedulerEffect[]): void {
    const remoteLink = this.#remoteLinks.get(link.peer!.process);
    if (remoteLink === undefined) return;
    for (const effect of effects) this.#options.onEffect(effect, remoteLink);
  }

  onLinkOpened(link: peers.PeerLink): void {
    const remoteLink = this.#remoteLinks.get(link.peer!.process);
    if (remoteLink !== undefined) this.#options.onLinkReopened(remoteLink);
  }

  onLinkLost(link: peers.PeerLink): void {
    const origin = this.#origins.get(link);
    if (origin === undefined) return;
    this.#origins.delete(link);
    this.#options.host.removeOrigin(origin, this.#runtime.clock.now());
  }

  /**
   * Returns the owners in this process's zone, shortest queue first, followed by at
   * most `MAX_REMOTE_OWNER_COUNT` owners in other zones.
   */
  #rankOwners(): core.ProcessId[] {
    this.#updateOwners();
    const localOwners = new Set<core.ProcessId>();
    const remoteOwners = new Map<core.ZoneName, core.ProcessId>();
    for (const engine of this.#options.directory.table.getEndpointsByRole("engine")) {
      const owner = this.#owners.get(engine.endpoint);
      if (owner === undefined) continue;
      if (engine.zone === this.#options.zone) localOwners.add(owner);
      else remoteOwners.set(engine.zone, owner);
    }
    const rankedLocalOwners = [...localOwners].sort((a, b) =>
      this.#getQueuedRequestCount(a) - this.#getQueuedRequestCount(b)
    );
    return [...rankedLocalOwners, ...[...remoteOwners.values()].slice(0, MAX_REMOTE_OWNER_COUNT)];
  }

  #getQueuedRequestCount(owner: core.ProcessId): number {
    if (owner === this.#options.self) return this.#options.host.queuedCount;
    const peerState = this.#options.getFleet().getPeerState(owner);
    let queuedCount = 0;
    for (const group of peerState?.groups ?? []) queuedCount += group.queuedRequests;
    return queuedCount;
  }

  #getLink(owner: core.ProcessId): client.CapacityLink {
    if (owner === this.#options.self) return this.#localLink;
    let remoteLink = this.#remoteLinks.get(owner);
    if (remoteLink === undefined) {
      remoteLink = new RemoteLink(this.#runtime, owner, () => this.#options.getFleet());
      this.#remoteLinks.set(owner, remoteLink);
    }
    return remoteLink;
  }

  /** Recomputes the owners of all engines if members or engines have changed. */
  #updateOwners(): void {
    const { membership } = this.#options.getFleet();
    const key = `${membership.version}|${this.#options.directory.version}`;
    if (key === this.#ownersVersionKey) return;
    this.#ownersVersionKey = key;
    const engines = this.#options.directory.table.getEndpointsByRole("engine");
    this.#owners = computeOwners(engines, membership.getLiveMembers());
  }

  #startFallback(): void {
    const now = this.#runtime.clock.now();
    const wasActive = this.#isFallbackActive();
    this.#fallbackEndsAt = now + FALLBACK_DURATION_MS;
    if (wasActive) return;
    this.#runtime.logger.write("fallback_started", { zone: this.#options.zone });
    this.#options.fallbackHost.startWarmUp(now);
    void this.#options.getMonitor().readAllEngines().then(() =>
      this.#options.fallbackHost.endWarmUp(this.#runtime.clock.now())
    );
  }

  #isFallbackActive(): boolean {
    return this.#runtime.clock.now() < this.#fallbackEndsAt;
  }

  #countZoneProcesses(): number {
    const liveMembers = this.#options.getFleet().membership.getLiveMembers();
    return liveMembers.filter((member) => member.zone === this.#options.zone).length;
  }
}

/**
 * The link to a peer's scheduler. Sends all events of one event loop iteration in
 * one message.
 */
class RemoteLink implements client.CapacityLink {
  readonly #runtime: core.Runtime;
  readonly #owner: core.ProcessId;
  readonly #getFleet: () => fleets.Fleet;
  #pendingEvents: policy.SchedulerEvent[] = [];

  constructor(runtime: core.Runtime, owner: core.ProcessId, getFleet: () => fleets.Fleet) {
    this.#runtime = runtime;
    this.#owner = owner;
    this.#getFleet = getFleet;
  }

  isOpen(): boolean {
    const link = this.#getFleet().mesh.getLink(this.#owner);
    if (link === undefined) return false;
    return this.#runtime.clock.now() - link.lastReceivedAt < OWNER_SILENCE_TIMEOUT_MS;
  }

  send(event: policy.SchedulerEvent): void {
    this.#pendingEvents.push(wire.encodeEvent(event, this.#runtime.clock.now()));
    if (this.#pendingEvents.length === 1) setImmediate(() => this.#sendPending());
  }

  #sendPending(): void {
    const events = this.#pendingEvents;
    this.#pendingEvents = [];
    this.#getFleet().mesh.getLink(this.#owner)?.send({ type: "capacity_events", events });
  }
}

/**
 * A peer that has sent requests to this process's scheduler. The scheduler's effects
 * on these requests are sent to the peer: all of one event loop iteration in one message.
 */
class PeerOrigin implements hosts.CapacityOrigin {
  readonly #link: peers.PeerLink;
  #pendingEffects: policy.SchedulerEffect[] = [];

  constructor(link: peers.PeerLink) {
    this.#link = link;
  }

  onEffect(effect: policy.SchedulerEffect): void {
    this.#pendingEffects.push(effect);
    if (this.#pendingEffects.length === 1) setImmediate(() => this.#sendPending());
  }

  #sendPending(): void {
    const effects = this.#pendingEffects;
    this.#pendingEffects = [];
    this.#link.send({ type: "capacity_effects", effects });
  }
}

function computeOwners(
  engines: readonly policy.ListedEndpoint[],
  liveMembers: readonly policy.MemberInfo[],
): Map<core.EndpointId, core.ProcessId> {
  const engineCounts = new Map<core.ZoneName, number>();
  for (const { zone } of engines) engineCounts.set(zone, (engineCounts.get(zone) ?? 0) + 1);
  const ownerByGroup = new Map<string, core.ProcessId | undefined>();
  const owners = new Map<core.EndpointId, core.ProcessId>();
  for (const { endpoint, zone } of engines) {
    const group = policy.getGroup(endpoint, { zone, engineCount: engineCounts.get(zone)! });
    const key = `${zone}/${group.index}`;
    if (!ownerByGroup.has(key)) ownerByGroup.set(key, policy.chooseOwner(group, liveMembers));
    const owner = ownerByGroup.get(key);
    if (owner !== undefined) owners.set(endpoint, owner);
  }
  return owners;
}
