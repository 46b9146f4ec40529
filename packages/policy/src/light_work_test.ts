import * as core from "@peridotvale/core";
import * as tap from "tap";
import * as queues from "./fair_queue.ts";
import * as lightWork from "./light_work.ts";
import * as workspaces from "./workspace_shares.ts";

const ENGINE = {
  endpoint: core.createId<core.EndpointId>("e0"),
  maxBatch: 20,
  baseMs: 10,
  slopeMs: 1,
};

function createWork(open: Readonly<Record<string, number>>): lightWork.RankWork {
  const shares = new workspaces.WorkspaceShares();
  for (const [name, count] of Object.entries(open)) {
    for (let i = 0; i < count; i += 1) shares.recordOpened(core.createId(name), 1);
  }
  return { queue: new queues.FairQueue(), workspaces: shares };
}

tap.t.test("lanes are kept for light workspaces beside heavy ones", (t) => {
  const light = new lightWork.LightWork();
  light.updateLanes(createWork({ large: 18, small: 2 }), [ENGINE], 0);
  t.equal(light.hasLanes, true);
  t.equal(light.isLight(core.createId("small")), true);
  t.equal(light.isLight(core.createId("large")), false);
  t.end();
});

tap.t.test("a workspace that grows is not kept out by what it had before", (t) => {
  const light = new lightWork.LightWork();
  light.updateLanes(createWork({ only: 10 }), [ENGINE], 0);
  light.updateLanes(createWork({ only: 30 }), [ENGINE], 100);
  t.equal(light.hasLanes, false, "nobody else has work");
  light.updateLanes(createWork({ first: 9, second: 3 }), [ENGINE], 200);
  light.updateLanes(createWork({ first: 30, second: 30 }), [ENGINE], 300);
  t.equal(light.hasLanes, false, "both are heavy");
  t.end();
});
