/**
 * Polls the status and cache events of engines and passes them to the schedulers
 * of this process that may use the engines.
 */

import * as core from "@peridotvale/core";
import type * as engines from "@peridotvale/engines";
import type * as policy from "@peridotvale/policy";
import type * as capacity from "./capacity_host.ts";
import type * as directories from "./endpoint_directory.ts";

/** Assigns a share of an engine to a scheduler of this process. */
export interface EngineAssignment {
  readonly host: capacity.CapacityHost;
  /** Share of the engine's capacity, 0 to 1. */
  readonly share: number;
}

export interface EngineMonitorOptions {
  readonly client: engines.EngineClient;
  readonly directory: directories.EndpointDirectory;
  readonly metrics: core.Metrics;
  /**
   * Returns the schedulers of this process that may use the engine. An engine
   * with no scheduler is not polled.
   */
  readonly getAssignments: (engine: policy.ListedEndpoint) => readonly EngineAssignment[];
}

interface WatchedEngine {
  status: engines.EngineStatus | undefined;
  /** Time at which the read that returned `status` was sent. */
  statusReadAt: number;
  assignments: readonly EngineAssignment[];
  /** Number of successful status reads. */
  statusReadCount: number;
  /** Sequence number of the last cache event that was read. */
  cacheSequence: number;
}

const STATUS_INTERVAL_MS = 1_000;
/** Number of status reads per read of the cache events. */
const STATUS_READS_PER_CACHE_READ = 2;

/** Holds the last known state of the engines that this process's schedulers may use. */
export class EngineMonitor {
  readonly #runtime: core.Runtime;
  readonly #options: EngineMonitorOptions;
  readonly #engines = new Map<core.EndpointId, WatchedEngine>();

  constructor(runtime: core.Runtime, options: EngineMonitorOptions) {
    this.#runtime = runtime;
    this.#options = options;
  }

  /** Returns the last status of an engine; `undefined` if none is known. */
  getStatus(endpoint: core.EndpointId): engines.EngineStatus | undefined {
    return this.#engines.get(endpoint)?.status;
  }

  /** Reads the status of every engine that a scheduler of this process may use. */
  async readAllEngines(): Promise<void> {
    this.#updateWatchedEngines();
    await Promise.all(
      [...this.#engines.keys()].map((endpoint) => this.#readEngine(endpoint)),
    );
  }

  /** Passes the known state of an engine to its schedulers, scaled to their shares. */
  updateEngine(endpoint: core.EndpointId): void {
    const watched = this.#engines.get(endpoint);
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
        statusReadAt: watched.statusReadAt,
        memoryLimitTokens: status.memoryLimitTokens * share,
        maxBatch: Math.max(1, Math.floor(status.maxBatch * share)),
      };
      host.handleEvent({ type: "engine_updated", engine }, now);
    }
  }

  /** Passes the known state of every engine to its schedulers. */
  updateAllEngines(): void {
    for (const endpoint of this.#engines.keys()) this.updateEngine(endpoint);
  }

  async #readEngine(endpoint: core.EndpointId): Promise<void> {
    const { table } = this.#options.directory;
    const statusReadAt = this.#runtime.clock.now();
    const status = await this.#options.client.readStatus(endpoint);
    const now = this.#runtime.clock.now();
    const watched = this.#engines.get(endpoint);
    if (watched === undefined) return;
    if (status.isErr()) {
      table.recordFailure(endpoint, now);
      this.updateEngine(endpoint);
      return;
    }
    const preemptionsBefore = watched.status?.preemptions ?? status.value.preemptions;
    watched.status = status.value;
    watched.statusReadAt = statusReadAt;
    table.recordSuccess(endpoint);
    table.recordAnnouncement(endpoint, !status.value.accepting);
    this.updateEngine(endpoint);
    const { memoryUsedTokens, preemptions } = status.value;
    const report = { endpoint, memoryUsedTokens, preemptions };
    for (const { host } of watched.assignments) {
      host.handleEvent({ type: "load_reported", report }, now);
    }
    this.#options.metrics.recordPreemptions(endpoint, preemptions - preemptionsBefore);
    await this.#readCacheEvents(endpoint, watched);
  }

  /**
   * Passes changes of the engine's prefix cache to its schedulers. Cached prefixes
   * are only a hint for placement, so a failed read is ignored.
   */
  async #readCacheEvents(endpoint: core.EndpointId, watched: WatchedEngine): Promise<void> {
    watched.statusReadCount += 1;
    if (watched.statusReadCount % STATUS_READS_PER_CACHE_READ !== 0) return;
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

  #updateWatchedEngines(): void {
    const now = this.#runtime.clock.now();
    const assignmentsByEngine = new Map<core.EndpointId, readonly EngineAssignment[]>();
    for (const engine of this.#options.directory.table.getEndpointsByRole("engine")) {
      const assignments = this.#options.getAssignments(engine);
      if (assignments.length > 0) assignmentsByEngine.set(engine.endpoint, assignments);
    }
    for (const [endpoint, watched] of this.#engines) {
      const hosts = new Set(
        assignmentsByEngine.get(endpoint)?.map((assignment) => assignment.host),
      );
      for (const { host } of watched.assignments) {
        if (!hosts.has(host)) host.handleEvent({ type: "engine_removed", endpoint }, now);
      }
      if (hosts.size === 0) this.#engines.delete(endpoint);
    }
    for (const [endpoint, assignments] of assignmentsByEngine) {
      const watched = this.#engines.get(endpoint);
      if (watched === undefined) this.#engines.set(endpoint, createWatchedEngine(assignments));
      else watched.assignments = assignments;
    }
  }
}

/** Reads the status of the engines at intervals. */
export function registerEngineMonitor(
  runtime: core.Runtime,
  monitor: EngineMonitor,
): core.Disposer {
  return runtime.registerInterval(() => monitor.readAllEngines(), STATUS_INTERVAL_MS);
}

function createWatchedEngine(assignments: readonly EngineAssignment[]): WatchedEngine {
  return {
    status: undefined,
    statusReadAt: -Infinity,
    assignments,
    statusReadCount: 0,
    cacheSequence: 0,
  };
}
