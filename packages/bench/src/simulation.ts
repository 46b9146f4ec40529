/** Runs one case in virtual time: requests, a dispatcher, and engine models. */

import type * as core from "@peridotvale/core";
import type * as policy from "@peridotvale/policy";
import * as standins from "@peridotvale/standins";
import * as events from "./event_queue.ts";
import * as results from "./results.ts";
import * as workload from "./workload.ts";

/** A fault of an engine. */
export type EngineFault =
  | { readonly type: "die"; readonly engine: number; readonly atMs: number }
  /** Announces that it leaves, and dies after the notice. */
  | {
    readonly type: "reclaim";
    readonly engine: number;
    readonly atMs: number;
    readonly noticeMs: number;
  }
  | {
    readonly type: "slow";
    readonly engine: number;
    readonly atMs: number;
    readonly untilMs: number;
    readonly factor: number;
  };

/** One case. */
export interface SimulationOptions {
  readonly shape: workload.BenchShape;
  readonly load: workload.BenchLoad;
  readonly manifest: core.Manifest;
  readonly seed: number;
  readonly engineFaults?: readonly EngineFault[];
  readonly reportLagMs?: number;
}

/** Chooses the engine of each request. */
export interface Dispatcher {
  /** Starts the dispatcher. */
  start(world: World): void;
  onArrival(run: results.RequestRun): void;
  /** The engine no longer holds the request, which has not ended. */
  onLost(run: results.RequestRun, engine: core.EndpointId): void;
  onTokens(run: results.RequestRun, tokens: number): void;
  onEnded(run: results.RequestRun): void;
  onReport(report: EngineReport): void;
  onLeaving(engine: core.EndpointId): void;
}

/** An engine's load report. */
export interface EngineReport extends policy.LoadReport {
  readonly streams: number;
}

/** What a dispatcher may do. */
export interface World {
  readonly options: SimulationOptions;
  readonly queue: events.EventQueue;
  /** Sends a request to an engine. */
  startAt(run: results.RequestRun, engine: core.EndpointId): void;
  /** Takes a request off its engine. */
  cancelAt(run: results.RequestRun, engine: core.EndpointId): void;
  refuse(run: results.RequestRun): void;
}

interface EngineRun {
  readonly info: workload.BenchEngine;
  readonly model: standins.EngineModel;
  alive: boolean;
  stepping: boolean;
  factor: number;
}

/** Time before tokens count towards rates and shares. */
const WARM_UP_MS = 5_000;
/** One way between two processes. */
const HOP_MS = 0.5;
const LOAD_REPORT_MS = 500;
const DEFAULT_LAG_MS = 500;
/** Time until a front notices that an engine is gone. */
const LOSS_NOTICE_MS = 20;
/** Time after the last arrival in which open requests may end. */
const TAIL_MS = 15_000;

/** Runs a case and returns its results. */
export function runSimulation(
  options: SimulationOptions,
  dispatcher: Dispatcher,
): results.CaseResult {
  const simulation = new Simulation(options, dispatcher);
  return simulation.run();
}

class Simulation implements World {
  readonly options: SimulationOptions;
  readonly queue = new events.EventQueue();
  readonly #dispatcher: Dispatcher;
  readonly #engines = new Map<core.EndpointId, EngineRun>();
  readonly #runs = new Map<string, results.RequestRun>();
  readonly #collector: results.ResultCollector;

