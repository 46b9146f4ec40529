/** Simulates one case in virtual time, with a dispatcher and models of the engines. */

import type * as core from "@peridotvale/core";
import type * as policy from "@peridotvale/policy";
import * as standins from "@peridotvale/standins";
import * as events from "./event_queue.ts";
import * as results from "./results.ts";
import * as workload from "./workload.ts";

/** Fault of the engine at `engineIndex` in the fleet's list of engines. */
export type EngineFault =
  | { readonly type: "die"; readonly engineIndex: number; readonly atMs: number }
  /** The engine announces that it will leave and dies `noticeMs` later. */
  | {
    readonly type: "reclaim";
    readonly engineIndex: number;
    readonly atMs: number;
    readonly noticeMs: number;
  }
  /** The engine's steps take `slowdownFactor` times as long until `untilMs`. */
  | {
    readonly type: "slow";
    readonly engineIndex: number;
    readonly atMs: number;
    readonly untilMs: number;
    readonly slowdownFactor: number;
  };

export interface SimulationOptions {
  readonly fleet: workload.SimulatedFleet;
  readonly load: workload.BenchLoad;
  readonly manifest: core.Manifest;
  readonly seed: number;
  readonly engineFaults?: readonly EngineFault[];
  /** Time from the sending of an engine's load report to its delivery. */
  readonly reportLagMs?: number;
}

/** Chooses the engine of each request. */
export interface Dispatcher {
  /** Called once, before the first request arrives. */
  start(context: SimulationContext): void;
  onRequestArrived(run: results.RequestRun): void;
  /** Called when the engine of an open request has died. */
  onRequestLost(run: results.RequestRun, engine: core.EndpointId): void;
  onTokensGenerated(run: results.RequestRun, tokens: number): void;
  onRequestEnded(run: results.RequestRun): void;
  onLoadReport(report: EngineReport): void;
  onEngineLeaving(engine: core.EndpointId): void;
}

/** Load report of an engine, with the number of its running and waiting streams. */
export interface EngineReport extends policy.LoadReport {
  readonly streamCount: number;
}

/** Part of the simulation's interface that dispatchers use. */
export interface SimulationContext {
  readonly options: SimulationOptions;
  readonly queue: events.EventQueue;
  /** Sends the request to the engine, which receives it after a one-way network delay. */
  startRequest(run: results.RequestRun, engine: core.EndpointId): void;
  /** Cancels the request at the engine immediately. */
  cancelRequest(run: results.RequestRun, engine: core.EndpointId): void;
  refuseRequest(run: results.RequestRun): void;
}

/** State of one engine during the simulation. */
interface EngineRun {
  readonly definition: workload.BenchEngine;
  readonly model: standins.EngineModel;
  isAlive: boolean;
  isStepRunning: boolean;
  slowdownFactor: number;
}

/** Tokens delivered before this time are excluded from rates and shares. */
const WARM_UP_MS = 5_000;
/** One-way delay between a front and an engine. */
const HOP_DELAY_MS = 0.5;
const LOAD_REPORT_INTERVAL_MS = 500;
const DEFAULT_REPORT_LAG_MS = 500;
/** Time until a front detects that an engine has died. */
const LOSS_DETECTION_MS = 20;
/** Time after the end of arrivals during which open requests may still complete. */
const DRAIN_TIME_MS = 15_000;

export function runSimulation(
  options: SimulationOptions,
  dispatcher: Dispatcher,
): results.CaseResult {
  const simulation = new Simulation(options, dispatcher);
  return simulation.run();
}

class Simulation implements SimulationContext {
  readonly options: SimulationOptions;
  readonly queue = new events.EventQueue();
  readonly #dispatcher: Dispatcher;
  readonly #engines = new Map<core.EndpointId, EngineRun>();
  readonly #runsByRequest = new Map<string, results.RequestRun>();
  readonly #collector: results.ResultCollector;

