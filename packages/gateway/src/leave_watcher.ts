/**
 * Asks engines whether they leave while the store does not say: the store is away,
 * turns this machine away, or has lost their entries in an outage. One process asks each engine; the others hear of it.
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

/** Watches the engines that run this process's generations. */
export class LeaveWatcher {
  readonly #options: LeaveWatcherOptions;
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

  #checkEngines(): void {
    const { context, listRelays, isStoreLost } = this.#options;
    const isLost = isStoreLost(context.clock.now());
    const asked = new Set<core.InstanceId>();
    for (const { endpoint } of listRelays()) {
      if (asked.has(endpoint.instance)) continue;
      asked.add(endpoint.instance);
      if (!isLost && !context.directory.isEntryMissing(endpoint.instance)) continue;
      const others = context.board.listBusyProcesses(endpoint.instance);
      const isTurn = policy.isOwnTurn(context.settings.process, endpoint.instance, others);
      if (isTurn && context.directory.isUsable(endpoint.instance)) void this.#checkEngine(endpoint);
    }
  }

  async #checkEngine(endpoint: core.EndpointRecord): Promise<void> {
    const { context } = this.#options;
    const state = await context.engineControl.readState(endpoint.endpoint);
    if (state === undefined || !state.isLeaving) return;
    context.publishChanges(
      context.directory.recordSeenLeaving(endpoint.instance, context.clock.now()),
    );
  }
}
