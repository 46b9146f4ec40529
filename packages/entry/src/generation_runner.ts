/**
 * Runs one generation until it completes or fails. Starts it on an engine,
 * resumes the stream after a lost connection, restarts the generation on another
 * engine when the first one fails, and creates the problem for the caller when
 * no further attempt is allowed.
 */

import * as callers from "@peridotvale/callers";
import * as core from "@peridotvale/core";
import type * as engines from "@peridotvale/engines";
import * as policy from "@peridotvale/policy";
import * as neverthrow from "neverthrow";
import type * as capacity from "./capacity_client.ts";
import type * as decisions from "./decision_log.ts";
import type * as directories from "./endpoint_directory.ts";
import * as problems from "./request_problems.ts";
import * as relays from "./token_relay.ts";

/** Components of the entry process that generations use. */
export interface GenerationContext {
  readonly runtime: core.Runtime;
  readonly client: engines.EngineClient;
  readonly getCapacityClient: () => capacity.CapacityClient;
  readonly directory: directories.EndpointDirectory;
  readonly metrics: core.Metrics;
  readonly decisions: decisions.DecisionLog;
  readonly retryBudget: policy.RetryBudget;
  readonly cursors: callers.CursorCodec;
  /** Creates a seed for a request that specifies none. */
  readonly createSeed: () => number;
  /** Creates a short random string for unique IDs of capacity requests and attempts. */
  readonly createNonce: () => string;
}

/** A generation request with its rank and limits resolved against the manifest. */
export interface ResolvedGeneration {
  readonly request: callers.GenerationRequest;
  readonly rank: core.RankName;
  readonly rankSpec: core.RankSpec;
  readonly maxTokens: number;
  readonly receivedAt: number;
  readonly deadlineAt: number;
}

/** Why an attempt ended before the generation was complete. */
interface AttemptFailure {
  readonly outcome: core.FailureOutcome;
  readonly code: string;
  readonly resumable: boolean;
}

type AttemptResult = neverthrow.Result<callers.GenerationEnd, AttemptFailure>;

/** Maximum number of consecutive resumptions that deliver no new token. */
const MAX_IDLE_RESUME_COUNT = 3;
/** Delay before the stream is resumed after a failed attempt. */
const RESUME_DELAY_MS = 50;

export class GenerationRunner {
  readonly #context: GenerationContext;
  readonly #resolvedGeneration: ResolvedGeneration;
  readonly #request: callers.GenerationRequest;
  readonly #sink: callers.TokenSink;
  /** Aborts when the caller disconnects or the deadline passes. */
  readonly #abortController = new AbortController();
  readonly #nonce: string;
  readonly #fingerprint: string;
  readonly #avoidedEndpoints: core.EndpointId[] = [];
  #seed: number;
  #position: relays.RelayPosition = { delivered: 0, prefixHash: 0n };
  #grant: capacity.CapacityGrant | undefined;
  #endpoint: core.EndpointId | undefined;
  #generationId: core.GenerationId | undefined;
  #attemptCount = 0;
  #fruitlessAttemptCount = 0;
  /** Tokens that the caller had when the current attempt started. */
  #deliveredAtStart = 0;
  #attemptIdCount = 0;
  #idleResumeCount = 0;
  #knownOutcome: core.FailureOutcome = "not_run";
  #lastTokenAt: number | undefined;
  #totalStallMs = 0;

