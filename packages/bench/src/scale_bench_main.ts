/** Processor time and memory of a scheduling decision as fronts, engines, workspaces and queues grow. */

import * as core from "@peridotvale/core";
import * as peers from "@peridotvale/peers";
import * as policy from "@peridotvale/policy";

interface ScaleShape {
  readonly engines: number;
  readonly workspaces: number;
  readonly queued: number;
}

const MODEL = core.createId<core.ModelName>("m");
const RANK = core.createId<core.RankName>("urgent");
const STREAMS_PER_ENGINE = 32;
const DECISIONS = 20_000;
const PARSE_ROUNDS = 5;
const CODEC_ROUNDS = 20_000;
const ROUNDS: readonly ScaleShape[] = [
  { engines: 8, workspaces: 10, queued: 0 },
  { engines: 16, workspaces: 10, queued: 0 },
  { engines: 75, workspaces: 10, queued: 0 },
  { engines: 8, workspaces: 100, queued: 0 },
  { engines: 8, workspaces: 1_000, queued: 0 },
  { engines: 8, workspaces: 3_300, queued: 0 },
  { engines: 8, workspaces: 10, queued: 100 },
  { engines: 8, workspaces: 10, queued: 1_000 },
  { engines: 8, workspaces: 1_000, queued: 10_000 },
  { engines: 16, workspaces: 3_300, queued: 1_000 },
  { engines: 75, workspaces: 3_300, queued: 10_000 },
];

process.stdout.write("engines  workspaces  queued  us per request  us per report  heap MB\n");
for (const shape of ROUNDS) runRound(shape);
process.stdout.write("\nworkspaces  manifest KB  ms to parse YAML  ms to parse JSON\n");
for (const workspaces of [10, 100, 1_000, 3_300]) measureManifest(workspaces);
process.stdout.write("\nmessage               bytes  us to encode  us to decode\n");
for (const [name, message] of createMessages()) measureMessage(name, message);

function runRound(shape: ScaleShape): void {
  const scheduler = new policy.Scheduler();
  const random = new core.SeededRandom(1);
  let now = 0;
  let nextId = 0;
  const open: core.RequestId[] = [];
  const send = (event: policy.SchedulerEvent) => {
    for (const effect of scheduler.handle(event, now)) {
      if (effect.type === "granted") open.push(effect.request);
    }
  };
  const arrive = () => {
    const workspace = Math.floor(random.next() * shape.workspaces);
    send({ type: "request_arrived", capacity: createCapacity(nextId++, workspace) });
  };
  const end = () => {
    const index = Math.floor(random.next() * open.length);
    const request = open[index]!;
    open[index] = open[open.length - 1]!;
    open.pop();
    send({ type: "tokens_generated", request, tokens: 20 });
    send({ type: "request_ended", request, end: "completed" });
  };
  send({ type: "manifest_changed", manifest: createManifest(shape.workspaces) });
  for (let index = 0; index < shape.engines; index++) send(createEngine(index));
  const wanted = shape.engines * STREAMS_PER_ENGINE;
  for (let round = 0; open.length < wanted && round < 50 * wanted; round++) {
    arrive();
    now += 1;
    if (open.length > 0) recordTokens(open, random, send);
  }
  for (let index = 0; index < shape.queued; index++) arrive();
  const measure = (count: number) => {
    const startedAt = performance.now();
    for (let index = 0; index < count; index++) {
      now += 1;
      end();
      arrive();
      if (index % 50 === 0) send({ type: "ticked" });
    }
    return (performance.now() - startedAt) * 1000 / count;
  };
  measure(DECISIONS / 4);
  const perRequest = measure(DECISIONS);
  const startedAt = performance.now();
  for (let index = 0; index < DECISIONS; index++) recordTokens(open, random, send);
  const perReport = (performance.now() - startedAt) * 1000 / DECISIONS;
  const heap = process.memoryUsage().heapUsed / 1024 / 1024;
  process.stdout.write(
    `${String(shape.engines).padStart(7)}  ${String(shape.workspaces).padStart(10)}  ` +
      `${String(scheduler.queuedCount).padStart(6)}  ${perRequest.toFixed(1).padStart(14)}  ` +
      `${perReport.toFixed(2).padStart(13)}  ${heap.toFixed(0).padStart(7)}\n`,
  );
}

