/**
 * Forwards generations to engines. Each generation waits in a queue until an engine has room
 * for it, and is refused as soon as it cannot meet its deadline any more.
 */

import type * as core from "@peridotvale/core";
import * as policy from "@peridotvale/policy";
import type * as contexts from "./gateway_context.ts";
import * as relays from "./generation_relay.ts";
import type * as requests from "./open_request.ts";
import * as problems from "./problems.ts";
import * as promptParts from "./prompt_parts.ts";
import * as retries from "./retry_decision.ts";

export interface StreamForwarderOptions {
  readonly context: contexts.GatewayContext;
  /** Immediately reports to peers the load that this process places on engines. */
  readonly reportNow: () => void;
}

/** Why a request was not placed at an engine. */
type NoEngineReason = "caller_gone" | "no_engine_in_time" | "prompt_quarantined";

interface EngineWaiter {
  readonly openRequest: requests.OpenRequest;
  /** Engines that have refused the request. */
  readonly avoid: ReadonlySet<core.InstanceId>;
  readonly resolve: (endpoint: core.EndpointRecord | NoEngineReason) => void;
}

/** Size assumed for a generation whose request does not declare its size. */
const DEFAULT_GENERATION_SIZE: policy.GenerationSize = {
  promptTokens: 1_000,
  maxOutputTokens: 1_000,
  expectedOutputTokens: undefined,
};
/**
 * Mean interval between attempts to place waiting generations; shorter than the interval of
 * 100 ms at which other processes report their loads.
 */
const PLACEMENT_INTERVAL_MS = 25;

/** Places generations at engines. Retries a generation only if the engine has not run it. */
export class StreamForwarder {
  readonly #options: StreamForwarderOptions;
  readonly #relays = new Set<relays.GenerationRelay>();
  readonly #queue: policy.GenerationQueue;
  readonly #waiters = new Map<core.RequestId, EngineWaiter>();
  #placementTimer: NodeJS.Timeout | undefined;

