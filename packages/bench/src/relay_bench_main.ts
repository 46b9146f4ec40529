/**
 * The relay bench: compares the CPU time per token and the latency of an entry process with a
 * plain HTTP proxy, and measures the CPU time per request and the memory per open stream.
 */

import * as path from "node:path";
import * as url from "node:url";
import * as standins from "@peridotvale/standins";
import * as loads from "./relay_load.ts";
import * as usage from "./process_usage.ts";

const BUILD_FOLDER = path.dirname(url.fileURLToPath(import.meta.url));
const TOKEN_INTERVAL_MS = 26;
const TOKENS_PER_STREAM = 400;
/** Time for opening the streams, before latency is recorded. */
const WARM_UP_MS = 2_000;
const STREAM_COUNT = 130;
/** Number of single-token streams per round. */
const SHORT_STREAM_COUNT = 400;
/** Numbers of open streams at which memory is measured. */
const MEMORY_STREAM_COUNTS = [100, 500, 1000, 2000];
const MANIFEST = standins.TEST_MANIFEST.replaceAll(/deadline_ms: \d+/g, "deadline_ms: 3600000");

interface RelayMeasurement extends loads.RelayLoadResult {
  readonly cpuPerTokenUs: number;
  readonly cpuPerRequestUs: number;
}

await runBench();

async function runBench(): Promise<void> {
  const harness = new standins.TestHarness();
  try {
    await harness.startPlatform();
    const source = await startSource(harness, TOKEN_INTERVAL_MS, TOKENS_PER_STREAM);
    const proxy = await harness.startProgram([
      path.join(BUILD_FOLDER, "relay_pipe.js"),
      source.address,
    ]);
    const entry = await startEntry(harness, source);
    await loads.runRelayLoad(proxy.address, 20);
    await loads.runRelayLoad(entry.address, 20);
    const proxyMeasurement = await measureRelay(proxy);
    const entryMeasurement = await measureRelay(entry);
    writeRow("plain proxy", proxyMeasurement);
    writeRow("entry process", entryMeasurement);
    const ratio = entryMeasurement.cpuPerTokenUs / proxyMeasurement.cpuPerTokenUs;
    const addedMs = entryMeasurement.latencyP99Ms - proxyMeasurement.latencyP99Ms;
    process.stdout.write(
      `CPU time per token: ${ratio.toFixed(2)} times the plain proxy's (target: at most 2)\n` +
        `added latency at p99: ${addedMs.toFixed(2)} ms (target: under 2)\n`,
    );
    await measureRequestCpuTime(harness, source.address);
    await measureMemory(harness);
  } finally {
    await harness.stop();
  }
}

async function measureRelay(program: standins.StartedProcess): Promise<RelayMeasurement> {
  const usageBefore = usage.readProcessUsage(program.child.pid!);
  const result = await loads.runRelayLoad(program.address, STREAM_COUNT, { warmUpMs: WARM_UP_MS });
  const usageAfter = usage.readProcessUsage(program.child.pid!);
  const cpuUs = (usageAfter.cpuMs - usageBefore.cpuMs) * 1000;
  return {
    ...result,
    cpuPerTokenUs: cpuUs / result.tokenCount,
    cpuPerRequestUs: cpuUs / STREAM_COUNT,
  };
}

/** Measures the CPU time per request with streams of a single token. */
async function measureRequestCpuTime(
  harness: standins.TestHarness,
  _source: string,
): Promise<void> {
  harness.vms.length = 0;
  const source = await startSource(harness, 1, 1);
  const entry = await startEntry(harness, source, "requests");
  await loads.runRelayLoad(entry.address, 100);
  const usageBefore = usage.readProcessUsage(entry.child.pid!);
  let failedCount = 0;
  for (let round = 0; round < 5; round++) {
    failedCount += (await loads.runRelayLoad(entry.address, SHORT_STREAM_COUNT)).failedCount;
  }
  const usageAfter = usage.readProcessUsage(entry.child.pid!);
  const cpuPerRequestUs = (usageAfter.cpuMs - usageBefore.cpuMs) * 1000 / (5 * SHORT_STREAM_COUNT);
  process.stdout.write(
    `CPU time per request of one token: ${cpuPerRequestUs.toFixed(0)} us (${failedCount} failed)\n`,
  );
}

async function measureMemory(harness: standins.TestHarness): Promise<void> {
  harness.vms.length = 0;
  const source = await startSource(harness, 500, 40);
  const entry = await startEntry(harness, source, "memory");
  const points: { x: number; y: number }[] = [];
  for (const streamCount of MEMORY_STREAM_COUNTS) {
    const load = loads.runRelayLoad(entry.address, streamCount);
    await new Promise((resolve) => setTimeout(resolve, 10_000));
    const { residentMb } = usage.readProcessUsage(entry.child.pid!);
    points.push({ x: streamCount, y: residentMb });
    const { failedCount } = await load;
    process.stdout.write(
      `${streamCount} open streams: ${residentMb.toFixed(1)} MB resident (${failedCount} failed)\n`,
    );
  }
  const { slope, intercept } = usage.fitLine(points);
  process.stdout.write(
    `memory per open stream: ${(slope * 1024).toFixed(1)} KB, base ${intercept.toFixed(0)} MB\n`,
  );
}

async function startSource(
  harness: standins.TestHarness,
  tokenIntervalMs: number,
  tokensPerStream: number,
): Promise<standins.StartedProcess> {
  const program = path.join(BUILD_FOLDER, "relay_source.js");
  const source = await harness.startProgram([
    program,
    String(tokenIntervalMs),
    String(tokensPerStream),
  ]);
  harness.vms.push({ address: source.address, zone: "a", role: "engine", state: "live" });
  return source;
}

async function startEntry(
  harness: standins.TestHarness,
  source: standins.StartedProcess,
  name = "relay",
): Promise<standins.StartedEntry> {
  harness.vms.splice(
    0,
    harness.vms.length,
    ...harness.vms.filter((vm) => vm.address === source.address),
  );
  const entry = await harness.startEntry(`a-${name}`, "a", {
    extraSettings: "limits: { max_open_requests: 100000 }",
  });
  if (name === "relay") await harness.submitManifest(entry, createManifestWithHighLimits());
  await harness.waitReady(entry);
  await standins.waitUntil(async () => {
    const transcript = await standins.streamCompletion(entry.address, { prompt: "x" });
    return transcript.status === 200;
  }, "the entry process serves requests");
  return entry;
}

function createManifestWithHighLimits(): string {
  return MANIFEST.replace("orchard: { weight: 1 }", "orchard: { max_open_requests: 100000 }")
    .replace("between_tokens_ms: 35", "between_tokens_ms: 60000")
    .replace("between_tokens_ms: 70", "between_tokens_ms: 60000")
    .replace("first_token_ms: 1000", "first_token_ms: 60000");
}

function writeRow(name: string, result: RelayMeasurement): void {
  process.stdout.write(
    `${name}: ${result.tokenCount} tokens, ${result.failedCount} failed, ` +
      `${result.cpuPerTokenUs.toFixed(1)} us of CPU time per token, latency ` +
      `p50 ${result.latencyP50Ms.toFixed(2)} ms, p99 ${result.latencyP99Ms.toFixed(2)} ms\n`,
  );
}
