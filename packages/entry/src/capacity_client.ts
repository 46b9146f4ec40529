/** Asks the owners of engines for capacity on behalf of this process's requests. */

import * as core from "@peridotvale/core";
import * as policy from "@peridotvale/policy";
import * as neverthrow from "neverthrow";

/** A way to one owner's scheduler. */
export interface CapacityLink {
  /** Whether the owner is thought to answer. */
  isOpen(): boolean;
  /** Sends an event; effects come back to the client. */
  send(event: policy.SchedulerEvent): void;
}

/** The ways that a request may go. */
export interface LinkRoute {
  /** Owners to ask, the preferred first; the next one is asked after a refusal. */
  readonly owners: readonly CapacityLink[];
  /** What to ask when an owner does not answer. */
  readonly fallback: CapacityLink;
}

/** Chooses the ways that a request may go. */
export interface LinkChooser {
  chooseRoute(capacity: policy.CapacityRequest): LinkRoute;
  /** The owner of one engine, to register an open stream with. */
  chooseOwner(endpoint: core.EndpointId): CapacityLink | undefined;
}

/** Why no capacity was granted. */
export interface CapacityRefusal {
  readonly reason: policy.RefusalReason | "cancelled";
  readonly retryAfterMs: number;
}

/** Capacity of one engine, held until `end`. */
export interface CapacityGrant {
  readonly endpoint: core.EndpointId;
  readonly queuedMs: number;
  /** Records generated tokens. */
  recordTokens(count: number): void;
  /** Gives the capacity back. */
  end(end: policy.StreamEnd): void;
  /** Aborts when the owner takes the capacity back. */
  readonly evicted: AbortSignal;
}

/** One question to one owner. */
interface AskStep {
  readonly link: CapacityLink;
  readonly mayQueue: boolean;
}

interface Ask {
  readonly capacity: policy.CapacityRequest;
  readonly fallback: CapacityLink;
  /** Questions that were not asked yet. */
  steps: AskStep[];
  link: CapacityLink;
  mayQueue: boolean;
  reroutesLeft: number;
  resolve: (result: neverthrow.Result<CapacityGrant, CapacityRefusal>) => void;
  timer: NodeJS.Timeout | undefined;
}

interface OpenGrant {
  readonly capacity: policy.CapacityRequest;
  readonly endpoint: core.EndpointId;
  readonly evict: AbortController;
  link: CapacityLink;
  unreportedTokens: number;
  emittedTokens: number;
}

/** Wait for an owner's answer before the question is repeated; doubles each time. */
const FIRST_REPEAT_MS = 300;
const MAX_REPEAT_MS = 1_200;
/** Pause before owners are chosen anew, and how often they are. */
const REROUTE_PAUSE_MS = 100;
const MAX_REROUTES = 8;
const REPORT_INTERVAL_MS = 100;

/** Keeps the open asks and grants of this process. */
export class CapacityClient {
  readonly #chooser: LinkChooser;
  readonly #asks = new Map<core.RequestId, Ask>();
  readonly #grants = new Map<core.RequestId, OpenGrant>();

  constructor(options: { readonly chooser: LinkChooser }) {
    this.#chooser = options.chooser;
  }

  /** Asks for capacity; resolves when it is granted or refused. */
  acquire(
    capacity: policy.CapacityRequest,
    options: { readonly signal: AbortSignal },
  ): Promise<neverthrow.Result<CapacityGrant, CapacityRefusal>> {
    const { owners, fallback } = this.#chooser.chooseRoute(capacity);
    if (options.signal.aborted) return Promise.resolve(refuse("cancelled"));
    return new Promise((resolve) => {
      const [first, ...steps] = createSteps(owners, fallback);
      const ask: Ask = {
        capacity,
        fallback,
        steps,
        ...first,
        reroutesLeft: MAX_REROUTES,
        resolve,
        timer: undefined,
      };
      const cancel = () => this.#cancelAsk(ask);
      options.signal.addEventListener("abort", cancel, { once: true });
      ask.resolve = (result) => {
        options.signal.removeEventListener("abort", cancel);
        clearTimeout(ask.timer);
        this.#asks.delete(capacity.request);
        resolve(result);
      };
      this.#asks.set(capacity.request, ask);
      this.#sendAsk(ask, first);
    });
  }

