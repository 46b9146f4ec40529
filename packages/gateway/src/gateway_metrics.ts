/** Registers the gauges of a gateway process and writes its metrics. */

import type * as http from "node:http";
import * as core from "@peridotvale/core";
import type * as contexts from "./gateway_context.ts";
import type * as peerAgents from "./peer_agent.ts";
import type * as handlers from "./request_handler.ts";
import type * as streams from "./stream_forwarder.ts";

/** Registers the gauges that are read from the state of the process when metrics are written. */
export function registerGauges(
  context: contexts.GatewayContext,
  sources: {
    readonly streamForwarder: streams.StreamForwarder;
    readonly peerAgent: peerAgents.PeerAgent;
    readonly requestHandler: handlers.RequestHandler;
  },
): void {
  const { metrics, config, directory, pool, peerLoads, quarantineAgent, limitAgent, clock } =
    context;
  const { signalAgent } = context;
  const { streamForwarder, peerAgent } = sources;
  const register = (name: string, help: string, readValue: () => number) =>
    metrics.registerGauge(name, help, { read: readValue });
  register(
    "open_generations",
    "Generations in progress.",
    () => streamForwarder.relays.size,
  );
  register(
    "waiting_generations",
    "Generations that wait.",
    () => streamForwarder.waitingCount,
  );
  register("config_release", "Release in force.", () => config.inForce?.config.release ?? 0);
  register(
    "config_age_seconds",
    "Age of the last confirmation.",
    () => config.getConfirmAgeMs(clock.now()) / 1000,
  );
  register(
    "usable_endpoints",
    "Endpoints that get new work.",
    () => directory.usableInstanceCount,
  );
  register(
    "quarantined_parts",
    "Prompt parts that are refused because engines crashed on them.",
    () => quarantineAgent.quarantinedCount,
  );
  register(
    "limited_endpoints",
    "Endpoints that name a limit on their request rate.",
    () => limitAgent.limitedCount,
  );
  registerEvacuations(context, sources);
  register(
    "held_off_endpoints",
    "Endpoints that accept nothing from this process for now.",
    () => signalAgent.heldOffCount,
  );
  register(
    "leave_signals",
    "Starts of endpoints that stated in an answer that they leave.",
    () => directory.leaveSignalCount,
  );
  register("cold_endpoints", "Endpoints with the rate of a cold one.", () => limitAgent.coldCount);
  register("paced_endpoints", "Endpoints in slow start.", () => limitAgent.pacedCount);
  register("opened_connections", "Connections to endpoints.", () => pool.openedCount);
  register(
    "waiting_reads",
    "Connections to endpoints and the store whose bytes wait for a later turn of the event loop.",
    core.countWaitingReads,
  );
  register("open_links", "Links to other processes.", () => peerAgent.linkCount);
  register("linked_processes", "Processes that report.", () => peerLoads.processCount);
}

/** Registers which zones are evacuated and what still runs there. */
function registerEvacuations(
  { metrics, evacuationAgent }: contexts.GatewayContext,
  sources: {
    readonly streamForwarder: streams.StreamForwarder;
    readonly requestHandler: handlers.RequestHandler;
  },
): void {
  metrics.registerGauge("evacuated_zones", "Zones that are evacuated.", {
    read: () => evacuationAgent.listEvacuated().length,
  });
  metrics.registerLabelledGauge(
    "evacuated_zone_revision",
    "Store revision of the evacuation of a zone.",
    {
      labelName: "zone",
      read: () => evacuationAgent.listEvacuated().map(({ zone, revision }) => [zone, revision]),
    },
  );
  metrics.registerLabelledGauge(
    "evacuated_zone_open_requests",
    "Calls and generations of this process that still run in an evacuated zone.",
    {
      labelName: "zone",
      read: () => {
        const endpoints = [...sources.streamForwarder.relays].map(({ endpoint }) => endpoint);
        endpoints.push(...sources.requestHandler.listCalledEndpoints());
        return evacuationAgent.listEvacuated().map(({ zone }) => {
          return [zone, endpoints.filter((endpoint) => endpoint.zone === zone).length];
        });
      },
    },
  );
}

/** Answers a request for the metrics. */
export async function writeMetrics(
  metrics: core.Metrics,
  response: http.ServerResponse,
): Promise<void> {
  const metricsText = await metrics.formatText();
  response.writeHead(200, { "content-type": "text/plain; version=0.0.4" });
  response.end(metricsText);
}
