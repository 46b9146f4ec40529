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
  /** Whether the endpoint is in this process's availability zone. */
  readonly isLocal: boolean;
  /** Whether the endpoint may receive new calls now. */
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
    /** Whether the endpoint answered; if not, the endpoint's concurrency limit is lowered. */
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
  /** Whether the endpoint is in the last list; if not, it is removed after its last call. */
  isListed: boolean;
  readonly concurrencyLimit: limits.ConcurrencyLimit;
  inFlightCount: number;
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
        this.#refuseExpiredCalls(now);
        break;
    }
    this.#grantQueuedCalls(now);
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
          concurrencyLimit: limit,
          inFlightCount: 0,
        });
        continue;
      }
      knownState.info = info;
      knownState.isListed = true;
      knownState.concurrencyLimit.updateMaxLimit(concurrency);
    }
    for (const [endpoint, state] of this.#endpoints) {
      if (!state.isListed && state.inFlightCount === 0) {
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
    const queuedCall = this.#queuedCalls.get(event.id);
    if (queuedCall !== undefined) {
      this.#queuedCalls.delete(event.id);
      this.#queuesByRankOrder.get(queuedCall.call.rankOrder)?.removeItem(queuedCall);
      return;
    }
    const state = this.#openCalls.get(event.id);
    if (state === undefined) return;
    this.#openCalls.delete(event.id);
    state.inFlightCount -= 1;
    if (event.answered) state.concurrencyLimit.recordLatency(event.latencyMs);
    else state.concurrencyLimit.recordTimeout();
  }

  #refuseExpiredCalls(now: number): void {
    for (const queue of this.#queuesByRankOrder.values()) {
      for (const item of queue.removeExpiredItems(now)) {
        this.#queuedCalls.delete(item.call.id);
        this.#effects.push({
          type: "call_refused",
          id: item.call.id,
          reason: "deadline_exceeded",
        });
      }
    }
  }

  #grantQueuedCalls(now: number): void {
    const rankOrders = [...this.#queuesByRankOrder.keys()].sort((first, second) => first - second);
    for (const rankOrder of rankOrders) {
      const queue = this.#queuesByRankOrder.get(rankOrder)!;
      while (queue.size > 0) {
        const item = queue.getNextItem(now);
        if (item === undefined) break;
        const state = this.#chooseEndpoint(item.call);
        if (state === undefined) return;
        this.#queuedCalls.delete(item.call.id);
        queue.removeItem(item);
        queue.chargeTokens(item.workspace, CALL_COST_TOKENS, item.call.weight);
        state.inFlightCount += 1;
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
      if (!state.info.accepting || state.inFlightCount >= state.concurrencyLimit.limit) continue;
      const isAvoided = call.avoid.includes(state.info.endpoint);
      const load = (state.inFlightCount + 1) / state.concurrencyLimit.limit;
      const cost = load + (state.info.isLocal ? 0 : 10) + (isAvoided ? 100 : 0);
      if (cost >= bestCost) continue;
      bestEndpoint = state;
      bestCost = cost;
    }
    return bestEndpoint;
  }
}
