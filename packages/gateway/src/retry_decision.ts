/**
 * Decides whether a request is retried after an attempt without a usable answer. Calls and
 * generations share this decision and the retry budget of their service, which keeps retries
 * from multiplying the load of a failing service.
 */

import type * as core from "@peridotvale/core";
import * as policy from "@peridotvale/policy";
import type * as contexts from "./gateway_context.ts";
import type * as requests from "./open_request.ts";

/** A failed attempt, with the counts of its request's attempts so far. */
export interface FailedAttempt {
  readonly instance: core.InstanceId;
  readonly outcome: core.FailureOutcome;
  readonly reason: string;
  /** Number of attempts that may have run, including this one. */
  readonly ranAttempts: number;
  /** Number of attempts that have not run, including this one. */
  readonly refusedAttempts: number;
}

/** Decides whether `request` is retried, charges a retry to the budget and logs the decision. */
export function decideRetry(
  context: contexts.GatewayContext,
  request: requests.OpenRequest,
  options: { readonly routed: requests.RoutedRequest; readonly attempt: FailedAttempt },
): boolean {
  const { routed, attempt } = options;
  const now = context.clock.now();
  const next = policy.chooseForwardRetry({
    kind: routed.route.kind,
    outcome: attempt.outcome,
    ranAttempts: attempt.ranAttempts,
    refusedAttempts: attempt.refusedAttempts,
    maxAttempts: routed.route.maxAttempts,
    answerBy: request.answerBy,
  }, now);
  const mayRetry = next.type === "again" &&
    context.getRetryBudget(routed.service).takeRetry(now, context.getProcessCount());
  context.logger.write("send_ended", {
    request: request.id,
    instance: attempt.instance,
    outcome: attempt.outcome,
    reason: attempt.reason,
    next: next.type === "stop" ? next.reason : mayRetry ? "again" : "budget_exhausted",
  });
  if (mayRetry) {
    context.metrics.recordRetry(routed.route.kind === "streaming" ? "generation" : "call");
  }
  return mayRetry;
}
