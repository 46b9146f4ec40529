/**
 * Decides whether a request is retried after an attempt without a usable answer. Calls and
 * generations share this decision and the retry budget of their service. The budget keeps
 * retries from multiplying the load of a failing service.
 */

import type * as core from "@peridotvale/core";
import * as policy from "@peridotvale/policy";
import type * as pools from "./connection_pool.ts";
import type * as contexts from "./gateway_context.ts";
import type * as requests from "./open_request.ts";

/** The last failed attempt of a request, with the counts of the request's attempts so far. */
export interface FailedAttempt {
  readonly endpoint: core.EndpointRecord;
  readonly outcome: core.FailureOutcome;
  readonly reason: string;
  /** The connection that the request was sent on; undefined if it was not sent. */
  readonly connectionUse: pools.ConnectionUse | undefined;
  /** Number of attempts that may have run, including this one. */
  readonly ranAttempts: number;
  /** Number of attempts that have not run, including this one. */
  readonly refusedAttempts: number;
}

/** Decides whether `request` is retried, logs the decision and charges a retry to the budget. */
export function decideRetry(
  context: contexts.GatewayContext,
  request: requests.OpenRequest,
  options: { readonly routed: requests.RoutedRequest; readonly attempt: FailedAttempt },
): boolean {
  const { routed, attempt } = options;
  const now = context.clock.now();
  const retryDecision = policy.chooseForwardRetry({
    kind: routed.route.kind,
    outcome: attempt.outcome,
    ranAttempts: attempt.ranAttempts,
    refusedAttempts: attempt.refusedAttempts,
    maxAttempts: routed.route.maxAttempts,
    answerBy: request.answerBy,
  }, now);
  return applyRetryDecision(context, request, { ...options, decision: retryDecision });
}

/**
 * Charges a decided retry to the budget and logs the end of the attempt with what follows. Returns
 * false if no retry was decided or the budget is exhausted.
 */
export function applyRetryDecision(
  context: contexts.GatewayContext,
  request: requests.OpenRequest,
  options: {
    readonly routed: requests.RoutedRequest;
    readonly attempt: Omit<FailedAttempt, "ranAttempts" | "refusedAttempts">;
    readonly decision: policy.RetryDecision | policy.StreamStep;
  },
): boolean {
  const { routed, attempt, decision } = options;
  const now = context.clock.now();
  const mayRetry = decision.type !== "stop" &&
    context.getRetryBudget(routed.service).takeRetry(now, context.getProcessCount());
  context.logger.write("send_ended", {
    request: request.id,
    instance: attempt.endpoint.instance,
    address: attempt.endpoint.endpoint,
    connection: attempt.connectionUse?.connection,
    carried: attempt.connectionUse?.carriedRequests,
    outcome: attempt.outcome,
    reason: attempt.reason,
    next: decision.type === "stop"
      ? decision.reason
      : mayRetry
      ? decision.type
      : "budget_exhausted",
  });
  if (mayRetry) {
    const kind = routed.route.kind === "streaming" ? "generation" : "call";
    context.metrics.recordRetry(decision.type === "resume" ? "resumption" : kind);
  }
  return mayRetry;
}