  /** Registers a stream that is open already, such as one resumed from another process. */
  adopt(
    capacity: policy.CapacityRequest,
    options: {
      readonly endpoint: core.EndpointId;
      readonly emittedTokens: number;
    },
  ): CapacityGrant {
    const link = this.#chooser.chooseOwner(options.endpoint) ?? CLOSED_LINK;
    const grant = this.#openGrant(capacity, options.endpoint, {
      link,
      queuedMs: 0,
    });
    this.#grants.get(capacity.request)!.emittedTokens = options.emittedTokens;
    link.send({ type: "stream_adopted", stream: { capacity, ...options } });
    return grant;
  }

  /** Moves waiting requests and open streams whose owner has changed to the new one. */
  reassign(): void {
    for (const ask of this.#asks.values()) {
      const { owners, fallback } = this.#chooser.chooseRoute(ask.capacity);
      if (owners.includes(ask.link)) continue;
      const [first, ...steps] = createSteps(owners, fallback);
      this.#leaveOwner(ask);
      ask.steps = steps;
      this.#sendAsk(ask, first);
    }
    for (const grant of this.#grants.values()) {
      const link = this.#chooser.chooseOwner(grant.endpoint);
      if (link === undefined || link === grant.link) continue;
      grant.link.send({
        type: "request_ended",
        request: grant.capacity.request,
        end: "abandoned",
      });
      grant.link = link;
      this.#sendAdoption(grant);
    }
  }

  /** Tells an owner anew what it may have forgotten when its link was lost. */
  registerAgain(link: CapacityLink): void {
    for (const ask of this.#asks.values()) if (ask.link === link) this.#sendArrival(ask);
    for (const grant of this.#grants.values()) {
      if (grant.link === link) this.#sendAdoption(grant);
    }
  }

  /** Takes an effect that an owner's scheduler asks for. */
  onEffect(effect: policy.SchedulerEffect, link: CapacityLink): void {
    switch (effect.type) {
      case "granted":
        return this.#applyGrant(effect, link);
      case "refused":
        return this.#applyRefusal(effect, link);
      case "evicted":
        return this.#applyEviction(effect);
    }
  }

  /** Reports generated tokens to the owners where a report is due. */
  sendReports(): void {
    for (const grant of this.#grants.values()) {
      if (!policy.isReportDue(grant.emittedTokens, grant.unreportedTokens)) continue;
      grant.link.send({
        type: "tokens_generated",
        request: grant.capacity.request,
        tokens: grant.unreportedTokens,
      });
      grant.unreportedTokens = 0;
    }
  }

  #sendAsk(ask: Ask, step: AskStep): void {
    ask.link = step.link;
    ask.mayQueue = step.mayQueue;
    this.#sendArrival(ask);
    clearTimeout(ask.timer);
    if (!this.#asks.has(ask.capacity.request) || ask.link === ask.fallback) return;
    this.#watchAsk(ask, FIRST_REPEAT_MS);
  }

  #sendArrival(ask: Ask): void {
    const capacity = { ...ask.capacity, mayQueue: ask.mayQueue };
    ask.link.send({ type: "request_arrived", capacity });
  }

  /**
   * Repeats the question while it has no answer, as it may have been lost with
   * a link. An owner that falls silent is given up for the fallback.
   */
  #watchAsk(ask: Ask, waitMs: number): void {
    ask.timer = setTimeout(() => {
      if (ask.link.isOpen()) {
        this.#sendArrival(ask);
        return this.#watchAsk(ask, Math.min(2 * waitMs, MAX_REPEAT_MS));
      }
      this.#leaveOwner(ask);
      ask.steps = [];
      this.#sendAsk(ask, { link: ask.fallback, mayQueue: true });
    }, waitMs);
  }

  /** An owner without engines may have handed them over; its successor is known soon. */
  #rerouteAsk(ask: Ask): void {
    ask.reroutesLeft -= 1;
    clearTimeout(ask.timer);
    ask.timer = setTimeout(() => {
      const { owners, fallback } = this.#chooser.chooseRoute(ask.capacity);
      const [first, ...steps] = createSteps(owners, fallback);
      ask.steps = steps;
      this.#sendAsk(ask, first);
    }, REROUTE_PAUSE_MS);
  }

  #leaveOwner(ask: Ask): void {
    ask.link.send({ type: "request_ended", request: ask.capacity.request, end: "abandoned" });
  }

  #sendAdoption(grant: OpenGrant): void {
    const { capacity, endpoint, emittedTokens } = grant;
    grant.link.send({ type: "stream_adopted", stream: { capacity, endpoint, emittedTokens } });
  }

  #cancelAsk(ask: Ask): void {
    if (!this.#asks.has(ask.capacity.request)) return;
    ask.link.send({
      type: "request_ended",
      request: ask.capacity.request,
      end: "abandoned",
    });
    ask.resolve(refuse("cancelled"));
  }

  #applyGrant(
    effect: Extract<policy.SchedulerEffect, { readonly type: "granted" }>,
    link: CapacityLink,
  ): void {
    const ask = this.#asks.get(effect.request);
    if (ask === undefined || ask.link !== link) {
      if (!this.#grants.has(effect.request)) {
        link.send({
          type: "request_ended",
          request: effect.request,
          end: "abandoned",
        });
      }
      return;
    }
    const { endpoint, queuedMs } = effect;
    ask.resolve(
      neverthrow.ok(
        this.#openGrant(ask.capacity, endpoint, { link, queuedMs }),
      ),
    );
  }

  #applyRefusal(
    effect: Extract<policy.SchedulerEffect, { readonly type: "refused" }>,
    link: CapacityLink,
  ): void {
    const ask = this.#asks.get(effect.request);
    if (ask === undefined || ask.link !== link) return;
    const next = isWorthAskingOthers(effect.reason) ? ask.steps.shift() : undefined;
    if (next !== undefined) return this.#sendAsk(ask, next);
    if (effect.reason === "no_endpoint" && ask.reroutesLeft > 0) return this.#rerouteAsk(ask);
    ask.resolve(
      neverthrow.err({
        reason: effect.reason,
        retryAfterMs: effect.retryAfterMs,
      }),
    );
  }

  #applyEviction(
    effect: Extract<policy.SchedulerEffect, { readonly type: "evicted" }>,
  ): void {
    const grant = this.#grants.get(effect.request);
    if (grant === undefined) return;
    this.#grants.delete(effect.request);
    grant.evict.abort();
  }

  #openGrant(
    capacity: policy.CapacityRequest,
    endpoint: core.EndpointId,
    options: { readonly link: CapacityLink; readonly queuedMs: number },
  ): CapacityGrant {
    const open: OpenGrant = {
      capacity,
      endpoint,
      evict: new AbortController(),
      link: options.link,
      unreportedTokens: 0,
      emittedTokens: 0,
    };
    this.#grants.set(capacity.request, open);
    return {
      endpoint,
      queuedMs: options.queuedMs,
      evicted: open.evict.signal,
      recordTokens: (count) => {
        open.unreportedTokens += count;
        open.emittedTokens += count;
      },
      end: (end) => this.#endGrant(open, end),
    };
  }

  #endGrant(open: OpenGrant, end: policy.StreamEnd): void {
    const request = open.capacity.request;
    if (this.#grants.get(request) !== open) return;
    this.#grants.delete(request);
    if (open.unreportedTokens > 0) {
      open.link.send({
        type: "tokens_generated",
        request,
        tokens: open.unreportedTokens,
      });
    }
    open.link.send({ type: "request_ended", request, end });
  }
}

