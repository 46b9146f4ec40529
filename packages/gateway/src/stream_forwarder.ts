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
import * as silences from "./silence_watcher.ts";
import * as streamAttempts from "./stream_attempts.ts";
import * as waitings from "./waiting_generation.ts";

export interface StreamForwarderOptions {
  readonly context: contexts.GatewayContext;
  /** Immediately reports to peers the load that this process places on engines. */
  readonly reportNow: () => void;
}

/** Why a request was not placed at an engine. */
type NoEngineReason =
  | "caller_gone"
  | "no_engine_in_time"
  | "no_other_engine"
  | "prompt_quarantined"
  | "endpoints_held_off";

interface EngineWaiter {
  readonly openRequest: requests.OpenRequest;
  /** Engines that have refused or failed the request. */
  readonly avoid: ReadonlySet<core.InstanceId>;
  readonly resolve: (endpoint: core.EndpointRecord | NoEngineReason) => void;
}

/**
 * Mean interval between attempts to place waiting generations; shorter than the interval of
 * 100 ms at which other processes report their loads.
 */
const PLACEMENT_INTERVAL_MS = 25;

/**
 * Places generations at engines. Retries a generation only if the engine has not run it or its
 * stream may be resumed.
 */
export class StreamForwarder {
  readonly #options: StreamForwarderOptions;
  readonly #relays = new Set<relays.GenerationRelay>();
  readonly #queue: policy.GenerationQueue;
  readonly #waiters = new Map<core.RequestId, EngineWaiter>();
  readonly #silenceWatcher: silences.SilenceWatcher;
  #placementTimer: NodeJS.Timeout | undefined;

