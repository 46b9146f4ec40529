/**
 * Dispatchers that the simulation compares: the product's scheduler in several arrangements, and
 * common load-balancing strategies as baselines.
 */

import * as core from "@peridotvale/core";
import * as policy from "@peridotvale/policy";
import type * as results from "./results.ts";
import type * as simulation from "./simulation.ts";
import * as workload from "./workload.ts";

/** Distribution of schedulers over zones and entry processes. */
export type SchedulerArrangement =
  /**
   * One scheduler per zone, in the zone's owner. A front (the entry process that received a
   * request) queries the owners of other zones after a refusal.
   */
  | "owner_per_zone"
  /** One scheduler for all engines and entry processes. */
  | "global"
  /** One scheduler in each entry process, with an equal share of every engine of its zone. */
  | "front_alone";

export type OwnerFault =
  /**
   * The first zone's owner dies. Until a new owner takes over, `takeoverMs` later, each of the
   * zone's fronts schedules its requests on its own share of the engines.
   */
  | { readonly type: "owner_dies"; readonly atMs: number; readonly takeoverMs: number }
  /** A second process also acts as owner of the first zone, from `atMs` to `untilMs`. */
  | { readonly type: "two_owners"; readonly atMs: number; readonly untilMs: number };

export interface SchedulerDispatcherOptions {
  readonly arrangement: SchedulerArrangement;
  readonly ownerFault?: OwnerFault;
  /** Whether the scheduler knows the output length of each request in advance. */
  readonly knowsOutputLengths?: boolean;
}

/** A simulated process that runs a scheduler. */
interface SchedulerHost {
  readonly scheduler: policy.Scheduler;
  /** Zone whose engines the scheduler uses; undefined for all zones. */
  readonly zone: core.ZoneName | undefined;
  /** Share of each engine's memory and batch slots that the scheduler may assign. */
  readonly engineShare: number;
  isAlive: boolean;
}

interface OpenRequest {
  readonly run: results.RequestRun;
  /** Process that currently schedules the request. */
  host: SchedulerHost;
  /** Scheduler processes to query after a refusal, in this order. */
  remainingHosts: SchedulerHost[];
  /** Tokens generated since the last report to the scheduler. */
  unreportedTokens: number;
  /** Engines that died while they served the request. */
  readonly avoidedEngines: core.EndpointId[];
  /** Time by which the first token is due. */
  startBy: number;
  /** Whether the scheduler may queue the request when no engine has capacity. */
  mayQueue: boolean;
}

/** One-way delay between a front and the owner of its zone. */
const HOP_DELAY_MS = 0.5;
/** One-way delay to the scheduler that is queried next after a refusal. */
const REMOTE_HOP_DELAY_MS = 3;
const TICK_INTERVAL_MS = 50;
const TOKEN_REPORT_INTERVAL_MS = 100;

/** Dispatches requests with the product's scheduler, in the given arrangement. */
export class SchedulerDispatcher implements simulation.Dispatcher {
  readonly #options: SchedulerDispatcherOptions;
  readonly #openRequests = new Map<core.RequestId, OpenRequest>();
  readonly #unavailableEngines = new Set<core.EndpointId>();
  readonly #outputTokensByRequest = new Map<core.RequestId, number>();
  #context!: simulation.SimulationContext;
  #hosts: SchedulerHost[] = [];
  /** Scheduler processes that each front queries, in order of preference; indexed by front. */
  #hostsByFront: SchedulerHost[][] = [];

  constructor(options: SchedulerDispatcherOptions) {
    this.#options = options;
  }

  start(context: simulation.SimulationContext): void {
    this.#context = context;
    this.#createHosts();
    this.#scheduleInterval(TICK_INTERVAL_MS, () => this.#sendTicks());
    this.#scheduleInterval(TOKEN_REPORT_INTERVAL_MS, () => this.#sendTokenReports());
    this.#scheduleOwnerFault();
  }

