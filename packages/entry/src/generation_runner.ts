/** Runs one generation to its end: attempts, resumptions, and what the caller is told. */

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

/** What a generation needs of its process. */
export interface GenerationContext {
  readonly runtime: core.Runtime;
  readonly client: engines.EngineClient;
  readonly getCapacity: () => capacity.CapacityClient;
  readonly directory: directories.EndpointDirectory;
  readonly metrics: core.Metrics;
  readonly decisions: decisions.DecisionLog;
  readonly retryBudget: policy.RetryBudget;
  readonly cursors: callers.CursorCodec;
  /** Creates a seed for a request that has none. */
  readonly createSeed: () => number;
  /** Creates a short name that is unique among attempts. */
  readonly createNonce: () => string;
}

/** A request whose names were found in the manifest. */
export interface ResolvedGeneration {
  readonly ask: callers.GenerationAsk;
  readonly rank: core.RankName;
  readonly rankSpec: core.RankSpec;
  readonly maxTokens: number;
  readonly receivedAt: number;
  readonly deadlineAt: number;
}

/** How one attempt has ended, other than with the whole answer. */
interface AttemptFailure {
  readonly outcome: core.FailureOutcome;
  readonly code: string;
  readonly resumable: boolean;
}

type AttemptResult = neverthrow.Result<callers.GenerationEnd, AttemptFailure>;

/** Resumptions without a new token before the generation is given up. */
const MAX_IDLE_RESUMES = 3;
/** Pause before a connection that failed is opened anew. */
const RESUME_PAUSE_MS = 50;

/** Runs one generation. */
export class GenerationRunner {
  readonly #context: GenerationContext;
  readonly #resolved: ResolvedGeneration;
  readonly #ask: callers.GenerationAsk;
  readonly #sink: callers.TokenSink;
  /** Aborts on the caller's hang-up and at the deadline. */
  readonly #abort = new AbortController();
  readonly #nonce: string;
  readonly #fingerprint: string;
  readonly #avoid: core.EndpointId[] = [];
  #seed: number;
  #position: relays.RelayPosition = { delivered: 0, prefixHash: 0n };
  #grant: capacity.CapacityGrant | undefined;
  #endpoint: core.EndpointId | undefined;
  #generation: core.GenerationId | undefined;
  #attempts = 0;
  #sends = 0;
  #idleResumes = 0;
  #known: core.FailureOutcome = "not_run";
  #lastTokenAt: number | undefined;
  #stallMs = 0;

