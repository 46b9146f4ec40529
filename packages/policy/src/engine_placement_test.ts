import * as core from "@peridotvale/core";
import * as tap from "tap";
import * as placements from "./engine_placement.ts";
import * as boards from "./load_board.ts";

const ZONE = core.createId<core.ZoneName>("a");
const DRAFT = { promptTokens: 3_000, maxOutputTokens: 2_000, expectedOutputTokens: 900 };
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

tap.t.test("a flood of drafts fills memory, not slots, and evenly", (t) => {
  const placement = new placements.EnginePlacement(new boards.LoadBoard());
  const candidates = createCandidates(4);
  const counts = new Map<string, number>();
  for (let i = 0; i < 100; i++) {
    const chosen = placement.chooseEngine(candidates, DRAFT, createOptions(i));
    if (chosen === undefined) break;
    const request = core.createId<core.RequestId>(`request-${i}`);
    placement.recordStart(chosen.instance, request, DRAFT);
    placement.recordProgress(chosen.instance, request, { generatedTokens: 4, tokenMs: 9 });
    counts.set(chosen.instance, (counts.get(chosen.instance) ?? 0) + 1);
  }
  t.same([...counts.values()], [8, 8, 8, 8]);
  t.end();
});

tap.t.test("what other processes have placed counts", (t) => {
  const board = new boards.LoadBoard();
  const placement = new placements.EnginePlacement(board);
  const candidates = createCandidates(2);
  const [busy, idle] = candidates.map((one) => one.record.instance);
  const load = { runs: 4, reservedTokens: 16_000, unreadPromptTokens: 0, moveValue: 0 };
  board.applyReport(core.createId("other"), [{ instance: busy!, ...load }], 0);
  for (let i = 0; i < 5; i++) {
    t.equal(placement.chooseEngine(candidates, DRAFT, createOptions(i))?.instance, idle);
  }
  board.expireReports(10_000);
  t.equal(board.processCount, 0, "a process that is silent is forgotten");
  t.end();
});

tap.t.test("an engine that refused is left alone for a while", (t) => {
  const placement = new placements.EnginePlacement(new boards.LoadBoard());
  const [candidate] = createCandidates(1);
  placement.recordRefusal(candidate!.record.instance, 0);
  t.equal(placement.chooseEngine([candidate!], DRAFT, createOptions(10)), undefined);
  t.not(placement.chooseEngine([candidate!], DRAFT, createOptions(1_000)), undefined);
  t.end();
});

tap.t.test("an engine that leaves is remembered until its last run has ended", (t) => {
  const placement = new placements.EnginePlacement(new boards.LoadBoard());
  const [quick, slow] = createCandidates(2).map((one) => one.record.instance);
  const requests = ["one", "two"].map((id) => core.createId<core.RequestId>(id));
  placement.recordStart(quick!, requests[0]!, DRAFT);
  placement.recordStart(slow!, requests[1]!, DRAFT);
  for (let i = 0; i < 100; i += 1) {
    placement.recordProgress(quick!, requests[0]!, { generatedTokens: 4 * i, tokenMs: 2 });
    placement.recordProgress(slow!, requests[1]!, { generatedTokens: 4 * i, tokenMs: 20 });
  }
  t.ok(placement.getFastestTokenMs() < 3);
  placement.dropInstance(quick!);
  t.ok(placement.getFastestTokenMs() > 15, "the speed of one that left says nothing");
  t.equal(placement.listOwnLoads(() => 0).length, 2, "its run still counts there");
  placement.recordEnd(quick!, requests[0]!);
  t.equal(placement.listOwnLoads(() => 0).length, 1);
  t.end();
});
