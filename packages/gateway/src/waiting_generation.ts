/** Describes what is left of a generation to the queue in which it waits for an engine. */

import * as policy from "@peridotvale/policy";
import type * as contexts from "./gateway_context.ts";
import type * as requests from "./open_request.ts";
import type * as streamAttempts from "./stream_attempts.ts";

/** Size assumed for a generation whose request does not declare its size. */
const DEFAULT_GENERATION_SIZE: policy.GenerationSize = {
  promptTokens: 1_000,
  maxOutputTokens: 1_000,
  expectedOutputTokens: undefined,
};

/** Creates the entry of the queue for what is left of a generation after the attempts so far. */
export function createWaitingGeneration(
  context: contexts.GatewayContext,
  request: requests.OpenRequest,
  routed: requests.RoutedRequest,
  attempts: streamAttempts.StreamAttempts,
): policy.WaitingGeneration {
  const size = request.head.generation ?? DEFAULT_GENERATION_SIZE;
  const profile = context.getEngineProfile(routed.service);
  const generatedTokens = attempts.deliveredEvents * (profile?.tokensPerEvent ?? 1);
  return {
    request: request.id,
    service: routed.service,
    size: generatedTokens > 0 ? policy.computeRemainingSize(size, generatedTokens) : size,
    rank: routed.rank,
    workspace: routed.workspace,
    arrivedAt: request.arrivedAt,
    targetBy: attempts.ranAttempts > 0
      ? attempts.getAbandonAt(request, routed.route)
      : request.arrivedAt + routed.route.targetLatencyMs,
    // A new configuration or a planned stop lowers the deadline of a request that waits.
    get answerBy() {
      return request.answerBy;
    },
  };
}
