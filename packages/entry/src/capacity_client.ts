/**
 * Acquires engine capacity for this process's generations from the owners of the
 * engines. Retries requests, because messages can be lost when a link breaks, and
 * uses the local fallback scheduler when an owner stops answering.
 */

import * as core from "@peridotvale/core";
import * as policy from "@peridotvale/policy";
import * as neverthrow from "neverthrow";

/** A connection to the scheduler of one owner, local or remote. */
export interface CapacityLink {
  /** Whether the owner is considered reachable. */
  isOpen(): boolean;
  /** Sends an event; the client receives its effects through `onEffect`. */
  send(event: policy.SchedulerEvent): void;
}

/** The links to try for a capacity request. */
export interface LinkRoute {
  /** Links to owners in order of preference; the next one is tried after a refusal. */
  readonly owners: readonly CapacityLink[];
  /** The link to use when an owner does not answer. */
  readonly fallback: CapacityLink;
}

/** Chooses the links for capacity requests and open streams. */
export interface LinkChooser {
  chooseRoute(capacity: policy.CapacityRequest): LinkRoute;
  /** Returns the link to the owner of an engine, or `undefined` if it has no known owner. */
  chooseOwnerLink(endpoint: core.EndpointId): CapacityLink | undefined;
}

/** Why no capacity was granted. */
export interface CapacityRefusal {
  readonly reason: policy.RefusalReason | "cancelled";
  readonly retryAfterMs: number;
}

/** Capacity of one engine, held until `end` is called or the owner evicts it. */
export interface CapacityGrant {
  readonly endpoint: core.EndpointId;
  readonly queuedMs: number;
  /** Counts generated tokens for the next report to the owner. */
  recordTokens(count: number): void;
  /** Releases the capacity. */
  end(end: policy.StreamEnd): void;
  /** Aborts when the owner evicts the request. */
  readonly evictionSignal: AbortSignal;
}

/** One attempt to acquire capacity from one owner. */
interface AcquireStep {
  readonly link: CapacityLink;
  /** Whether the owner may queue the request while it has no free capacity. */
  readonly mayQueue: boolean;
}

interface PendingRequest {
  readonly capacity: policy.CapacityRequest;
  readonly fallback: CapacityLink;
  /** Steps that have not been tried yet, in order. */
  remainingSteps: AcquireStep[];
  /** Link of the current step. */
  link: CapacityLink;
  mayQueue: boolean;
  reroutesLeft: number;
  resolve: (result: neverthrow.Result<CapacityGrant, CapacityRefusal>) => void;
  retryTimer: NodeJS.Timeout | undefined;
}

interface OpenGrant {
  readonly capacity: policy.CapacityRequest;
  readonly endpoint: core.EndpointId;
  readonly evictionController: AbortController;
  link: CapacityLink;
  unreportedTokens: number;
  emittedTokens: number;
}

/** Time to wait for an owner's answer before the first retry; doubles with each retry. */
const FIRST_RETRY_DELAY_MS = 300;
const MAX_RETRY_DELAY_MS = 1_200;
/** Delay before a new route is chosen after the last owner has refused with `no_endpoint`. */
const REROUTE_DELAY_MS = 100;
const MAX_REROUTES = 8;
const REPORT_INTERVAL_MS = 100;

/** Holds the pending capacity requests and the open grants of this process. */
export class CapacityClient {
  readonly #chooser: LinkChooser;
  readonly #pending = new Map<core.RequestId, PendingRequest>();
  readonly #grants = new Map<core.RequestId, OpenGrant>();

  constructor(options: { readonly chooser: LinkChooser }) {
    this.#chooser = options.chooser;
  }

  /** Requests capacity until it is granted, refused, or `options.signal` aborts. */
  acquire(
    capacity: policy.CapacityRequest,
    options: { readonly signal: AbortSignal },
  ): Promise<neverthrow.Result<CapacityGrant, CapacityRefusal>> {
    const { owners, fallback } = this.#chooser.chooseRoute(capacity);
    if (options.signal.aborted) return Promise.resolve(createRefusal("cancelled"));
    return new Promise((resolve) => {
      const [firstStep, ...laterSteps] = createAcquireSteps(owners, fallback);
      const pending: PendingRequest = {
        capacity,
        fallback,
        remainingSteps: laterSteps,
        ...firstStep,
        reroutesLeft: MAX_REROUTES,
        resolve,
        retryTimer: undefined,
      };
      const cancel = () => this.#cancelRequest(pending);
      options.signal.addEventListener("abort", cancel, { once: true });
      pending.resolve = (result) => {
        options.signal.removeEventListener("abort", cancel);
        clearTimeout(pending.retryTimer);
        this.#pending.delete(capacity.request);
        resolve(result);
      };
      this.#pending.set(capacity.request, pending);
      this.#sendRequest(pending, firstStep);
    });
  }