  constructor(
    context: GenerationContext,
    resolvedGeneration: ResolvedGeneration,
    options: { readonly sink: callers.TokenSink },
  ) {
    this.#context = context;
    this.#resolvedGeneration = resolvedGeneration;
    this.#request = resolvedGeneration.request;
    this.#sink = options.sink;
    this.#nonce = context.createNonce();
    this.#seed = resolvedGeneration.request.seed ?? context.createSeed();
    const { workspace, kind, model, promptText } = resolvedGeneration.request;
    this.#fingerprint = callers.computeFingerprint([
      workspace,
      kind,
      model,
      promptText,
    ]);
  }

  /**
   * Runs the generation until it completes or fails. Returns its end, or the problem
   * to report to the caller. `signal` aborts when the caller disconnects.
   */
  async run(
    signal: AbortSignal,
  ): Promise<neverthrow.Result<callers.GenerationEnd, core.RequestProblem>> {
    const abort = () => this.#abortController.abort();
    signal.addEventListener("abort", abort, { once: true });
    const deadlineTimer = setTimeout(abort, this.#resolvedGeneration.deadlineAt - this.#now());
    try {
      const result = await this.#runAttempts();
      this.#recordEnd(result);
      return result;
    } finally {
      clearTimeout(deadlineTimer);
      signal.removeEventListener("abort", abort);
      this.#releaseAttempt(false);
    }
  }

  async #runAttempts(): Promise<
    neverthrow.Result<callers.GenerationEnd, core.RequestProblem>
  > {
    this.#context.retryBudget.recordRequest();
    let nextStep: "start" | "resume" = "start";
    if (this.#request.cursor !== undefined) {
      const problem = this.#applyCursor(this.#request.cursor);
      if (problem !== undefined) return neverthrow.err(problem);
      nextStep = "resume";
    }
    while (true) {
      const deliveredBefore = this.#position.delivered;
      if (nextStep === "start") {
        const problem = await this.#acquireCapacity();
        if (problem !== undefined) return neverthrow.err(problem);
      }
      const result = nextStep === "start"
        ? await this.#startGeneration()
        : await this.#resumeGeneration();
      if (result.isOk()) return neverthrow.ok(result.value);
      if (this.#position.delivered > deliveredBefore) this.#idleResumeCount = 0;
      const nextStepResult = this.#chooseNextStep(result.error);
      if (nextStepResult.isErr()) return neverthrow.err(nextStepResult.error);
      nextStep = nextStepResult.value;
      if (nextStep === "resume") await core.waitFor(RESUME_DELAY_MS);
    }
  }

  /**
   * Restores seed, engine and position from a cursor, which any entry process
   * may have issued. Returns a problem if the cursor is invalid or was issued
   * for a different request.
   */
  #applyCursor(text: string): core.RequestProblem | undefined {
    const cursor = this.#context.cursors.decode(text);
    if (cursor.isErr()) {
      return core.createRefusal(400, "invalid_cursor", {
        detail: cursor.error,
      });
    }
    const { head, delivered, prefixHash } = cursor.value;
    if (head.fingerprint !== this.#fingerprint) {
      return core.createRefusal(400, "invalid_cursor", {
        detail: "the cursor was issued for a different request",
      });
    }
    this.#seed = head.seed;
    this.#position = { delivered, prefixHash };
    this.#endpoint = head.endpoint;
    this.#generationId = head.generation;
    this.#knownOutcome = "unknown";
    this.#recordDecision("generation_resumed_here", {
      endpoint: head.endpoint,
      delivered,
    });
    return undefined;
  }

  async #acquireCapacity(): Promise<core.RequestProblem | undefined> {
    this.#releaseAttempt(false);
    const grantResult = await this.#context.getCapacityClient().acquire(
      this.#createCapacityRequest(),
      {
        signal: this.#abortController.signal,
      },
    );
    if (grantResult.isErr()) {
      const { reason } = grantResult.error;
      this.#recordDecision("capacity_refused", { reason });
      if (reason === "cancelled") return this.#createAbortProblem();
      return problems.createCapacityProblem(grantResult.error, {
        outcome: this.#knownOutcome,
        deliveredTokens: this.#position.delivered,
      });
    }
    this.#grant = grantResult.value;
    this.#endpoint = grantResult.value.endpoint;
    const { endpoint, queuedMs } = grantResult.value;
    this.#context.metrics.recordQueueWait(this.#getLabels(), queuedMs);
    this.#recordDecision("capacity_granted", {
      endpoint,
      queued_ms: Math.round(queuedMs),
    });
    return undefined;
  }

  async #startGeneration(): Promise<AttemptResult> {
    this.#attemptCount += 1;
    this.#deliveredAtStart = this.#position.delivered;
    const endpoint = this.#endpoint!;
    const stream = await this.#context.client.startGeneration(endpoint, {
      attempt: this.#createAttemptId(),
      kind: this.#request.kind,
      body: this.#request.body,
      seed: this.#seed,
      maxTokens: this.#resolvedGeneration.maxTokens,
      priority: this.#resolvedGeneration.rankSpec.order,
    }, { signal: this.#createAttemptSignal() });
    if (stream.isErr()) return this.#applyStartFailure(endpoint, stream.error);
    this.#context.directory.table.recordSuccess(endpoint);
    this.#generationId = stream.value.generation;
    return await this.#relayStream(stream.value, this.#position.delivered > 0);
  }

  #applyStartFailure(
    endpoint: core.EndpointId,
    error: engines.EngineError,
  ): AttemptResult {
    if (this.#grant?.evictionSignal.aborted) {
      return this.#createFailure("failed", "evicted");
    }
    // A killed engine resets the connections in use and refuses new ones. Without this record, the
    // owner would grant its slots again until the next status read fails.
    const isGone = error.code === "unreachable" || error.code === "connection_lost";
    if (isGone) this.#recordUnreachableEngine(endpoint);
    else if (error.outcome === "not_run") this.#endGrantAsNotTaken();
    return this.#createFailure(error.outcome, error.code);
  }

  /**
   * Records that the engine is unreachable and ends the grant with `not_taken`.
   * The engine's owner assigns it no new requests until it answers again.
   */
  #recordUnreachableEngine(endpoint: core.EndpointId): void {
    this.#context.directory.table.recordFailure(endpoint, this.#now());
    this.#endGrantAsNotTaken();
  }

  #endGrantAsNotTaken(): void {
    this.#grant?.end("not_taken");
    this.#grant = undefined;
  }

  async #resumeGeneration(): Promise<AttemptResult> {
    const endpoint = this.#endpoint!;
    const stream = await this.#context.client.resumeGeneration(endpoint, {
      attempt: this.#createAttemptId(),
      kind: this.#request.kind,
      generation: this.#generationId!,
      fromSequence: this.#position.delivered,
    }, { signal: this.#createAttemptSignal() });
    if (stream.isErr()) {
      if (stream.error.code === "unreachable") this.#recordUnreachableEngine(endpoint);
      const isUnknownGeneration = stream.error.code === "unknown_generation";
      return this.#createFailure(
        isUnknownGeneration ? "failed" : "unknown",
        stream.error.code,
      );
    }
    if (this.#grant === undefined) {
      const emittedTokens = this.#position.delivered;
      this.#grant = this.#context.getCapacityClient().adopt(this.#createCapacityRequest(), {
        endpoint,
        emittedTokens,
      });
    }
    return await this.#relayStream(stream.value, false);
  }

  async #relayStream(
    stream: engines.EngineStream,
    isRegenerated: boolean,
  ): Promise<AttemptResult> {
    const cursorWriter = this.#context.cursors.createWriter({
      endpoint: this.#endpoint!,
      generation: stream.generation,
      seed: this.#seed,
      fingerprint: this.#fingerprint,
    }, this.#position);
    const relay = new relays.TokenRelay(this.#sink, cursorWriter, {
      observer: { onToken: () => this.#recordToken() },
      maxTokens: this.#resolvedGeneration.maxTokens,
      isRegenerated,
    });
    const stopStream = () => stream.close();
    const signal = this.#createAttemptSignal();
    signal.addEventListener("abort", stopStream, { once: true });
    const relayResult = await stream.relay(relay);
    signal.removeEventListener("abort", stopStream);
    this.#position = {
      delivered: cursorWriter.delivered,
      prefixHash: cursorWriter.prefixHash,
    };
    if (relay.end !== undefined) return this.#finishGeneration(relay.end);
    if (this.#grant?.evictionSignal.aborted) {
      return this.#createFailure("failed", "evicted");
    }
    const fault = relay.fault;
    if (fault === "gap") return this.#createFailure("unknown", "gap", true);
    if (fault !== undefined) return this.#createFailure("failed", fault);
    const error = relayResult.isErr() ? relayResult.error : undefined;
    if (error?.code === "crossed") {
      this.#context.metrics.recordDroppedAnswer("crossed");
    }
    const isResumable = error?.code !== "aborted";
    return this.#createFailure(
      "failed",
      error?.code ?? "connection_lost",
      isResumable,
    );
  }

  #finishGeneration(
    end: Extract<engines.EngineEvent, { readonly type: "end" }>,
  ): AttemptResult {
    this.#generationId = undefined;
    this.#grant?.end(end.finishReason === "stop" ? "completed" : "abandoned");
    this.#grant = undefined;
    return neverthrow.ok({
      finishReason: end.finishReason,
      promptTokens: end.promptTokens,
      completionTokens: end.sequence,
    });
  }

  /** Chooses the next step, or the problem to report to the caller. */
  #chooseNextStep(
    failure: AttemptFailure,
  ): neverthrow.Result<"start" | "resume", core.RequestProblem> {
    this.#knownOutcome = policy.mergeOutcomes(this.#knownOutcome, failure.outcome);
    if (this.#abortController.signal.aborted) {
      return neverthrow.err(this.#createAbortProblem());
    }
    if (failure.code === "diverged") {
      return neverthrow.err(
        problems.createDivergedProblem(this.#position.delivered),
      );
    }
    if (failure.code === "overrun") {
      return neverthrow.err(problems.createStoppedProblem("overrun", {
        outcome: "failed",
        deliveredTokens: this.#position.delivered,
      }));
    }
    if (failure.code === "evicted") {
      this.#recordDecision("generation_evicted", { endpoint: this.#endpoint });
      this.#releaseAttempt(true);
      return neverthrow.ok("start");
    }
    const progressTokens = this.#position.delivered - this.#deliveredAtStart;
    const isFruitless = !failure.resumable && failure.outcome !== "not_run" &&
      progressTokens < policy.MIN_PROGRESS_TOKENS;
    if (isFruitless) this.#fruitlessAttemptCount += 1;
    const retry = policy.chooseGenerationRetry({
      outcome: failure.outcome,
      streamed: this.#request.streamed,
      deliveredTokens: this.#position.delivered,
      resumable: failure.resumable && this.#idleResumeCount < MAX_IDLE_RESUME_COUNT,
      attempts: this.#attemptCount,
      fruitlessAttempts: this.#fruitlessAttemptCount,
      budgetLeft: this.#context.retryBudget.isRetryAllowed(),
      deadlineAt: this.#resolvedGeneration.deadlineAt,
    }, this.#now());
    return this.#applyRetry(retry, failure);
  }

  #applyRetry(
    retry: policy.GenerationRetry,
    failure: AttemptFailure,
  ): neverthrow.Result<"start" | "resume", core.RequestProblem> {
    this.#recordDecision("attempt_failed", {
      endpoint: this.#endpoint,
      code: failure.code,
      outcome: failure.outcome,
      delivered: this.#position.delivered,
      next: retry.type,
    });
    if (retry.type === "stop") {
      return neverthrow.err(problems.createStoppedProblem(retry.reason, {
        outcome: this.#knownOutcome,
        deliveredTokens: this.#position.delivered,
      }));
    }
    this.#context.metrics.recordRetry(retry.type);
    if (retry.type === "resume") {
      this.#idleResumeCount += 1;
      return neverthrow.ok("resume");
    }
    if (policy.isRetryCharged(failure.outcome)) this.#context.retryBudget.takeRetry();
    if (retry.type === "restart" && this.#sink.reset()) {
      this.#position = { delivered: 0, prefixHash: 0n };
    }
    this.#avoidedEndpoints.push(this.#endpoint!);
    this.#idleResumeCount = 0;
    return neverthrow.ok("start");
  }

  /**
   * Releases the grant of the current attempt and cancels its generation on the
   * engine. After an eviction the owner has already revoked the grant.
   */
  #releaseAttempt(wasEvicted: boolean): void {
    if (!wasEvicted) this.#grant?.end("abandoned");
    this.#grant = undefined;
    if (this.#generationId === undefined || this.#endpoint === undefined) return;
    void this.#context.client.cancelGeneration(
      this.#endpoint,
      this.#generationId,
    );
    this.#generationId = undefined;
  }

  #createFailure(
    outcome: core.FailureOutcome,
    code: string,
    resumable = false,
  ): AttemptResult {
    const canResume = resumable && this.#generationId !== undefined;
    return neverthrow.err({ outcome, code, resumable: canResume });
  }

  #createAbortProblem(): core.RequestProblem {
    const isDeadlinePassed = this.#now() >= this.#resolvedGeneration.deadlineAt;
    return problems.createStoppedProblem(
      isDeadlinePassed ? "deadline_exceeded" : "cancelled",
      {
        outcome: this.#knownOutcome,
        deliveredTokens: this.#position.delivered,
      },
    );
  }

  #createCapacityRequest(): policy.CapacityRequest {
    const firstTokenTargetMs = this.#resolvedGeneration.rankSpec.firstTokenMs;
    const startFrom = Math.max(
      this.#resolvedGeneration.receivedAt,
      this.#attemptCount === 0 ? 0 : this.#now(),
    );
    return {
      request: core.createId<core.RequestId>(this.#nonce),
      workspace: this.#request.workspace,
      rank: this.#resolvedGeneration.rank,
      model: this.#request.model,
      promptTokens: core.estimatePromptTokens(this.#request.promptText),
      maxTokens: this.#resolvedGeneration.maxTokens,
      prefixes: core.computePrefixHashes(this.#request.promptText),
      startBy: Math.min(this.#resolvedGeneration.deadlineAt, startFrom + firstTokenTargetMs),
      avoid: this.#avoidedEndpoints,
      mayQueue: true,
    };
  }

  #createAttemptId(): string {
    this.#attemptIdCount += 1;
    return `${this.#request.requestId}~${this.#nonce}.${this.#attemptIdCount}`;
  }

  #createAttemptSignal(): AbortSignal {
    if (this.#grant === undefined) return this.#abortController.signal;
    return AbortSignal.any([this.#abortController.signal, this.#grant.evictionSignal]);
  }

  #recordToken(): void {
    const now = this.#now();
    const labels = this.#getLabels();
    this.#grant?.recordTokens(1);
    if (this.#lastTokenAt === undefined) {
      this.#context.metrics.recordFirstToken(
        labels,
        now - this.#resolvedGeneration.receivedAt,
      );
    } else {
      const gapMs = now - this.#lastTokenAt;
      this.#context.metrics.recordTokenInterval(labels, gapMs);
      this.#totalStallMs += Math.max(
        0,
        gapMs - this.#resolvedGeneration.rankSpec.betweenTokensMs,
      );
    }
    this.#lastTokenAt = now;
  }

  #recordEnd(
    result: neverthrow.Result<callers.GenerationEnd, core.RequestProblem>,
  ): void {
    const outcome = result.isOk() ? "completed" : result.error.outcome;
    const code = result.isOk() ? "ok" : result.error.code;
    const labels = this.#getLabels();
    this.#context.metrics.recordOutcome(labels, outcome, code);
    if (this.#lastTokenAt !== undefined) {
      this.#context.metrics.recordStall(labels, this.#totalStallMs);
    }
    this.#recordDecision("request_ended", {
      workspace: this.#request.workspace,
      rank: this.#resolvedGeneration.rank,
      outcome,
      code,
      delivered: this.#position.delivered,
      attempts: this.#attemptCount,
      duration_ms: Math.round(this.#now() - this.#resolvedGeneration.receivedAt),
    });
  }

  #getLabels(): core.RequestLabels {
    return { workspace: this.#request.workspace, rank: this.#resolvedGeneration.rank };
  }

  #recordDecision(event: string, fields: core.LogFields): void {
    this.#context.decisions.recordDecision(this.#request.requestId, event, fields);
  }

  #now(): number {
    return this.#context.runtime.clock.now();
  }
}
