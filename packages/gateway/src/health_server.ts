/** Serves the readiness of a gateway process and its metrics. */

import * as http from "node:http";
import type * as core from "@peridotvale/core";
import * as gauges from "./gateway_metrics.ts";

export interface HealthServerOptions {
  readonly metrics: core.Metrics;
  readonly getReadinessPath: () => string;
  readonly isReady: () => boolean;
}

const METRICS_PATH = "/metrics";

export function createHealthServer(options: HealthServerOptions): http.Server {
  return http.createServer((request, response) => answerHealthRequest(options, request, response));
}

function answerHealthRequest(
  options: HealthServerOptions,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): void {
  if (request.url === METRICS_PATH) return void gauges.writeMetrics(options.metrics, response);
  if (request.url !== options.getReadinessPath()) {
    response.writeHead(404);
    return void response.end();
  }
  const isReady = options.isReady();
  response.writeHead(isReady ? 200 : 503, { "content-type": "text/plain" });
  response.end(isReady ? "ready\n" : "not ready\n");
}