  /** Registers an open stream, e.g. one resumed from another process, with its engine's owner. */
  adopt(
    capacity: policy.CapacityRequest,
    options: {
      readonly endpoint: core.EndpointId;
      readonly emittedTokens: number;
    },
  ): CapacityGrant {
    const link = this.#chooser.chooseOwnerLink(options.endpoint) ?? CLOSED_LINK;
    const grant = this.#createGrant(capacity, options.endpoint, {
      link,
      queuedMs: 0,
    });
    this.#grants.get(capacity.request)!.emittedTokens = options.emittedTokens;
    link.send({ type: "stream_adopted", stream: { capacity, ...options } });
    return grant;
  }

  /** Moves each pending request and open stream whose owner has changed to the new owner. */
  updateOwnerLinks(): void {
    for (const pending of this.#pending.values()) {
      const { owners, fallback } = this.#chooser.chooseRoute(pending.capacity);
      if (owners.includes(pending.link)) continue;
      const [firstStep, ...laterSteps] = createAcquireSteps(owners, fallback);
      this.#sendRequestEnd(pending);
      pending.remainingSteps = laterSteps;
      this.#sendRequest(pending, firstStep);
    }
    for (const grant of this.#grants.values()) {
      const link = this.#chooser.chooseOwnerLink(grant.endpoint);
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

  /** Registers the requests and streams of `link` with its owner again after a lost connection. */
  renewRegistrations(link: CapacityLink): void {
    for (const pending of this.#pending.values()) {
      if (pending.link === link) this.#sendArrival(pending);
    }
    for (const grant of this.#grants.values()) {
      if (grant.link === link) this.#sendAdoption(grant);
    }
  }

  /** Applies an effect received from the scheduler at `link`. */
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

  /** Reports generated tokens to the owners, for each stream whose report is due. */
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

  #sendRequest(pending: PendingRequest, step: AcquireStep): void {
    pending.link = step.link;
    pending.mayQueue = step.mayQueue;
    this.#sendArrival(pending);
    clearTimeout(pending.retryTimer);
    if (!this.#pending.has(pending.capacity.request) || pending.link === pending.fallback) return;
    this.#scheduleRetry(pending, FIRST_RETRY_DELAY_MS);
  }

  #sendArrival(pending: PendingRequest): void {
    const capacity = { ...pending.capacity, mayQueue: pending.mayQueue };
    pending.link.send({ type: "request_arrived", capacity });
  }

  /**
   * Retries the request until it is answered, since the message may have been lost
   * when a link broke. If the owner becomes unreachable, the fallback is used instead.
   */
  #scheduleRetry(pending: PendingRequest, delayMs: number): void {
    pending.retryTimer = setTimeout(() => {
      if (pending.link.isOpen()) {
        this.#sendArrival(pending);
        return this.#scheduleRetry(pending, Math.min(2 * delayMs, MAX_RETRY_DELAY_MS));
      }
      this.#sendRequestEnd(pending);
      pending.remainingSteps = [];
      this.#sendRequest(pending, { link: pending.fallback, mayQueue: true });
    }, delayMs);
  }

  /**
   * Chooses a new route after a delay. An owner that refuses for lack of engines
   * may have handed them over, and the new owner becomes known shortly after.
   */
  #reroute(pending: PendingRequest): void {
    pending.reroutesLeft -= 1;
    clearTimeout(pending.retryTimer);
    pending.retryTimer = setTimeout(() => {
      const { owners, fallback } = this.#chooser.chooseRoute(pending.capacity);
      const [firstStep, ...laterSteps] = createAcquireSteps(owners, fallback);
      pending.remainingSteps = laterSteps;
      this.#sendRequest(pending, firstStep);
    }, REROUTE_DELAY_MS);
  }

  #sendRequestEnd(pending: PendingRequest): void {
    pending.link.send({
      type: "request_ended",
      request: pending.capacity.request,
      end: "abandoned",
    });
  }

  #sendAdoption(grant: OpenGrant): void {
    const { capacity, endpoint, emittedTokens } = grant;
    grant.link.send({ type: "stream_adopted", stream: { capacity, endpoint, emittedTokens } });
  }

  #cancelRequest(pending: PendingRequest): void {
    if (!this.#pending.has(pending.capacity.request)) return;
    pending.link.send({
      type: "request_ended",
      request: pending.capacity.request,
      end: "abandoned",
    });
    pending.resolve(createRefusal("cancelled"));
  }

  #applyGrant(
    effect: Extract<policy.SchedulerEffect, { readonly type: "granted" }>,
    link: CapacityLink,
  ): void {
    const pending = this.#pending.get(effect.request);
    if (pending === undefined || pending.link !== link) {
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
    pending.resolve(
      neverthrow.ok(
        this.#createGrant(pending.capacity, endpoint, { link, queuedMs }),
      ),
    );
  }

  #applyRefusal(
    effect: Extract<policy.SchedulerEffect, { readonly type: "refused" }>,
    link: CapacityLink,
  ): void {
    const pending = this.#pending.get(effect.request);
    if (pending === undefined || pending.link !== link) return;
    const nextStep = canOtherOwnerGrant(effect.reason) ? pending.remainingSteps.shift() : undefined;
    if (nextStep !== undefined) return this.#sendRequest(pending, nextStep);
    if (effect.reason === "no_endpoint" && pending.reroutesLeft > 0) return this.#reroute(pending);
    pending.resolve(
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
    grant.evictionController.abort();
  }

  #createGrant(
    capacity: policy.CapacityRequest,
    endpoint: core.EndpointId,
    options: { readonly link: CapacityLink; readonly queuedMs: number },
  ): CapacityGrant {
    const openGrant: OpenGrant = {
      capacity,
      endpoint,
      evictionController: new AbortController(),
      link: options.link,
      unreportedTokens: 0,
      emittedTokens: 0,
    };
    this.#grants.set(capacity.request, openGrant);
    return {
      endpoint,
      queuedMs: options.queuedMs,
      evictionSignal: openGrant.evictionController.signal,
      recordTokens: (count) => {
        openGrant.unreportedTokens += count;
        openGrant.emittedTokens += count;
      },
      end: (end) => this.#endGrant(openGrant, end),
    };
  }

  #endGrant(openGrant: OpenGrant, end: policy.StreamEnd): void {
    const request = openGrant.capacity.request;
    if (this.#grants.get(request) !== openGrant) return;
    this.#grants.delete(request);
    if (openGrant.unreportedTokens > 0) {
      openGrant.link.send({
        type: "tokens_generated",
        request,
        tokens: openGrant.unreportedTokens,
      });
    }
    openGrant.link.send({ type: "request_ended", request, end });
  }
}

