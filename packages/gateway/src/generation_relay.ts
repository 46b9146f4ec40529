/**
 * Relays the events of one generation from the engine that runs it to its caller. When the
 * engine leaves, the generation is handed over to another engine, and the caller's stream
 * continues after the last event that the caller has received.
 */

import * as core from "@peridotvale/core";
import type * as policy from "@peridotvale/policy";
import type * as codec from "./codec.ts";
import * as probes from "./connect_probe.ts";
import type * as pools from "./connection_pool.ts";
import type * as controls from "./engine_control.ts";
import * as splitters from "./event_splitter.ts";
import type * as contexts from "./gateway_context.ts";
import * as requests from "./open_request.ts";
import * as problems from "./problems.ts";
import * as promptParts from "./prompt_parts.ts";
import * as quarantines from "./quarantine_agent.ts";
import * as stops from "./run_stop.ts";
import * as upstreams from "./upstream_stream.ts";

/** Failure of a generation before its caller has received anything. */
export interface UndeliveredFailure {
  readonly outcome: core.FailureOutcome;
  readonly reason: string;
  /** The connection that the request was sent on; undefined if it was not sent. */
  readonly connectionUse: pools.ConnectionUse | undefined;
}

/** Longest wait for the remaining events of a generation that was stopped for a hand-over. */
const LAST_EVENTS_TIMEOUT_MS = 150;
/** Time-out of one memory copy. A leaving engine stops earlier, about 2 s after its notice. */
const COPY_TIMEOUT_MS = 4_000;
/** Time-out of the connection that shows whether an engine still runs. */
const END_CHECK_TIMEOUT_MS = 500;
const EXITED_END: upstreams.UpstreamEnd = {
  type: "broken",
  outcome: "unknown",
  reason: "engine exited",
  cause: "connection_lost",
};

