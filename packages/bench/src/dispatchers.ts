/** Ways to choose the engine of a request: the product's scheduler and baselines. */

import * as core from "@peridotvale/core";
import * as policy from "@peridotvale/policy";
import type * as results from "./results.ts";
import type * as simulation from "./simulation.ts";
import * as workload from "./workload.ts";

/** Arrangement of schedulers over zones and entry processes. */
export type Arrangement =
  /** One owner per zone; other zones are asked after a refusal. */
  | "owner_per_zone"
  /** One scheduler for everything. */
  | "global"
  /** Each entry process alone with its part of its zone's engines. */
  | "front_alone";

/** A fault of the schedulers. */
export type OwnerFault =
  /** The first zone's owner dies; the others use their local share until the takeover. */
  | { readonly type: "owner_dies"; readonly atMs: number; readonly takeoverMs: number }
  /** Two processes believe that they own the first zone. */
  | { readonly type: "two_owners"; readonly atMs: number; readonly untilMs: number };

/** Options of {@linkcode SchedulerDispatcher}. */
export interface SchedulerDispatcherOptions {
  readonly arrangement: Arrangement;
  readonly ownerFault?: OwnerFault;
  /** Knows every length ahead. */
  readonly oracle?: boolean;
}

interface SchedulerSlot {
  readonly scheduler: policy.Scheduler;
  readonly zone: core.ZoneName | undefined;
  readonly share: number;
  alive: boolean;
}

interface OpenRequest {
  readonly run: results.RequestRun;
  slot: SchedulerSlot;
  /** Further schedulers to ask after a refusal. */
  others: SchedulerSlot[];
  unreported: number;
  readonly avoid: core.EndpointId[];
  startBy: number;
  /** Whether the request waits where it is asked for. */
  mayQueue: boolean;
}

const HOP_MS = 0.5;
const REMOTE_HOP_MS = 3;
const TICK_MS = 50;
const REPORT_MS = 100;

/** The product's scheduler, in one of its arrangements. */
export class SchedulerDispatcher implements simulation.Dispatcher {
  readonly #options: SchedulerDispatcherOptions;
  readonly #open = new Map<core.RequestId, OpenRequest>();
  readonly #leaving = new Set<core.EndpointId>();
  readonly #lengths = new Map<core.RequestId, number>();
  #world!: simulation.World;
  #slots: SchedulerSlot[] = [];
  /** Schedulers of each entry process, the preferred first. */
  #routes: SchedulerSlot[][] = [];

  constructor(options: SchedulerDispatcherOptions) {
    this.#options = options;
  }

  start(world: simulation.World): void {
    this.#world = world;
    this.#createSlots();
    this.#repeat(TICK_MS, () => this.#runTick());
    this.#repeat(REPORT_MS, () => this.#sendReports());
    this.#scheduleOwnerFault();
  }

  onArrival(run: results.RequestRun): void {
    const { firstTokenMs } = this.#world.options.manifest.ranks.get(run.request.rank)!;
    const startBy = run.request.arrivedAt + firstTokenMs;
    const slot = this.#slots[0]!;
    const open: OpenRequest = {
      run,
      slot,
      others: [],
      unreported: 0,
      avoid: [],
      startBy,
      mayQueue: true,
    };
    this.#open.set(run.request.id, open);
    this.#lengths.set(run.request.id, run.request.outputTokens);
    this.#startRoute(open);
  }

