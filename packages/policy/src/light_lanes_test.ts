import * as core from "@peridotvale/core";
import * as tap from "tap";
import * as lanes from "./light_lanes.ts";

/** Time per token of (14 + streams) / speed, as the bench's engines have. */
function createEngines(speeds: readonly number[]): lanes.LaneEngine[] {
  return speeds.map((speed, index) => ({
    endpoint: core.createId<core.EndpointId>(`e${index}`),
    maxBatch: Math.min(48, Math.floor(31 * speed - 14)),
    baseMs: 14 / speed,
    slopeMs: 1 / speed,
  }));
}

tap.t.test("lanes are on the quickest engines, as few as hold the light work", (t) => {
  const engines = createEngines([1, 1, 2, 4, 4]);
  const planned = lanes.planLanes(engines, 8);
  t.same([...planned.keys()], ["e3"]);
  t.equal(planned.get(core.createId("e3"))?.reserved, 9, "with a tenth for bursts");
  t.same([...lanes.planLanes(engines, 20).keys()], ["e3", "e4"]);
  t.end();
});

tap.t.test("other work in a lane slows light work by less than a half", (t) => {
  const engines = createEngines([1, 1, 1.5, 2, 2, 3, 4, 4]);
  for (const lightStreams of [1, 5, 20, 60, 110]) {
    for (const [endpoint, lane] of lanes.planLanes(engines, lightStreams)) {
      const engine = engines.find((one) => one.endpoint === endpoint)!;
      const fullMs = engine.baseMs + engine.slopeMs * lane.maxBatch;
      t.ok(fullMs <= 1.5 * findAloneMs(engines, lightStreams), `${lightStreams} at ${endpoint}`);
    }
  }
  t.end();
});

tap.t.test("no lanes without light work or engines", (t) => {
  t.equal(lanes.planLanes(createEngines([1, 2]), 0).size, 0);
  t.equal(lanes.planLanes([], 5).size, 0);
  t.end();
});

/** Time per token if the streams have all engines alone, spread to finish alike. */
function findAloneMs(engines: readonly lanes.LaneEngine[], streams: number): number {
  const open = engines.map(() => 0);
  for (let i = 0; i < streams; i += 1) {
    let best = 0;
    const timeOf = (index: number) =>
      engines[index]!.baseMs + engines[index]!.slopeMs * (open[index]! + 1);
    for (const index of engines.keys()) if (timeOf(index) < timeOf(best)) best = index;
    open[best]! += 1;
  }
  const times = engines.map((engine, index) =>
    open[index] === 0 ? 0 : engine.baseMs + engine.slopeMs * open[index]!
  );
  return Math.max(...times);
}
