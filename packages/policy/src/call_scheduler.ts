/**
 * Assigns the calls of one plain service to its endpoints. Each endpoint has an
 * adaptive concurrency limit; calls beyond the limits wait in one fair queue per
 * rank. An overloaded service thus serves urgent ranks first and divides its
 * capacity among workspaces by weight.
 */

import type * as core from "@peridotvale/core";
import * as limits from "./concurrency_limit.ts";
import * as queues from "./fair_queue.ts";

/** A call that needs a slot at an endpoint. */
export interface CallRequest {
  readonly id: string;
  readonly workspace: core.WorkspaceName;
  /** Weight of the workspace in the fair queue. */
  readonly weight: number;
  readonly rank: core.RankName;
  /** Calls with a lower order are served first. */
  readonly rankOrder: number;
  /** Time by which the call must have a slot, else it is refused. */
  readonly startBy: number;
  /** Endpoints that get the call only if no other endpoint has a free slot. */
  readonly avoid: readonly core.EndpointId[];
}

/** An endpoint of the service. */
export interface CallEndpoint {
  readonly endpoint: core.EndpointId;
  /** Whether it is in this process's availability zone. */
  readonly local: boolean;
  /** Whether it may receive new calls now. */
  readonly accepting: boolean;
}

/** An input of {@linkcode CallScheduler}. */
export type CallEvent =
  | {
    readonly type: "endpoints_changed";
    /** Endpoints that are not leaving. */
    readonly endpoints: readonly CallEndpoint[];
    /** Maximum number of concurrent calls per endpoint, from the manifest. */
    readonly concurrency: number;
  }
  | { readonly type: "call_arrived"; readonly call: CallRequest }
  | {
    readonly type: "call_ended";
    readonly id: string;
    readonly latencyMs: number;
    /** Whether the endpoint answered; a call without an answer lowers its concurrency limit. */
    readonly answered: boolean;
  }
  | { readonly type: "ticked" };

/** A decision of {@linkcode CallScheduler} on one call. */
export type CallEffect =
  | {
    readonly type: "call_granted";
    readonly id: string;
    readonly endpoint: core.EndpointId;
  }
  | {
    readonly type: "call_refused";
    readonly id: string;
    readonly reason: "no_endpoint" | "deadline_exceeded";
  };

interface QueuedCall extends queues.QueueItem {
  readonly call: CallRequest;
}

interface EndpointState {
  info: CallEndpoint;
  /** Whether the service still has it; an unlisted endpoint is removed after its last call. */
  isListed: boolean;
  readonly limit: limits.ConcurrencyLimit;
  inFlight: number;
}

/** Tokens that the fair queue charges for one call. */
const CALL_COST_TOKENS = 1;

/** Grants slots to calls, lower rank orders first and workspaces of a rank in fair shares. */
export class CallScheduler {
  readonly #endpoints = new Map<core.EndpointId, EndpointState>();
  readonly #queuesByRankOrder = new Map<number, queues.FairQueue<QueuedCall>>();
  readonly #openCalls = new Map<string, EndpointState>();
  readonly #queuedCalls = new Map<string, QueuedCall>();
  #effects: CallEffect[] = [];

  /** Number of calls that wait for a slot. */
  get queuedCount(): number {
    return this.#queuedCalls.size;
  }

  /** Applies an event and returns the calls that are granted or refused as a result. */
  handle(event: CallEvent, now: number): readonly CallEffect[] {
    this.#effects = [];
    switch (event.type) {
      case "endpoints_changed":
        this.#updateEndpoints(event.endpoints, event.concurrency);
        break;
      case "call_arrived":
        this.#addCall(event.call, now);
        break;
      case "call_ended":
        this.#endCall(event);
        break;
      case "ticked":
        this.#refuseExpired(now);
        break;
    }
    this.#grantAll(now);
    return this.#effects;
  }

