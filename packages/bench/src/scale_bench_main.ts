/**
 * The scale bench: measures the CPU time and memory of scheduling decisions with growing numbers
 * of engines, workspaces and queued requests, and the time to parse manifests and to encode and
 * decode messages.
 */

import * as core from "@peridotvale/core";
import * as peers from "@peridotvale/peers";
import * as policy from "@peridotvale/policy";

interface FleetScale {
  readonly engineCount: number;
  readonly workspaceCount: number;
  readonly queuedCount: number;
}

const MODEL = core.createId<core.ModelName>("m");
const RANK = core.createId<core.RankName>("urgent");
const STREAMS_PER_ENGINE = 32;
const DECISION_COUNT = 20_000;
const PARSE_ROUND_COUNT = 5;
const CODEC_ROUND_COUNT = 20_000;
const SCALES: readonly FleetScale[] = [
  { engineCount: 8, workspaceCount: 10, queuedCount: 0 },
  { engineCount: 16, workspaceCount: 10, queuedCount: 0 },
  { engineCount: 75, workspaceCount: 10, queuedCount: 0 },
  { engineCount: 8, workspaceCount: 100, queuedCount: 0 },
  { engineCount: 8, workspaceCount: 1_000, queuedCount: 0 },
  { engineCount: 8, workspaceCount: 3_300, queuedCount: 0 },
  { engineCount: 8, workspaceCount: 10, queuedCount: 100 },
  { engineCount: 8, workspaceCount: 10, queuedCount: 1_000 },
  { engineCount: 8, workspaceCount: 1_000, queuedCount: 10_000 },
  { engineCount: 16, workspaceCount: 3_300, queuedCount: 1_000 },
  { engineCount: 75, workspaceCount: 3_300, queuedCount: 10_000 },
];

process.stdout.write("engines  workspaces  queued  us per request  us per report  heap MB\n");
for (const scale of SCALES) measureDecisions(scale);
process.stdout.write("\nworkspaces  manifest KB  ms to parse YAML  ms to parse JSON\n");
for (const workspaceCount of [10, 100, 1_000, 3_300]) measureManifestParsing(workspaceCount);
process.stdout.write("\nmessage               bytes  us to encode  us to decode\n");
for (const [name, message] of createMessages()) measureCodec(name, message);

function measureDecisions(scale: FleetScale): void {
  const scheduler = new policy.Scheduler();
  const random = new core.SeededRandom(1);
  let now = 0;
  let nextId = 0;
  const openRequests: core.RequestId[] = [];
  const sendEvent = (event: policy.SchedulerEvent) => {
    for (const effect of scheduler.handle(event, now)) {
      if (effect.type === "granted") openRequests.push(effect.request);
    }
  };
  const addRequest = () => {
    const workspaceIndex = Math.floor(random.next() * scale.workspaceCount);
    sendEvent({
      type: "request_arrived",
      capacity: createCapacityRequest(nextId++, workspaceIndex),
    });
  };
  const endRequest = () => {
    const index = Math.floor(random.next() * openRequests.length);
    const request = openRequests[index]!;
    openRequests[index] = openRequests[openRequests.length - 1]!;
    openRequests.pop();
    sendEvent({ type: "tokens_generated", request, tokens: 20 });
    sendEvent({ type: "request_ended", request, end: "completed" });
  };
  sendEvent({ type: "manifest_changed", manifest: createManifest(scale.workspaceCount) });
  for (let index = 0; index < scale.engineCount; index++) sendEvent(createEngine(index));
  const targetStreamCount = scale.engineCount * STREAMS_PER_ENGINE;
  for (
    let round = 0;
    openRequests.length < targetStreamCount && round < 50 * targetStreamCount;
    round++
  ) {
    addRequest();
    now += 1;
    if (openRequests.length > 0) reportTokens(openRequests, random, sendEvent);
  }
  for (let index = 0; index < scale.queuedCount; index++) addRequest();
  const measureRequestUs = (count: number) => {
    const startedAt = performance.now();
    for (let index = 0; index < count; index++) {
      now += 1;
      endRequest();
      addRequest();
      if (index % 50 === 0) sendEvent({ type: "ticked" });
    }
    return (performance.now() - startedAt) * 1000 / count;
  };
  measureRequestUs(DECISION_COUNT / 4);
  const perRequestUs = measureRequestUs(DECISION_COUNT);
  const startedAt = performance.now();
  for (let index = 0; index < DECISION_COUNT; index++) {
    reportTokens(openRequests, random, sendEvent);
  }
  const perReportUs = (performance.now() - startedAt) * 1000 / DECISION_COUNT;
  const heapMb = process.memoryUsage().heapUsed / 1024 / 1024;
  process.stdout.write(
    `${String(scale.engineCount).padStart(7)}  ${String(scale.workspaceCount).padStart(10)}  ` +
      `${String(scheduler.queuedCount).padStart(6)}  ${perRequestUs.toFixed(1).padStart(14)}  ` +
      `${perReportUs.toFixed(2).padStart(13)}  ${heapMb.toFixed(0).padStart(7)}\n`,
  );
}