/** A link that drops all events, for streams whose engine has no known owner. */
const CLOSED_LINK: CapacityLink = { isOpen: () => false, send() {} };

/** Sends the token reports of `client` at intervals. */
export function registerCapacityReports(
  runtime: core.Runtime,
  client: CapacityClient,
): core.Disposer {
  return runtime.registerInterval(
    () => client.sendReports(),
    REPORT_INTERVAL_MS,
  );
}

/** Returns the steps: first each owner without queueing, then the first owner with queueing. */
function createAcquireSteps(
  owners: readonly CapacityLink[],
  fallback: CapacityLink,
): readonly [AcquireStep, ...AcquireStep[]] {
  const [first, ...otherOwners] = owners;
  if (first === undefined) return [{ link: fallback, mayQueue: true }];
  if (otherOwners.length === 0) return [{ link: first, mayQueue: true }];
  const immediateSteps = otherOwners.map((link) => ({ link, mayQueue: false }));
  return [{ link: first, mayQueue: false }, ...immediateSteps, { link: first, mayQueue: true }];
}

function canOtherOwnerGrant(reason: policy.RefusalReason): boolean {
  return reason === "busy" || reason === "queue_too_long" || reason === "no_endpoint" ||
    reason === "draining";
}

function createRefusal(
  reason: CapacityRefusal["reason"],
): neverthrow.Result<CapacityGrant, CapacityRefusal> {
  return neverthrow.err({ reason, retryAfterMs: 1_000 });
}
