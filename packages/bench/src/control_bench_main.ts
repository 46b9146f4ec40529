/**
 * The control bench: measures the CPU time and memory of entry processes and the traffic between
 * them, in fleets of growing size, idle and under load.
 */

import * as standins from "@peridotvale/standins";
import * as usage from "./process_usage.ts";

/**
 * Measurements at one fleet size. The fields are means over the entry processes, unless their name
 * or comment says otherwise.
 */
interface ControlSample {
  readonly processCount: number;
  /** CPU time in percent of one core. */
  readonly cpuPercent: number;
  readonly cpuPercentMax: number;
  readonly residentMb: number;
  readonly sentBytesPerSecond: number;
  readonly sentBytesPerSecondMax: number;
  readonly messagesPerSecond: number;
  readonly linkCount: number;
  /** Rate of calls to the platform by all entry processes together. */
  readonly platformCallsPerSecond: number;
  /** Rate of reads of the VM list by all entry processes together. */
  readonly vmReadsPerSecond: number;
}

/** Resource usage and metrics of one entry process at one point in time. */
interface ProcessReading {
  readonly cpuMs: number;
  readonly residentMb: number;
  /** Values of the process's metrics by metric name. */
  readonly metrics: ReadonlyMap<string, number>;
}

const ZONES = ["a1", "a2", "b1", "b2"];
/** Time between the start of the fleet and the first measurement. */
const SETTLE_MS = 8_000;
const MEASUREMENT_MS = 10_000;
const PROCESS_COUNTS = (process.argv[2] ?? "2,4,8,16,32,64").split(",").map(Number);
const ENGINES_PER_ZONE = 2;
/** Processes started in parallel; more would take CPU time from those already running. */
const START_BATCH_SIZE = 8;
const LOAD_STREAM_COUNT = 32;

await runBench();

async function runBench(): Promise<void> {
  const samples: ControlSample[] = [];
  process.stdout.write(formatHeader());
  for (const processCount of PROCESS_COUNTS) {
    const sample = await measureFleet(processCount);
    samples.push(sample);
  }
  writeLineFits(samples);
}

async function measureFleet(processCount: number): Promise<ControlSample> {
  const harness = new standins.TestHarness();
  try {
    await harness.startPlatform();
    for (const zone of ZONES) {
      for (let index = 0; index < ENGINES_PER_ZONE; index++) await harness.startEngine(zone);
    }
    const entries: standins.StartedEntry[] = [];
    for (let start = 0; start < processCount; start += START_BATCH_SIZE) {
      const count = Math.min(START_BATCH_SIZE, processCount - start);
      const indexes = Array.from({ length: count }, (_, offset) => start + offset);
      entries.push(
        ...await Promise.all(indexes.map((index) => {
          const zone = ZONES[index % ZONES.length]!;
          return harness.startEntry(`${zone}-${index}`, zone);
        })),
      );
    }
    await harness.submitManifest(entries[0]!);
    await standins.waitFor(SETTLE_MS);
    const idle = await measureWindow(harness, entries);
    process.stdout.write(formatRow("idle", idle));
    const loadRun = runLoad(entries);
    await standins.waitFor(1_000);
    const underLoad = await measureWindow(harness, entries);
    const servedCount = await loadRun;
    process.stdout.write(formatRow(`load (${servedCount} requests served)`, underLoad));
    return idle;
  } finally {
    await harness.stop();
  }
}

async function runLoad(entries: readonly standins.StartedEntry[]): Promise<number> {
  const endAt = performance.now() + MEASUREMENT_MS + 2_000;
  let servedCount = 0;
  await Promise.all(Array.from({ length: LOAD_STREAM_COUNT }, async (_, worker) => {
    for (let round = 0; performance.now() < endAt; round++) {
      const entry = entries[(worker + round) % entries.length]!;
      const transcript = await standins.streamCompletion(entry.address, {
        prompt: `${worker}.${round} [len=100]`,
        rank: "patient",
      });
      if (transcript.done) servedCount += 1;
    }
  }));
  return servedCount;
}

