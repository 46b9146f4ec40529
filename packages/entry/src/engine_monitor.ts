/** Reads the status of engines and tells the schedulers of them. */

import * as core from "@peridotvale/core";
import type * as engines from "@peridotvale/engines";
import type * as policy from "@peridotvale/policy";
import type * as capacity from "./capacity_host.ts";
import type * as directories from "./endpoint_directory.ts";

/** A scheduler that may use a share of an engine. */
export interface EngineAssignment {
  readonly host: capacity.CapacityHost;
  /** Share of the engine's capacity, 0 to 1. */
  readonly share: number;
}

/** What the monitor works with. */
export interface EngineMonitorOptions {
  readonly client: engines.EngineClient;
  readonly directory: directories.EndpointDirectory;
  readonly metrics: core.Metrics;
  /** The schedulers of this process that may use the engine; none: it is not read. */
  readonly getAssignments: (engine: policy.ListedEndpoint) => readonly EngineAssignment[];
}

interface WatchedEngine {
  status: engines.EngineStatus | undefined;
  assignments: readonly EngineAssignment[];
  /** Status reads so far. */
  reads: number;
  /** Last cache event that was read. */
  cacheSequence: number;
}

/** Interval of status reads. */
const READ_INTERVAL_MS = 1_000;
/** Cache events are read once in so many reads of the status. */
const READS_PER_CACHE_READ = 2;

/** Watches engines. */
export class EngineMonitor {
  readonly #runtime: core.Runtime;
  readonly #options: EngineMonitorOptions;
  readonly #watched = new Map<core.EndpointId, WatchedEngine>();

  constructor(runtime: core.Runtime, options: EngineMonitorOptions) {
    this.#runtime = runtime;
    this.#options = options;
  }

  /** The last status of an engine, if it is watched and has answered. */
  getStatus(endpoint: core.EndpointId): engines.EngineStatus | undefined {
    return this.#watched.get(endpoint)?.status;
  }

  /** Reads every engine that a scheduler of this process may use. */
  async readAll(): Promise<void> {
    this.#updateWatched();
    await Promise.all([...this.#watched.keys()].map((endpoint) => this.#readOne(endpoint)));
  }

  /** Tells the schedulers at once what is known of the engine. */
  updateEngine(endpoint: core.EndpointId): void {
    const watched = this.#watched.get(endpoint);
    if (watched?.status === undefined) return;
    const now = this.#runtime.clock.now();
    const { status } = watched;
    const models: core.ModelName[] = [];
    for (const model of status.models) {
      if (model.state === "ready") models.push(core.createId<core.ModelName>(model.model));
    }
    const accepting = this.#options.directory.table.isAccepting(endpoint, now);
    for (const { host, share } of watched.assignments) {
      const engine = {
        endpoint,
        models,
        accepting,
        memoryLimitTokens: status.memoryLimitTokens * share,
        maxBatch: Math.max(1, Math.floor(status.maxBatch * share)),
      };
      host.handleEvent({ type: "engine_updated", engine }, now);
    }
  }

  /** Tells the schedulers what is known of every engine. */
  updateAll(): void {
    for (const endpoint of this.#watched.keys()) this.updateEngine(endpoint);
  }

  async #readOne(endpoint: core.EndpointId): Promise<void> {
    const { table } = this.#options.directory;
    const status = await this.#options.client.readStatus(endpoint);
    const now = this.#runtime.clock.now();
    const watched = this.#watched.get(endpoint);
    if (watched === undefined) return;
    if (status.isErr()) {
      table.recordFailure(endpoint, now);
      this.updateEngine(endpoint);
      return;
    }
    const before = watched.status?.preemptions ?? status.value.preemptions;
    watched.status = status.value;
    table.recordSuccess(endpoint);
    table.recordAnnouncement(endpoint, !status.value.accepting);
    this.updateEngine(endpoint);
    const { memoryUsedTokens, preemptions } = status.value;
    const report = { endpoint, memoryUsedTokens, preemptions };
    for (const { host } of watched.assignments) {
      host.handleEvent({ type: "load_reported", report }, now);
    }
    this.#options.metrics.recordPreemptions(endpoint, preemptions - before);
    await this.#readCache(endpoint, watched);
  }

  /** Beliefs about cached prefixes; without them placement only loses a hint. */
  async #readCache(endpoint: core.EndpointId, watched: WatchedEngine): Promise<void> {
    watched.reads += 1;
    if (watched.reads % READS_PER_CACHE_READ !== 0) return;
    const events = await this.#options.client.readCacheEvents(endpoint, watched.cacheSequence);
    if (events.isErr()) return;
    watched.cacheSequence = events.value.last;
    const { gap, added, removed } = events.value;
    if (!gap && added.length === 0 && removed.length === 0) return;
    const change = { gap, added, removed };
    const now = this.#runtime.clock.now();
    for (const { host } of watched.assignments) {
      host.handleEvent({ type: "cache_changed", endpoint, change }, now);
    }
  }

  #updateWatched(): void {
    const now = this.#runtime.clock.now();
    const wanted = new Map<core.EndpointId, readonly EngineAssignment[]>();
    for (const engine of this.#options.directory.table.getEndpoints("engine")) {
      const assignments = this.#options.getAssignments(engine);
      if (assignments.length > 0) wanted.set(engine.endpoint, assignments);
    }
    for (const [endpoint, watched] of this.#watched) {
      const hosts = new Set(wanted.get(endpoint)?.map((assignment) => assignment.host));
      for (const { host } of watched.assignments) {
        if (!hosts.has(host)) host.handleEvent({ type: "engine_removed", endpoint }, now);
      }
      if (hosts.size === 0) this.#watched.delete(endpoint);
    }
    for (const [endpoint, assignments] of wanted) {
      const known = this.#watched.get(endpoint);
      if (known === undefined) this.#watched.set(endpoint, createWatched(assignments));
      else known.assignments = assignments;
    }
  }
}

/** Reads the status of engines at intervals. */
export function registerEngineMonitor(
  runtime: core.Runtime,
  monitor: EngineMonitor,
): core.Disposer {
  return runtime.registerInterval(() => monitor.readAll(), READ_INTERVAL_MS);
}

function createWatched(assignments: readonly EngineAssignment[]): WatchedEngine {
  return { status: undefined, assignments, reads: 0, cacheSequence: 0 };
}
