/**
 * Runs a scheduler of engines and sends its effects to the origins of the requests.
 * When this process has just taken engines over, request events are held back until
 * the state of the engines has been read.
 */

import type * as core from "@peridotvale/core";
import * as policy from "@peridotvale/policy";

/** The source of capacity requests: this process or a peer. */
export interface CapacityOrigin {
  /** Receives the scheduler's grant, refusal or eviction of one of the origin's requests. */
  onEffect(effect: policy.SchedulerEffect): void;
}

interface HeldEvent {
  readonly event: policy.SchedulerEvent;
  readonly origin: CapacityOrigin;
}

/** Maximum time for which request events are held back after engines have been taken over. */
const MAX_WARM_UP_MS = 600;

/** A scheduler together with the origins of its requests. */
export class CapacityHost {
  readonly #scheduler = new policy.Scheduler();
  readonly #origins = new Map<core.RequestId, CapacityOrigin>();
  #heldEvents: HeldEvent[] = [];
  #warmUpEndsAt = -Infinity;

  /**
   * Number of requests that wait for capacity, plus the number of request events that are held
   * back after engines have been taken over.
   */
  get queuedCount(): number {
    return this.#scheduler.queuedCount + this.#heldEvents.length;
  }

  /** Number of streams that hold capacity. */
  get openStreamCount(): number {
    return this.#scheduler.openCount;
  }

  /** Holds request events back until `endWarmUp` is called or the warm-up time has passed. */
  startWarmUp(now: number): void {
    this.#warmUpEndsAt = now + MAX_WARM_UP_MS;
  }

  /** Ends the warm-up and handles the events that were held back. */
  endWarmUp(now: number): void {
    this.#warmUpEndsAt = -Infinity;
    const heldEvents = this.#heldEvents;
    this.#heldEvents = [];
    for (const { event, origin } of heldEvents) this.handleRequestEvent(event, now, { origin });
  }

  /** Handles an event on a request of `origin`, or holds it back during the warm-up. */
  handleRequestEvent(
    event: policy.SchedulerEvent,
    now: number,
    options: { readonly origin: CapacityOrigin },
  ): void {
    if (now < this.#warmUpEndsAt) {
      this.#heldEvents.push({ event, origin: options.origin });
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

  /**
   * Passes an event to the scheduler and dispatches the resulting effects. A tick
   * after the warm-up time first handles the events that were held back.
   */
  handleEvent(event: policy.SchedulerEvent, now: number): void {
    if (event.type === "ticked" && this.#heldEvents.length > 0 && now >= this.#warmUpEndsAt) {
      this.endWarmUp(now);
    }
    for (const effect of this.#scheduler.handle(event, now)) this.#dispatchEffect(effect);
  }

  /** Ends every request of `origin`, which has disconnected. */
  removeOrigin(origin: CapacityOrigin, now: number): void {
    this.#heldEvents = this.#heldEvents.filter((held) => held.origin !== origin);
    const requests: core.RequestId[] = [];
    for (const [request, requestOrigin] of this.#origins) {
      if (requestOrigin === origin) requests.push(request);
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
