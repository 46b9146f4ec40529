/**
 * Relays one generation from the engine that runs it to its caller, and hands
 * it over to another engine when its own leaves.
 */

import type * as core from "@peridotvale/core";
import type * as policy from "@peridotvale/policy";
import type * as codec from "./codec.ts";
import type * as splitters from "./event_splitter.ts";
import type * as contexts from "./gateway_context.ts";
import * as requests from "./open_request.ts";
import * as problems from "./problems.ts";
import * as legs from "./stream_leg.ts";

/** How a run ended whose caller has received nothing of it. */
export interface UndeliveredEnd {
  readonly outcome: core.FailureOutcome;
  readonly reason: string;
}

/** Time in which a stopped leg delivers what its engine had made. */
const LAST_EVENTS_MS = 150;
/** Time that a copy may take; an engine that leaves is gone about 2 s after its notice. */
const COPY_TIMEOUT_MS = 4_000;

/** One generation from its first send to its end. */
export class GenerationRelay implements legs.LegListener {
  readonly request: requests.OpenRequest;
  readonly routed: requests.RoutedRequest;
  readonly size: policy.GenerationSize;
  readonly #context: contexts.GatewayContext;
  #leg: legs.StreamLeg;
  #deliveredEvents = 0;
  #lastEventId: string | undefined;
  #lastEventAt: number | undefined;
  #isHandingOver = false;
  /** Set while the end of the present leg is expected, because its run was stopped. */
  #onStoppedLegEnd: (() => void) | undefined;
  #resolve: (end: UndeliveredEnd | undefined) => void = () => {};

  constructor(context: contexts.GatewayContext, options: {
    readonly request: requests.OpenRequest;
    readonly routed: requests.RoutedRequest;
    readonly endpoint: core.EndpointRecord;
    readonly size: policy.GenerationSize;
  }) {
    this.#context = context;
    this.request = options.request;
    this.routed = options.routed;
    this.size = options.size;
    this.#leg = this.#createLeg(options.endpoint);
  }

  /** The engine that runs the generation now. */
  get endpoint(): core.EndpointRecord {
    return this.#leg.endpoint;
  }

  /** Whether the generation can be handed over now. */
  get canHandOver(): boolean {
    return !this.#isHandingOver && !this.#leg.hasEnded && this.request.end === undefined;
  }

  get deliveredEvents(): number {
    return this.#deliveredEvents;
  }

  /** Sends the request and relays its events until the stream has ended. */
  run(): Promise<UndeliveredEnd | undefined> {
    this.request.setCancel((reason) => this.#onCancel(reason));
    return new Promise((resolve) => {
      this.#resolve = resolve;
      this.#startLeg(undefined);
    });
  }

  onStart(status: number, headers: codec.RawHeaders): void {
    if (this.request.isHeadSent || this.request.end !== undefined) return;
    this.request.startStream(status, headers);
  }

  onEvents(events: readonly splitters.StreamEvent[]): void {
    const now = this.#context.clock.now();
    const fresh = events.filter((event) => this.#isNext(event));
    if (fresh.length === 0 || this.request.end !== undefined) return;
    this.#deliveredEvents += fresh.length;
    this.#lastEventId = fresh.at(-1)?.id ?? this.#lastEventId;
    this.#recordProgress(fresh.length, now);
    const bytes = fresh.length === 1
      ? fresh[0]!.bytes
      : Buffer.concat(fresh.map((event) => event.bytes));
    if (this.request.writeEvents(bytes)) return;
    const leg = this.#leg;
    leg.pause();
    this.request.onDrained(() => leg.resume());
  }

  onLegEnd(end: legs.LegEnd): void {
    const onStopped = this.#onStoppedLegEnd;
    if (onStopped !== undefined && end.type === "broken") return onStopped();
    this.#recordLegEnd(end);
    if (this.request.end !== undefined) return this.#resolve(undefined);
    if (end.type === "whole") {
      this.request.finishStream({ status: 200, reason: "streamed", outcome: "completed" });
      return this.#resolve(undefined);
    }
    if (end.type === "failed") return this.#answerEngineFailure(end);
    if (!this.request.isHeadSent) {
      return this.#resolve({ outcome: end.outcome, reason: end.reason });
    }
    this.#context.logger.write("stream_broken", {
      request: this.request.id,
      instance: this.endpoint.instance,
      reason: end.reason,
      events: this.#deliveredEvents,
    });
    this.request.abortStream({ status: 200, reason: end.reason, outcome: "unknown" });
    this.#resolve(undefined);
  }

