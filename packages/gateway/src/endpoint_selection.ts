/** Selects the endpoints that this process may send requests to now. */

import type * as core from "@peridotvale/core";
import * as policy from "@peridotvale/policy";
import type * as contexts from "./gateway_context.ts";

export interface EndpointSelectionOptions {
  readonly context: contexts.GatewayContext;
  /** Returns the number of known processes, including this one. */
  readonly countProcesses: () => number;
  /** Time of the first listing of the store; undefined before it. */
  readonly getListedAt: () => number | undefined;
}

export class EndpointSelection {
  readonly #options: EndpointSelectionOptions;
  readonly #processCount = new policy.ProcessCount();

  constructor(options: EndpointSelectionOptions) {
    this.#options = options;
  }

  /** Lists the endpoints that may get new work: they do not leave, nor is their zone evacuated. */
  listUsable(service: core.ServiceName): core.EndpointRecord[] {
    const { directory, evacuationAgent } = this.#options.context;
    return directory.listUsableEndpoints(service)
      .filter((record) => evacuationAgent.isUsable(record));
  }

  /**
   * Lists the usable endpoints that this process may send to now: their own statements permit it,
   * and there is an idle connection or room for another one in this process's share of the service's
   * connection limit.
   */
  listConnectable(service: core.ServiceName): core.EndpointRecord[] {
    const { config, pool, signalAgent, clock } = this.#options.context;
    const now = clock.now();
    const records = this.listUsable(service)
      .filter((record) => signalAgent.canSend(record, now));
    const maxConnections = config.inForce?.config.services.get(service)?.maxConnections;
    if (maxConnections === undefined) return records;
    const connectionLimit = policy.computeConnectionShare(
      maxConnections,
      this.recordProcessCount(now),
    );
    return records.filter((record) => pool.canSend(record.endpoint, connectionLimit));
  }

  /** Lists the engines of `service` that this process may send to now. */
  listEngines(service: core.ServiceName): policy.EngineCandidate[] {
    const profile = this.#options.context.config.inForce?.config.services.get(service)?.engine;
    const records = this.listConnectable(service);
    if (profile === undefined) return records.map(policy.createUnprofiledEngine);
    return records.map((record) => ({ record, profile }));
  }

  /**
   * Records the number of known processes, whose peak counts. Returns the number that the connection
   * limits of endpoints are divided by.
   */
  recordProcessCount(now: number): number {
    const { countProcesses, getListedAt } = this.#options;
    const listedAt = getListedAt();
    const isStarting = listedAt === undefined || policy.isLinking(listedAt, now);
    return this.#processCount.getCount(countProcesses(), { isStarting, now });
  }
}
