/**
 * Asks endpoints whether they leave while the store does not say: the store is away,
 * turns this machine away, or has lost their entries in an outage. One process asks
 * each engine that runs generations; other endpoints are asked when their answers
 * close the connection. The other processes hear of what is found.
 */

import type * as core from "@peridotvale/core";
import * as policy from "@peridotvale/policy";
import type * as contexts from "./gateway_context.ts";
import type * as relays from "./generation_relay.ts";

/** Options of {@linkcode LeaveWatcher}. */
export interface LeaveWatcherOptions {
  readonly context: contexts.GatewayContext;
  readonly listRelays: () => ReadonlySet<relays.GenerationRelay>;
  /** Whether news of the store may not arrive. */
  readonly isStoreLost: (now: number) => boolean;
}

/** Engines are asked this often; a reclaim gives less than 2 s of notice. */
const ASK_INTERVAL_MS = 200;

/** An endpoint whose answers close their connections is asked at most this often. */
const HEALTH_INTERVAL_MS = 500;

/** Watches the endpoints that this process uses. */
export class LeaveWatcher {
  readonly #options: LeaveWatcherOptions;
  readonly #healthAskedAt = new Map<core.InstanceId, number>();
  #timer: NodeJS.Timeout | undefined;

  constructor(options: LeaveWatcherOptions) {
    this.#options = options;
  }

  start(): void {
    this.#timer = setInterval(() => this.#checkEngines(), ASK_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Records an answer that closes its connection, as all answers of a leaving endpoint do. */
  recordClosing(endpoint: core.EndpointRecord): void {
    const { context, isStoreLost } = this.#options;
    const { instance } = endpoint;
    const now = context.clock.now();
    if (!isStoreLost(now) && !context.directory.isEntryMissing(instance)) return;
    const askedAt = this.#healthAskedAt.get(instance) ?? -Infinity;
    if (now - askedAt < HEALTH_INTERVAL_MS || !context.directory.isUsable(instance)) return;
    this.#healthAskedAt.set(instance, now);
    void this.#checkHealth(endpoint);
  }

  async #checkHealth(endpoint: core.EndpointRecord): Promise<void> {
    const { context } = this.#options;
    const path = context.config.inForce?.config.services.get(endpoint.service)?.healthPath;
    if (path === undefined) return;
    const health = await context.engineControl.readHealth(endpoint.endpoint, path);
    const now = context.clock.now();
    const { instance } = endpoint;
    context.logger.write("endpoint_asked", {
      instance,
      question: "health",
      answer: health === undefined ? "none" : health.isHealthy ? "healthy" : "unhealthy",
      answered_by: health?.instance,
    });
    if (health === undefined) return;
    if (health.instance !== undefined && health.instance !== instance) {
      return context.publishChanges(context.directory.recordMisdirected(instance, now));
    }
    if (health.isHealthy) return;
    context.publishChanges(context.directory.recordSeenLeaving(instance, now));
  }

  #checkEngines(): void {
    const { context, listRelays, isStoreLost } = this.#options;
    const isLost = isStoreLost(context.clock.now());
    for (const instance of this.#healthAskedAt.keys()) {
      if (!context.directory.isUsable(instance)) this.#healthAskedAt.delete(instance);
    }
    const asked = new Set<core.InstanceId>();
    for (const { endpoint } of listRelays()) {
      if (asked.has(endpoint.instance)) continue;
      asked.add(endpoint.instance);
      if (!isLost && !context.directory.isEntryMissing(endpoint.instance)) continue;
      const others = context.board.listBusyProcesses(endpoint.instance)
        .map((process) => ({ process, value: 0 }));
      const own = { process: context.settings.process, value: 0 };
      const isTurn = policy.isOwnTurn(own, endpoint.instance, others);
      if (isTurn && context.directory.isUsable(endpoint.instance)) void this.#checkEngine(endpoint);
    }
  }

  async #checkEngine(endpoint: core.EndpointRecord): Promise<void> {
    const { context } = this.#options;
    const state = await context.engineControl.readState(endpoint.endpoint);
    context.logger.write("endpoint_asked", {
      instance: endpoint.instance,
      question: "state",
      answer: state === undefined ? "none" : state.isLeaving ? "leaving" : "staying",
    });
    if (state === undefined || !state.isLeaving) return;
    context.publishChanges(
      context.directory.recordSeenLeaving(endpoint.instance, context.clock.now()),
    );
  }
}
