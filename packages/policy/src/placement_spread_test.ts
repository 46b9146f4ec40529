import * as core from "@peridotvale/core";
import * as tap from "tap";
import * as placements from "./engine_placement.ts";
import * as peers from "./peer_loads.ts";
import * as spreads from "./placement_spread.ts";

const ENGINE_COUNT = 12;
const PROCESS_COUNT = 28;
const SIZE = { promptTokens: 2_500, maxOutputTokens: 40, expectedOutputTokens: 10 };
const ZONE = core.createId<core.ZoneName>("lakes-a");

/** Engines of one zone, with the profile of the load pattern below. */
function createCandidates(): placements.EngineCandidate[] {
  return Array.from({ length: ENGINE_COUNT }, (_, index) => ({
    record: {
      instance: core.createId<core.InstanceId>(`engine-${index}`),
      endpoint: core.createId<core.EndpointId>(`10.0.0.${index}:1`),
      service: core.createId<core.ServiceName>("models"),
      zone: ZONE,
      slots: 24,
      isDraining: false,
      startedAt: 0,
      revision: 1,
    } as core.EndpointRecord,
    profile: { slots: 24, memoryTokens: 27_000, tokensPerEvent: 4, canMove: true },
  }));
}

/**
 * Replays a zone in which each process starts short generations on reports that are `lagMs` old.
 * Returns the share of generations whose engine got three others or more within 400 ms, the time
 * that it takes to process one prompt beside running generations.
 */
function replayStarts(options: { readonly reportLagMs: number; readonly lagMs: number }): number {
  const random = new core.SeededRandom(20261204);
  const candidates = createCandidates();
  const starts: { readonly at: number; readonly instance: core.InstanceId }[] = [];
  const peerLoads = new peers.PeerLoads();
  const placement = new placements.EnginePlacement(peerLoads);
  // Long generations fill the engines to different degrees, so that one is the least loaded.
  const longRuns = candidates.map(({ record: { instance } }, index) => ({
    instance,
    runs: 1,
    reservedTokens: 700 * index,
    unreadPromptTokens: 0,
    moveValue: 0,
  }));
  for (let at = 0; at < 60_000; at += 100 * 2 * random.next()) {
    peerLoads.applyReport(core.createId<core.ProcessId>("front-long"), longRuns, {
      now: at,
      ttlMs: peers.REPORT_TTL_MS,
    });
    // Every process decides with the same reports and without runs of its own.
    const known = starts.filter((start) => start.at <= at - options.lagMs && start.at > at - 600);
    for (let index = 0; index < PROCESS_COUNT; index += 1) {
      const loads = known.filter((_, position) => position % PROCESS_COUNT === index);
      const byInstance = new Map<core.InstanceId, number>();
      for (const { instance } of loads) {
        byInstance.set(instance, (byInstance.get(instance) ?? 0) + 1);
      }
      peerLoads.applyReport(
        core.createId<core.ProcessId>(`front-${index}`),
        [...byInstance].map(([instance, runs]) => ({
          instance,
          runs,
          reservedTokens: 2_510 * runs,
          unreadPromptTokens: 2_500 * runs,
          moveValue: 0,
        })),
        { now: at, ttlMs: peers.REPORT_TTL_MS },
      );
    }
    const record = placement.chooseEngine(candidates, SIZE, {
      now: at,
      zone: ZONE,
      avoid: new Set(),
      random,
      rank: 0,
      reportLagMs: options.reportLagMs,
    });
    starts.push({ at, instance: record!.instance });
  }
  const crowded = starts.filter((start) =>
    starts.filter((other) =>
      other !== start && other.instance === start.instance && Math.abs(other.at - start.at) < 400
    ).length >= 3
  );
  return crowded.length / starts.length;
}

// 83 processes placed 29 prompts a second on 32 engines, half of them beside two or more others.
tap.t.test("placements on late reports do not crowd at the least loaded engine", (t) => {
  const withoutSpread = replayStarts({ lagMs: 350, reportLagMs: 0 });
  const withSpread = replayStarts({ lagMs: 350, reportLagMs: 350 });
  t.ok(
    withSpread < withoutSpread / 2,
    `crowded: ${withoutSpread.toFixed(3)} without spreading, ${withSpread.toFixed(3)} with it`,
  );
  t.end();
});

tap.t.test("only engines that one more placement makes equal are chosen beside the best", (t) => {
  const random = new core.SeededRandom(1);
  const candidates = [0.9, 0.1, 0.2, 0.5].map((score) => ({ score, increment: 0.15 }));
  const chosen = new Set<number>();
  for (let i = 0; i < 200; i += 1) {
    chosen.add(spreads.chooseSpread(candidates, 3, random)!.score);
  }
  t.same([...chosen].sort((a, b) => a - b), [0.1, 0.2]);
  t.equal(spreads.chooseSpread(candidates, 0, random)?.score, 0.1, "up to date: the best one");
  t.equal(spreads.chooseSpread([], 3, random), undefined);
  t.end();
});