  onRequestArrived(run: results.RequestRun): void {
    const { firstTokenMs } = this.#context.options.manifest.ranks.get(run.request.rank)!;
    const startBy = run.request.arrivedAt + firstTokenMs;
    const host = this.#hosts[0]!;
    const openRequest: OpenRequest = {
      run,
      host,
      remainingHosts: [],
      unreportedTokens: 0,
      avoidedEngines: [],
      startBy,
      mayQueue: true,
    };
    this.#openRequests.set(run.request.id, openRequest);
    this.#outputTokensByRequest.set(run.request.id, run.request.outputTokens);
    this.#startPlacement(openRequest);
  }

  onRequestLost(run: results.RequestRun, engine: core.EndpointId): void {
    const openRequest = this.#openRequests.get(run.request.id);
    if (openRequest === undefined) return;
    this.#handleEvent(openRequest.host, {
      type: "request_ended",
      request: run.request.id,
      end: "abandoned",
    });
    for (const host of this.#hosts) this.#updateEngine(host, engine, false);
    this.#unavailableEngines.add(engine);
    openRequest.avoidedEngines.push(engine);
    const { firstTokenMs } = this.#context.options.manifest.ranks.get(run.request.rank)!;
    openRequest.startBy = this.#context.queue.now + firstTokenMs;
    this.#startPlacement(openRequest);
  }

  onTokensGenerated(run: results.RequestRun, tokens: number): void {
    const openRequest = this.#openRequests.get(run.request.id);
    if (openRequest !== undefined) openRequest.unreportedTokens += tokens;
  }

  onRequestEnded(run: results.RequestRun): void {
    const openRequest = this.#openRequests.get(run.request.id);
    if (openRequest === undefined) return;
    this.#openRequests.delete(run.request.id);
    this.#context.queue.schedule(this.#context.queue.now + HOP_DELAY_MS, () => {
      this.#sendTokenReport(openRequest);
      this.#handleEvent(openRequest.host, {
        type: "request_ended",
        request: run.request.id,
        end: "completed",
      });
    });
  }

  onLoadReport(report: simulation.EngineReport): void {
    for (const host of this.#hosts) {
      if (host.engineShare === 1) this.#handleEvent(host, { type: "load_reported", report });
    }
  }

  onEngineLeaving(engine: core.EndpointId): void {
    this.#unavailableEngines.add(engine);
    for (const host of this.#hosts) this.#updateEngine(host, engine, false);
  }

  #createHosts(): void {
    const { fleet } = this.#context.options;
    const zones = [...new Set(fleet.engines.map((engine) => engine.zone))];
    if (this.#options.arrangement === "global") {
      const host = this.#createHost(undefined, 1);
      this.#hostsByFront = fleet.frontZones.map(() => [host]);
      return;
    }
    if (this.#options.arrangement === "front_alone") {
      this.#hostsByFront = fleet.frontZones.map((zone) => {
        const schedulerZone = zones.includes(zone) ? zone : zones[0]!;
        const frontCount = fleet.frontZones.filter((other) => other === zone).length;
        return [this.#createHost(schedulerZone, 1 / frontCount)];
      });
      return;
    }
    const owners = new Map(zones.map((zone) => [zone, this.#createHost(zone, 1)]));
    this.#hostsByFront = fleet.frontZones.map((zone) => {
      const localOwner = owners.get(zone);
      const others = [...owners.values()].filter((host) => host !== localOwner);
      return localOwner === undefined ? others : [localOwner, ...others.slice(0, 2)];
    });
  }

  #createHost(zone: core.ZoneName | undefined, engineShare: number): SchedulerHost {
    const lengthModel = this.#options.knowsOutputLengths
      ? new OracleLengthModel(this.#outputTokensByRequest)
      : undefined;
    const scheduler = new policy.Scheduler(
      lengthModel === undefined ? {} : { lengths: lengthModel },
    );
    const host = { scheduler, zone, engineShare, isAlive: true };
    this.#hosts.push(host);
    const { manifest, fleet } = this.#context.options;
    this.#handleEvent(host, { type: "manifest_changed", manifest });
    for (const engine of fleet.engines) this.#updateEngine(host, engine.id, true);
    return host;
  }

  #updateEngine(host: SchedulerHost, id: core.EndpointId, isAccepting: boolean): void {
    const engine = this.#context.options.fleet.engines.find((entry) => entry.id === id)!;
    if (host.zone !== undefined && engine.zone !== host.zone) return;
    this.#handleEvent(host, {
      type: "engine_updated",
      engine: {
        endpoint: id,
        models: [workload.MODEL],
        accepting: isAccepting && !this.#unavailableEngines.has(id),
        statusReadAt: this.#context.queue.now,
        memoryLimitTokens: engine.parameters.memoryTokens * host.engineShare,
        maxBatch: Math.max(1, Math.floor(engine.parameters.maxBatch * host.engineShare)),
      },
    });
  }

  #sendCapacityRequest(openRequest: OpenRequest, delayMs: number): void {
    const { request } = openRequest.run;
    this.#context.queue.schedule(this.#context.queue.now + delayMs, () => {
      if (!openRequest.host.isAlive) return;
      this.#handleEvent(openRequest.host, {
        type: "request_arrived",
        capacity: createCapacityRequest(openRequest),
      });
      if (!this.#openRequests.has(request.id)) return;
    });
  }

  #handleEvent(host: SchedulerHost, event: policy.SchedulerEvent): void {
    if (!host.isAlive) return;
    for (const effect of host.scheduler.handle(event, this.#context.queue.now)) {
      this.#applyEffect(host, effect);
    }
  }

  #applyEffect(host: SchedulerHost, effect: policy.SchedulerEffect): void {
    const openRequest = this.#openRequests.get(effect.request);
    if (openRequest === undefined || openRequest.host !== host) return;
    if (effect.type === "granted") {
      openRequest.unreportedTokens = 0;
      this.#context.startRequest(openRequest.run, effect.endpoint);
      return;
    }
    if (effect.type === "evicted") {
      this.#context.cancelRequest(openRequest.run, effect.endpoint);
      this.#sendCapacityRequest(openRequest, 2 * HOP_DELAY_MS);
      return;
    }
    const nextHost = openRequest.remainingHosts.shift();
    if (nextHost === undefined) {
      this.#openRequests.delete(effect.request);
      this.#context.refuseRequest(openRequest.run);
      return;
    }
    openRequest.host = nextHost;
    openRequest.mayQueue = openRequest.remainingHosts.length === 0;
    this.#sendCapacityRequest(openRequest, REMOTE_HOP_DELAY_MS);
  }

  /**
   * Queries the schedulers one after another for capacity that is free now. If all refuse, the
   * request queues at the first one.
   */
  #startPlacement(openRequest: OpenRequest): void {
    const [first, ...others] = this.#hostsByFront[openRequest.run.request.frontIndex]!;
    openRequest.host = first!;
    openRequest.remainingHosts = others.length === 0 ? [] : [...others, first!];
    openRequest.mayQueue = others.length === 0;
    this.#sendCapacityRequest(openRequest, HOP_DELAY_MS);
  }

  #sendTicks(): void {
    for (const host of this.#hosts) this.#handleEvent(host, { type: "ticked" });
  }

  #sendTokenReports(): void {
    for (const openRequest of this.#openRequests.values()) {
      if (policy.isReportDue(openRequest.run.attemptTokens, openRequest.unreportedTokens)) {
        this.#sendTokenReport(openRequest);
      }
    }
  }

  #sendTokenReport(openRequest: OpenRequest): void {
    if (openRequest.unreportedTokens === 0) return;
    const { id } = openRequest.run.request;
    const tokens = openRequest.unreportedTokens;
    openRequest.unreportedTokens = 0;
    this.#handleEvent(openRequest.host, { type: "tokens_generated", request: id, tokens });
  }

  #scheduleInterval(intervalMs: number, callback: () => void): void {
    const { queue } = this.#context;
    const runAndReschedule = () => {
      callback();
      queue.schedule(queue.now + intervalMs, runAndReschedule);
    };
    queue.schedule(intervalMs, runAndReschedule);
  }

  #scheduleOwnerFault(): void {
    const fault = this.#options.ownerFault;
    if (fault === undefined) return;
    const { queue } = this.#context;
    const owner = this.#hosts[0]!;
    if (fault.type === "owner_dies") {
      queue.schedule(fault.atMs, () => this.#killOwner(owner, fault.takeoverMs));
      return;
    }
    let duplicate: SchedulerHost | undefined;
    queue.schedule(fault.atMs, () => duplicate = this.#addDuplicateOwner(owner));
    queue.schedule(fault.untilMs, () => this.#removeDuplicateOwner(owner, duplicate!));
  }

  /**
   * Stops the owner. Until a new owner takes over, each front of the zone schedules its own
   * requests on an equal share of every engine.
   */
  #killOwner(owner: SchedulerHost, takeoverMs: number): void {
    const { queue, options: { fleet } } = this.#context;
    owner.isAlive = false;
    const frontCount = fleet.frontZones.filter((zone) => zone === owner.zone).length;
    const fallbackHosts: SchedulerHost[] = [];
    this.#hostsByFront = this.#hostsByFront.map((hosts) => {
      if (hosts[0] !== owner) return hosts.filter((host) => host !== owner);
      const fallbackHost = this.#createHost(owner.zone, 1 / frontCount);
      fallbackHosts.push(fallbackHost);
      return [fallbackHost, ...hosts.slice(1)];
    });
    for (const openRequest of this.#openRequests.values()) {
      if (openRequest.host !== owner || openRequest.run.engine !== undefined) continue;
      this.#startPlacement(openRequest);
    }
    queue.schedule(queue.now + takeoverMs, () => {
      const successor = this.#createHost(owner.zone, 1);
      this.#hostsByFront = this.#hostsByFront.map((hosts) =>
        hosts.map((host) => fallbackHosts.includes(host) ? successor : host)
      );
      for (const openRequest of this.#openRequests.values()) {
        if (openRequest.host === owner || fallbackHosts.includes(openRequest.host)) {
          this.#reassignRequest(openRequest, successor);
        }
      }
      for (const fallback of fallbackHosts) fallback.isAlive = false;
    });
  }

  /** Adds a second owner of the same engines, which every second front of the zone uses. */
  #addDuplicateOwner(owner: SchedulerHost): SchedulerHost {
    const duplicate = this.#createHost(owner.zone, 1);
    let frontCount = 0;
    this.#hostsByFront = this.#hostsByFront.map((hosts) => {
      if (hosts[0] !== owner) return hosts;
      frontCount += 1;
      return frontCount % 2 === 0 ? [duplicate, ...hosts.slice(1)] : hosts;
    });
    return duplicate;
  }

  #removeDuplicateOwner(owner: SchedulerHost, duplicate: SchedulerHost): void {
    this.#hostsByFront = this.#hostsByFront.map((hosts) =>
      hosts.map((host) => host === duplicate ? owner : host)
    );
    for (const openRequest of this.#openRequests.values()) {
      if (openRequest.host === duplicate) this.#reassignRequest(openRequest, owner);
    }
    duplicate.isAlive = false;
  }

  #reassignRequest(openRequest: OpenRequest, host: SchedulerHost): void {
    openRequest.host = host;
    const { engine, deliveredTokens } = openRequest.run;
    if (engine === undefined) return this.#sendCapacityRequest(openRequest, HOP_DELAY_MS);
    const stream = {
      capacity: createCapacityRequest(openRequest),
      endpoint: engine,
      emittedTokens: deliveredTokens,
    };
    this.#handleEvent(host, { type: "stream_adopted", stream });
  }
}

