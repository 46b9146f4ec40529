/** Runs the scheduler of the engines that this process owns, and answers those who ask. */

import type * as core from "@peridotvale/core";
import * as policy from "@peridotvale/policy";

/** Who asked for capacity: this process or a peer. */
export interface CapacityOrigin {
  /** Takes an effect that concerns one of its requests. */
  onEffect(effect: policy.SchedulerEffect): void;
}

/** The scheduler with its askers. */
export class CapacityHost {
  readonly #scheduler: policy.Scheduler;
  readonly #origins = new Map<core.RequestId, CapacityOrigin>();

  constructor(options: { readonly capacityShare: number }) {
    this.#scheduler = new policy.Scheduler(options);
  }

  /** Requests that wait. */
  get queuedCount(): number {
    return this.#scheduler.queuedCount;
  }

  /** Streams that hold capacity. */
  get openCount(): number {
    return this.#scheduler.openCount;
  }

  /** Handles an event about a request of `origin`. */
  handleRequestEvent(
    event: policy.SchedulerEvent,
    now: number,
    options: { readonly origin: CapacityOrigin },
  ): void {
    if (event.type === "request_arrived") {
      this.#origins.set(event.capacity.request, options.origin);
    } else if (event.type === "stream_adopted") {
      this.#origins.set(event.stream.capacity.request, options.origin);
    }
    this.handleEvent(event, now);
    if (event.type === "request_ended") this.#origins.delete(event.request);
  }

  /** Handles an event about engines, the manifest or the time. */
  handleEvent(event: policy.SchedulerEvent, now: number): void {
    for (const effect of this.#scheduler.handle(event, now)) {
      this.#dispatchEffect(effect);
    }
  }

  /** Ends every request of `origin`, which is gone. */
  removeOrigin(origin: CapacityOrigin, now: number): void {
    const requests: core.RequestId[] = [];
    for (const [request, known] of this.#origins) {
      if (known === origin) requests.push(request);
    }
    for (const request of requests) {
      this.#origins.delete(request);
      this.handleEvent({ type: "request_ended", request, ended: false }, now);
    }
  }

  #dispatchEffect(effect: policy.SchedulerEffect): void {
    const origin = this.#origins.get(effect.request);
    if (effect.type !== "granted") this.#origins.delete(effect.request);
    origin?.onEffect(effect);
  }
}
