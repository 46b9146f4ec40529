import * as core from "@peridotvale/core";
import * as tap from "tap";
import * as placements from "./engine_placement.ts";
import * as peers from "./peer_loads.ts";

const ZONE = core.createId<core.ZoneName>("a");
const LONG_RUN_SIZE = { promptTokens: 3_000, maxOutputTokens: 2_000, expectedOutputTokens: 900 };
const PROFILE: core.EngineProfile = {
  slots: 24,
  memoryTokens: 34_000,
  tokensPerEvent: 4,
  canMove: true,
};

function createCandidates(count: number): placements.EngineCandidate[] {
  return Array.from({ length: count }, (_, index) => ({
    record: {
      instance: core.createId<core.InstanceId>(`engine-${index}`),
      endpoint: core.createId<core.EndpointId>(`10.0.0.${index}:80`),
      service: core.createId<core.ServiceName>("drafts"),
      zone: ZONE,
      isDraining: false,
      slots: 24,
      startedAt: undefined,
      revision: 1,
      coldLeftMs: 0,
    },
    profile: PROFILE,
  }));
}

function createOptions(now: number) {
  return {
    now,
    zone: ZONE,
    avoid: new Set<core.InstanceId>(),
    random: new core.SeededRandom(1),
    rank: 2,
  };
}

// Long generations fill an engine's memory while most of its slots are free. Placement by slots
// would overcommit memory.
tap.t.test("long generations are spread evenly until the engines' memory is full", (t) => {
  const placement = new placements.EnginePlacement(new peers.PeerLoads());
  const candidates = createCandidates(4);
  const counts = new Map<string, number>();
  for (let i = 0; i < 100; i++) {
    const chosenRecord = placement.chooseEngine(candidates, LONG_RUN_SIZE, createOptions(i));
    if (chosenRecord === undefined) break;
    const request = core.createId<core.RequestId>(`request-${i}`);
    placement.recordStart(chosenRecord.instance, request, LONG_RUN_SIZE);
    placement.recordProgress(chosenRecord.instance, request, { generatedTokens: 4, tokenMs: 9 });
    counts.set(chosenRecord.instance, (counts.get(chosenRecord.instance) ?? 0) + 1);
  }
  t.same([...counts.values()], [8, 8, 8, 8]);
  t.end();
});

// If each process ignored the load from the others, all would choose the same engine.
tap.t.test("an idle engine is preferred to one with load from another process", (t) => {
  const peerLoads = new peers.PeerLoads();
  const placement = new placements.EnginePlacement(peerLoads);
  const candidates = createCandidates(2);
  const [busy, idle] = candidates.map((candidate) => candidate.record.instance);
  const load = { runs: 4, reservedTokens: 16_000, unreadPromptTokens: 0, moveValue: 0 };
  peerLoads.applyReport(core.createId("other"), [{ instance: busy!, ...load }], {
    now: 0,
    ttlMs: peers.REPORT_TTL_MS,
  });
  for (let i = 0; i < 5; i++) {
    t.equal(placement.chooseEngine(candidates, LONG_RUN_SIZE, createOptions(i))?.instance, idle);
  }
  peerLoads.expireReports(10_000);
  t.equal(peerLoads.processCount, 0, "a process that does not report is dropped");
  t.end();
});

tap.t.test("an engine that refused a generation is avoided for a limited time", (t) => {
  const placement = new placements.EnginePlacement(new peers.PeerLoads());
  const [candidate] = createCandidates(1);
  placement.recordRefusal(candidate!.record.instance, 0);
  t.equal(placement.chooseEngine([candidate!], LONG_RUN_SIZE, createOptions(10)), undefined);
  t.not(placement.chooseEngine([candidate!], LONG_RUN_SIZE, createOptions(1_000)), undefined);
  t.end();
});

tap.t.test("an engine that leaves is tracked until its last run has ended", (t) => {
  const placement = new placements.EnginePlacement(new peers.PeerLoads());
  const [fast, slow] = createCandidates(2).map((candidate) => candidate.record.instance);
  const requests = ["one", "two"].map((id) => core.createId<core.RequestId>(id));
  placement.recordStart(fast!, requests[0]!, LONG_RUN_SIZE);
  placement.recordStart(slow!, requests[1]!, LONG_RUN_SIZE);
  for (let i = 0; i < 100; i += 1) {
    placement.recordProgress(fast!, requests[0]!, { generatedTokens: 4 * i, tokenMs: 2 });
    placement.recordProgress(slow!, requests[1]!, { generatedTokens: 4 * i, tokenMs: 20 });
  }
  t.ok(placement.getFastestTokenMs() < 3);
  placement.dropInstance(fast!);
  t.ok(placement.getFastestTokenMs() > 15, "the speed of an engine that left is ignored");
  t.equal(placement.listOwnLoads(() => 0).length, 2, "its run is still listed");
  placement.recordEnd(fast!, requests[0]!);
  t.equal(placement.listOwnLoads(() => 0).length, 1);
  t.end();
});

// Without load, an engine that has crashed looks best until its entry expires.
tap.t.test("an engine that accepts no connections is avoided for longer each time", (t) => {
  const placement = new placements.EnginePlacement(new peers.PeerLoads());
  const [candidate] = createCandidates(1);
  const { instance } = candidate!.record;
  const isChosen = (now: number) =>
    placement.chooseEngine([candidate!], LONG_RUN_SIZE, createOptions(now)) !== undefined;
  let now = 0;
  let attempts = 0;
  for (; now < 10_000; now += 50) {
    if (!isChosen(now)) continue;
    attempts += 1;
    placement.recordUnreachable(instance, now);
  }
  t.ok(attempts <= 6, `${attempts} attempts in 10 s`);
  t.ok(isChosen(now + 3_200), "it is found again after a restart");
  const request = core.createId<core.RequestId>("r");
  placement.recordStart(instance, request, LONG_RUN_SIZE);
  placement.recordProgress(instance, request, { generatedTokens: 4, tokenMs: 9 });
  placement.recordEnd(instance, request);
  placement.recordUnreachable(instance, 20_000);
  t.ok(isChosen(20_400), "an answer ends the longer waits");
  placement.recordCrash(instance, 30_000);
  t.notOk(isChosen(31_000));
  t.end();
});