  onLost(run: results.RequestRun, engine: core.EndpointId): void {
    const open = this.#open.get(run.request.id);
    if (open === undefined) return;
    this.#handle(open.slot, { type: "request_ended", request: run.request.id, end: "abandoned" });
    for (const slot of this.#slots) this.#updateEngine(slot, engine, false);
    this.#leaving.add(engine);
    open.avoid.push(engine);
    const { firstTokenMs } = this.#world.options.manifest.ranks.get(run.request.rank)!;
    open.startBy = this.#world.queue.now + firstTokenMs;
    this.#startRoute(open);
  }

  onTokens(run: results.RequestRun, tokens: number): void {
    const open = this.#open.get(run.request.id);
    if (open !== undefined) open.unreported += tokens;
  }

  onEnded(run: results.RequestRun): void {
    const open = this.#open.get(run.request.id);
    if (open === undefined) return;
    this.#open.delete(run.request.id);
    this.#world.queue.schedule(this.#world.queue.now + HOP_MS, () => {
      this.#sendReport(open);
      this.#handle(open.slot, { type: "request_ended", request: run.request.id, end: "completed" });
    });
  }

  onReport(report: simulation.EngineReport): void {
    for (const slot of this.#slots) {
      if (slot.share === 1) this.#handle(slot, { type: "load_reported", report });
    }
  }

  onLeaving(engine: core.EndpointId): void {
    this.#leaving.add(engine);
    for (const slot of this.#slots) this.#updateEngine(slot, engine, false);
  }

  #createSlots(): void {
    const { shape } = this.#world.options;
    const zones = [...new Set(shape.engines.map((engine) => engine.zone))];
    if (this.#options.arrangement === "global") {
      const slot = this.#createSlot(undefined, 1);
      this.#routes = shape.fronts.map(() => [slot]);
      return;
    }
    if (this.#options.arrangement === "front_alone") {
      this.#routes = shape.fronts.map((zone) => {
        const usable = zones.includes(zone) ? zone : zones[0]!;
        const peers = shape.fronts.filter((other) => other === zone).length;
        return [this.#createSlot(usable, 1 / peers)];
      });
      return;
    }
    const owners = new Map(zones.map((zone) => [zone, this.#createSlot(zone, 1)]));
    this.#routes = shape.fronts.map((zone) => {
      const own = owners.get(zone);
      const others = [...owners.values()].filter((slot) => slot !== own);
      return own === undefined ? others : [own, ...others.slice(0, 2)];
    });
  }

  #createSlot(zone: core.ZoneName | undefined, share: number): SchedulerSlot {
    const lengths = this.#options.oracle ? new OracleLengths(this.#lengths) : undefined;
    const scheduler = new policy.Scheduler(lengths === undefined ? {} : { lengths });
    const slot = { scheduler, zone, share, alive: true };
    this.#slots.push(slot);
    const { manifest, shape } = this.#world.options;
    this.#handle(slot, { type: "manifest_changed", manifest });
    for (const engine of shape.engines) this.#updateEngine(slot, engine.id, true);
    return slot;
  }

  #updateEngine(slot: SchedulerSlot, id: core.EndpointId, accepting: boolean): void {
    const engine = this.#world.options.shape.engines.find((entry) => entry.id === id)!;
    if (slot.zone !== undefined && engine.zone !== slot.zone) return;
    this.#handle(slot, {
      type: "engine_updated",
      engine: {
        endpoint: id,
        models: [workload.MODEL],
        accepting: accepting && !this.#leaving.has(id),
        memoryLimitTokens: engine.parameters.memoryTokens * slot.share,
        maxBatch: Math.max(1, Math.floor(engine.parameters.maxBatch * slot.share)),
      },
    });
  }

  #sendAsk(open: OpenRequest, delayMs: number): void {
    const { request } = open.run;
    this.#world.queue.schedule(this.#world.queue.now + delayMs, () => {
      if (!open.slot.alive) return;
      this.#handle(open.slot, { type: "request_arrived", capacity: createCapacity(open) });
      if (!this.#open.has(request.id)) return;
    });
  }

  #handle(slot: SchedulerSlot, event: policy.SchedulerEvent): void {
    if (!slot.alive) return;
    for (const effect of slot.scheduler.handle(event, this.#world.queue.now)) {
      this.#apply(slot, effect);
    }
  }

  #apply(slot: SchedulerSlot, effect: policy.SchedulerEffect): void {
    const open = this.#open.get(effect.request);
    if (open === undefined || open.slot !== slot) return;
    if (effect.type === "granted") {
      open.unreported = 0;
      this.#world.startAt(open.run, effect.endpoint);
      return;
    }
    if (effect.type === "evicted") {
      this.#world.cancelAt(open.run, effect.endpoint);
      this.#sendAsk(open, 2 * HOP_MS);
      return;
    }
    const next = open.others.shift();
    if (next === undefined) {
      this.#open.delete(effect.request);
      this.#world.refuse(open.run);
      return;
    }
    open.slot = next;
    open.mayQueue = open.others.length === 0;
    this.#sendAsk(open, REMOTE_HOP_MS);
  }

  /** Every owner is asked for capacity at once, then the first one again to wait. */
  #startRoute(open: OpenRequest): void {
    const [first, ...others] = this.#routes[open.run.request.front]!;
    open.slot = first!;
    open.others = others.length === 0 ? [] : [...others, first!];
    open.mayQueue = others.length === 0;
    this.#sendAsk(open, HOP_MS);
  }

  #runTick(): void {
    for (const slot of this.#slots) this.#handle(slot, { type: "ticked" });
  }

  #sendReports(): void {
    for (const open of this.#open.values()) {
      if (policy.isReportDue(open.run.generated, open.unreported)) this.#sendReport(open);
    }
  }

  #sendReport(open: OpenRequest): void {
    if (open.unreported === 0) return;
    const { id } = open.run.request;
    const tokens = open.unreported;
    open.unreported = 0;
    this.#handle(open.slot, { type: "tokens_generated", request: id, tokens });
  }

  #repeat(intervalMs: number, run: () => void): void {
    const { queue } = this.#world;
    const next = () => {
      run();
      queue.schedule(queue.now + intervalMs, next);
    };
    queue.schedule(intervalMs, next);
  }

  #scheduleOwnerFault(): void {
    const fault = this.#options.ownerFault;
    if (fault === undefined) return;
    const { queue } = this.#world;
    const owner = this.#slots[0]!;
    if (fault.type === "owner_dies") {
      queue.schedule(fault.atMs, () => this.#killOwner(owner, fault.takeoverMs));
      return;
    }
    let twin: SchedulerSlot | undefined;
    queue.schedule(fault.atMs, () => twin = this.#addTwin(owner));
    queue.schedule(fault.untilMs, () => this.#removeTwin(owner, twin!));
  }

  /** Fronts of the zone use their local shares until a new owner takes over. */
  #killOwner(owner: SchedulerSlot, takeoverMs: number): void {
    const { queue, options: { shape } } = this.#world;
    owner.alive = false;
    const inZone = shape.fronts.filter((zone) => zone === owner.zone).length;
    const fallbacks: SchedulerSlot[] = [];
    this.#routes = this.#routes.map((route) => {
      if (route[0] !== owner) return route.filter((slot) => slot !== owner);
      const fallback = this.#createSlot(owner.zone, 1 / inZone);
      fallbacks.push(fallback);
      return [fallback, ...route.slice(1)];
    });
    for (const open of this.#open.values()) {
      if (open.slot !== owner || open.run.engine !== undefined) continue;
      this.#startRoute(open);
    }
    queue.schedule(queue.now + takeoverMs, () => {
      const successor = this.#createSlot(owner.zone, 1);
      this.#routes = this.#routes.map((route) =>
        route.map((slot) => fallbacks.includes(slot) ? successor : slot)
      );
      for (const open of this.#open.values()) {
        if (open.slot === owner || fallbacks.includes(open.slot)) this.#move(open, successor);
      }
      for (const fallback of fallbacks) fallback.alive = false;
    });
  }

  /** Every second front of the zone asks a second owner that knows the same engines. */
  #addTwin(owner: SchedulerSlot): SchedulerSlot {
    const twin = this.#createSlot(owner.zone, 1);
    let count = 0;
    this.#routes = this.#routes.map((route) => {
      if (route[0] !== owner) return route;
      count += 1;
      return count % 2 === 0 ? [twin, ...route.slice(1)] : route;
    });
    return twin;
  }

  #removeTwin(owner: SchedulerSlot, twin: SchedulerSlot): void {
    this.#routes = this.#routes.map((route) => route.map((slot) => slot === twin ? owner : slot));
    for (const open of this.#open.values()) if (open.slot === twin) this.#move(open, owner);
    twin.alive = false;
  }

  #move(open: OpenRequest, slot: SchedulerSlot): void {
    open.slot = slot;
    const { engine, delivered } = open.run;
    if (engine === undefined) return this.#sendAsk(open, HOP_MS);
    const stream = { capacity: createCapacity(open), endpoint: engine, emittedTokens: delivered };
    this.#handle(slot, { type: "stream_adopted", stream });
  }
}