function measureManifest(workspaces: number): void {
  const text = createManifestText(workspaces);
  const json = core.convertToJson(text);
  const measure = (document: string) => {
    core.parseManifest(document, { source: "bench" });
    const startedAt = performance.now();
    for (let round = 0; round < PARSE_ROUNDS; round++) {
      core.parseManifest(document, { source: "bench" });
    }
    return (performance.now() - startedAt) / PARSE_ROUNDS;
  };
  process.stdout.write(
    `${String(workspaces).padStart(10)}  ${(json.length / 1024).toFixed(0).padStart(11)}  ` +
      `${measure(text).toFixed(1).padStart(16)}  ${measure(json).toFixed(1).padStart(16)}\n`,
  );
}

function measureMessage(name: string, message: peers.PeerMessage): void {
  const frame = peers.encodeMessage(message);
  const measure = (run: () => unknown) => {
    for (let round = 0; round < CODEC_ROUNDS; round++) run();
    const startedAt = performance.now();
    for (let round = 0; round < CODEC_ROUNDS; round++) run();
    return (performance.now() - startedAt) * 1000 / CODEC_ROUNDS;
  };
  const encodeUs = measure(() => peers.encodeMessage(message));
  const decodeUs = measure(() => peers.decodeMessage(frame));
  process.stdout.write(
    `${name.padEnd(20)}  ${String(frame.length).padStart(5)}  ` +
      `${encodeUs.toFixed(2).padStart(12)}  ${decodeUs.toFixed(2).padStart(12)}\n`,
  );
}

function createMessages(): (readonly [string, peers.PeerMessage])[] {
  const request = core.createId<core.RequestId>("aB3dE5gH7jK");
  const capacity = { ...createCapacity(1, 1), request };
  const createReports = (count: number): policy.SchedulerEvent[] =>
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
      events: [...createReports(1), { type: "request_ended", request, end: "completed" }],
    }],
    ["one report", { type: "capacity_events", events: createReports(1) }],
    ["ten reports", { type: "capacity_events", events: createReports(10) }],
  ];
}

function recordTokens(
  open: readonly core.RequestId[],
  random: core.SeededRandom,
  send: (event: policy.SchedulerEvent) => void,
): void {
  const request = open[Math.floor(random.next() * open.length)]!;
  send({ type: "tokens_generated", request, tokens: 4 });
}

function createCapacity(id: number, workspace: number): policy.CapacityRequest {
  return {
    request: core.createId<core.RequestId>(`r${id}`),
    workspace: core.createId<core.WorkspaceName>(`w${workspace}`),
    rank: RANK,
    model: MODEL,
    promptTokens: 300,
    maxTokens: 20_000,
    prefixes: [workspace, workspace + 10_000],
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
      memoryLimitTokens: 100_000,
      maxBatch: STREAMS_PER_ENGINE,
    },
  };
}

function createManifest(workspaces: number): core.Manifest {
  return core.parseManifest(createManifestText(workspaces), { source: "bench" })._unsafeUnwrap();
}

function createManifestText(workspaces: number): string {
  const names = Array.from({ length: workspaces }, (_, index) => `  w${index}: {}`).join("\n");
  return `release: 1
models: { m: { version: v, replicas: 1, max_output_tokens: 20000 } }
ranks:
  urgent: { order: 0, first_token_ms: 3600000, between_tokens_ms: 60000, deadline_ms: 3600000 }
default_rank: urgent
workspaces:
${names}
`;
}