  constructor(
    context: GenerationContext,
    resolved: ResolvedGeneration,
    options: { readonly sink: callers.TokenSink },
  ) {
    this.#context = context;
    this.#resolved = resolved;
    this.#ask = resolved.ask;
    this.#sink = options.sink;
    this.#nonce = context.createNonce();
    this.#seed = resolved.ask.seed ?? context.createSeed();
    const { workspace, kind, model, promptText } = resolved.ask;
    this.#fingerprint = callers.computeFingerprint([
      workspace,
      kind,
      model,
      promptText,
    ]);
  }

  /** Runs the generation; `signal` aborts when the caller hangs up. */
  async run(
    signal: AbortSignal,
  ): Promise<neverthrow.Result<callers.GenerationEnd, core.RequestProblem>> {
    const stop = () => this.#abort.abort();
    signal.addEventListener("abort", stop, { once: true });
    const deadline = setTimeout(stop, this.#resolved.deadlineAt - this.#now());
    try {
      const result = await this.#runAttempts();
      this.#recordEnd(result);
      return result;
    } finally {
      clearTimeout(deadline);
      signal.removeEventListener("abort", stop);
      this.#leaveGeneration(false);
    }
  }

  async #runAttempts(): Promise<
    neverthrow.Result<callers.GenerationEnd, core.RequestProblem>
  > {
    this.#context.retryBudget.recordRequest();
    let step: "start" | "resume" = "start";
    if (this.#ask.cursor !== undefined) {
      const problem = this.#applyCursor(this.#ask.cursor);
      if (problem !== undefined) return neverthrow.err(problem);
      step = "resume";
    }
    while (true) {
      const before = this.#position.delivered;
      if (step === "start") {
        const problem = await this.#acquire();
        if (problem !== undefined) return neverthrow.err(problem);
      }
      const result = step === "start" ? await this.#start() : await this.#resume();
      if (result.isOk()) return neverthrow.ok(result.value);
      if (this.#position.delivered > before) this.#idleResumes = 0;
      const next = this.#chooseNext(result.error);
      if (next.isErr()) return neverthrow.err(next.error);
      step = next.value;
      if (step === "resume") await core.waitFor(RESUME_PAUSE_MS);
    }
  }

  /** Continues after a cursor that any entry process may have written. */
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
        detail: "cursor belongs to another request",
      });
    }
    this.#seed = head.seed;
    this.#position = { delivered, prefixHash };
    this.#endpoint = head.endpoint;
    this.#generation = head.generation;
    this.#known = "unknown";
    this.#decide("generation_resumed_here", {
      endpoint: head.endpoint,
      delivered,
    });
    return undefined;
  }

  async #acquire(): Promise<core.RequestProblem | undefined> {
    this.#leaveGeneration(false);
    const granted = await this.#context.getCapacity().acquire(
      this.#createCapacity(),
      {
        signal: this.#abort.signal,
      },
    );
    if (granted.isErr()) {
      const { reason } = granted.error;
      this.#decide("capacity_refused", { reason });
      if (reason === "cancelled") return this.#createAbortProblem();
      return problems.createCapacityProblem(granted.error, {
        outcome: this.#known,
        deliveredTokens: this.#position.delivered,
      });
    }
    this.#grant = granted.value;
    this.#endpoint = granted.value.endpoint;
    const { endpoint, queuedMs } = granted.value;
    this.#context.metrics.recordQueueWait(this.#getLabels(), queuedMs);
    this.#decide("capacity_granted", {
      endpoint,
      queued_ms: Math.round(queuedMs),
    });
    return undefined;
  }

  async #start(): Promise<AttemptResult> {
    this.#attempts += 1;
    const endpoint = this.#endpoint!;
    const stream = await this.#context.client.startGeneration(endpoint, {
      attempt: this.#createAttemptId(),
      kind: this.#ask.kind,
      body: this.#ask.body,
      seed: this.#seed,
      maxTokens: this.#resolved.maxTokens,
      priority: this.#resolved.rankSpec.order,
    }, { signal: this.#createSignal() });
    if (stream.isErr()) return this.#applyStartFailure(endpoint, stream.error);
    this.#context.directory.table.recordSuccess(endpoint);
    this.#generation = stream.value.generation;
    return await this.#relay(stream.value, this.#position.delivered > 0);
  }

  #applyStartFailure(
    endpoint: core.EndpointId,
    error: engines.EngineError,
  ): AttemptResult {
    if (this.#grant?.evicted.aborted) {
      return this.#createFailure("failed", "evicted");
    }
    if (error.code === "unreachable") this.#recordUnreachable(endpoint);
    else if (error.outcome === "not_run") this.#endUntaken();
    return this.#createFailure(error.outcome, error.code);
  }

  /** Tells the engine's owner, which gives it no new work until it answers again. */
  #recordUnreachable(endpoint: core.EndpointId): void {
    this.#context.directory.table.recordFailure(endpoint, this.#now());
    this.#endUntaken();
  }

  #endUntaken(): void {
    this.#grant?.end("not_taken");
    this.#grant = undefined;
  }

  async #resume(): Promise<AttemptResult> {
    const endpoint = this.#endpoint!;
    const stream = await this.#context.client.resumeGeneration(endpoint, {
      attempt: this.#createAttemptId(),
      kind: this.#ask.kind,
      generation: this.#generation!,
      from: this.#position.delivered,
    }, { signal: this.#createSignal() });
    if (stream.isErr()) {
      if (stream.error.code === "unreachable") this.#recordUnreachable(endpoint);
      const isGone = stream.error.code === "unknown_generation";
      return this.#createFailure(
        isGone ? "failed" : "unknown",
        stream.error.code,
      );
    }
    if (this.#grant === undefined) {
      const emittedTokens = this.#position.delivered;
      this.#grant = this.#context.getCapacity().adopt(this.#createCapacity(), {
        endpoint,
        emittedTokens,
      });
    }
    return await this.#relay(stream.value, false);
  }

  async #relay(
    stream: engines.EngineStream,
    compare: boolean,
  ): Promise<AttemptResult> {
    const cursors = this.#context.cursors.createWriter({
      endpoint: this.#endpoint!,
      generation: stream.generation,
      seed: this.#seed,
      fingerprint: this.#fingerprint,
    }, this.#position);
    const relay = new relays.TokenRelay(this.#sink, cursors, {
      observer: { onToken: () => this.#recordToken() },
      maxTokens: this.#resolved.maxTokens,
      compare,
    });
    const stopStream = () => stream.close();
    const signal = this.#createSignal();
    signal.addEventListener("abort", stopStream, { once: true });
    const relayed = await stream.relay(relay);
    signal.removeEventListener("abort", stopStream);
    this.#position = {
      delivered: cursors.delivered,
      prefixHash: cursors.prefixHash,
    };
    if (relay.end !== undefined) return this.#createEnd(relay.end);
    if (this.#grant?.evicted.aborted) {
      return this.#createFailure("failed", "evicted");
    }
    const fault = relay.fault;
    if (fault === "gap") return this.#createFailure("unknown", "gap", true);
    if (fault !== undefined) return this.#createFailure("failed", fault);
    const error = relayed.isErr() ? relayed.error : undefined;
    if (error?.code === "crossed") {
      this.#context.metrics.recordDropped("crossed");
    }
    const isResumable = error?.code !== "aborted";
    return this.#createFailure(
      "failed",
      error?.code ?? "connection_lost",
      isResumable,
    );
  }

  #createEnd(
    end: Extract<engines.EngineEvent, { readonly type: "end" }>,
  ): AttemptResult {
    this.#generation = undefined;
    this.#grant?.end(end.finishReason === "stop" ? "completed" : "abandoned");
    this.#grant = undefined;
    return neverthrow.ok({
      finishReason: end.finishReason,
      promptTokens: end.promptTokens,
      completionTokens: end.sequence,
    });
  }

  /** Chooses the next step, or the problem that the caller is told. */
  #chooseNext(
    failure: AttemptFailure,
  ): neverthrow.Result<"start" | "resume", core.RequestProblem> {
    this.#known = policy.mergeOutcomes(this.#known, failure.outcome);
    if (this.#abort.signal.aborted) {
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
      this.#decide("generation_evicted", { endpoint: this.#endpoint });
      this.#leaveGeneration(true);
      return neverthrow.ok("start");
    }
    const retry = policy.chooseGenerationRetry({
      outcome: failure.outcome,
      streamed: this.#ask.streamed,
      deliveredTokens: this.#position.delivered,
      resumable: failure.resumable && this.#idleResumes < MAX_IDLE_RESUMES,
      attempts: this.#attempts,
      budgetLeft: this.#context.retryBudget.isRetryAllowed(),
      deadlineAt: this.#resolved.deadlineAt,
    }, this.#now());
    return this.#applyRetry(retry, failure);
  }

  #applyRetry(
    retry: policy.GenerationRetry,
    failure: AttemptFailure,
  ): neverthrow.Result<"start" | "resume", core.RequestProblem> {
    this.#decide("attempt_failed", {
      endpoint: this.#endpoint,
      code: failure.code,
      outcome: failure.outcome,
      delivered: this.#position.delivered,
      next: retry.type,
    });
    if (retry.type === "stop") {
      return neverthrow.err(problems.createStoppedProblem(retry.reason, {
        outcome: this.#known,
        deliveredTokens: this.#position.delivered,
      }));
    }
    this.#context.metrics.recordRetry(retry.type);
    if (retry.type === "resume") {
      this.#idleResumes += 1;
      return neverthrow.ok("resume");
    }
    this.#context.retryBudget.takeRetry();
    if (retry.type === "restart" && this.#sink.reset()) {
      this.#position = { delivered: 0, prefixHash: 0n };
    }
    this.#avoid.push(this.#endpoint!);
    this.#idleResumes = 0;
    return neverthrow.ok("start");
  }

  /** Gives up what is held of the present attempt; a generation left behind is cancelled. */
  #leaveGeneration(wasEvicted: boolean): void {
    if (!wasEvicted) this.#grant?.end("abandoned");
    this.#grant = undefined;
    if (this.#generation === undefined || this.#endpoint === undefined) return;
    void this.#context.client.cancelGeneration(
      this.#endpoint,
      this.#generation,
    );
    this.#generation = undefined;
  }

  #createFailure(
    outcome: core.FailureOutcome,
    code: string,
    resumable = false,
  ): AttemptResult {
    const canResume = resumable && this.#generation !== undefined;
    return neverthrow.err({ outcome, code, resumable: canResume });
  }

  #createAbortProblem(): core.RequestProblem {
    const isLate = this.#now() >= this.#resolved.deadlineAt;
    return problems.createStoppedProblem(
      isLate ? "deadline_exceeded" : "cancelled",
      {
        outcome: this.#known,
        deliveredTokens: this.#position.delivered,
      },
    );
  }

  #createCapacity(): policy.CapacityRequest {
    const startTargetMs = this.#resolved.rankSpec.firstTokenMs;
    const from = Math.max(
      this.#resolved.receivedAt,
      this.#attempts === 0 ? 0 : this.#now(),
    );
    return {
      request: core.createId<core.RequestId>(this.#nonce),
      workspace: this.#ask.workspace,
      rank: this.#resolved.rank,
      model: this.#ask.model,
      promptTokens: core.estimatePromptTokens(this.#ask.promptText),
      maxTokens: this.#resolved.maxTokens,
      prefixes: core.computePrefixHashes(this.#ask.promptText),
      startBy: Math.min(this.#resolved.deadlineAt, from + startTargetMs),
      avoid: this.#avoid,
      mayQueue: true,
    };
  }

  #createAttemptId(): string {
    this.#sends += 1;
    return `${this.#ask.request}~${this.#nonce}.${this.#sends}`;
  }

  #createSignal(): AbortSignal {
    if (this.#grant === undefined) return this.#abort.signal;
    return AbortSignal.any([this.#abort.signal, this.#grant.evicted]);
  }

  #recordToken(): void {
    const now = this.#now();
    const labels = this.#getLabels();
    this.#grant?.recordTokens(1);
    if (this.#lastTokenAt === undefined) {
      this.#context.metrics.recordFirstToken(
        labels,
        now - this.#resolved.receivedAt,
      );
    } else {
      const gapMs = now - this.#lastTokenAt;
      this.#context.metrics.recordBetweenTokens(labels, gapMs);
      this.#stallMs += Math.max(
        0,
        gapMs - this.#resolved.rankSpec.betweenTokensMs,
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
      this.#context.metrics.recordStall(labels, this.#stallMs);
    }
    this.#decide("request_ended", {
      workspace: this.#ask.workspace,
      rank: this.#resolved.rank,
      outcome,
      code,
      delivered: this.#position.delivered,
      attempts: this.#attempts,
      duration_ms: Math.round(this.#now() - this.#resolved.receivedAt),
    });
  }

  #getLabels(): core.RequestLabels {
    return { workspace: this.#ask.workspace, rank: this.#resolved.rank };
  }

  #decide(event: string, fields: core.LogFields): void {
    this.#context.decisions.recordDecision(this.#ask.request, event, fields);
  }

  #now(): number {
    return this.#context.runtime.clock.now();
  }
}