/** How a baseline chooses. */
export type BaselineChoice = "round_robin" | "least_in_flight" | "two_choices";

/** Sends every request to an engine at once: no queue bound, no memory model. */
export class BaselineDispatcher implements simulation.Dispatcher {
  readonly #choice: BaselineChoice;
  readonly #inFlight: Map<core.EndpointId, number>[] = [];
  readonly #reported = new Map<core.EndpointId, number>();
  readonly #gone = new Set<core.EndpointId>();
  readonly #random: core.SeededRandom;
  #world!: simulation.World;
  #next = 0;

  constructor(choice: BaselineChoice, seed: number) {
    this.#choice = choice;
    this.#random = new core.SeededRandom(seed);
  }

  start(world: simulation.World): void {
    this.#world = world;
    for (let index = 0; index < world.options.shape.fronts.length; index++) {
      this.#inFlight.push(new Map());
    }
  }

  onArrival(run: results.RequestRun): void {
    const engine = this.#choose(run);
    const counts = this.#inFlight[run.request.front]!;
    counts.set(engine, (counts.get(engine) ?? 0) + 1);
    this.#world.startAt(run, engine);
  }

  onLost(run: results.RequestRun, engine: core.EndpointId): void {
    this.#gone.add(engine);
    this.onArrival(run);
  }

