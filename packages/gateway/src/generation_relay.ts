/**
 * Relays the events of one generation from the engine that runs it to its caller. When the
 * engine leaves, the generation is handed over to another engine, and the caller's stream
 * continues after the last event that the caller has received.
 */

import * as core from "@peridotvale/core";
import type * as policy from "@peridotvale/policy";
import type * as codec from "./codec.ts";
import type * as pools from "./connection_pool.ts";
import * as ends from "./end_check.ts";
import type * as controls from "./engine_control.ts";
import * as splitters from "./event_splitter.ts";
import type * as contexts from "./gateway_context.ts";
import * as fallbacks from "./hand_over_fallback.ts";
import * as requests from "./open_request.ts";
import * as problems from "./problems.ts";
import * as progresses from "./run_progress.ts";
import * as stops from "./run_stop.ts";
import type * as attempts from "./stream_attempts.ts";
import * as upstreams from "./upstream_stream.ts";

/**
 * Failure of an attempt before its caller has received anything, or at any time if the stream may
 * be resumed.
 */
export interface AttemptFailure {
  readonly outcome: core.FailureOutcome;
  readonly reason: string;
  /** The connection that the request was sent on; undefined if it was not sent. */
  readonly connectionUse: pools.ConnectionUse | undefined;
  /** The engine's own answer, which may be sent to the caller if no further attempt is made. */
  readonly answer: attempts.FailureAnswer | undefined;
}

/** Longest wait for the remaining events of a generation that was stopped for a hand-over. */
const LAST_EVENTS_TIMEOUT_MS = 150;
const SERVER_ERROR_STATUS = 500;

/** Relays one generation, from the first request to an engine to the end of its stream. */
export class GenerationRelay implements upstreams.UpstreamListener {
  readonly request: requests.OpenRequest;
  readonly routed: requests.RoutedRequest;
  readonly size: policy.GenerationSize;
  readonly attempts: attempts.StreamAttempts;
  readonly #context: contexts.GatewayContext;
  #upstream: upstreams.UpstreamStream;
  readonly #progress: progresses.RunProgress;
  #isPaused = false;
  /** Time at which the request was sent to the current engine. */
  #sentAt = -Infinity;
  /** Engine that the generation is being moved to; its load is recorded. */
  #moveTarget: core.EndpointRecord | undefined;
  readonly #runStop = new stops.RunStop();
  #resolveRun: (failure: AttemptFailure | undefined) => void = () => {};

  constructor(context: contexts.GatewayContext, options: {
    readonly request: requests.OpenRequest;
    readonly routed: requests.RoutedRequest;
    readonly endpoint: core.EndpointRecord;
    /** Size of what is left of the generation. */
    readonly size: policy.GenerationSize;
    readonly attempts: attempts.StreamAttempts;
  }) {
    this.#context = context;
    this.request = options.request;
    this.routed = options.routed;
    this.size = options.size;
    this.attempts = options.attempts;
    this.#progress = new progresses.RunProgress(context, options);
    this.#upstream = this.#createUpstream(options.endpoint);
  }

  /** Engine that currently runs the generation. */
  get endpoint(): core.EndpointRecord {
    return this.#upstream.endpoint;
  }

  /** Whether the generation can be handed over now. */
  get canHandOver(): boolean {
    return this.#moveTarget === undefined && !this.#upstream.hasEnded &&
      this.request.end === undefined;
  }