/**
 * `least_in_flight` chooses the engine with the fewest open requests of the same front;
 * `two_choices` chooses two engines at random and uses the one that reported fewer streams.
 */
export type BaselineStrategy = "round_robin" | "least_in_flight" | "two_choices";

/**
 * Sends each request to an engine on arrival. The dispatcher neither limits the engines' queues
 * nor takes their memory into account.
 */
export class BaselineDispatcher implements simulation.Dispatcher {
  readonly #strategy: BaselineStrategy;
  readonly #inFlightCountsByFront: Map<core.EndpointId, number>[] = [];
  readonly #reportedStreamCounts = new Map<core.EndpointId, number>();
  readonly #unavailableEngines = new Set<core.EndpointId>();
  readonly #random: core.SeededRandom;
  #context!: simulation.SimulationContext;
  #nextEngineIndex = 0;

  constructor(strategy: BaselineStrategy, seed: number) {
    this.#strategy = strategy;
    this.#random = new core.SeededRandom(seed);
  }

  start(context: simulation.SimulationContext): void {
    this.#context = context;
    for (let index = 0; index < context.options.fleet.frontZones.length; index++) {
      this.#inFlightCountsByFront.push(new Map());
    }
  }

  onRequestArrived(run: results.RequestRun): void {
    const engine = this.#chooseEngine(run);
    const counts = this.#inFlightCountsByFront[run.request.frontIndex]!;
    counts.set(engine, (counts.get(engine) ?? 0) + 1);
    this.#context.startRequest(run, engine);
  }