function measureManifestParsing(workspaceCount: number): void {
  const yaml = createManifestText(workspaceCount);
  const json = core.convertYamlToJson(yaml);
  const measureMs = (document: string) => {
    core.parseManifest(document, { source: "bench" });
    const startedAt = performance.now();
    for (let round = 0; round < PARSE_ROUND_COUNT; round++) {
      core.parseManifest(document, { source: "bench" });
    }
    return (performance.now() - startedAt) / PARSE_ROUND_COUNT;
  };
  process.stdout.write(
    `${String(workspaceCount).padStart(10)}  ${(json.length / 1024).toFixed(0).padStart(11)}  ` +
      `${measureMs(yaml).toFixed(1).padStart(16)}  ${measureMs(json).toFixed(1).padStart(16)}\n`,
  );
}

function measureCodec(name: string, message: peers.PeerMessage): void {
  const frame = peers.encodeMessage(message);
  const measureCallUs = (callback: () => unknown) => {
    for (let round = 0; round < CODEC_ROUND_COUNT; round++) callback();
    const startedAt = performance.now();
    for (let round = 0; round < CODEC_ROUND_COUNT; round++) callback();
    return (performance.now() - startedAt) * 1000 / CODEC_ROUND_COUNT;
  };
  const encodeUs = measureCallUs(() => peers.encodeMessage(message));
  const decodeUs = measureCallUs(() => peers.decodeMessage(frame));
  process.stdout.write(
    `${name.padEnd(20)}  ${String(frame.length).padStart(5)}  ` +
      `${encodeUs.toFixed(2).padStart(12)}  ${decodeUs.toFixed(2).padStart(12)}\n`,
  );
}

function createMessages(): (readonly [string, peers.PeerMessage])[] {
  const request = core.createId<core.RequestId>("aB3dE5gH7jK");
  const capacity = { ...createCapacityRequest(1, 1), request };
  const createTokenReports = (count: number): policy.SchedulerEvent[] =>
    Array.from({ length: count }, () => ({ type: "tokens_generated", request, tokens: 40 }));
  const endpoint = core.createId<core.EndpointId>("10.20.30.40:8000");
  return [
    ["heartbeat", {
      type: "heartbeat",
      incarnation: 1_764_800_000_000,
      draining: false,
      release: 1_500,
      openRequests: 130,
      ask: true,
      groups: [{ index: 0, openStreams: 1_000, queuedRequests: 3 }],
    }],
    ["request for capacity", {
      type: "capacity_events",
      events: [{ type: "request_arrived", capacity }],
    }],
    ["grant", {
      type: "capacity_effects",
      effects: [{ type: "granted", request, endpoint, queuedMs: 1.5 }],
    }],
    ["end of a stream", {
      type: "capacity_events",
      events: [...createTokenReports(1), { type: "request_ended", request, end: "completed" }],
    }],
    ["one report", { type: "capacity_events", events: createTokenReports(1) }],
    ["ten reports", { type: "capacity_events", events: createTokenReports(10) }],
  ];
}

function reportTokens(
  openRequests: readonly core.RequestId[],
  random: core.SeededRandom,
  sendEvent: (event: policy.SchedulerEvent) => void,
): void {
  const request = openRequests[Math.floor(random.next() * openRequests.length)]!;
  sendEvent({ type: "tokens_generated", request, tokens: 4 });
}

function createCapacityRequest(id: number, workspaceIndex: number): policy.CapacityRequest {
  return {
    request: core.createId<core.RequestId>(`r${id}`),
    workspace: core.createId<core.WorkspaceName>(`w${workspaceIndex}`),
    rank: RANK,
    model: MODEL,
    promptTokens: 300,
    maxTokens: 20_000,
    prefixes: [workspaceIndex, workspaceIndex + 10_000],
    startBy: Infinity,
    mayQueue: true,
    avoid: [],
  };
}

function createEngine(index: number): policy.SchedulerEvent {
  return {
    type: "engine_updated",
    engine: {
      endpoint: core.createId<core.EndpointId>(`e${index}`),
      models: [MODEL],
      accepting: true,
      statusReadAt: 0,
      memoryLimitTokens: 100_000,
      maxBatch: STREAMS_PER_ENGINE,
    },
  };
}

function createManifest(workspaceCount: number): core.Manifest {
  return core.parseManifest(createManifestText(workspaceCount), { source: "bench" })
    ._unsafeUnwrap();
}

function createManifestText(workspaceCount: number): string {
  const names = Array.from({ length: workspaceCount }, (_, index) => `  w${index}: {}`).join("\n");
  return `release: 1
models: { m: { version: v, replicas: 1, max_output_tokens: 20000 } }
ranks:
  urgent: { order: 0, first_token_ms: 3600000, between_tokens_ms: 60000, deadline_ms: 3600000 }
default_rank: urgent
workspaces:
${names}
`;
}
