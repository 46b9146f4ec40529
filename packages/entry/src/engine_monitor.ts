/** Reads the status of engines and tells the schedulers of them. */

import * as core from "@peridotvale/core";
import type * as engines from "@peridotvale/engines";
import type * as policy from "@peridotvale/policy";
import type * as capacity from "./capacity_host.ts";
import type * as directories from "./endpoint_directory.ts";
import type * as metrics from "./metrics.ts";

/** Interval of status reads. */
const READ_INTERVAL_MS = 500;

/** What the monitor works with. */
export interface EngineMonitorOptions {
  readonly client: engines.EngineClient;
  readonly directory: directories.EndpointDirectory;
  readonly metrics: metrics.Metrics;
  readonly hosts: readonly capacity.CapacityHost[];
  /** Whether this process watches the engine. */
  readonly isWatched: (engine: policy.ListedEndpoint) => boolean;
}

/** Watches engines. */
export class EngineMonitor {
  readonly #runtime: core.Runtime;
  readonly #options: EngineMonitorOptions;
  readonly #statuses = new Map<core.EndpointId, engines.EngineStatus>();

  constructor(runtime: core.Runtime, options: EngineMonitorOptions) {
    this.#runtime = runtime;
    this.#options = options;
  }

  /** The last status of each watched engine. */
  get statuses(): ReadonlyMap<core.EndpointId, engines.EngineStatus> {
    return this.#statuses;
  }

  /** Reads every watched engine once. */
  async readAll(): Promise<void> {
    const watched: core.EndpointId[] = [];
    for (const engine of this.#options.directory.table.getEndpoints("engine")) {
      if (this.#options.isWatched(engine)) watched.push(engine.endpoint);
    }
    this.#removeUnwatched(new Set(watched));
    await Promise.all(watched.map((endpoint) => this.#readOne(endpoint)));
  }

  /** Tells the schedulers at once that an engine's state has changed. */
  updateEngine(endpoint: core.EndpointId): void {
    const status = this.#statuses.get(endpoint);
    if (status === undefined) return;
    const now = this.#runtime.clock.now();
    const models: core.ModelName[] = [];
    for (const model of status.models) {
      if (model.state === "ready") {
        models.push(core.createId<core.ModelName>(model.model));
      }
    }
    const engine = {
      endpoint,
      models,
      accepting: this.#options.directory.table.isAccepting(endpoint, now),
      memoryLimitTokens: status.memoryLimitTokens,
      maxBatch: status.maxBatch,
    };
    for (const host of this.#options.hosts) {
      host.handleEvent({ type: "engine_updated", engine }, now);
    }
  }

  async #readOne(endpoint: core.EndpointId): Promise<void> {
    const { table } = this.#options.directory;
    const status = await this.#options.client.readStatus(endpoint);
    const now = this.#runtime.clock.now();
    if (status.isErr()) {
      table.recordFailure(endpoint, now);
      this.updateEngine(endpoint);
      return;
    }
    const before = this.#statuses.get(endpoint);
    this.#statuses.set(endpoint, status.value);
    table.recordSuccess(endpoint);
    table.recordAnnouncement(endpoint, !status.value.accepting);
    this.updateEngine(endpoint);
    const { memoryUsedTokens, preemptions } = status.value;
    const report = { endpoint, memoryUsedTokens, preemptions };
    for (const host of this.#options.hosts) {
      host.handleEvent({ type: "load_reported", report }, now);
    }
    this.#options.metrics.recordPreemptions(
      endpoint,
      preemptions - (before?.preemptions ?? preemptions),
    );
  }

  #removeUnwatched(watched: ReadonlySet<core.EndpointId>): void {
    const now = this.#runtime.clock.now();
    for (const endpoint of [...this.#statuses.keys()]) {
      if (watched.has(endpoint)) continue;
      this.#statuses.delete(endpoint);
      for (const host of this.#options.hosts) {
        host.handleEvent({ type: "engine_removed", endpoint }, now);
      }
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