  constructor(options: StreamForwarderOptions) {
    this.#options = options;
    this.#queue = new policy.GenerationQueue(() =>
      options.context.enginePlacement.getFastestTokenMs()
    );
  }

  /** Relays of the generations that are placed at an engine and have not ended. */
  get relays(): ReadonlySet<relays.GenerationRelay> {
    return this.#relays;
  }

  /** Number of generations that wait for an engine. */
  get waitingCount(): number {
    return this.#queue.size;
  }

  /** Places and relays `request`, and retries it as needed; resolves when it has ended. */
  async serve(request: requests.OpenRequest, routed: requests.RoutedRequest): Promise<void> {
    const { context } = this.#options;
    const size = request.head.generation ?? DEFAULT_GENERATION_SIZE;
    context.getRetryBudget(routed.service).recordRequest(context.clock.now());
    const generation = createWaitingGeneration(request, routed, size);
    const triedInstances = new Set<core.InstanceId>();
    let refusedAttempts = 0;
    for (;;) {
      const endpoint = await this.#acquireEngine(request, generation, triedInstances);
      if (typeof endpoint === "string") return this.#refuse(request, endpoint);
      if (request.end !== undefined) {
        return context.enginePlacement.recordEnd(endpoint.instance, request.id);
      }
      const failure = await this.#relay(request, routed, { endpoint, size, generation });
      if (request.end !== undefined || failure === undefined) return;
      if (failure.outcome !== "not_run") return this.#answerFailure(request, failure);
      refusedAttempts += 1;
      triedInstances.add(endpoint.instance);
      const attempt = { ...failure, endpoint, ranAttempts: 0, refusedAttempts };
      if (!retries.decideRetry(context, request, { routed, attempt })) {
        return this.#refuse(request, failure.reason);
      }
    }
  }

  /** Waits until an engine has room, the deadline cannot be met or the caller disconnects. */
  async #acquireEngine(
    request: requests.OpenRequest,
    generation: policy.WaitingGeneration,
    avoid: ReadonlySet<core.InstanceId>,
  ): Promise<core.EndpointRecord | NoEngineReason> {
    const { context } = this.#options;
    const now = context.clock.now();
    if (this.#isQuarantined(request, now)) return "prompt_quarantined";
    if (this.#queue.isTooLate(generation, now)) return "no_engine_in_time";
    return await new Promise((resolve) => {
      this.#waiters.set(generation.request, { openRequest: request, avoid, resolve });
      this.#queue.addGeneration(generation, now);
      request.setCancelHandler((reason) => {
        this.#queue.removeGeneration(generation.request);
        this.#settleWaiter(
          generation.request,
          reason === "timeout" ? "no_engine_in_time" : "caller_gone",
        );
      });
      this.#placeWaiting();
    });
  }

  /** Ends the generations with a quarantined part that have not produced output. */
  applyQuarantine(now: number): void {
    for (const [id, waiter] of this.#waiters) {
      if (!this.#isQuarantined(waiter.openRequest, now)) continue;
      this.#queue.removeGeneration(id);
      this.#settleWaiter(id, "prompt_quarantined");
    }
    for (const relay of this.#relays) {
      if (this.#isQuarantined(relay.request, now)) relay.abortUnstarted("prompt_quarantined");
    }
  }

  #isQuarantined(request: requests.OpenRequest, now: number): boolean {
    const parts = promptParts.listSharedParts(request);
    return this.#options.context.quarantineAgent.findQuarantined(parts, now) !== undefined;
  }

  #placeWaiting(): void {
    const { context } = this.#options;
    const now = context.clock.now();
    let hasPlacedGeneration = false;
    this.#queue.placeWaiting(now, (generation) => {
      const endpoint = this.#chooseEngine(generation, now);
      if (endpoint === undefined) return false;
      // The load is recorded before the relay starts, so that the next choice includes it.
      context.enginePlacement.recordStart(endpoint.instance, generation.request, generation.size);
      context.limitAgent.recordSend(endpoint, now);
      hasPlacedGeneration = true;
      this.#settleWaiter(generation.request, endpoint);
      return true;
    });
    for (const rejected of this.#queue.takeLateGenerations(now)) {
      this.#settleWaiter(rejected.request, "no_engine_in_time");
    }
    // Through hubs, a load takes long enough to arrive without waiting for the next report.
    const isReportUrgent = this.#queue.size > 0 || context.getReportLagMs() > 0;
    if (hasPlacedGeneration && isReportUrgent) this.#options.reportNow();
    this.#schedulePlacement();
  }

  #schedulePlacement(): void {
    if (this.#queue.size === 0 || this.#placementTimer !== undefined) return;
    const jitter = 0.5 + this.#options.context.random.next();
    this.#placementTimer = setTimeout(() => {
      this.#placementTimer = undefined;
      this.#placeWaiting();
    }, PLACEMENT_INTERVAL_MS * jitter);
  }

  #settleWaiter(request: core.RequestId, result: core.EndpointRecord | NoEngineReason): void {
    const waiter = this.#waiters.get(request);
    this.#waiters.delete(request);
    waiter?.resolve(result);
  }

  #chooseEngine(
    generation: policy.WaitingGeneration,
    now: number,
  ): core.EndpointRecord | undefined {
    const { context } = this.#options;
    return context.enginePlacement.chooseEngine(
      context.listEngines(generation.service),
      generation.size,
      {
        now,
        zone: context.settings.zone,
        avoid: this.#waiters.get(generation.request)?.avoid ?? new Set(),
        random: context.random,
        rank: generation.rank,
        reportLagMs: context.getReportLagMs(),
      },
    );
  }

  /** Runs one attempt. Returns its failure if it fails before the caller has received anything. */
  async #relay(
    request: requests.OpenRequest,
    routed: requests.RoutedRequest,
    options: {
      readonly endpoint: core.EndpointRecord;
      readonly size: policy.GenerationSize;
      readonly generation: policy.WaitingGeneration;
    },
  ): Promise<relays.UndeliveredFailure | undefined> {
    const { context } = this.#options;
    const { generation } = options;
    const now = context.clock.now();
    context.logger.write("engine_chosen", {
      request: request.id,
      instance: options.endpoint.instance,
      waited_ms: Math.round(now - request.arrivedAt),
      waiting: this.#queue.size,
      parts: promptParts.formatPromptParts(request),
    });
    const relay = new relays.GenerationRelay(context, { request, routed, ...options });
    this.#relays.add(relay);
    this.#queue.recordStart(generation, now);
    try {
      const failure = await relay.run();
      if (failure !== undefined) {
        const report = failure.outcome === "not_run" ? "refused" : "failed";
        context.limitAgent.recordEnd(relay.endpoint, report, now);
      }
      return failure;
    } finally {
      this.#relays.delete(relay);
      this.#queue.recordEnd(generation);
      this.#placeWaiting();
    }
  }

  #refuse(request: requests.OpenRequest, reason: string): void {
    const { quarantineAgent, clock, random } = this.#options.context;
    const now = clock.now();
    const quarantined = quarantineAgent.findQuarantined(promptParts.listSharedParts(request), now);
    request.sendProblem(problems.createRequestProblem(503, reason, {
      outcome: "not_run",
      detail: quarantined === undefined
        ? "no engine takes the generation in time"
        : "engines crashed on a part of this prompt; it is not sent to further ones",
      // An earlier return would be refused again.
      retryAfterMs: quarantined === undefined
        ? problems.drawRetryAfterMs(random)
        : quarantined.until - now,
    }));
  }

  #answerFailure(request: requests.OpenRequest, failure: relays.UndeliveredFailure): void {
    const isLate = request.getRemainingMs(this.#options.context.clock.now()) <= 0;
    const status = policy.chooseFailureStatus(failure.outcome, { isLate });
    request.sendProblem(problems.createRequestProblem(status, failure.reason, {
      outcome: failure.outcome,
      detail: "the engine's answer was lost",
    }));
  }
}

function createWaitingGeneration(
  request: requests.OpenRequest,
  routed: requests.RoutedRequest,
  size: policy.GenerationSize,
): policy.WaitingGeneration {
  return {
    request: request.id,
    service: routed.service,
    size,
    rank: routed.rank,
    workspace: routed.workspace,
    arrivedAt: request.arrivedAt,
    targetBy: request.arrivedAt + routed.route.targetLatencyMs,
    // A new configuration or a planned stop lowers the deadline of a request that waits.
    get answerBy() {
      return request.answerBy;
    },
  };
}