async function measureWindow(
  harness: standins.TestHarness,
  entries: readonly standins.StartedEntry[],
): Promise<ControlSample> {
  const before = await readProcesses(entries);
  const countsBefore = await readPlatformCounts(harness);
  const startedAt = performance.now();
  await standins.waitFor(MEASUREMENT_MS);
  const seconds = (performance.now() - startedAt) / 1000;
  const after = await readProcesses(entries);
  const countsAfter = await readPlatformCounts(harness);
  const getRates = (metricName: string) =>
    after.map((reading, index) =>
      ((reading.metrics.get(metricName) ?? 0) - (before[index]!.metrics.get(metricName) ?? 0)) /
      seconds
    );
  const cpuPercents = after.map((reading, index) =>
    (reading.cpuMs - before[index]!.cpuMs) / seconds / 10
  );
  const sentBytes = getRates("peridotvale_peer_sent_bytes");
  return {
    processCount: entries.length,
    cpuPercent: getMean(cpuPercents),
    cpuPercentMax: Math.max(...cpuPercents),
    residentMb: getMean(after.map((reading) => reading.residentMb)),
    sentBytesPerSecond: getMean(sentBytes),
    sentBytesPerSecondMax: Math.max(...sentBytes),
    messagesPerSecond: getMean(getRates("peridotvale_peer_sent_messages")),
    linkCount: getMean(after.map((reading) => reading.metrics.get("peridotvale_peer_links") ?? 0)),
    platformCallsPerSecond: getMean(getRates("peridotvale_platform_calls")) * entries.length,
    vmReadsPerSecond: (countsAfter.vmReads - countsBefore.vmReads) / seconds,
  };
}

async function readProcesses(entries: readonly standins.StartedEntry[]): Promise<ProcessReading[]> {
  return await Promise.all(entries.map(async (entry) => {
    const response = await fetch(`http://${entry.address}/metrics`);
    const metrics = new Map<string, number>();
    for (const line of (await response.text()).split("\n")) {
      const [name, value] = line.split(" ");
      if (name?.startsWith("peridotvale_")) metrics.set(name, Number(value));
    }
    return { ...usage.readProcessUsage(entry.child.pid!), metrics };
  }));
}

async function readPlatformCounts(harness: standins.TestHarness): Promise<standins.CallCounts> {
  return await standins.readJson<standins.CallCounts>(`http://${harness.platform}/test/counts`);
}

function formatHeader(): string {
  return "processes  state                         core %  core % max  MB    sent B/s  max B/s  " +
    "messages/s  links  platform calls/s (fleet)  VM list reads/s (fleet)\n";
}

function formatRow(loadState: string, sample: ControlSample): string {
  return [
    String(sample.processCount).padStart(9),
    ` ${loadState.padEnd(28)}`,
    sample.cpuPercent.toFixed(2).padStart(7),
    sample.cpuPercentMax.toFixed(2).padStart(11),
    sample.residentMb.toFixed(0).padStart(5),
    sample.sentBytesPerSecond.toFixed(0).padStart(10),
    sample.sentBytesPerSecondMax.toFixed(0).padStart(8),
    sample.messagesPerSecond.toFixed(1).padStart(11),
    sample.linkCount.toFixed(1).padStart(6),
    sample.platformCallsPerSecond.toFixed(2).padStart(25),
    sample.vmReadsPerSecond.toFixed(2).padStart(24),
  ].join(" ") + "\n";
}

function writeLineFits(samples: readonly ControlSample[]): void {
  const fields: readonly (readonly [string, (sample: ControlSample) => number])[] = [
    ["core %", (sample) => sample.cpuPercent],
    ["resident MB", (sample) => sample.residentMb],
    ["sent B/s", (sample) => sample.sentBytesPerSecond],
    ["messages/s", (sample) => sample.messagesPerSecond],
    ["platform calls/s of the fleet", (sample) => sample.platformCallsPerSecond],
    ["VM list reads/s of the fleet", (sample) => sample.vmReadsPerSecond],
  ];
  process.stdout.write("\nleast-squares fit over all fleet sizes, idle\n");
  for (const [name, getValue] of fields) {
    const points = samples.map((sample) => ({ x: sample.processCount, y: getValue(sample) }));
    const { slope, intercept } = usage.fitLine(points);
    process.stdout.write(`${name}: ${intercept.toFixed(3)} + ${slope.toFixed(4)} x processes\n`);
  }
}

function getMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}