  /**
   * Moves the run to `target`: copies its memory while it runs, then stops it,
   * copies the rest and goes on there. Returns whether it did.
   */
  async moveTo(target: core.EndpointRecord): Promise<boolean> {
    this.#isHandingOver = true;
    const source = this.#leg;
    this.#context.engines.recordStart(target.instance, this.request.id, this.size);
    try {
      const ahead = await this.#copy(source, target, false);
      if (ahead.isErr()) return this.#endMove("copy_ahead_failed", target, ahead.error.type);
      if (source.hasEnded) return this.#endMove("ended_before", target, undefined);
      return await this.#stopAndMove(source, target);
    } finally {
      this.#isHandingOver = false;
    }
  }

  async #stopAndMove(source: legs.StreamLeg, target: core.EndpointRecord): Promise<boolean> {
    const lastEvents = new Promise<void>((resolve) => {
      this.#onStoppedLegEnd = resolve;
    });
    const last = await this.#copy(source, target, true);
    const handle = last.isOk() ? last.value.handle : last.error.handle;
    if (handle === undefined) {
      const type = last.isErr() ? last.error.type : undefined;
      return this.#resumeAfterFailedStop(source, target, type);
    }
    if (!source.hasEnded) await this.#waitForLastEvents(source, lastEvents);
    this.#onStoppedLegEnd = undefined;
    this.#context.engines.recordEnd(source.endpoint.instance, this.request.id);
    if (this.request.end !== undefined) {
      this.#resolve(undefined);
      await this.#context.engineControl.releaseMemory(source.endpoint.endpoint, handle);
      return this.#endMove("caller_gone", target, undefined);
    }
    const next = last.isOk() ? target : source.endpoint;
    if (next !== target) this.#context.engines.recordEnd(target.instance, this.request.id);
    this.#leg = this.#createLeg(next);
    this.#context.getBudget(this.routed.service).recordRepeat(this.#context.clock.now());
    this.#startLeg({
      source: source.endpoint.endpoint,
      handle,
      lastEventId: this.#lastEventId,
    });
    this.#recordMove(last.isOk() ? "moved" : "continued_at_source", target, undefined);
    return last.isOk();
  }

  #resumeAfterFailedStop(
    source: legs.StreamLeg,
    target: core.EndpointRecord,
    error: string | undefined,
  ): boolean {
    this.#onStoppedLegEnd = undefined;
    if (this.request.end !== undefined) source.abort("caller_gone");
    if (source.hasEnded) {
      this.onLegEnd({ type: "broken", outcome: "unknown", reason: "stopped for a move" });
    }
    return this.#endMove("copy_failed", target, error);
  }

  async #waitForLastEvents(source: legs.StreamLeg, ended: Promise<void>): Promise<void> {
    const timer = setTimeout(() => source.abort("stopped for a move"), LAST_EVENTS_MS);
    await ended;
    clearTimeout(timer);
  }

  #copy(source: legs.StreamLeg, target: core.EndpointRecord, isFinal: boolean) {
    return this.#context.engineControl.copyMemory(source.endpoint.endpoint, {
      request: this.request.id,
      target: target.endpoint,
      isFinal,
      timeoutMs: COPY_TIMEOUT_MS,
    });
  }

  #endMove(
    outcome: string,
    target: core.EndpointRecord,
    error: string | undefined,
  ): boolean {
    if (this.endpoint.instance !== target.instance) {
      this.#context.engines.recordEnd(target.instance, this.request.id);
    }
    this.#recordMove(outcome, target, error);
    return false;
  }

  #recordMove(outcome: string, target: core.EndpointRecord, error: string | undefined): void {
    this.#context.metrics.recordRetry(`hand_over_${outcome}`);
    this.#context.logger.write("hand_over", {
      request: this.request.id,
      outcome,
      error,
      target: target.instance,
      events: this.#deliveredEvents,
    });
  }

  #createLeg(endpoint: core.EndpointRecord): legs.StreamLeg {
    return new legs.StreamLeg({
      endpoint,
      request: this.request.id,
      codec: this.#context.codec,
      listener: this,
    });
  }

  #startLeg(memory: codec.GenerationMemory | undefined): void {
    const leg = this.#leg;
    const { endpoint } = leg;
    if (memory === undefined) {
      this.#context.engines.recordStart(endpoint.instance, this.request.id, this.size);
    }
    const headers = this.#context.codec.encodeRequest(this.request.headers, {
      remainingMs: this.request.getForwardedMs(this.#context.clock.now()),
      instance: endpoint.instance,
      workspace: this.routed.workspace,
      urgency: this.routed.rank,
      memory,
    });
    leg.start(this.#context.pool.send(endpoint.endpoint, {
      method: this.request.method,
      path: this.request.path,
      headers,
      body: this.request.body,
    }, leg));
  }

  #onCancel(reason: "caller_gone" | "timeout"): void {
    const isHandingOver = this.#onStoppedLegEnd !== undefined;
    if (reason === "timeout") {
      if (this.request.isHeadSent) {
        this.request.abortStream({ status: 200, reason: "timeout", outcome: "unknown" });
      } else {
        this.request.answerProblem(problems.createFailure(504, "timeout", {
          outcome: "unknown",
          detail: "the generation did not start in time",
        }));
      }
    }
    if (!isHandingOver) this.#leg.abort(reason);
  }

  #answerEngineFailure(end: legs.LegEnd & { readonly type: "failed" }): void {
    if (problems.isPromiseStatus(end.status)) {
      return this.#resolve({ outcome: "unknown", reason: `status_${end.status}` });
    }
    if (this.request.isHeadSent) {
      this.request.abortStream({ status: 200, reason: "engine_failed", outcome: "failed" });
    } else {
      this.request.answerWhole(end, {
        status: end.status,
        reason: "answered",
        outcome: "failed",
      });
    }
    this.#resolve(undefined);
  }

  #recordLegEnd(end: legs.LegEnd): void {
    const { instance } = this.endpoint;
    const now = this.#context.clock.now();
    this.#context.engines.recordEnd(instance, this.request.id);
    if (end.type !== "broken") return;
    if (end.outcome === "not_run") this.#context.engines.recordRefusal(instance, now);
    if (end.reason === "misdirected") {
      this.#context.publishChanges(this.#context.directory.recordMisdirected(instance, now));
    }
  }

  #recordProgress(count: number, now: number): void {
    const profile = this.#context.getEngineProfile(this.routed.service);
    const tokensPerEvent = profile?.tokensPerEvent ?? 1;
    if (this.#lastEventAt === undefined) {
      const labels = requests.createLabels(this.routed);
      this.#context.metrics.recordFirstToken(labels, now - this.request.arrivedAt);
    }
    const elapsedMs = this.#lastEventAt === undefined ? undefined : now - this.#lastEventAt;
    this.#lastEventAt = now;
    this.#context.engines.recordProgress(this.endpoint.instance, this.request.id, {
      generatedTokens: this.#deliveredEvents * tokensPerEvent,
      tokenMs: elapsedMs === undefined ? undefined : elapsedMs / (count * tokensPerEvent),
    });
  }

  /** Events that the caller already has come again after a hand-over. */
  #isNext(event: splitters.StreamEvent): boolean {
    if (event.id === undefined || this.#lastEventId === undefined) return true;
    const id = Number(event.id);
    const last = Number(this.#lastEventId);
    return Number.isNaN(id) || Number.isNaN(last) || id > last;
  }
}