  onRequestLost(run: results.RequestRun, engine: core.EndpointId): void {
    this.#unavailableEngines.add(engine);
    this.onRequestArrived(run);
  }

  onTokensGenerated(): void {}

  onRequestEnded(run: results.RequestRun): void {
    const counts = this.#inFlightCountsByFront[run.request.frontIndex]!;
    counts.set(run.engine!, (counts.get(run.engine!) ?? 1) - 1);
  }

  onLoadReport(report: simulation.EngineReport): void {
    this.#reportedStreamCounts.set(report.endpoint, report.streamCount);
  }

  onEngineLeaving(engine: core.EndpointId): void {
    this.#unavailableEngines.add(engine);
  }

  #chooseEngine(run: results.RequestRun): core.EndpointId {
    const engines = this.#context.options.fleet.engines
      .map((engine) => engine.id)
      .filter((id) => !this.#unavailableEngines.has(id));
    if (this.#strategy === "round_robin") return engines[this.#nextEngineIndex++ % engines.length]!;
    if (this.#strategy === "least_in_flight") {
      const counts = this.#inFlightCountsByFront[run.request.frontIndex]!;
      return chooseLowestCost(engines, (id) => counts.get(id) ?? 0);
    }
    const candidates = [this.#chooseRandomEngine(engines), this.#chooseRandomEngine(engines)];
    return chooseLowestCost(candidates, (id) => this.#reportedStreamCounts.get(id) ?? 0);
  }

  #chooseRandomEngine(engines: readonly core.EndpointId[]): core.EndpointId {
    return engines[Math.floor(this.#random.next() * engines.length)]!;
  }
}

/** Length model that returns the actual output length of each request. */
class OracleLengthModel implements policy.LengthModel {
  readonly #outputTokensByRequest: ReadonlyMap<core.RequestId, number>;

  constructor(outputTokensByRequest: ReadonlyMap<core.RequestId, number>) {
    this.#outputTokensByRequest = outputTokensByRequest;
  }

  recordProgress(): void {}

  recordEnd(): void {}

  getSurvivalCurve(key: policy.LengthKey): policy.SurvivalCurve {
    const length = this.#outputTokensByRequest.get((key as policy.CapacityRequest).request) ?? 1;
    return {
      computeSurvivalProbability: (emittedTokens, additionalTokens) =>
        emittedTokens + additionalTokens <= length ? 1 : 0,
      computeQuantile: () => length,
    };
  }
}

function createCapacityRequest(openRequest: OpenRequest): policy.CapacityRequest {
  const { request } = openRequest.run;
  return {
    request: request.id,
    workspace: request.workspace,
    rank: request.rank,
    model: workload.MODEL,
    promptTokens: request.promptTokens,
    maxTokens: workload.MAX_OUTPUT_TOKENS,
    prefixes: request.prefixes,
    startBy: openRequest.startBy,
    avoid: openRequest.avoidedEngines,
    mayQueue: openRequest.mayQueue,
  };
}

function chooseLowestCost<T extends string>(
  values: readonly T[],
  getCost: (value: T) => number,
): T {
  let lowest = values[0]!;
  for (const value of values) if (getCost(value) < getCost(lowest)) lowest = value;
  return lowest;
}
