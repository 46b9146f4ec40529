/**
 * Probes endpoints directly to detect that they leave while the store cannot report this: the
 * store is unreachable, refuses this machine, or has lost the endpoints' entries in an outage.
 * Each engine that runs generations is probed by one process. Other endpoints are probed when an
 * answer closes its connection. Peers receive a report of each endpoint that is leaving.
 */

import * as core from "@peridotvale/core";
import * as policy from "@peridotvale/policy";
import type * as contexts from "./gateway_context.ts";
import type * as relays from "./generation_relay.ts";

export interface LeaveWatcherOptions {
  readonly context: contexts.GatewayContext;
  readonly listRelays: () => ReadonlySet<relays.GenerationRelay>;
  /** Whether this process may miss changes in the store. */
  readonly isStoreLost: (now: number) => boolean;
}

/** Interval between probes of an engine; a reclaimed engine stops within 2 s of its notice. */
const STATE_PROBE_INTERVAL_MS = 200;

/** Shortest interval between health probes of an endpoint whose answers close connections. */
const HEALTH_PROBE_INTERVAL_MS = 500;

export class LeaveWatcher {
  readonly #options: LeaveWatcherOptions;
  readonly #healthProbedAt = new Map<core.InstanceId, number>();
  #timer: NodeJS.Timeout | undefined;

  constructor(options: LeaveWatcherOptions) {
    this.#options = options;
  }

  start(): void {
    this.#timer = setInterval(() => this.#checkEngines(), STATE_PROBE_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /**
   * Probes the health of an endpoint whose answer closes its connection, as all answers of a
   * leaving endpoint do. The probe is sent only if the store may fail to report that the endpoint
   * leaves.
   */
  recordClosingAnswer(endpoint: core.EndpointRecord): void {
    const { context, isStoreLost } = this.#options;
    const { instance } = endpoint;
    const now = context.clock.now();
    // A service may count health probes as requests; an evacuated zone gets no requests anyway.
    if (!context.evacuationAgent.isUsable(endpoint)) return;
    if (!isStoreLost(now) && !context.directory.isEntryMissing(instance)) return;
    const probedAt = this.#healthProbedAt.get(instance) ?? -Infinity;
    if (now - probedAt < HEALTH_PROBE_INTERVAL_MS || !context.directory.isUsable(instance)) return;
    if (context.signalAgent.isHeldOff(endpoint)) return;
    this.#healthProbedAt.set(instance, now);
    core.startTask("check_health", () => this.#checkHealth(endpoint), context.logger);
  }

  async #checkHealth(endpoint: core.EndpointRecord): Promise<void> {
    const { context } = this.#options;
    const healthPath = context.config.inForce?.config.services.get(endpoint.service)?.healthPath;
    if (healthPath === undefined) return;
    const health = await context.engineControl.readHealth(endpoint.endpoint, healthPath);
    const now = context.clock.now();
    const { instance } = endpoint;
    context.logger.write("endpoint_asked", {
      instance,
      question: "health",
      answer: formatHealth(health?.isHealthy),
      answered_by: health?.instance,
    });
    if (health === undefined) return;
    if (health.instance !== undefined && health.instance !== instance) {
      return context.publishChanges(context.directory.recordMisdirected(instance, now));
    }
    if (health.coldLeftMs !== undefined) {
      context.limitAgent.recordColdStatement(instance, health.coldLeftMs, now);
    }
    context.signalAgent.recordSignals(endpoint, health);
    if (health.isHealthy !== false) return;
    context.publishChanges(context.directory.recordAnnouncedLeaving(instance, now));
  }

  #checkEngines(): void {
    const { context, listRelays, isStoreLost } = this.#options;
    const isLost = isStoreLost(context.clock.now());
    for (const instance of this.#healthProbedAt.keys()) {
      if (!context.directory.isUsable(instance)) this.#healthProbedAt.delete(instance);
    }
    const visitedInstances = new Set<core.InstanceId>();
    for (const { endpoint } of listRelays()) {
      if (visitedInstances.has(endpoint.instance)) continue;
      visitedInstances.add(endpoint.instance);
      if (!isLost && !context.directory.isEntryMissing(endpoint.instance)) continue;
      const otherClaims = context.peerLoads.listBusyProcesses(endpoint.instance)
        .map((process) => ({ process, value: 0 }));
      const ownClaim = { process: context.settings.process, value: 0 };
      const hasTurn = policy.isOwnTurn(ownClaim, endpoint.instance, otherClaims);
      if (!hasTurn || !context.directory.isUsable(endpoint.instance)) continue;
      if (context.signalAgent.isHeldOff(endpoint)) continue;
      core.startTask("check_state", () => this.#checkState(endpoint), context.logger);
    }
  }

  async #checkState(endpoint: core.EndpointRecord): Promise<void> {
    const { context } = this.#options;
    const engineState = await context.engineControl.readState(endpoint.endpoint);
    context.logger.write("endpoint_asked", {
      instance: endpoint.instance,
      question: "state",
      answer: engineState === undefined ? "none" : engineState.isLeaving ? "leaving" : "staying",
    });
    if (engineState?.startedAt !== undefined) {
      const { instance } = endpoint;
      context.engineStarts.recordStart(instance, engineState.startedAt, context.clock.now());
    }
    if (engineState?.signals !== undefined) {
      context.signalAgent.recordSignals(endpoint, engineState.signals);
    }
    if (engineState === undefined || !engineState.isLeaving) return;
    context.publishChanges(
      context.directory.recordAnnouncedLeaving(endpoint.instance, context.clock.now()),
    );
  }
}

function formatHealth(isHealthy: boolean | undefined): string {
  if (isHealthy === undefined) return "none";
  return isHealthy ? "healthy" : "unhealthy";
}
