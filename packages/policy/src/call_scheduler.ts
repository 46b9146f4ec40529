/** Decides which call goes to which endpoint of one plain service, and when. */

import type * as core from "@peridotvale/core";
import * as limits from "./concurrency_limit.ts";
import * as queues from "./fair_queue.ts";

/** A call that asks for a place. */
export interface PlacedCall {
  readonly id: string;
  readonly workspace: core.WorkspaceName;
  readonly weight: number;
  readonly rank: core.RankName;
  readonly rankOrder: number;
  readonly startBy: number;
  readonly avoid: readonly core.EndpointId[];
}

/** An endpoint of the service. */
export interface CallEndpoint {
  readonly endpoint: core.EndpointId;
  /** Whether it is in this process's availability zone. */
  readonly local: boolean;
  /** Whether it may get new calls now. */
  readonly accepting: boolean;
}

/** What happened. */
export type CallEvent =
  | {
    readonly type: "endpoints_changed";
    /** Those that do not leave. */
    readonly endpoints: readonly CallEndpoint[];
    readonly concurrency: number;
  }
  | { readonly type: "call_arrived"; readonly call: PlacedCall }
  | {
    readonly type: "call_ended";
    readonly id: string;
    readonly latencyMs: number;
    readonly answered: boolean;
  }
  | { readonly type: "ticked" };

/** What to do. */
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
  readonly call: PlacedCall;
}

interface EndpointState {
  info: CallEndpoint;
  /** Whether it is still one of the service's endpoints. */
  listed: boolean;
  readonly limit: limits.ConcurrencyLimit;
  inFlight: number;
}

/** Tokens that one call is charged. */
const CALL_COST = 1;

/** Places the calls of one service; urgent ranks first, workspaces in turn. */
export class CallScheduler {
  readonly #endpoints = new Map<core.EndpointId, EndpointState>();
  readonly #ranks = new Map<number, queues.FairQueue<QueuedCall>>();
  readonly #open = new Map<string, EndpointState>();
  readonly #queued = new Map<string, QueuedCall>();
  #effects: CallEffect[] = [];

  /** Calls that wait. */
  get queuedCount(): number {
    return this.#queued.size;
  }

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
      state.listed = false;
    }
    for (const info of endpoints) {
      const known = this.#endpoints.get(info.endpoint);
      if (known === undefined) {
        const limit = new limits.ConcurrencyLimit(concurrency);
        this.#endpoints.set(info.endpoint, {
          info,
          listed: true,
          limit,
          inFlight: 0,
        });
        continue;
      }
      known.info = info;
      known.listed = true;
      known.limit.updateMax(concurrency);
    }
    for (const [endpoint, state] of this.#endpoints) {
      if (!state.listed && state.inFlight === 0) {
        this.#endpoints.delete(endpoint);
      }
    }
  }

  #addCall(call: PlacedCall, now: number): void {
    if (![...this.#endpoints.values()].some((state) => state.listed)) {
      this.#effects.push({
        type: "call_refused",
        id: call.id,
        reason: "no_endpoint",
      });
      return;
    }
    const { workspace, startBy } = call;
    const item = { workspace, startBy, arrivedAt: now, call };
    this.#queued.set(call.id, item);
    let queue = this.#ranks.get(call.rankOrder);
    if (queue === undefined) {
      queue = new queues.FairQueue();
      this.#ranks.set(call.rankOrder, queue);
    }
    queue.addItem(item, call.weight);
  }

  #endCall(event: Extract<CallEvent, { readonly type: "call_ended" }>): void {
    const queued = this.#queued.get(event.id);
    if (queued !== undefined) {
      this.#queued.delete(event.id);
      this.#ranks.get(queued.call.rankOrder)?.removeItem(queued);
      return;
    }
    const state = this.#open.get(event.id);
    if (state === undefined) return;
    this.#open.delete(event.id);
    state.inFlight -= 1;
    if (event.answered) state.limit.recordLatency(event.latencyMs);
    else state.limit.recordTimeout();
  }

  #refuseExpired(now: number): void {
    for (const queue of this.#ranks.values()) {
      for (const item of queue.removeExpired(now)) {
        this.#queued.delete(item.call.id);
        this.#effects.push({
          type: "call_refused",
          id: item.call.id,
          reason: "deadline_exceeded",
        });
      }
    }
  }

  #grantAll(now: number): void {
    const orders = [...this.#ranks.keys()].sort((a, b) => a - b);
    for (const order of orders) {
      const queue = this.#ranks.get(order)!;
      while (queue.size > 0) {
        const item = queue.getNext(now);
        if (item === undefined) break;
        const state = this.#chooseEndpoint(item.call);
        if (state === undefined) return;
        this.#queued.delete(item.call.id);
        queue.removeItem(item);
        queue.chargeTokens(item.workspace, CALL_COST, item.call.weight);
        state.inFlight += 1;
        this.#open.set(item.call.id, state);
        const endpoint = state.info.endpoint;
        this.#effects.push({
          type: "call_granted",
          id: item.call.id,
          endpoint,
        });
      }
    }
  }

  /** The least loaded endpoint of the own zone, else of the others. */
  #chooseEndpoint(call: PlacedCall): EndpointState | undefined {
    let best: EndpointState | undefined;
    let bestCost = Infinity;
    for (const state of this.#endpoints.values()) {
      if (!state.info.accepting || state.inFlight >= state.limit.limit) continue;
      const isAvoided = call.avoid.includes(state.info.endpoint);
      const load = (state.inFlight + 1) / state.limit.limit;
      const cost = load + (state.info.local ? 0 : 10) + (isAvoided ? 100 : 0);
      if (cost >= bestCost) continue;
      best = state;
      bestCost = cost;
    }
    return best;
  }
}
