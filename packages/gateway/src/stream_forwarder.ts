/** Forwards generations: each waits for an engine with room, and its events are relayed. */

import type * as core from "@peridotvale/core";
import * as policy from "@peridotvale/policy";
import type * as contexts from "./gateway_context.ts";
import * as relays from "./generation_relay.ts";
import type * as requests from "./open_request.ts";
import * as problems from "./problems.ts";
import * as repeats from "./send_repeats.ts";

/** Options of {@linkcode StreamForwarder}. */
export interface StreamForwarderOptions {
  readonly context: contexts.GatewayContext;
  /** Tells the other processes what this one runs. */
  readonly reportNow: () => void;
}

/** Why a request got no engine. */
type NoEngine = "caller_gone" | "no_engine_in_time";

interface Waiter {
  readonly avoid: ReadonlySet<core.InstanceId>;
  readonly resolve: (endpoint: core.EndpointRecord | NoEngine) => void;
}

/** Size assumed of a stream that declares none. */
const UNDECLARED_SIZE: policy.GenerationSize = {
  promptTokens: 1_000,
  maxOutputTokens: 1_000,
  expectedOutputTokens: undefined,
};
/** While requests wait, room is looked for this often; the others' reports come every 100 ms. */
const PLACE_INTERVAL_MS = 25;

/** Sends generations to engines. */
export class StreamForwarder {
  readonly #options: StreamForwarderOptions;
  readonly #relays = new Set<relays.GenerationRelay>();
  readonly #queue: policy.GenerationQueue;
  readonly #waiters = new Map<core.RequestId, Waiter>();
  #timer: NodeJS.Timeout | undefined;

  constructor(options: StreamForwarderOptions) {
    this.#options = options;
    this.#queue = new policy.GenerationQueue(() => options.context.engines.getFastestTokenMs());
  }

  /** Generations that are open now. */
  get relays(): ReadonlySet<relays.GenerationRelay> {
    return this.#relays;
  }

  /** Generations that wait for an engine. */
  get waitingCount(): number {
    return this.#queue.size;
  }

  /** Serves `request` to its end. */
  async serve(request: requests.OpenRequest, routed: requests.RoutedRequest): Promise<void> {
    const { context } = this.#options;
    const size = request.head.generation ?? UNDECLARED_SIZE;
    context.getBudget(routed.service).recordRequest(context.clock.now());
    const waiting = createWaiting(request, routed, size);
    const tried = new Set<core.InstanceId>();
    let refusals = 0;
    for (;;) {
      const endpoint = await this.#acquireEngine(request, waiting, tried);
      if (typeof endpoint === "string") return this.#refuse(request, endpoint);
      if (request.end !== undefined) {
        return context.engines.recordEnd(endpoint.instance, request.id);
      }
      const end = await this.#relay(request, routed, { endpoint, size, waiting });
      if (request.end !== undefined || end === undefined) return;
      if (end.outcome !== "not_run") return this.#answerFailure(request, end);
      refusals += 1;
      tried.add(endpoint.instance);
      const { instance } = endpoint;
      const send = { ...end, instance, ranSends: 0, refusedSends: refusals };
      if (!repeats.takeRepeat(context, request, { routed, send })) {
        return this.#refuse(request, end.reason);
      }
    }
  }

  /** Waits for an engine with room. */
  async #acquireEngine(
    request: requests.OpenRequest,
    waiting: policy.WaitingGeneration,
    avoid: ReadonlySet<core.InstanceId>,
  ): Promise<core.EndpointRecord | NoEngine> {
    const { context } = this.#options;
    const now = context.clock.now();
    if (this.#queue.isHopeless(waiting, now)) return "no_engine_in_time";
    return await new Promise((resolve) => {
      this.#waiters.set(waiting.request, { avoid, resolve });
      this.#queue.add(waiting, now);
      request.setCancel((reason) => {
        this.#queue.remove(waiting.request);
        this.#settle(
          waiting.request,
          reason === "timeout" ? "no_engine_in_time" : "caller_gone",
        );
      });
      this.#placeWaiting();
    });
  }

  #placeWaiting(): void {
    const { context } = this.#options;
    const now = context.clock.now();
    let hasPlaced = false;
    this.#queue.placeWaiting(now, (waiting) => {
      const endpoint = this.#chooseEngine(waiting, now);
      if (endpoint === undefined) return false;
      // Counted from here on, so that the next choice sees it.
      context.engines.recordStart(endpoint.instance, waiting.request, waiting.size);
      hasPlaced = true;
      this.#settle(waiting.request, endpoint);
      return true;
    });
    for (const hopeless of this.#queue.takeHopeless(now)) {
      this.#settle(hopeless.request, "no_engine_in_time");
    }
    if (hasPlaced && this.#queue.size > 0) this.#options.reportNow();
    this.#schedule();
  }

  #schedule(): void {
    if (this.#queue.size === 0 || this.#timer !== undefined) return;
    const jitter = 0.5 + this.#options.context.random.next();
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      this.#placeWaiting();
    }, PLACE_INTERVAL_MS * jitter);
  }

  #settle(request: core.RequestId, result: core.EndpointRecord | NoEngine): void {
    const waiter = this.#waiters.get(request);
    this.#waiters.delete(request);
    waiter?.resolve(result);
  }

  #chooseEngine(
    waiting: policy.WaitingGeneration,
    now: number,
  ): core.EndpointRecord | undefined {
    const { context } = this.#options;
    return context.engines.chooseEngine(context.listEngines(waiting.service), waiting.size, {
      now,
      zone: context.settings.zone,
      avoid: this.#waiters.get(waiting.request)?.avoid ?? new Set(),
      random: context.random,
      rank: waiting.rank,
    });
  }

  /** Relays one run; the result is set if nothing was delivered. */
  async #relay(
    request: requests.OpenRequest,
    routed: requests.RoutedRequest,
    options: {
      readonly endpoint: core.EndpointRecord;
      readonly size: policy.GenerationSize;
      readonly waiting: policy.WaitingGeneration;
    },
  ): Promise<relays.UndeliveredEnd | undefined> {
    const { context } = this.#options;
    const { waiting } = options;
    const now = context.clock.now();
    context.logger.write("engine_chosen", {
      request: request.id,
      instance: options.endpoint.instance,
      waited_ms: Math.round(now - request.arrivedAt),
      waiting: this.#queue.size,
    });
    const relay = new relays.GenerationRelay(context, { request, routed, ...options });
    this.#relays.add(relay);
    this.#queue.recordStart(waiting, now);
    try {
      return await relay.run();
    } finally {
      this.#relays.delete(relay);
      this.#queue.recordEnd(waiting);
      this.#placeWaiting();
    }
  }

  #refuse(request: requests.OpenRequest, reason: string): void {
    request.answerProblem(problems.createFailure(503, reason, {
      outcome: "not_run",
      detail: "no engine takes the generation in time",
      retryAfterMs: problems.drawRetryAfter(this.#options.context.random),
    }));
  }

  #answerFailure(request: requests.OpenRequest, end: relays.UndeliveredEnd): void {
    const isLate = request.getRemainingMs(this.#options.context.clock.now()) <= 0;
    const status = policy.chooseFailureStatus(end.outcome, { isLate });
    request.answerProblem(problems.createFailure(status, end.reason, {
      outcome: end.outcome,
      detail: "the engine's answer was lost",
    }));
  }
}

function createWaiting(
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
    answerBy: request.answerBy,
  };
}