  constructor(options: StreamForwarderOptions) {
    this.#options = options;
    this.#queue = new policy.GenerationQueue(() =>
      options.context.enginePlacement.getFastestTokenMs()
    );
    this.#silenceWatcher = new silences.SilenceWatcher({
      context: options.context,
      chooseEngine: (relay, now) => this.#chooseOtherEngine(relay, now),
    });
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
    const attempts = new streamAttempts.StreamAttempts();
    context.getRetryBudget(routed.service).recordRequest(context.clock.now());
    for (;;) {
      const generation = waitings.createWaitingGeneration(context, request, routed, attempts);
      const replacement = attempts.takeReplacement();
      const endpoint = replacement ??
        await this.#acquireEngine(request, routed, { generation, attempts });
      if (typeof endpoint === "string") return this.#refuse(request, routed, endpoint, attempts);
      // The relay sends the request before anything else is placed.
      if (replacement === undefined) context.pool.releaseReservation(endpoint.endpoint);
      if (request.end !== undefined) {
        return context.enginePlacement.recordEnd(endpoint.instance, request.id);
      }
      const failure = await this.#relay(request, routed, { endpoint, generation, attempts });
      if (request.end !== undefined || failure === undefined) return;
      if (attempts.replacement !== undefined) continue;
      const mayRepeat = failure.outcome === "not_run" || routed.route.isResumable;
      if (!mayRepeat || !this.#decideRetry(request, routed, { failure, endpoint, attempts })) {
        return this.#refuse(request, routed, failure.reason, attempts);
      }
    }
  }

  #decideRetry(
    request: requests.OpenRequest,
    routed: requests.RoutedRequest,
    ended: {
      readonly failure: relays.AttemptFailure;
      readonly endpoint: core.EndpointRecord;
      readonly attempts: streamAttempts.StreamAttempts;
    },
  ): boolean {
    const { context } = this.#options;
    const { failure, endpoint, attempts } = ended;
    const decision = attempts.chooseStep(request, routed.route, {
      outcome: failure.outcome,
      isRunning: false,
      now: context.clock.now(),
    });
    const attempt = { ...failure, endpoint };
    return retries.applyRetryDecision(context, request, { routed, attempt, decision });
  }

  /** Waits until an engine has room, the deadline cannot be met or the caller disconnects. */
  async #acquireEngine(
    request: requests.OpenRequest,
    routed: requests.RoutedRequest,
    options: {
      readonly generation: policy.WaitingGeneration;
      readonly attempts: streamAttempts.StreamAttempts;
    },
  ): Promise<core.EndpointRecord | NoEngineReason> {
    const { context } = this.#options;
    const { generation, attempts } = options;
    const avoid = attempts.triedInstances;
    const now = context.clock.now();
    const isRepeated = attempts.ranAttempts > 0;
    if (isRepeated && !this.#hasOtherEngine(routed.service, avoid)) return "no_other_engine";
    if (this.#isQuarantined(request, now)) return "prompt_quarantined";
    if (context.signalAgent.getPauseMs(generation.service, now) > 0) return "endpoints_held_off";
    if (this.#queue.isTooLate(generation, now)) return "no_engine_in_time";
    return await new Promise((resolve) => {
      // A repeated request is of no use once its caller has abandoned the stream.
      const timer = isRepeated
        ? setTimeout(
          () => this.#dropWaiter(generation.request, "no_engine_in_time"),
          attempts.getAbandonAt(request, routed.route) - now,
        )
        : undefined;
      this.#waiters.set(generation.request, {
        openRequest: request,
        avoid,
        resolve: (endpoint) => {
          clearTimeout(timer);
          resolve(endpoint);
        },
      });
      this.#queue.addGeneration(generation, now);
      request.setCancelHandler((reason) => {
        this.#dropWaiter(
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
      this.#dropWaiter(id, "prompt_quarantined");
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
      context.pool.holdConnection(endpoint.endpoint);
      hasPlacedGeneration = true;
      this.#settleWaiter(generation.request, endpoint);
      return true;
    });
    this.#refuseHeldOff(now);
    for (const rejected of this.#queue.takeLateGenerations(now)) {
      this.#settleWaiter(rejected.request, "no_engine_in_time");
    }
    // Through hubs, a load takes long enough to arrive without waiting for the next report.
    const isReportUrgent = this.#queue.size > 0 || context.getReportLagMs() > 0;
    if (hasPlacedGeneration && isReportUrgent) this.#options.reportNow();
    this.#schedulePlacement();
  }

  /** Refuses waiting generations of services whose engines have all asked for a pause. */
  #refuseHeldOff(now: number): void {
    const { signalAgent } = this.#options.context;
    if (signalAgent.heldOffCount === 0) return;
    for (const [id, { openRequest }] of this.#waiters) {
      const service = openRequest.routed?.service;
      if (service === undefined || signalAgent.getPauseMs(service, now) === 0) continue;
      this.#queue.removeGeneration(id);
      this.#settleWaiter(id, "endpoints_held_off");
    }
  }

  #schedulePlacement(): void {
    if (this.#queue.size === 0 || this.#placementTimer !== undefined) return;
    const jitter = 0.5 + this.#options.context.random.next();
    this.#placementTimer = setTimeout(() => {
      this.#placementTimer = undefined;
      this.#placeWaiting();
    }, PLACEMENT_INTERVAL_MS * jitter);
  }

  #hasOtherEngine(service: core.ServiceName, tried: ReadonlySet<core.InstanceId>): boolean {
    return this.#options.context.directory.listUsableEndpoints(service)
      .some((record) => !tried.has(record.instance));
  }

  #dropWaiter(request: core.RequestId, reason: NoEngineReason): void {
    this.#queue.removeGeneration(request);
    this.#settleWaiter(request, reason);
  }

  #settleWaiter(request: core.RequestId, result: core.EndpointRecord | NoEngineReason): void {
    const waiter = this.#waiters.get(request);
    this.#waiters.delete(request);
    waiter?.resolve(result);
  }

  /** Chooses an engine that can run the rest of the relayed generation at once. */
  #chooseOtherEngine(
    relay: relays.GenerationRelay,
    now: number,
  ): core.EndpointRecord | undefined {
    const { request, routed, attempts, endpoint } = relay;
    if (this.#queue.size > 0 || this.#isQuarantined(request, now)) return undefined;
    const avoid = new Set([...attempts.triedInstances, endpoint.instance]);
    return this.#chooseEngine(
      waitings.createWaitingGeneration(
        this.#options.context,
        request,
        routed,
        attempts,
      ),
      now,
      avoid,
    );
  }

  #chooseEngine(
    generation: policy.WaitingGeneration,
    now: number,
    avoid = this.#waiters.get(generation.request)?.avoid,
  ): core.EndpointRecord | undefined {
    const { context } = this.#options;
    return context.enginePlacement.chooseEngine(
      context.listEngines(generation.service),
      generation.size,
      {
        now,
        zone: context.settings.zone,
        avoid: avoid ?? new Set(),
        random: context.random,
        rank: generation.rank,
        reportLagMs: context.getReportLagMs(),
      },
    );
  }

  /** Runs one attempt and records its failure, if it may be followed by another one. */
  async #relay(
    request: requests.OpenRequest,
    routed: requests.RoutedRequest,
    options: {
      readonly endpoint: core.EndpointRecord;
      readonly generation: policy.WaitingGeneration;
      readonly attempts: streamAttempts.StreamAttempts;
    },
  ): Promise<relays.AttemptFailure | undefined> {
    const { context } = this.#options;
    const { endpoint, generation, attempts } = options;
    const { size } = generation;
    const now = context.clock.now();
    context.logger.write("engine_chosen", {
      request: request.id,
      instance: endpoint.instance,
      waited_ms: Math.round(now - request.arrivedAt),
      waiting: this.#queue.size,
      parts: promptParts.formatPromptParts(request),
    });
    const relay = new relays.GenerationRelay(context, {
      request,
      routed,
      endpoint,
      size,
      attempts,
    });
    this.#relays.add(relay);
    this.#silenceWatcher.addRelay(relay);
    this.#queue.recordStart(generation, now);
    try {
      const failure = await relay.run();
      if (failure !== undefined) attempts.recordFailure(failure, [endpoint, relay.endpoint]);
      if (failure !== undefined) {
        const report = failure.outcome === "not_run" ? "refused" : "failed";
        context.limitAgent.recordEnd(relay.endpoint, report, now);
      }
      return failure;
    } finally {
      this.#silenceWatcher.removeRelay(relay);
      this.#relays.delete(relay);
      this.#queue.recordEnd(generation);
      this.#placeWaiting();
    }
  }

  /** Answers a request that no further attempt is made at. */
  #refuse(
    request: requests.OpenRequest,
    routed: requests.RoutedRequest,
    reason: string,
    attempts: streamAttempts.StreamAttempts,
  ): void {
    if (attempts.outcome !== "not_run") return this.#answerFailure(request, reason, attempts);
    const { quarantineAgent, signalAgent, clock, random } = this.#options.context;
    const now = clock.now();
    const pauseMs = signalAgent.getPauseMs(routed.service, now);
    const quarantined = quarantineAgent.findQuarantined(promptParts.listSharedParts(request), now);
    request.sendProblem(problems.createRequestProblem(503, reason, {
      outcome: "not_run",
      detail: quarantined === undefined
        ? "no engine takes the generation in time"
        : "engines crashed on a part of this prompt; it is not sent to further ones",
      // An earlier return would be refused again.
      retryAfterMs: quarantined === undefined
        ? pauseMs + problems.drawRetryAfterMs(random)
        : quarantined.until - now,
    }));
  }

  #answerFailure(
    request: requests.OpenRequest,
    reason: string,
    attempts: streamAttempts.StreamAttempts,
  ): void {
    const { outcome, failureAnswer } = attempts;
    if (failureAnswer !== undefined) {
      const { status } = failureAnswer;
      return request.sendAnswer(failureAnswer, { status, reason: "answered", outcome: "failed" });
    }
    const isLate = request.getRemainingMs(this.#options.context.clock.now()) <= 0;
    const status = policy.chooseFailureStatus(outcome, { isLate });
    request.sendProblem(problems.createRequestProblem(status, reason, {
      outcome,
      detail: "the engine's answer was lost",
    }));
  }
}
