/**
 * State of one stream over all its attempts: what the caller has received, and which endpoints the
 * request was sent to. Lives in the process that holds the caller's connection and ends with it.
 */

import type * as core from "@peridotvale/core";
import * as policy from "@peridotvale/policy";
import type * as codec from "./codec.ts";
import * as splitters from "./event_splitter.ts";
import type * as relays from "./generation_relay.ts";
import type * as requests from "./open_request.ts";

/** A complete answer with which an endpoint failed a request. */
export interface FailureAnswer {
  readonly status: number;
  readonly headers: codec.RawHeaders;
  readonly body: Buffer;
}

/** The attempts at one stream so far. */
export class StreamAttempts {
  readonly triedInstances = new Set<core.InstanceId>();
  /** Endpoint at which a silent attempt is replaced; its load is recorded already. */
  replacement: core.EndpointRecord | undefined;
  /** Answer of the last attempt, if its endpoint has failed it before the head was sent. */
  failureAnswer: FailureAnswer | undefined;
  /** Combined outcome of all attempts. */
  outcome: core.FailureOutcome = "not_run";
  /** Time at which the caller was sent the last event; undefined before the first one. */
  lastEventAt: number | undefined;
  #ranAttempts = 0;
  #refusedAttempts = 0;
  #deliveredEvents = 0;
  #lastEventId: string | undefined;
  #hasLastEventId = false;

  /** Number of attempts that may have run. */
  get ranAttempts(): number {
    return this.#ranAttempts;
  }

  /** Number of events sent to the caller; blocks that carry nothing do not count. */
  get deliveredEvents(): number {
    return this.#deliveredEvents;
  }

  /** Id of the last event with an id that the caller was sent. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** Records the events that the caller is now sent, and returns them; drops repeated ones. */
  applyEvents(events: readonly splitters.StreamEvent[], now: number): splitters.StreamEvent[] {
    const lastEventId = this.#lastEventId;
    const undelivered = events.filter((event) => splitters.isUndelivered(event, lastEventId));
    for (const event of undelivered) {
      if (event.id === undefined && !splitters.hasData(event)) continue;
      this.#deliveredEvents += 1;
      this.#hasLastEventId = event.id !== undefined;
      this.#lastEventId = event.id ?? this.#lastEventId;
    }
    if (undelivered.length > 0) this.lastEventAt = now;
    return undelivered;
  }

  /** Records an attempt that failed at the last of `endpoints`, through which it was moved. */
  recordFailure(failure: relays.AttemptFailure, endpoints: readonly core.EndpointRecord[]): void {
    for (const { instance } of endpoints) this.triedInstances.add(instance);
    this.outcome = policy.mergeOutcomes(this.outcome, failure.outcome);
    this.failureAnswer = failure.answer;
    if (failure.outcome === "not_run") this.#refusedAttempts += 1;
    else this.#ranAttempts += 1;
  }

  takeReplacement(): core.EndpointRecord | undefined {
    const { replacement } = this;
    this.replacement = undefined;
    return replacement;
  }

  /** Returns the step after an attempt with `outcome` that is recorded, or would end now. */
  chooseStep(
    request: requests.OpenRequest,
    route: core.Route,
    options: {
      readonly outcome: core.FailureOutcome;
      /** Whether the attempt still runs, so that its end is not recorded yet. */
      readonly isRunning: boolean;
      readonly now: number;
    },
  ): policy.StreamStep {
    return policy.chooseStreamStep({
      isResumable: route.isResumable,
      outcome: options.outcome,
      ranAttempts: this.#ranAttempts + Number(options.isRunning),
      refusedAttempts: this.#refusedAttempts,
      maxAttempts: route.maxAttempts,
      answerBy: request.answerBy,
      deliveredEvents: this.#deliveredEvents,
      hasLastEventId: this.#hasLastEventId,
    }, options.now);
  }

  /** Returns the time at which the caller abandons the stream if it is sent no further event. */
  getAbandonAt(request: requests.OpenRequest, route: core.Route): number {
    return (this.lastEventAt ?? request.arrivedAt) + policy.computeAbandonMs(route);
  }
}