/** A link to nobody, for streams whose engine has no known owner. */
const CLOSED_LINK: CapacityLink = { isOpen: () => false, send() {} };

/** Sends the reports of `client` at intervals. */
export function registerCapacityReports(
  runtime: core.Runtime,
  client: CapacityClient,
): core.Disposer {
  return runtime.registerInterval(
    () => client.sendReports(),
    REPORT_INTERVAL_MS,
  );
}

/** Every owner is asked for capacity at once, then the first one for a place in its queue. */
function createSteps(
  owners: readonly CapacityLink[],
  fallback: CapacityLink,
): readonly [AskStep, ...AskStep[]] {
  const [first, ...others] = owners;
  if (first === undefined) return [{ link: fallback, mayQueue: true }];
  if (others.length === 0) return [{ link: first, mayQueue: true }];
  const immediate = others.map((link) => ({ link, mayQueue: false }));
  return [{ link: first, mayQueue: false }, ...immediate, { link: first, mayQueue: true }];
}

function isWorthAskingOthers(reason: policy.RefusalReason): boolean {
  return reason === "busy" || reason === "queue_too_long" || reason === "no_endpoint" ||
    reason === "draining";
}

function refuse(
  reason: CapacityRefusal["reason"],
): neverthrow.Result<CapacityGrant, CapacityRefusal> {
  return neverthrow.err({ reason, retryAfterMs: 1_000 });
}
