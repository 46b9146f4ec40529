/**
 * Finds the owner of capacity: this process, a peer, or, while the owner does
 * not answer, a conservative local share.
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

/** What the router works with. */
export interface CapacityRouterOptions {
  readonly self: core.ProcessId;
  readonly zone: core.ZoneName;
  readonly directory: directories.EndpointDirectory;
  /** Schedules the engines that this process owns. */
  readonly host: hosts.CapacityHost;
  /** Schedules a share of engines whose owner does not answer. */
  readonly fallbackHost: hosts.CapacityHost;
  readonly getFleet: () => fleets.Fleet;
  readonly getMonitor: () => monitors.EngineMonitor;
  readonly onEffect: (effect: policy.SchedulerEffect, link: client.CapacityLink) => void;
  /** Called when the way to an owner has been opened anew. */
  readonly onReopened: (link: client.CapacityLink) => void;
}

/** Silence of a peer after which its scheduler counts as unreachable. */
const OWNER_SILENCE_MS = 900;
/** Time that a local share stays in use after its last request. */
const FALLBACK_KEEP_MS = 10_000;
/** Owners asked in other zones after the own zone has refused. */
const REMOTE_OWNERS = 2;

/** Chooses links and passes capacity messages between them and the schedulers. */
export class CapacityRouter implements client.LinkChooser, fleets.CapacityMessageHandler {
  readonly #runtime: core.Runtime;
  readonly #options: CapacityRouterOptions;
  readonly #local: localLinks.LocalLink;
  readonly #fallback: localLinks.LocalLink;
  readonly #remotes = new Map<core.ProcessId, RemoteLink>();
  readonly #origins = new Map<peers.PeerLink, PeerOrigin>();
  #fallbackUntil = -Infinity;
  #ownersKey = "";
  #owners = new Map<core.EndpointId, core.ProcessId>();