  constructor(options: SimulationOptions, dispatcher: Dispatcher) {
    this.options = options;
    this.#dispatcher = dispatcher;
    this.#collector = new results.ResultCollector(options.manifest, {
      warmUpMs: WARM_UP_MS,
      durationMs: options.load.durationMs,
    });
    for (const definition of options.fleet.engines) {
      const model = new standins.EngineModel(definition.parameters);
      this.#engines.set(definition.id, {
        definition,
        model,
        isAlive: true,
        isStepRunning: false,
        slowdownFactor: 1,
      });
    }
  }

  run(): results.CaseResult {
    const { fleet, load, seed } = this.options;
    for (const request of workload.createRequests(fleet, load, { seed })) {
      const run = this.#collector.createRequestRun(request);
      this.#runsByRequest.set(request.id, run);
      this.queue.schedule(request.arrivedAt, () => this.#dispatcher.onRequestArrived(run));
    }
    for (const fault of this.options.engineFaults ?? []) this.#scheduleFault(fault);
    this.#scheduleReports();
    this.#dispatcher.start(this);
    this.queue.runUntil(load.durationMs + DRAIN_TIME_MS);
    let preemptions = 0;
    for (const engine of this.#engines.values()) preemptions += engine.model.preemptions;
    return this.#collector.getResult(preemptions);
  }

  startRequest(run: results.RequestRun, engineId: core.EndpointId): void {
    this.queue.schedule(this.queue.now + HOP_DELAY_MS, () => {
      const engine = this.#engines.get(engineId)!;
      if (run.state !== "open" || run.engine !== engineId) return;
      if (!engine.isAlive) return this.#loseRequest(run, engineId);
      const { request } = run;
      run.attemptTokens = 0;
      engine.model.addRequest({
        id: request.id,
        promptTokens: request.promptTokens,
        prefixes: request.prefixes,
        outputTokens: request.outputTokens,
        maxTokens: workload.MAX_OUTPUT_TOKENS,
        priority: this.options.manifest.ranks.get(request.rank)!.order,
      });
      this.#startStep(engine);
    });
    run.engine = engineId;
  }

  cancelRequest(run: results.RequestRun, engineId: core.EndpointId): void {
    run.engine = undefined;
    this.#engines.get(engineId)!.model.cancelRequest(run.request.id);
  }

  refuseRequest(run: results.RequestRun): void {
    this.#collector.recordRefusal(run, this.queue.now);
  }

  #startStep(engine: EngineRun): void {
    if (engine.isStepRunning || !engine.isAlive || !engine.model.hasWork) return;
    engine.isStepRunning = true;
    const step = engine.model.runStep();
    this.queue.schedule(this.queue.now + step.durationMs * engine.slowdownFactor, () => {
      engine.isStepRunning = false;
      if (!engine.isAlive) return;
      for (const event of step.events) this.#applyEvent(event, engine);
      this.#startStep(engine);
    });
  }

  #applyEvent(event: standins.ModelEvent, engine: EngineRun): void {
    const run = this.#runsByRequest.get(event.id)!;
    if (run.state !== "open" || run.engine !== engine.definition.id) return;
    if (event.type === "token") {
      run.attemptTokens += 1;
      if (run.attemptTokens > run.deliveredTokens) this.#collector.recordToken(run, this.queue.now);
      this.#dispatcher.onTokensGenerated(run, 1);
    } else if (event.type === "end") {
      this.#collector.recordCompletion(run, this.queue.now);
      this.#dispatcher.onRequestEnded(run);
    }
  }

  #scheduleReports(): void {
    const lagMs = this.options.reportLagMs ?? DEFAULT_REPORT_LAG_MS;
    const sendReports = () => {
      for (const engine of this.#engines.values()) {
        if (!engine.isAlive) continue;
        const { usedMemoryTokens, preemptions, runningCount, waitingCount } = engine.model;
        const report = {
          endpoint: engine.definition.id,
          memoryUsedTokens: usedMemoryTokens,
          preemptions,
          streamCount: runningCount + waitingCount,
        };
        const deliverAt = this.queue.now + lagMs;
        this.queue.schedule(deliverAt, () => this.#dispatcher.onLoadReport(report));
      }
      this.queue.schedule(this.queue.now + LOAD_REPORT_INTERVAL_MS, sendReports);
    };
    this.queue.schedule(LOAD_REPORT_INTERVAL_MS, sendReports);
  }

  #scheduleFault(fault: EngineFault): void {
    const engine = [...this.#engines.values()][fault.engineIndex]!;
    const killEngine = () => {
      engine.isAlive = false;
      for (const run of this.#runsByRequest.values()) {
        if (run.state === "open" && run.engine === engine.definition.id) {
          this.queue.schedule(
            this.queue.now + LOSS_DETECTION_MS,
            () => this.#loseRequest(run, engine.definition.id),
          );
        }
      }
    };
    if (fault.type === "die") return this.queue.schedule(fault.atMs, killEngine);
    if (fault.type === "reclaim") {
      this.queue.schedule(fault.atMs, () => this.#dispatcher.onEngineLeaving(engine.definition.id));
      return this.queue.schedule(fault.atMs + fault.noticeMs, killEngine);
    }
    this.queue.schedule(fault.atMs, () => engine.slowdownFactor = fault.slowdownFactor);
    this.queue.schedule(fault.untilMs, () => engine.slowdownFactor = 1);
  }

  #loseRequest(run: results.RequestRun, engineId: core.EndpointId): void {
    if (run.state !== "open" || run.engine !== engineId) return;
    run.engine = undefined;
    this.#dispatcher.onRequestLost(run, engineId);
  }
}
