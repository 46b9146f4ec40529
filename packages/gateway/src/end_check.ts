/**
 * Checks the end of a stream that only the end of its connection shows. An engine that exits closes
 * its connections too, in order; it then accepts no further ones, or it has started anew.
 */

import * as core from "@peridotvale/core";
import * as probes from "./connect_probe.ts";
import type * as controls from "./engine_control.ts";
import type * as contexts from "./gateway_context.ts";
import type * as upstreams from "./upstream_stream.ts";

/** Time-out of the connection that shows whether an engine still runs. */
const END_CHECK_TIMEOUT_MS = 500;
/** An engine that exits may accept one question and lose it; its next start answers the second. */
const MAX_QUESTIONS = 2;
const QUESTION_PAUSE_MS = 50;

/** Returns the end to handle instead of `end`, which the engine's connection has shown. */
export async function checkUnframedEnd(
  context: contexts.GatewayContext,
  endpoint: core.EndpointRecord,
  options: { readonly end: upstreams.UpstreamEnd; readonly sentAt: number },
): Promise<upstreams.UpstreamEnd> {
  const { instance } = endpoint;
  const state = await readRunningState(context, endpoint.endpoint);
  if (state === "exited") return createLostEnd("engine exited");
  if (state?.instance !== undefined && state.instance !== instance) {
    return createLostEnd("engine replaced");
  }
  const hasRestarted = context.engineStarts.hasRestarted({
    instance,
    sentAt: options.sentAt,
    placedStart: endpoint.startedAt,
    entryStart: context.directory.getStartedAt(instance),
    statedStart: state?.startedAt,
  });
  if (state?.startedAt !== undefined) {
    context.engineStarts.recordStart(instance, state.startedAt, context.clock.now());
  }
  return hasRestarted ? createLostEnd("engine restarted") : options.end;
}

/**
 * Reads the state of an engine that may be restarting. Each question is preceded by a check of the
 * listener, since a question that an exiting engine lost says no more than one without an answer.
 */
async function readRunningState(
  context: contexts.GatewayContext,
  endpoint: core.EndpointId,
): Promise<controls.EngineState | "exited" | undefined> {
  for (let attempt = 1;; attempt += 1) {
    const listener = await probes.checkListener(endpoint, END_CHECK_TIMEOUT_MS);
    if (listener === "refused") return "exited";
    const state = await context.engineControl.readState(endpoint);
    if (state !== undefined || attempt === MAX_QUESTIONS) return state;
    await core.waitFor(QUESTION_PAUSE_MS);
  }
}

function createLostEnd(reason: string): upstreams.UpstreamEnd {
  return { type: "broken", outcome: "unknown", reason, cause: "connection_lost" };
}
