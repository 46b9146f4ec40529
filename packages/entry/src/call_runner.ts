/** Makes one call to a plain service: placement, attempts, and what the caller is told. */

import * as callers from "@peridotvale/callers";
import * as core from "@peridotvale/core";
import * as policy from "@peridotvale/policy";
import type * as services from "@peridotvale/services";
import * as neverthrow from "neverthrow";
import type * as broker from "./call_broker.ts";
import type * as decisions from "./decision_log.ts";
import type * as directories from "./endpoint_directory.ts";
import * as problems from "./request_problems.ts";

/** What a call needs of its process. */
export interface CallContext {
  readonly runtime: core.Runtime;
  readonly client: services.ServiceClient;
  readonly broker: broker.CallBroker;
  readonly directory: directories.EndpointDirectory;
  readonly metrics: core.Metrics;
  readonly decisions: decisions.DecisionLog;
  readonly retryBudget: policy.RetryBudget;
  readonly createNonce: () => string;
}

/** A call whose names were found in the manifest. */
export interface ResolvedCall {
  readonly ask: callers.ServiceAsk;
  readonly rank: core.RankName;
  readonly rankSpec: core.RankSpec;
  readonly weight: number;
  readonly operation: core.OperationSpec;
  readonly receivedAt: number;
  readonly deadlineAt: number;
}

/** Runs `resolved` until it has an answer or may not be tried again. */
export async function runCall(
  context: CallContext,
  resolved: ResolvedCall,
  options: { readonly signal: AbortSignal },
): Promise<neverthrow.Result<callers.ServiceReply, core.RequestProblem>> {
  const runner = new CallRunner(context, resolved, options.signal);
  return await runner.run();
}

class CallRunner {
  readonly #context: CallContext;
  readonly #resolved: ResolvedCall;
  readonly #signal: AbortSignal;
  readonly #nonce: string;
  readonly #avoid: core.EndpointId[] = [];
  #attempts = 0;
  #known: core.FailureOutcome = "not_run";

  constructor(
    context: CallContext,
    resolved: ResolvedCall,
    signal: AbortSignal,
  ) {
    this.#context = context;
    this.#resolved = resolved;
    this.#signal = signal;
    this.#nonce = context.createNonce();
  }

  async run(): Promise<
    neverthrow.Result<callers.ServiceReply, core.RequestProblem>
  > {
    this.#context.retryBudget.recordRequest();
    while (true) {
      const placed = await this.#place();
      if (placed.isErr()) return neverthrow.err(placed.error);
      const endpoint = placed.value;
      const result = await this.#attempt(endpoint);
      if (result.isOk()) return neverthrow.ok(result.value);
      this.#known = policy.mergeOutcomes(this.#known, result.error.outcome);
      const retry = policy.chooseCallRetry({
        outcome: result.error.outcome,
        idempotent: this.#resolved.operation.idempotent,
        attempts: this.#attempts,
        budgetLeft: this.#context.retryBudget.isRetryAllowed(),
        deadlineAt: this.#resolved.deadlineAt,
      }, this.#now());
      this.#decide("call_failed", {
        endpoint,
        code: result.error.code,
        outcome: result.error.outcome,
        next: retry.type,
      });
      if (this.#signal.aborted) return this.#stop("cancelled");
      if (retry.type === "stop") return this.#stop(retry.reason);
      this.#context.retryBudget.takeRetry();
      this.#context.metrics.recordRetry("call");
      this.#avoid.push(endpoint);
    }
  }

  async #place(): Promise<
    neverthrow.Result<core.EndpointId, core.RequestProblem>
  > {
    const { ask, rank, rankSpec, weight, deadlineAt, receivedAt } = this.#resolved;
    const placed = await this.#context.broker.acquire({
      id: this.#getId(),
      workspace: ask.workspace,
      weight,
      rank,
      rankOrder: rankSpec.order,
      startBy: Math.min(deadlineAt, receivedAt + rankSpec.firstTokenMs),
      avoid: this.#avoid,
    }, { service: ask.service, signal: this.#signal });
    if (placed.isOk()) return neverthrow.ok(placed.value);
    if (placed.error === "cancelled") return this.#stop("cancelled");
    return neverthrow.err(
      problems.createCapacityProblem({
        reason: placed.error,
        retryAfterMs: 1_000,
      }, {
        outcome: this.#known,
      }),
    );
  }

  async #attempt(
    endpoint: core.EndpointId,
  ): Promise<neverthrow.Result<callers.ServiceReply, services.ServiceError>> {
    const { ask, operation, deadlineAt } = this.#resolved;
    this.#attempts += 1;
    const startedAt = this.#now();
    const timeoutMs = Math.max(
      1,
      Math.min(operation.timeoutMs, deadlineAt - startedAt),
    );
    this.#decide("call_sent", { endpoint, attempt: this.#attempts });
    const result = await this.#context.client.call(endpoint, {
      attempt: `${this.#getId()}.${this.#attempts}`,
      method: ask.method,
      path: ask.path + ask.query,
      headers: ask.headers,
      body: ask.body,
      idempotent: operation.idempotent,
      timeoutMs: Math.ceil(timeoutMs),
    }, { signal: this.#signal });
    const now = this.#now();
    this.#context.broker.end(ask.service, this.#getId(), {
      latencyMs: now - startedAt,
      answered: result.isOk(),
    });
    if (result.isOk()) {
      this.#context.directory.table.recordSuccess(endpoint);
      return result;
    }
    if (result.error.code === "crossed") {
      this.#context.metrics.recordDropped("crossed");
    }
    if (result.error.code === "unreachable") {
      this.#context.directory.table.recordFailure(endpoint, now);
      this.#context.broker.updateEndpoints();
    }
    return result;
  }

  #stop(code: string): neverthrow.Result<never, core.RequestProblem> {
    return neverthrow.err(
      problems.createStoppedProblem(code, { outcome: this.#known }),
    );
  }

  #getId(): string {
    return `${this.#resolved.ask.request}~${this.#nonce}`;
  }

  #decide(event: string, fields: core.LogFields): void {
    this.#context.decisions.recordDecision(
      this.#resolved.ask.request,
      event,
      fields,
    );
  }

  #now(): number {
    return this.#context.runtime.clock.now();
  }
}
