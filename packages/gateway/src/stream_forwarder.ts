/** Forwards generations: chooses an engine, or waits for one, and relays its events. */

import type * as core from "@peridotvale/core";
import * as policy from "@peridotvale/policy";
import type * as contexts from "./gateway_context.ts";
import * as relays from "./generation_relay.ts";
import type * as requests from "./open_request.ts";
import * as problems from "./problems.ts";

/** Size assumed of a stream that declares none. */
const UNDECLARED_SIZE: policy.GenerationSize = {
  promptTokens: 1_000,
  maxOutputTokens: 1_000,
  expectedOutputTokens: undefined,
};

/** Sends generations to engines. */
export class StreamForwarder {
  readonly #context: contexts.GatewayContext;
  readonly #relays = new Set<relays.GenerationRelay>();

  constructor(context: contexts.GatewayContext) {
    this.#context = context;
  }

  /** Generations that are open now. */
  get relays(): ReadonlySet<relays.GenerationRelay> {
    return this.#relays;
  }

  /** Serves `request` to its end. */
  async serve(request: requests.OpenRequest, routed: requests.RoutedRequest): Promise<void> {
    const size = request.head.generation ?? UNDECLARED_SIZE;
    const budget = this.#context.getBudget(routed.service);
    budget.recordRequest(this.#context.clock.now());
    const tried = new Set<core.InstanceId>();
    let refusedSends = 0;
    let reason = "no_engine_with_room";
    for (;;) {
      const endpoint = this.#chooseEngine(routed, size, tried);
      if (endpoint === undefined) break;
      tried.add(endpoint.instance);
      const end = await this.#relay(request, routed, { endpoint, size });
      if (request.end !== undefined || end === undefined) return;
      const now = this.#context.clock.now();
      refusedSends += 1;
      reason = end.reason;
      const next = policy.chooseNextSend({
        kind: routed.route.kind,
        outcome: end.outcome,
        ranSends: end.outcome === "not_run" ? 0 : 1,
        refusedSends,
        maxAttempts: routed.route.maxAttempts,
        answerBy: request.answerBy,
      }, now);
      const mayRepeat = next.type === "again" &&
        budget.takeRepeat(now, this.#context.getProcessCount());
      this.#context.logger.write("send_ended", {
        request: request.id,
        instance: endpoint.instance,
        outcome: end.outcome,
        reason: end.reason,
        next: next.type === "stop" ? next.reason : mayRepeat ? "again" : "budget_exhausted",
      });
      if (mayRepeat) continue;
      if (end.outcome !== "not_run") return this.#answerFailure(request, end);
      break;
    }
    request.answerProblem(problems.createFailure(503, reason, {
      outcome: "not_run",
      detail: `no engine of ${routed.service} takes the generation now`,
      retryAfterMs: problems.drawRetryAfter(this.#context.random),
    }));
  }

  #chooseEngine(
    routed: requests.RoutedRequest,
    size: policy.GenerationSize,
    avoid: ReadonlySet<core.InstanceId>,
  ): core.EndpointRecord | undefined {
    return this.#context.engines.chooseEngine(
      this.#context.listEngines(routed.service),
      size,
      {
        now: this.#context.clock.now(),
        zone: this.#context.settings.zone,
        avoid,
        random: this.#context.random,
      },
    );
  }

  /** Relays one run; the result is set if nothing was delivered and another engine may be tried. */
  async #relay(
    request: requests.OpenRequest,
    routed: requests.RoutedRequest,
    options: { readonly endpoint: core.EndpointRecord; readonly size: policy.GenerationSize },
  ): Promise<relays.UndeliveredEnd | undefined> {
    const relay = new relays.GenerationRelay(this.#context, { request, routed, ...options });
    this.#relays.add(relay);
    try {
      return await relay.run();
    } finally {
      this.#relays.delete(relay);
    }
  }

  #answerFailure(request: requests.OpenRequest, end: relays.UndeliveredEnd): void {
    const isLate = request.getRemainingMs(this.#context.clock.now()) <= 0;
    const status = policy.chooseFailureStatus(end.outcome, { isLate });
    request.answerProblem(problems.createFailure(status, end.reason, {
      outcome: end.outcome,
      detail: "the engine's answer was lost",
    }));
  }
}