  #updateEndpoints(
    endpoints: readonly CallEndpoint[],
    concurrency: number,
  ): void {
    for (const state of this.#endpoints.values()) {
      state.info = { ...state.info, accepting: false };
      state.isListed = false;
    }
    for (const info of endpoints) {
      const knownState = this.#endpoints.get(info.endpoint);
      if (knownState === undefined) {
        const limit = new limits.ConcurrencyLimit(concurrency);
        this.#endpoints.set(info.endpoint, {
          info,
          isListed: true,
          limit,
          inFlight: 0,
        });
        continue;
      }
      knownState.info = info;
      knownState.isListed = true;
      knownState.limit.updateMaxLimit(concurrency);
    }
    for (const [endpoint, state] of this.#endpoints) {
      if (!state.isListed && state.inFlight === 0) {
        this.#endpoints.delete(endpoint);
      }
    }
  }

  #addCall(call: CallRequest, now: number): void {
    if (![...this.#endpoints.values()].some((state) => state.isListed)) {
      this.#effects.push({
        type: "call_refused",
        id: call.id,
        reason: "no_endpoint",
      });
      return;
    }
    const { workspace, startBy } = call;
    const item = { workspace, startBy, arrivedAt: now, call };
    this.#queuedCalls.set(call.id, item);
    let queue = this.#queuesByRankOrder.get(call.rankOrder);
    if (queue === undefined) {
      queue = new queues.FairQueue();
      this.#queuesByRankOrder.set(call.rankOrder, queue);
    }
    queue.addItem(item, call.weight);
  }

  #endCall(event: Extract<CallEvent, { readonly type: "call_ended" }>): void {
    const queued = this.#queuedCalls.get(event.id);
    if (queued !== undefined) {
      this.#queuedCalls.delete(event.id);
      this.#queuesByRankOrder.get(queued.call.rankOrder)?.removeItem(queued);
      return;
    }
    const state = this.#openCalls.get(event.id);
    if (state === undefined) return;
    this.#openCalls.delete(event.id);
    state.inFlight -= 1;
    if (event.answered) state.limit.recordLatency(event.latencyMs);
    else state.limit.recordTimeout();
  }

  #refuseExpired(now: number): void {
    for (const queue of this.#queuesByRankOrder.values()) {
      for (const item of queue.removeExpired(now)) {
        this.#queuedCalls.delete(item.call.id);
        this.#effects.push({
          type: "call_refused",
          id: item.call.id,
          reason: "deadline_exceeded",
        });
      }
    }
  }

  #grantAll(now: number): void {
    const rankOrders = [...this.#queuesByRankOrder.keys()].sort((first, second) => first - second);
    for (const order of rankOrders) {
      const queue = this.#queuesByRankOrder.get(order)!;
      while (queue.size > 0) {
        const item = queue.getNext(now);
        if (item === undefined) break;
        const state = this.#chooseEndpoint(item.call);
        if (state === undefined) return;
        this.#queuedCalls.delete(item.call.id);
        queue.removeItem(item);
        queue.chargeTokens(item.workspace, CALL_COST_TOKENS, item.call.weight);
        state.inFlight += 1;
        this.#openCalls.set(item.call.id, state);
        const endpoint = state.info.endpoint;
        this.#effects.push({
          type: "call_granted",
          id: item.call.id,
          endpoint,
        });
      }
    }
  }

  /**
   * Returns the least loaded endpoint with a free slot: local endpoints first,
   * then those of other zones, and endpoints to avoid last. The load is at most
   * 1, so that the costs added for another zone (10) and for an endpoint to avoid
   * (100) always outweigh it.
   */
  #chooseEndpoint(call: CallRequest): EndpointState | undefined {
    let bestEndpoint: EndpointState | undefined;
    let bestCost = Infinity;
    for (const state of this.#endpoints.values()) {
      if (!state.info.accepting || state.inFlight >= state.limit.limit) continue;
      const isAvoided = call.avoid.includes(state.info.endpoint);
      const load = (state.inFlight + 1) / state.limit.limit;
      const cost = load + (state.info.local ? 0 : 10) + (isAvoided ? 100 : 0);
      if (cost >= bestCost) continue;
      bestEndpoint = state;
      bestCost = cost;
    }
    return bestEndpoint;
  }
}
