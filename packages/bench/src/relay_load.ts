/** Opens streams through an entry process or a proxy and measures the latency of each token. */

import * as http from "node:http";
import * as hdr from "hdr-histogram-js";

export interface RelayLoadResult {
  readonly tokenCount: number;
  /** Streams that did not complete. */
  readonly failedCount: number;
  /** Median time from the sending of a token by the source to its receipt by this process. */
  readonly latencyP50Ms: number;
  readonly latencyP99Ms: number;
}

interface TokenRecorder {
  /** Latencies in microseconds. */
  readonly histogram: hdr.Histogram;
  /** Time from which latencies are recorded, in milliseconds since the epoch. */
  readonly recordFrom: number;
  tokenCount: number;
}

/** Matches the text of a token: the time at which the source sent it, in ms since the epoch. */
const TIMESTAMP_PATTERN = /"text":"(\d+\.\d+)"/g;
const MICROSECONDS_PER_MS = 1000;

/** Runs `streamCount` streams in parallel until all end; records latencies after `warmUpMs`. */
export async function runRelayLoad(
  address: string,
  streamCount: number,
  options: { readonly warmUpMs: number } = { warmUpMs: 0 },
): Promise<RelayLoadResult> {
  const histogram = hdr.build({ highestTrackableValue: 60_000_000 });
  const agent = new http.Agent({ maxSockets: Infinity });
  const recordFrom = performance.timeOrigin + performance.now() + options.warmUpMs;
  const recorder = { histogram, recordFrom, tokenCount: 0 };
  const streams = Array.from({ length: streamCount }, () => runStream(address, agent, recorder));
  const streamOutcomes = await Promise.all(streams);
  agent.destroy();
  return {
    tokenCount: recorder.tokenCount,
    failedCount: streamOutcomes.filter((isDone) => !isDone).length,
    latencyP50Ms: histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MS,
    latencyP99Ms: histogram.getValueAtPercentile(99) / MICROSECONDS_PER_MS,
  };
}

function runStream(
  address: string,
  agent: http.Agent,
  recorder: TokenRecorder,
): Promise<boolean> {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const request = http.request({
      host,
      port,
      path: "/v1/completions",
      method: "POST",
      agent,
      headers: { "content-type": "application/json", "x-workspace": "orchard", "x-request-id": "" },
    }, (response) => {
      let isDone = false;
      response.setEncoding("utf8");
      response.on("data", (chunk: string) => {
        const now = performance.timeOrigin + performance.now();
        for (const match of chunk.matchAll(TIMESTAMP_PATTERN)) {
          recorder.tokenCount += 1;
          const latencyUs = Math.round((now - Number(match[1])) * MICROSECONDS_PER_MS);
          if (now >= recorder.recordFrom) recorder.histogram.recordValue(Math.max(0, latencyUs));
        }
        if (chunk.includes("[DONE]")) isDone = true;
      });
      response.on("end", () => resolve(isDone));
      response.on("error", () => resolve(false));
    });
    request.removeHeader("x-request-id");
    request.on("error", () => resolve(false));
    request.end(JSON.stringify({ model: "layout-7b", prompt: "p", stream: true }));
  });
}
