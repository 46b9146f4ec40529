/** What follows a send that brought no answer: the same for calls and for streams. */

import type * as core from "@peridotvale/core";
import * as policy from "@peridotvale/policy";
import type * as contexts from "./gateway_context.ts";
import type * as requests from "./open_request.ts";

/** A send without an answer to pass on, and the sends of its request so far. */
export interface EndedSend {
  readonly instance: core.InstanceId;
  readonly outcome: core.FailureOutcome;
  readonly reason: string;
  /** Sends that may have run, this one included. */
  readonly ranSends: number;
  /** Sends that an endpoint refused, this one included. */
  readonly refusedSends: number;
}

/** Decides whether `request` is sent again, takes that from the budget and logs it. */
export function takeRepeat(
  context: contexts.GatewayContext,
  request: requests.OpenRequest,
  options: { readonly routed: requests.RoutedRequest; readonly send: EndedSend },
): boolean {
  const { routed, send } = options;
  const now = context.clock.now();
  const next = policy.chooseNextSend({
    kind: routed.route.kind,
    outcome: send.outcome,
    ranSends: send.ranSends,
    refusedSends: send.refusedSends,
    maxAttempts: routed.route.maxAttempts,
    answerBy: request.answerBy,
  }, now);
  const mayRepeat = next.type === "again" &&
    context.getBudget(routed.service).takeRepeat(now, context.getProcessCount());
  context.logger.write("send_ended", {
    request: request.id,
    instance: send.instance,
    outcome: send.outcome,
    reason: send.reason,
    next: next.type === "stop" ? next.reason : mayRepeat ? "again" : "budget_exhausted",
  });
  if (mayRepeat) {
    context.metrics.recordRetry(routed.route.kind === "streaming" ? "generation" : "call");
  }
  return mayRepeat;
}
