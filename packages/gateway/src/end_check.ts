/**
 * Checks the end of a stream that only the end of its connection shows. An engine that exits closes
 * its connections too, in order; it then accepts no further ones, or it has started anew.
 */

import type * as core from "@peridotvale/core";
import * as probes from "./connect_probe.ts";
import type * as contexts from "./gateway_context.ts";
import type * as upstreams from "./upstream_stream.ts";

/** Time-out of the connection that shows whether an engine still runs. */
const END_CHECK_TIMEOUT_MS = 500;

/** Returns the end to handle instead of `end`, which the engine's connection has shown. */
export async function checkUnframedEnd(
  context: contexts.GatewayContext,
  endpoint: core.EndpointRecord,
  options: { readonly end: upstreams.UpstreamEnd; readonly sentAt: number },
): Promise<upstreams.UpstreamEnd> {
  const { instance } = endpoint;
  const state = await context.engineControl.readState(endpoint.endpoint);
  if (state === undefined) {
    const listener = await probes.checkListener(endpoint.endpoint, END_CHECK_TIMEOUT_MS);
    if (listener === "refused") return createLostEnd("engine exited");
  }
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

function createLostEnd(reason: string): upstreams.UpstreamEnd {
  return { type: "broken", outcome: "unknown", reason, cause: "connection_lost" };
}
