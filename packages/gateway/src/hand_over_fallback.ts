/**
 * Finds the engine at which a generation continues that was stopped for a hand-over: the target of
 * its copy, the source if that copy failed, or another engine if the zone of that one was evacuated
 * meanwhile.
 */

import * as core from "@peridotvale/core";
import type * as policy from "@peridotvale/policy";
import type * as controls from "./engine_control.ts";
import type * as contexts from "./gateway_context.ts";
import type * as requests from "./open_request.ts";

/** A generation that was stopped for a hand-over. */
export interface StoppedGeneration {
  readonly request: requests.OpenRequest;
  readonly routed: requests.RoutedRequest;
  readonly size: policy.GenerationSize;
}

/** The final copy of a generation's memory, which the source still holds. */
export interface FinalCopy {
  readonly source: core.EndpointRecord;
  readonly target: core.EndpointRecord;
  readonly handle: string;
  /** Whether the target holds the memory too. */
  readonly isComplete: boolean;
}

export interface Continuation {
  /** Engine that may continue the generation; undefined if there is none or the request ended. */
  readonly endpoint: core.EndpointRecord | undefined;
  /** The newest handle of the memory at the source. */
  readonly handle: string;
}

/** Time-out of one memory copy. A leaving engine stops earlier, about 2 s after its notice. */
const COPY_TIMEOUT_MS = 4_000;
/** Time for finding another target; callers abandon a stream after a gap of 2 s. */
const MAX_SEARCH_MS = 1_500;
/** Delay before the next search for a target if no engine has room. */
const NO_TARGET_RETRY_MS = 60;

/** Copies the memory of a generation that `target` does not have yet. */
export function copyMemory(
  context: contexts.GatewayContext,
  request: core.RequestId,
  copy: {
    readonly source: core.EndpointRecord;
    readonly target: core.EndpointRecord;
    /** Whether the generation is stopped before the copy. */
    readonly isFinal: boolean;
  },
): ReturnType<controls.EngineControl["copyMemory"]> {
  return context.engineControl.copyMemory(copy.source.endpoint, {
    request,
    target: copy.target.endpoint,
    isFinal: copy.isFinal,
    timeoutMs: COPY_TIMEOUT_MS,
  });
}

/**
 * Finds where a stopped generation continues; copies its memory to another engine if needed.
 * Withdraws its load from the target unless it continues there.
 */
export async function findContinuation(
  context: contexts.GatewayContext,
  generation: StoppedGeneration,
  copy: FinalCopy,
): Promise<Continuation> {
  const next = await chooseContinuation(context, generation, copy);
  if (next.endpoint !== copy.target) {
    context.enginePlacement.recordEnd(copy.target.instance, generation.request.id);
  }
  return next;
}

async function chooseContinuation(
  context: contexts.GatewayContext,
  generation: StoppedGeneration,
  copy: FinalCopy,
): Promise<Continuation> {
  const { request } = generation;
  const { source, target, handle, isComplete } = copy;
  if (request.end !== undefined) return { endpoint: undefined, handle };
  const { evacuationAgent } = context;
  const planned = isComplete ? target : source;
  if (evacuationAgent.isUsable(planned)) return { endpoint: planned, handle };
  const copied = await copyElsewhere(context, generation, copy);
  if (copied.endpoint !== undefined || request.end !== undefined) return copied;
  return { ...copied, endpoint: evacuationAgent.isUsable(source) ? source : undefined };
}

async function copyElsewhere(
  context: contexts.GatewayContext,
  generation: StoppedGeneration,
  failedCopy: FinalCopy,
): Promise<Continuation> {
  const { clock, enginePlacement, evacuationAgent } = context;
  const { request, routed, size } = generation;
  const { source, target } = failedCopy;
  const failedTargets = new Set([source.instance, target.instance]);
  const endAt = clock.now() + MAX_SEARCH_MS;
  let { handle } = failedCopy;
  while (request.end === undefined && clock.now() < endAt) {
    const endpoint = enginePlacement.chooseEngine(context.listEngines(source.service), size, {
      now: clock.now(),
      zone: source.zone,
      avoid: failedTargets,
      random: context.random,
      rank: routed.rank,
      isMove: true,
    });
    if (endpoint === undefined && evacuationAgent.isUsable(source)) break;
    if (endpoint === undefined) {
      await core.waitFor(NO_TARGET_RETRY_MS);
      continue;
    }
    failedTargets.add(endpoint.instance);
    enginePlacement.recordStart(endpoint.instance, request.id, size);
    context.limitAgent.recordSend(endpoint, clock.now());
    const copy = await copyMemory(context, request.id, {
      source,
      target: endpoint,
      isFinal: true,
    });
    handle = (copy.isOk() ? copy.value.handle : copy.error.handle) ?? handle;
    const canContinue = copy.isOk() && evacuationAgent.isUsable(endpoint);
    if (canContinue && request.end === undefined) return { endpoint, handle };
    enginePlacement.recordEnd(endpoint.instance, request.id);
  }
  return { endpoint: undefined, handle };
}
