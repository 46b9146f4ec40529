/**
 * Replaces attempts at resumable streams whose engines have been silent for long, if another engine
 * can be sent the request at once.
 */

import type * as core from "@peridotvale/core";
import * as policy from "@peridotvale/policy";
import type * as contexts from "./gateway_context.ts";
import type * as relays from "./generation_relay.ts";

export interface SilenceWatcherOptions {
  readonly context: contexts.GatewayContext;
  /** Chooses another engine that has room now; undefined if there is none. */
  readonly chooseEngine: (
    relay: relays.GenerationRelay,
    now: number,
  ) => core.EndpointRecord | undefined;
}

/** A twentieth of the shortest time that callers wait for an event. */
const CHECK_INTERVAL_MS = 100;

/** Watches the attempts at resumable streams; runs a timer only while there are any. */
export class SilenceWatcher {
  readonly #options: SilenceWatcherOptions;
  readonly #meters = new Map<relays.GenerationRelay, policy.SilenceMeter>();
  #timer: NodeJS.Timeout | undefined;

  constructor(options: SilenceWatcherOptions) {
    this.#options = options;
  }

  addRelay(relay: relays.GenerationRelay): void {
    if (!relay.routed.route.isResumable) return;
    this.#meters.set(relay, new policy.SilenceMeter(CHECK_INTERVAL_MS));
    this.#timer ??= setInterval(() => this.#checkAll(), CHECK_INTERVAL_MS);
  }

  removeRelay(relay: relays.GenerationRelay): void {
    this.#meters.delete(relay);
    if (this.#meters.size > 0) return;
    clearInterval(this.#timer);
    this.#timer = undefined;
  }

  #checkAll(): void {
    const now = this.#options.context.clock.now();
    for (const [relay, meter] of this.#meters) {
      const { request, routed, attempts, size } = relay;
      const isDue = policy.isSilenceReplaceable({
        silentMs: meter.applyCheck(relay.silenceMark, now),
        leftMs: attempts.getAbandonAt(request, routed.route) - now,
        abandonMs: policy.computeAbandonMs(routed.route),
        promptTokens: size.promptTokens,
      });
      if (isDue) this.#tryReplace(relay, now);
    }
  }

  #tryReplace(relay: relays.GenerationRelay, now: number): void {
    const { context } = this.#options;
    const { request, routed, attempts } = relay;
    const step = attempts.chooseStep(request, routed.route, {
      outcome: "unknown",
      isRunning: true,
      now,
    });
    if (step.type === "stop") return;
    const endpoint = this.#options.chooseEngine(relay, now);
    if (endpoint === undefined) return;
    const retryBudget = context.getRetryBudget(routed.service);
    if (!retryBudget.takeRetry(now, context.getProcessCount())) return;
    context.enginePlacement.recordStart(endpoint.instance, request.id, relay.size);
    context.limitAgent.recordSend(endpoint, now);
    context.metrics.recordRetry("silent_generation");
    context.logger.write("silent_replaced", {
      request: request.id,
      instance: relay.endpoint.instance,
      target: endpoint.instance,
      next: step.type,
      events: attempts.deliveredEvents,
    });
    attempts.replacement = endpoint;
    // Closes the connection at once; the request is sent to the target in a later microtask.
    relay.abortSilent();
  }
}