  /** Ends the generation if it has not produced output yet. */
  abortUnstarted(reason: string): void {
    if (this.#progress.eventCount > 0 || this.#moveTarget !== undefined) return;
    this.#upstream.abort(reason);
  }

  /** Ends the attempt, whose engine is silent; the failure that `run` returns is then retried. */
  abortSilent(): void {
    this.#upstream.abort("silent");
  }

  /** Changes with each event; undefined while none is expected. */
  get silenceMark(): number | undefined {
    return this.#isPaused || !this.canHandOver ? undefined : this.#progress.eventCount;
  }

  /** Number of events that this relay has sent to the caller. */
  get deliveredEventCount(): number {
    return this.#progress.eventCount;
  }

  /**
   * Sends the request and relays the generation's events until the caller's stream has ended.
   * Returns the failure if the generation fails before the caller has received anything, or if its
   * stream may be resumed, so that the request can be retried or answered.
   */
  run(): Promise<AttemptFailure | undefined> {
    this.request.setCancelHandler((reason) => this.#onCancel(reason));
    return new Promise((resolve) => {
      this.#resolveRun = resolve;
      const { deliveredEvents, lastEventId } = this.attempts;
      this.#startUpstream({ lastEventId: deliveredEvents > 0 ? lastEventId : undefined });
    });
  }

  onStart(status: number, headers: codec.RawHeaders): void {
    if (this.request.isHeadSent || this.request.end !== undefined) return;
    this.request.startStream(status, headers);
  }

  onAnswerHead(head: codec.AnswerHead): void {
    this.#context.signalAgent.recordAnswer(this.endpoint, head, this.#sentAt);
  }

  onEvents(events: readonly splitters.StreamEvent[]): void {
    const now = this.#context.clock.now();
    const firstGarbled = this.#isResumable ? events.findIndex(splitters.isGarbled) : -1;
    // Ends this attempt, which delivers the events before the garbled one first.
    if (firstGarbled >= 0) {
      this.onEvents(events.slice(0, firstGarbled));
      return this.#upstream.abort("event garbled");
    }
    if (this.request.end !== undefined) return;
    const isFirst = this.attempts.lastEventAt === undefined;
    const undeliveredEvents = this.attempts.applyEvents(events, now);
    if (undeliveredEvents.length === 0) return;
    this.#progress.recordEvents(this.endpoint, undeliveredEvents.length, { isFirst, now });
    const bytes = undeliveredEvents.map((event) => event.bytes);
    if (this.request.writeEvents(bytes.length === 1 ? bytes[0]! : Buffer.concat(bytes))) return;
    const upstream = this.#upstream;
    upstream.pause();
    this.#isPaused = true;
    this.request.onDrained(() => {
      this.#isPaused = false;
      upstream.resume();
    });
  }

  onUpstreamEnd(end: upstreams.UpstreamEnd): void {
    const endToHandle = this.#runStop.applyEnd(end);
    if (endToHandle === undefined) return;
    if (endToHandle.type !== "whole" || endToHandle.isFramed) {
      return this.#settleUpstreamEnd(endToHandle);
    }
    const { logger } = this.#context;
    core.startTask("check_end", () => this.#checkUnframedEnd(endToHandle), logger);
  }

  /** Handles the end of a stream that only the end of its connection shows. */
  async #checkUnframedEnd(end: upstreams.UpstreamEnd): Promise<void> {
    const sentAt = this.#sentAt;
    this.#settleUpstreamEnd(
      await ends.checkUnframedEnd(this.#context, this.endpoint, { end, sentAt }),
    );
  }

  #settleUpstreamEnd(end: upstreams.UpstreamEnd): void {
    this.#recordUpstreamEnd(end);
    if (this.request.end !== undefined) return this.#resolveRun(undefined);
    if (end.type === "whole") {
      this.#progress.recordEnd(this.#context.clock.now());
      this.request.finishStream({ status: 200, reason: "streamed", outcome: "completed" });
      return this.#resolveRun(undefined);
    }
    if (end.type === "failed") return this.#answerEngineFailure(end);
    if (end.outcome === "unknown") this.#progress.recordBreak(this.endpoint, end);
    if (!this.request.isHeadSent || this.#isResumable) return this.#fail(end.outcome, end.reason);
    this.request.abortStream({ status: 200, reason: end.reason, outcome: "unknown" });
    this.#resolveRun(undefined);
  }

  /**
   * Moves the generation to `target`: copies its memory while it runs, then stops it, copies
   * the rest of the memory and continues the generation at `target`. Returns whether the
   * generation continues at `target`.
   */
  async moveTo(target: core.EndpointRecord): Promise<boolean> {
    this.#moveTarget = target;
    const source = this.#upstream;
    this.#context.enginePlacement.recordStart(target.instance, this.request.id, this.size);
    try {
      const preCopy = await this.#copy(source, target, false);
      if (preCopy.isErr()) return this.#failMove("copy_ahead_failed", target, preCopy.error.type);
      if (source.hasEnded) return this.#failMove("ended_before", target, undefined);
      if (!this.#canReceive(target)) return this.#failMove("evacuated", target, undefined);
      const isHeldOff = [source.endpoint, target].some((endpoint) =>
        this.#context.signalAgent.isHeldOff(endpoint)
      );
      if (isHeldOff) return this.#failMove("held_off", target, undefined);
      return await this.#stopAndMove(source, target);
    } finally {
      this.#moveTarget = undefined;
    }
  }

  /**
   * Stops the generation by a final copy and continues it at `target`. If the copy fails after
   * the generation was stopped, it continues at the source, which still holds its memory, or at
   * another engine if the source's zone is evacuated. Without one, the stream is broken off.
   */
  async #stopAndMove(
    source: upstreams.UpstreamStream,
    target: core.EndpointRecord,
  ): Promise<boolean> {
    const upstreamEnded = this.#runStop.recordCopyStart();
    const finalCopy = await this.#copy(source, target, true);
    const { handle } = finalCopy.isOk() ? finalCopy.value : finalCopy.error;
    if (handle === undefined) {
      const errorType = finalCopy.isErr() ? finalCopy.error.type : undefined;
      return this.#resumeAfterFailedCopy(source, target, errorType);
    }
    if (!source.hasEnded) await this.#waitForLastEvents(source, upstreamEnded);
    this.#runStop.recordStopped();
    this.#context.enginePlacement.recordEnd(source.endpoint.instance, this.request.id);
    const copy = { source: source.endpoint, target, handle, isComplete: finalCopy.isOk() };
    const next = await fallbacks.findContinuation(this.#context, this, copy);
    if (next.endpoint === undefined) {
      const outcome = this.request.end === undefined ? "no_continuation" : "caller_gone";
      this.#settleUpstreamEnd(stops.STOPPED_END);
      await this.#context.engineControl.releaseMemory(source.endpoint.endpoint, next.handle);
      return this.#failMove(outcome, target, undefined);
    }
    this.#upstream = this.#createUpstream(next.endpoint);
    this.#context.getRetryBudget(this.routed.service).recordRetry(this.#context.clock.now());
    const { lastEventId } = this.attempts;
    const memory = { source: copy.source.endpoint, handle: next.handle, lastEventId };
    this.#startUpstream({ memory });
    const isMoved = next.endpoint !== copy.source;
    this.#recordMove(isMoved ? "moved" : "continued_at_source", next.endpoint, next);
    return isMoved;
  }

  /**
   * Continues to relay the source's stream after the final copy, which was to stop the generation,
   * returned no handle. If the stream ended during the copy, that end is handled only now.
   */
  #resumeAfterFailedCopy(
    source: upstreams.UpstreamStream,
    target: core.EndpointRecord,
    errorType: controls.CopyError["type"] | undefined,
  ): boolean {
    const end = this.#runStop.recordCopyFailure(errorType);
    if (this.request.end !== undefined) source.abort("caller_gone");
    if (end !== undefined) this.#settleUpstreamEnd(end);
    return this.#failMove("copy_failed", target, errorType);
  }

  async #waitForLastEvents(
    source: upstreams.UpstreamStream,
    upstreamEnded: Promise<void>,
  ): Promise<void> {
    const timer = setTimeout(() => source.abort("stopped for a move"), LAST_EVENTS_TIMEOUT_MS);
    await upstreamEnded;
    clearTimeout(timer);
  }

  #copy(source: upstreams.UpstreamStream, target: core.EndpointRecord, isFinal: boolean) {
    const copy = { source: source.endpoint, target, isFinal };
    return fallbacks.copyMemory(this.#context, this.request.id, copy);
  }

  /** Records that the generation was not moved to `target`; returns false. */
  #failMove(
    outcome: string,
    target: core.EndpointRecord,
    errorType: string | undefined,
  ): boolean {
    // A failed attempt has removed it already, and the next one may run at the same engine.
    if (this.#moveTarget !== undefined && this.endpoint.instance !== target.instance) {
      this.#context.enginePlacement.recordEnd(target.instance, this.request.id);
    }
    this.#recordMove(outcome, target, { errorType });
    return false;
  }