/** Relays one generation, from the first request to an engine to the end of its stream. */
export class GenerationRelay implements upstreams.UpstreamListener {
  readonly request: requests.OpenRequest;
  readonly routed: requests.RoutedRequest;
  readonly size: policy.GenerationSize;
  readonly #context: contexts.GatewayContext;
  #upstream: upstreams.UpstreamStream;
  #deliveredEventCount = 0;
  #lastEventId: string | undefined;
  /** Time at which the current engine's first event arrived. */
  #firstEventAt: number | undefined;
  /** Time at which the request was sent to the current engine. */
  #sentAt = -Infinity;
  #lastEventAt: number | undefined;
  #isSound = false;
  #isHandingOver = false;
  readonly #runStop = new stops.RunStop();
  #resolveRun: (failure: UndeliveredFailure | undefined) => void = () => {};

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
    this.#upstream = this.#createUpstream(options.endpoint);
  }

  /** Engine that currently runs the generation. */
  get endpoint(): core.EndpointRecord {
    return this.#upstream.endpoint;
  }

  /** Whether the generation can be handed over now. */
  get canHandOver(): boolean {
    return !this.#isHandingOver && !this.#upstream.hasEnded && this.request.end === undefined;
  }

  /** Ends the generation if it has not produced output yet. */
  abortUnstarted(reason: string): void {
    if (this.#deliveredEventCount === 0 && !this.#isHandingOver) this.#upstream.abort(reason);
  }

  /** Number of events sent to the caller. */
  get deliveredEventCount(): number {
    return this.#deliveredEventCount;
  }

  /**
   * Sends the request and relays the generation's events until the caller's stream has ended.
   * Returns the failure if the generation fails before the caller has received anything, so that
   * the request can be retried or answered.
   */
  run(): Promise<UndeliveredFailure | undefined> {
    this.request.setCancelHandler((reason) => this.#onCancel(reason));
    return new Promise((resolve) => {
      this.#resolveRun = resolve;
      this.#startUpstream(undefined);
    });
  }

  onStart(status: number, headers: codec.RawHeaders): void {
    if (this.request.isHeadSent || this.request.end !== undefined) return;
    this.request.startStream(status, headers);
  }

  onLimit(ratePerS: number | undefined): void {
    const answer = { ratePerS, sentAt: this.#sentAt };
    this.#context.limitAgent.recordAnswer(this.endpoint.instance, answer);
  }

  onEvents(events: readonly splitters.StreamEvent[]): void {
    const now = this.#context.clock.now();
    const lastEventId = this.#lastEventId;
    const undeliveredEvents = events.filter((event) => splitters.isUndelivered(event, lastEventId));
    if (undeliveredEvents.length === 0 || this.request.end !== undefined) return;
    this.#deliveredEventCount += undeliveredEvents.length;
    this.#lastEventId = undeliveredEvents.at(-1)?.id ?? this.#lastEventId;
    this.#recordProgress(undeliveredEvents.length, now);
    const bytes = undeliveredEvents.map((event) => event.bytes);
    if (this.request.writeEvents(bytes.length === 1 ? bytes[0]! : Buffer.concat(bytes))) return;
    const upstream = this.#upstream;
    upstream.pause();
    this.request.onDrained(() => upstream.resume());
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

  /**
   * Handles the end of a stream that only the end of its connection shows. An engine that exits
   * closes its connections too, and then accepts no further ones.
   */
  async #checkUnframedEnd(end: upstreams.UpstreamEnd): Promise<void> {
    const state = await probes.checkListener(this.endpoint.endpoint, END_CHECK_TIMEOUT_MS);
    this.#settleUpstreamEnd(state === "refused" ? EXITED_END : end);
  }

  #settleUpstreamEnd(end: upstreams.UpstreamEnd): void {
    this.#recordUpstreamEnd(end);
    if (this.request.end !== undefined) return this.#resolveRun(undefined);
    if (end.type === "whole") {
      if (this.#deliveredEventCount > 0) this.#recordSoundOutput(this.#context.clock.now());
      this.request.finishStream({ status: 200, reason: "streamed", outcome: "completed" });
      return this.#resolveRun(undefined);
    }
    if (end.type === "failed") return this.#answerEngineFailure(end);
    if (end.outcome === "unknown") this.#recordBreak(end);
    if (!this.request.isHeadSent) return this.#failUndelivered(end.outcome, end.reason);
    this.request.abortStream({ status: 200, reason: end.reason, outcome: "unknown" });
    this.#resolveRun(undefined);
  }

  /**
   * Moves the generation to `target`: copies its memory while it runs, then stops it, copies
   * the rest of the memory and continues the generation at `target`. Returns whether the
   * generation continues at `target`.
   */
  async moveTo(target: core.EndpointRecord): Promise<boolean> {
    this.#isHandingOver = true;
    const source = this.#upstream;
    this.#context.enginePlacement.recordStart(target.instance, this.request.id, this.size);
    try {
      const preCopy = await this.#copy(source, target, false);
      if (preCopy.isErr()) return this.#failMove("copy_ahead_failed", target, preCopy.error.type);
      if (source.hasEnded) return this.#failMove("ended_before", target, undefined);
      return await this.#stopAndMove(source, target);
    } finally {
      this.#isHandingOver = false;
    }
  }

  /**
   * Stops the generation by a final copy and continues it at `target`. If the copy fails after
   * the generation was stopped, it continues at the source, which still holds its memory.
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
    if (this.request.end !== undefined) {
      this.#resolveRun(undefined);
      await this.#context.engineControl.releaseMemory(source.endpoint.endpoint, handle);
      return this.#failMove("caller_gone", target, undefined);
    }
    const nextEndpoint = finalCopy.isOk() ? target : source.endpoint;
    if (nextEndpoint !== target) {
      this.#context.enginePlacement.recordEnd(target.instance, this.request.id);
    }
    this.#upstream = this.#createUpstream(nextEndpoint);
    this.#context.getRetryBudget(this.routed.service).recordRetry(this.#context.clock.now());
    this.#startUpstream({
      source: source.endpoint.endpoint,
      handle,
      lastEventId: this.#lastEventId,
    });
    this.#recordMove(finalCopy.isOk() ? "moved" : "continued_at_source", target, { handle });
    return finalCopy.isOk();
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
    return this.#context.engineControl.copyMemory(source.endpoint.endpoint, {
      request: this.request.id,
      target: target.endpoint,
      isFinal,
      timeoutMs: COPY_TIMEOUT_MS,
    });
  }

  /** Records that the generation was not moved to `target`; returns false. */
  #failMove(
    outcome: string,
    target: core.EndpointRecord,
    errorType: string | undefined,
  ): boolean {
    if (this.endpoint.instance !== target.instance) {
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
      events: this.#deliveredEventCount,
    });
  }

  #createUpstream(endpoint: core.EndpointRecord): upstreams.UpstreamStream {
    return new upstreams.UpstreamStream({
      endpoint,
      request: this.request,
      codec: this.#context.codec,
      hasDelivered: this.#deliveredEventCount > 0,
      listener: this,
    });
  }

  #startUpstream(memory: codec.GenerationMemory | undefined): void {
    const upstream = this.#upstream;
    const { endpoint } = upstream;
    this.#firstEventAt = undefined;
    this.#sentAt = this.#context.clock.now();
    this.request.instance = endpoint.instance;
    if (memory === undefined) {
      this.#context.enginePlacement.recordStart(endpoint.instance, this.request.id, this.size);
    }
    const headers = this.#context.codec.encodeRequest(this.request.headers, {
      remainingMs: this.request.getEndpointTimeoutMs(this.#context.clock.now()),
      instance: endpoint.instance,
      workspace: this.routed.workspace,
      urgency: this.routed.rank,
      memory,
    });
    const wireRequest = this.request.createWireRequest(headers);
    upstream.start(this.#context.pool.send(endpoint.endpoint, wireRequest, upstream));
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
    if (problems.isNotRunStatus(end.status)) {
      return this.#failUndelivered("unknown", `status_${end.status}`);
    }
    const reason = this.request.isHeadSent ? "engine_failed" : "answered";
    this.request.sendAnswer(end, { status: end.status, reason, outcome: "failed" });
    this.#resolveRun(undefined);
  }

  #failUndelivered(outcome: core.FailureOutcome, reason: string): void {
    this.#resolveRun({ outcome, reason, connectionUse: this.#upstream.connectionUse });
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

  #recordBreak(end: upstreams.UpstreamEnd & { readonly type: "broken" }): void {
    const { clock, logger, metrics } = this.#context;
    const outputMs = this.#firstEventAt === undefined
      ? undefined
      : clock.now() - this.#firstEventAt;
    metrics.recordBrokenGeneration(outputMs === undefined ? "before_output" : "during_output");
    logger.write("stream_broken", {
      request: this.request.id,
      instance: this.endpoint.instance,
      reason: end.reason,
      events: this.#deliveredEventCount,
      output_ms: outputMs === undefined ? undefined : Math.round(outputMs),
      parts: promptParts.formatPromptParts(this.request),
    });
    if (end.cause !== "connection_lost") return;
    const suspect = promptParts.createSuspect(this.request);
    this.#context.quarantineAgent.recordBreak({ endpoint: this.endpoint, outputMs, suspect });
  }

  /** Records once that the prompt has produced output and its engine has not crashed. */
  #recordSoundOutput(now: number): void {
    if (this.#isSound) return;
    this.#isSound = true;
    const parts = promptParts.listSharedParts(this.request);
    this.#context.quarantineAgent.recordSoundOutput(parts, now);
  }

  #recordProgress(eventCount: number, now: number): void {
    const profile = this.#context.getEngineProfile(this.routed.service);
    const tokensPerEvent = profile?.tokensPerEvent ?? 1;
    if (this.#lastEventAt === undefined) {
      const labels = requests.createRequestLabels(this.routed);
      this.#context.metrics.recordFirstToken(labels, now - this.request.arrivedAt);
    }
    const elapsedMs = this.#lastEventAt === undefined ? undefined : now - this.#lastEventAt;
    if (this.#firstEventAt === undefined) {
      this.#firstEventAt = now;
      this.#context.limitAgent.recordEnd(this.endpoint, "answered", this.#sentAt);
    }
    if (now - this.#firstEventAt >= quarantines.SOUND_OUTPUT_MS) this.#recordSoundOutput(now);
    this.#lastEventAt = now;
    this.#context.enginePlacement.recordProgress(this.endpoint.instance, this.request.id, {
      generatedTokens: this.#deliveredEventCount * tokensPerEvent,
      tokenMs: elapsedMs === undefined ? undefined : elapsedMs / (eventCount * tokensPerEvent),
    });
  }
}