  constructor(options: SimulationOptions, dispatcher: Dispatcher) {
    this.options = options;
    this.#dispatcher = dispatcher;
    this.#collector = new results.ResultCollector(options.manifest, {
      warmUpMs: WARM_UP_MS,
      durationMs: options.load.durationMs,
    });
    for (const info of options.shape.engines) {
      const model = new standins.EngineModel(info.parameters);
      this.#engines.set(info.id, { info, model, alive: true, stepping: false, factor: 1 });
    }
  }

  run(): results.CaseResult {
    const { shape, load, seed } = this.options;
    for (const request of workload.createRequests(shape, load, { seed })) {
      const run = this.#collector.createRun(request);
      this.#runs.set(request.id, run);
      this.queue.schedule(request.arrivedAt, () => this.#dispatcher.onArrival(run));
    }
    for (const fault of this.options.engineFaults ?? []) this.#scheduleFault(fault);
    this.#scheduleReports();
    this.#dispatcher.start(this);
    this.queue.runUntil(load.durationMs + TAIL_MS);
    let preemptions = 0;
    for (const engine of this.#engines.values()) preemptions += engine.model.preemptions;
    return this.#collector.getResult(preemptions);
  }

  startAt(run: results.RequestRun, id: core.EndpointId): void {
    this.queue.schedule(this.queue.now + HOP_MS, () => {
      const engine = this.#engines.get(id)!;
      if (run.state !== "open" || run.engine !== id) return;
      if (!engine.alive) return this.#lose(run, id);
      const { request } = run;
      run.generated = 0;
      engine.model.addRequest({
        id: request.id,
        promptTokens: request.promptTokens,
        prefixes: request.prefixes,
        outputTokens: request.outputTokens,
        maxTokens: workload.MAX_TOKENS,
        priority: this.options.manifest.ranks.get(request.rank)!.order,
      });
      this.#startStep(engine);
    });
    run.engine = id;
  }

  cancelAt(run: results.RequestRun, id: core.EndpointId): void {
    run.engine = undefined;
    this.#engines.get(id)!.model.cancelRequest(run.request.id);
  }

  refuse(run: results.RequestRun): void {
    this.#collector.recordRefusal(run, this.queue.now);
  }

  #startStep(engine: EngineRun): void {
    if (engine.stepping || !engine.alive || !engine.model.hasWork) return;
    engine.stepping = true;
    const step = engine.model.runStep();
    this.queue.schedule(this.queue.now + step.durationMs * engine.factor, () => {
      engine.stepping = false;
      if (!engine.alive) return;
      for (const event of step.events) this.#applyEvent(event, engine);
      this.#startStep(engine);
    });
  }

  #applyEvent(event: standins.ModelEvent, engine: EngineRun): void {
    const run = this.#runs.get(event.id)!;
    if (run.state !== "open" || run.engine !== engine.info.id) return;
    if (event.type === "token") {
      run.generated += 1;
      if (run.generated > run.delivered) this.#collector.recordToken(run, this.queue.now);
      this.#dispatcher.onTokens(run, 1);
    } else if (event.type === "end") {
      this.#collector.recordEnd(run, this.queue.now);
      this.#dispatcher.onEnded(run);
    }
  }

  #scheduleReports(): void {
    const lagMs = this.options.reportLagMs ?? DEFAULT_LAG_MS;
    const report = () => {
      for (const engine of this.#engines.values()) {
        if (!engine.alive) continue;
        const { memoryUsed, preemptions, runningCount, waitingCount } = engine.model;
        const snapshot = {
          endpoint: engine.info.id,
          memoryUsedTokens: memoryUsed,
          preemptions,
          streams: runningCount + waitingCount,
        };
        const at = this.queue.now + lagMs;
        this.queue.schedule(at, () => this.#dispatcher.onReport(snapshot));
      }
      this.queue.schedule(this.queue.now + LOAD_REPORT_MS, report);
    };
    this.queue.schedule(LOAD_REPORT_MS, report);
  }

  #scheduleFault(fault: EngineFault): void {
    const engine = [...this.#engines.values()][fault.engine]!;
    const kill = () => {
      engine.alive = false;
      for (const run of this.#runs.values()) {
        if (run.state === "open" && run.engine === engine.info.id) {
          this.queue.schedule(
            this.queue.now + LOSS_NOTICE_MS,
            () => this.#lose(run, engine.info.id),
          );
        }
      }
    };
    if (fault.type === "die") return this.queue.schedule(fault.atMs, kill);
    if (fault.type === "reclaim") {
      this.queue.schedule(fault.atMs, () => this.#dispatcher.onLeaving(engine.info.id));
      return this.queue.schedule(fault.atMs + fault.noticeMs, kill);
    }
    this.queue.schedule(fault.atMs, () => engine.factor = fault.factor);
    this.queue.schedule(fault.untilMs, () => engine.factor = 1);
  }

  #lose(run: results.RequestRun, engine: core.EndpointId): void {
    if (run.state !== "open" || run.engine !== engine) return;
    run.engine = undefined;
    this.#dispatcher.onLost(run, engine);
  }
}
