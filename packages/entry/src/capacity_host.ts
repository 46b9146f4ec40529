/** Runs the scheduler of the engines that this process owns, and answers those who ask. */

import type * as core from "@peridotvale/core";
import * as policy from "@peridotvale/policy";

/** Who asked for capacity: this process or a peer. */
export interface CapacityOrigin {
  /** Takes an effect that concerns one of its requests. */
  onEffect(effect: policy.SchedulerEffect): void;
}

interface HeldEvent {
  readonly event: policy.SchedulerEvent;
  readonly origin: CapacityOrigin;
}

/** Longest time that requests wait for the state of engines that were just taken over. */
const WARM_UP_MS = 600;

/** The scheduler with its askers. */
export class CapacityHost {
  readonly #scheduler = new policy.Scheduler();
  readonly #origins = new Map<core.RequestId, CapacityOrigin>();
  #held: HeldEvent[] = [];
  #warmUntil = -Infinity;

  /** Requests that wait. */
  get queuedCount(): number {
    return this.#scheduler.queuedCount + this.#held.length;
  }

  /** Streams that hold capacity. */
  get openCount(): number {
    return this.#scheduler.openCount;
  }

  /** Holds requests back until `endWarmUp`, or for a bounded time. */
  startWarmUp(now: number): void {
    this.#warmUntil = now + WARM_UP_MS;
  }

  /** Handles the requests that were held back. */
  endWarmUp(now: number): void {
    this.#warmUntil = -Infinity;
    const held = this.#held;
    this.#held = [];
    for (const { event, origin } of held) this.handleRequestEvent(event, now, { origin });
  }

  /** Handles an event about a request of `origin`. */
  handleRequestEvent(
    event: policy.SchedulerEvent,
    now: number,
    options: { readonly origin: CapacityOrigin },
  ): void {
    if (now < this.#warmUntil) {
      this.#held.push({ event, origin: options.origin });
      return;
    }
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
    if (event.type === "ticked" && this.#held.length > 0 && now >= this.#warmUntil) {
      this.endWarmUp(now);
    }
    for (const effect of this.#scheduler.handle(event, now)) this.#dispatchEffect(effect);
  }

  /** Ends every request of `origin`, which is gone. */
  removeOrigin(origin: CapacityOrigin, now: number): void {
    this.#held = this.#held.filter((held) => held.origin !== origin);
    const requests: core.RequestId[] = [];
    for (const [request, known] of this.#origins) {
      if (known === origin) requests.push(request);
    }
    for (const request of requests) {
      this.#origins.delete(request);
      this.handleEvent({ type: "request_ended", request, end: "abandoned" }, now);
    }
  }

  #dispatchEffect(effect: policy.SchedulerEffect): void {
    const origin = this.#origins.get(effect.request);
    if (effect.type !== "granted") this.#origins.delete(effect.request);
    origin?.onEffect(effect);
  }
}