  onTokens(): void {}

  onEnded(run: results.RequestRun): void {
    const counts = this.#inFlight[run.request.front]!;
    counts.set(run.engine!, (counts.get(run.engine!) ?? 1) - 1);
  }

  onReport(report: simulation.EngineReport): void {
    this.#reported.set(report.endpoint, report.streams);
  }

  onLeaving(engine: core.EndpointId): void {
    this.#gone.add(engine);
  }

  #choose(run: results.RequestRun): core.EndpointId {
    const engines = this.#world.options.shape.engines
      .map((engine) => engine.id)
      .filter((id) => !this.#gone.has(id));
    if (this.#choice === "round_robin") return engines[this.#next++ % engines.length]!;
    if (this.#choice === "least_in_flight") {
      const counts = this.#inFlight[run.request.front]!;
      return chooseLeast(engines, (id) => counts.get(id) ?? 0);
    }
    const pair = [this.#draw(engines), this.#draw(engines)];
    return chooseLeast(pair, (id) => this.#reported.get(id) ?? 0);
  }

  #draw(engines: readonly core.EndpointId[]): core.EndpointId {
    return engines[Math.floor(this.#random.next() * engines.length)]!;
  }
}

/** Knows the length of every request. */
class OracleLengths implements policy.LengthModel {
  readonly #lengths: ReadonlyMap<core.RequestId, number>;

  constructor(lengths: ReadonlyMap<core.RequestId, number>) {
    this.#lengths = lengths;
  }

  recordProgress(): void {}

  recordEnd(): void {}

  getSurvival(key: policy.LengthKey): policy.SurvivalCurve {
    const length = this.#lengths.get((key as policy.CapacityRequest).request) ?? 1;
    return {
      computeSurvivalProbability: (emitted, more) => emitted + more <= length ? 1 : 0,
      computeQuantile: () => length,
    };
  }
}

function createCapacity(open: OpenRequest): policy.CapacityRequest {
  const { request } = open.run;
  return {
    request: request.id,
    workspace: request.workspace,
    rank: request.rank,
    model: workload.MODEL,
    promptTokens: request.promptTokens,
    maxTokens: workload.MAX_TOKENS,
    prefixes: request.prefixes,
    startBy: open.startBy,
    avoid: open.avoid,
    mayQueue: open.mayQueue,
  };
}

function chooseLeast<T extends string>(values: readonly T[], getCost: (value: T) => number): T {
  let best = values[0]!;
  for (const value of values) if (getCost(value) < getCost(best)) best = value;
  return best;
}