  constructor(runtime: core.Runtime, options: CapacityRouterOptions) {
    this.#runtime = runtime;
    this.#options = options;
    const { host, fallbackHost, onEffect } = options;
    this.#local = new localLinks.LocalLink(runtime, { host, onEffect });
    this.#fallback = new localLinks.LocalLink(runtime, {
      host: fallbackHost,
      onEffect,
      onAsk: () => this.#startFallback(),
    });
  }

  chooseRoute(_capacity: policy.CapacityRequest): client.LinkRoute {
    const owners = this.#rankOwners();
    return { owners: owners.map((owner) => this.#getLink(owner)), fallback: this.#fallback };
  }

  chooseOwner(endpoint: core.EndpointId): client.CapacityLink | undefined {
    const owner = this.getOwner(endpoint);
    return owner === undefined ? undefined : this.#getLink(owner);
  }

  /** The process that owns an engine, as this one believes. */
  getOwner(endpoint: core.EndpointId): core.ProcessId | undefined {
    this.#updateOwners();
    return this.#owners.get(endpoint);
  }

  /** The schedulers of this process that may use an engine. */
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

  /** Peers that own engines which this process's requests may need. */
  getWantedPeers(): core.ProcessId[] {
    return this.#rankOwners().filter((owner) => owner !== this.#options.self);
  }

  /** Groups that this process owns, with their load. */
  getGroupLoads(): peers.GroupLoad[] {
    const { host, self } = this.#options;
    this.#updateOwners();
    if (![...this.#owners.values()].includes(self)) return [];
    return [{ index: 0, openStreams: host.openCount, queuedRequests: host.queuedCount }];
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
    const remote = this.#remotes.get(link.peer!.process);
    if (remote === undefined) return;
    for (const effect of effects) this.#options.onEffect(effect, remote);
  }

  onLinkOpened(link: peers.PeerLink): void {
    const remote = this.#remotes.get(link.peer!.process);
    if (remote !== undefined) this.#options.onReopened(remote);
  }

  onLinkLost(link: peers.PeerLink): void {
    const origin = this.#origins.get(link);
    if (origin === undefined) return;
    this.#origins.delete(link);
    this.#options.host.removeOrigin(origin, this.#runtime.clock.now());
  }

  /** Own zone's owners, the least loaded first, then a few of other zones. */
  #rankOwners(): core.ProcessId[] {
    this.#updateOwners();
    const own = new Set<core.ProcessId>();
    const remote = new Map<core.ZoneName, core.ProcessId>();
    for (const engine of this.#options.directory.table.getEndpoints("engine")) {
      const owner = this.#owners.get(engine.endpoint);
      if (owner === undefined) continue;
      if (engine.zone === this.#options.zone) own.add(owner);
      else remote.set(engine.zone, owner);
    }
    const ranked = [...own].sort((a, b) => this.#getQueued(a) - this.#getQueued(b));
    return [...ranked, ...[...remote.values()].slice(0, REMOTE_OWNERS)];
  }

  #getQueued(owner: core.ProcessId): number {
    if (owner === this.#options.self) return this.#options.host.queuedCount;
    const report = this.#options.getFleet().getReport(owner);
    let queued = 0;
    for (const group of report?.groups ?? []) queued += group.queuedRequests;
    return queued;
  }

  #getLink(owner: core.ProcessId): client.CapacityLink {
    if (owner === this.#options.self) return this.#local;
    let remote = this.#remotes.get(owner);
    if (remote === undefined) {
      remote = new RemoteLink(this.#runtime, owner, () => this.#options.getFleet());
      this.#remotes.set(owner, remote);
    }
    return remote;
  }

  /** Owners are computed anew only when members or engines have changed. */
  #updateOwners(): void {
    const { membership } = this.#options.getFleet();
    const key = `${membership.version}|${this.#options.directory.version}`;
    if (key === this.#ownersKey) return;
    this.#ownersKey = key;
    const engines = this.#options.directory.table.getEndpoints("engine");
    this.#owners = computeOwners(engines, membership.getLiveMembers());
  }

  #startFallback(): void {
    const now = this.#runtime.clock.now();
    const wasActive = this.#isFallbackActive();
    this.#fallbackUntil = now + FALLBACK_KEEP_MS;
    if (wasActive) return;
    this.#runtime.logger.write("fallback_started", { zone: this.#options.zone });
    this.#options.fallbackHost.startWarmUp(now);
    void this.#options.getMonitor().readAll().then(() =>
      this.#options.fallbackHost.endWarmUp(this.#runtime.clock.now())
    );
  }

  #isFallbackActive(): boolean {
    return this.#runtime.clock.now() < this.#fallbackUntil;
  }

  #countZoneProcesses(): number {
    const live = this.#options.getFleet().membership.getLiveMembers();
    return live.filter((member) => member.zone === this.#options.zone).length;
  }
}

/** The way to a peer's scheduler; events of one turn of the loop share a message. */
class RemoteLink implements client.CapacityLink {
  readonly #runtime: core.Runtime;
  readonly #owner: core.ProcessId;
  readonly #getFleet: () => fleets.Fleet;
  #pending: policy.SchedulerEvent[] = [];

  constructor(runtime: core.Runtime, owner: core.ProcessId, getFleet: () => fleets.Fleet) {
    this.#runtime = runtime;
    this.#owner = owner;
    this.#getFleet = getFleet;
  }

  isOpen(): boolean {
    const link = this.#getFleet().mesh.getLink(this.#owner);
    if (link === undefined) return false;
    return this.#runtime.clock.now() - link.heardAt < OWNER_SILENCE_MS;
  }

  send(event: policy.SchedulerEvent): void {
    this.#pending.push(wire.encodeEvent(event, this.#runtime.clock.now()));
    if (this.#pending.length === 1) setImmediate(() => this.#sendPending());
  }

  #sendPending(): void {
    const events = this.#pending;
    this.#pending = [];
    this.#getFleet().mesh.getLink(this.#owner)?.send({ type: "capacity_events", events });
  }
}

/** A peer that asked this process's scheduler. */
class PeerOrigin implements hosts.CapacityOrigin {
  readonly #link: peers.PeerLink;
  #pending: policy.SchedulerEffect[] = [];

  constructor(link: peers.PeerLink) {
    this.#link = link;
  }

  onEffect(effect: policy.SchedulerEffect): void {
    this.#pending.push(effect);
    if (this.#pending.length === 1) setImmediate(() => this.#sendPending());
  }

  #sendPending(): void {
    const effects = this.#pending;
    this.#pending = [];
    this.#link.send({ type: "capacity_effects", effects });
  }
}

function computeOwners(
  engines: readonly policy.ListedEndpoint[],
  live: readonly policy.MemberInfo[],
): Map<core.EndpointId, core.ProcessId> {
  const counts = new Map<core.ZoneName, number>();
  for (const { zone } of engines) counts.set(zone, (counts.get(zone) ?? 0) + 1);
  const byGroup = new Map<string, core.ProcessId | undefined>();
  const owners = new Map<core.EndpointId, core.ProcessId>();
  for (const { endpoint, zone } of engines) {
    const group = policy.getGroup(endpoint, { zone, engineCount: counts.get(zone)! });
    const key = `${zone}/${group.index}`;
    if (!byGroup.has(key)) byGroup.set(key, policy.chooseOwner(group, live));
    const owner = byGroup.get(key);
    if (owner !== undefined) owners.set(endpoint, owner);
  }
  return owners;
}
