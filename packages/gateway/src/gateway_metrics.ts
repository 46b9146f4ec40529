/** Registers the gauges of a gateway process and writes its metrics. */

import type * as http from "node:http";
import type * as core from "@peridotvale/core";
import type * as contexts from "./gateway_context.ts";
import type * as peerAgents from "./peer_agent.ts";
import type * as streams from "./stream_forwarder.ts";

/** Registers the gauges that are read from the state of the process when metrics are written. */
export function registerGauges(
  context: contexts.GatewayContext,
  sources: {
    readonly streamForwarder: streams.StreamForwarder;
    readonly peerAgent: peerAgents.PeerAgent;
  },
): void {
  const { metrics, config, directory, pool, peerLoads, quarantineAgent, limitAgent, clock } =
    context;
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
  register("cold_endpoints", "Endpoints with the rate of a cold one.", () => limitAgent.coldCount);
  register("paced_endpoints", "Endpoints in slow start.", () => limitAgent.pacedCount);
  register("opened_connections", "Connections to endpoints.", () => pool.openedCount);
  register("open_links", "Links to other processes.", () => peerAgent.linkCount);
  register("linked_processes", "Processes that report.", () => peerLoads.processCount);
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