  #recordMove(
    outcome: string,
    target: core.EndpointRecord,
    detail: { readonly errorType?: string | undefined; readonly handle?: string },
  ): void {
    this.#context.metrics.recordRetry(`hand_over_${outcome}`);
    this.#context.logger.write("hand_over", {
      request: this.request.id,
      outcome,
      error: detail.errorType,
      memory: detail.handle,
      target: target.instance,
      events: this.#progress.eventCount,
    });
  }

  #createUpstream(endpoint: core.EndpointRecord): upstreams.UpstreamStream {
    return new upstreams.UpstreamStream({
      endpoint,
      request: this.request,
      codec: this.#context.codec,
      hasDelivered: this.#progress.eventCount > 0,
      listener: this,
    });
  }

  #startUpstream(options: {
    /** Set if the generation continues with its memory. */
    readonly memory?: codec.GenerationMemory;
    /** Set if the stream is resumed without memory. */
    readonly lastEventId?: string | undefined;
  }): void {
    const { memory, lastEventId } = options;
    const upstream = this.#upstream;
    const { endpoint } = upstream;
    this.#sentAt = this.#context.clock.now();
    this.#progress.recordStart(this.#sentAt);
    this.request.endpoint = endpoint;
    if (memory === undefined) {
      this.#context.enginePlacement.recordStart(endpoint.instance, this.request.id, this.size);
    }
    const headers = this.#context.codec.encodeRequest(this.request.headers, {
      remainingMs: this.request.getEndpointTimeoutMs(this.#context.clock.now()),
      instance: endpoint.instance,
      workspace: this.routed.workspace,
      urgency: this.routed.rank,
      memory,
      lastEventId,
    });
    const wireRequest = this.request.createWireRequest(headers, () => this.#canReceive(endpoint));
    upstream.start(this.#context.pool.send(endpoint.endpoint, wireRequest, upstream));
  }

  #canReceive(endpoint: core.EndpointRecord): boolean {
    return this.#context.evacuationAgent.isUsable(endpoint);
  }

  #onCancel(reason: "caller_gone" | "timeout"): void {
    const isStoppingRun = this.#runStop.isPending;
    if (reason === "timeout") {
      this.request.sendProblem(problems.createRequestProblem(504, "timeout", {
        outcome: "unknown",
        detail: "the generation did not start in time",
      }));
    }
    if (!isStoppingRun) this.#upstream.abort(reason);
  }

  #answerEngineFailure(end: upstreams.UpstreamEnd & { readonly type: "failed" }): void {
    const { isHeadSent } = this.request;
    const reason = `status_${end.status}`;
    if (problems.isNotRunStatus(end.status)) return this.#fail("unknown", reason);
    if (this.#isResumable && (isHeadSent || end.status >= SERVER_ERROR_STATUS)) {
      return this.#fail("failed", reason, isHeadSent ? undefined : end);
    }
    this.request.sendAnswer(end, {
      status: end.status,
      reason: isHeadSent ? "engine_failed" : "answered",
      outcome: "failed",
    });
    this.#resolveRun(undefined);
  }

  get #isResumable(): boolean {
    return this.routed.route.isResumable;
  }

  #fail(outcome: core.FailureOutcome, reason: string, answer?: attempts.FailureAnswer): void {
    const target = this.#moveTarget;
    if (target !== undefined && target.instance !== this.endpoint.instance) {
      this.#context.enginePlacement.recordEnd(target.instance, this.request.id);
      this.#moveTarget = undefined;
    }
    const { connectionUse } = this.#upstream;
    this.#resolveRun({ outcome, reason, connectionUse, answer });
  }

  #recordUpstreamEnd(end: upstreams.UpstreamEnd): void {
    const { instance } = this.endpoint;
    const now = this.#context.clock.now();
    this.#context.enginePlacement.recordEnd(instance, this.request.id);
    if (end.type !== "broken") return;
    const { enginePlacement } = this.#context;
    if (end.cause === "connect_failed") enginePlacement.recordUnreachable(instance, now);
    else if (end.outcome === "not_run") enginePlacement.recordRefusal(instance, now);
    if (end.reason === "misdirected") {
      this.#context.publishChanges(this.#context.directory.recordMisdirected(instance, now));
    }
  }
}
