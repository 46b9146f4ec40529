/**
 * Runs one call to a plain service: requests an endpoint, sends the call, and
 * retries it on another endpoint while its outcome, the number of attempts, the
 * retry budget and the deadline allow it.
 */

import * as callers from "@peridotvale/callers";
import * as core from "@peridotvale/core";
import * as policy from "@peridotvale/policy";
import type * as services from "@peridotvale/services";
import * as neverthrow from "neverthrow";
import type * as broker from "./call_broker.ts";
import type * as decisions from "./decision_log.ts";
import type * as directories from "./endpoint_directory.ts";
import * as problems from "./request_problems.ts";

/** Components of the entry process that service calls use. */
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

/** A service call with its rank and operation resolved against the manifest. */
export interface ResolvedCall {
  readonly request: callers.ServiceRequest;
  readonly rank: core.RankName;
  readonly rankSpec: core.RankSpec;
  readonly weight: number;
  readonly operation: core.OperationSpec;
  readonly receivedAt: number;
  readonly deadlineAt: number;
}

/**
 * Runs the call `resolvedCall` until an endpoint answers or no retry is allowed.
 * `options.signal` aborts when the caller disconnects.
 */
export async function runCall(
  context: CallContext,
  resolvedCall: ResolvedCall,
  options: { readonly signal: AbortSignal },
): Promise<neverthrow.Result<callers.ServiceAnswer, core.RequestProblem>> {
  const runner = new CallRunner(context, resolvedCall, options.signal);
  return await runner.run();
}

class CallRunner {
  readonly #context: CallContext;
  readonly #resolvedCall: ResolvedCall;
  readonly #callerSignal: AbortSignal;
  readonly #nonce: string;
  readonly #avoidedEndpoints: core.EndpointId[] = [];
  #attemptCount = 0;
  #knownOutcome: core.FailureOutcome = "not_run";

  constructor(
    context: CallContext,
    resolvedCall: ResolvedCall,
    signal: AbortSignal,
  ) {
    this.#context = context;
    this.#resolvedCall = resolvedCall;
    this.#callerSignal = signal;
    this.#nonce = context.createNonce();
  }

  async run(): Promise<
    neverthrow.Result<callers.ServiceAnswer, core.RequestProblem>
  > {
    this.#context.retryBudget.recordRequest();
    while (true) {
      const placement = await this.#acquireEndpoint();
      if (placement.isErr()) return neverthrow.err(placement.error);
      const endpoint = placement.value;
      const result = await this.#sendAttempt(endpoint);
      if (result.isOk()) return neverthrow.ok(result.value);
      this.#knownOutcome = policy.mergeOutcomes(this.#knownOutcome, result.error.outcome);
      const retry = policy.chooseCallRetry({
        outcome: result.error.outcome,
        idempotent: this.#resolvedCall.operation.idempotent,
        attempts: this.#attemptCount,
        budgetLeft: this.#context.retryBudget.isRetryAllowed(),
        deadlineAt: this.#resolvedCall.deadlineAt,
      }, this.#now());
      this.#recordDecision("call_failed", {
        endpoint,
        code: result.error.code,
        outcome: result.error.outcome,
        next: retry.type,
      });
      if (this.#callerSignal.aborted) return this.#createStopResult("cancelled");
      if (retry.type === "stop") return this.#createStopResult(retry.reason);
      this.#context.retryBudget.takeRetry();
      this.#context.metrics.recordRetry("call");
      this.#avoidedEndpoints.push(endpoint);
    }
  }

  async #acquireEndpoint(): Promise<
    neverthrow.Result<core.EndpointId, core.RequestProblem>
  > {
    const { request, rank, rankSpec, weight, deadlineAt, receivedAt } = this.#resolvedCall;
    const placement = await this.#context.broker.acquireEndpoint({
      id: this.#createCallId(),
      workspace: request.workspace,
      weight,
      rank,
      rankOrder: rankSpec.order,
      startBy: Math.min(deadlineAt, receivedAt + rankSpec.firstTokenMs),
      avoid: this.#avoidedEndpoints,
    }, { service: request.service, signal: this.#callerSignal });
    if (placement.isOk()) return neverthrow.ok(placement.value);
    if (placement.error === "cancelled") return this.#createStopResult("cancelled");
    return neverthrow.err(
      problems.createCapacityProblem({
        reason: placement.error,
        retryAfterMs: 1_000,
      }, {
        outcome: this.#knownOutcome,
      }),
    );
  }

  async #sendAttempt(
    endpoint: core.EndpointId,
  ): Promise<neverthrow.Result<callers.ServiceAnswer, services.ServiceError>> {
    const { request, operation, deadlineAt } = this.#resolvedCall;
    this.#attemptCount += 1;
    const startedAt = this.#now();
    const timeoutMs = Math.max(
      1,
      Math.min(operation.timeoutMs, deadlineAt - startedAt),
    );
    this.#recordDecision("call_sent", { endpoint, attempt: this.#attemptCount });
    const result = await this.#context.client.call(endpoint, {
      attempt: `${this.#createCallId()}.${this.#attemptCount}`,
      method: request.method,
      path: request.path + request.query,
      headers: request.headers,
      body: request.body,
      idempotent: operation.idempotent,
      timeoutMs: Math.ceil(timeoutMs),
    }, { signal: this.#callerSignal });
    const now = this.#now();
    this.#context.broker.endCall(request.service, this.#createCallId(), {
      latencyMs: now - startedAt,
      answered: result.isOk(),
    });
    if (result.isOk()) {
      this.#context.directory.table.recordSuccess(endpoint);
      return result;
    }
    if (result.error.code === "crossed") {
      this.#context.metrics.recordDroppedAnswer("crossed");
    }
    if (result.error.code === "unreachable") {
      this.#context.directory.table.recordFailure(endpoint, now);
      this.#context.broker.updateEndpoints();
    }
    return result;
  }

  #createStopResult(code: string): neverthrow.Result<never, core.RequestProblem> {
    return neverthrow.err(
      problems.createStoppedProblem(code, { outcome: this.#knownOutcome }),
    );
  }

  #createCallId(): string {
    return `${this.#resolvedCall.request.requestId}~${this.#nonce}`;
  }

  #recordDecision(event: string, fields: core.LogFields): void {
    this.#context.decisions.recordDecision(
      this.#resolvedCall.request.requestId,
      event,
      fields,
    );
  }

  #now(): number {
    return this.#context.runtime.clock.now();
  }
}
