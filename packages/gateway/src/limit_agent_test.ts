import * as core from "@peridotvale/core";
import * as tap from "tap";
import * as agents from "./limit_agent.ts";

const clock = { now: 0 };
const ZONE = core.createId<core.ZoneName>("a");

function createEndpoint(name: string, service: string): core.EndpointRecord {
  return {
    instance: core.createId<core.InstanceId>(name),
    endpoint: core.createId<core.EndpointId>(`${name}:80`),
    service: core.createId<core.ServiceName>(service),
    zone: ZONE,
    isDraining: false,
    slots: 6,
    startedAt: 0,
    revision: 1,
    coldLeftMs: undefined,
  };
}

function createAgent(lines: string[], isPaceEnabled = false): agents.LimitAgent {
  const rules = new Map([["cold", { coldStartMs: 10_000, coldPerS: 2 }], ["plain", {
    coldStartMs: 0,
    coldPerS: 0,
  }]]);
  return new agents.LimitAgent({
    clock: { now: () => clock.now, readWallTime: () => 1_000_000 + clock.now },
    logger: { write: (event, fields) => lines.push(core.formatLine(event, fields ?? {})) },
    random: new core.SeededRandom(1),
    self: { process: core.createId<core.ProcessId>("p"), zone: ZONE },
    getFleetSize: () => 1,
    countPrecedingPeers: () => 0,
    listKnownPeers: () => [],
    getBounds: () => ({}),
    isPaceEnabled: () => isPaceEnabled,
    getListedAt: () => 0,
    getService: (name) => ({
      name,
      maxConnections: 1,
      healthPath: "/",
      engine: undefined,
      ...rules.get(name)!,
    }),
  });
}

/** Sends whenever `agent` permits it, for a second; each request is answered at once. */
function countSends(agent: agents.LimitAgent, endpoint: core.EndpointRecord, from: number): number {
  let count = 0;
  for (let now = from; now < from + 1_000; now += 10) {
    if (!agent.canSend(endpoint, now)) continue;
    clock.now = now;
    agent.recordSend(endpoint, now);
    agent.recordEnd(endpoint, "answered", now);
    count += 1;
  }
  return count;
}

tap.t.test("the endpoints of a restored zone get the rate of cold ones, others do not", (t) => {
  const lines: string[] = [];
  const agent = createAgent(lines);
  const cold = createEndpoint("c", "cold");
  const plain = createEndpoint("p", "plain");
  clock.now = 100;
  agent.update([cold, plain], 100);
  agent.recordAnnouncement(100);
  t.equal(countSends(agent, cold, 4_000), 100, "warm");
  agent.recordZoneRestored(ZONE, 5_000);
  agent.update([cold, plain], 5_000);
  t.equal(agent.coldCount, 1);
  t.ok(countSends(agent, cold, 5_000) <= 8);
  t.equal(countSends(agent, plain, 5_000), 100);
  const waitMs = agent.getWaitMs([cold], 6_000);
  t.ok(waitMs > 0 && waitMs <= 600, `${waitMs}`);
  t.equal(agent.getWaitMs([cold, plain], 6_000), 0);
  agent.update([cold, plain], 15_000);
  t.equal(countSends(agent, cold, 15_000), 100, "warm again");
  const text = lines.join("\n");
  t.match(text, /endpoint_cold instance=c per_s=2 .* processes=1\n[^]*endpoint_warm instance=c/);
  t.end();
});

tap.t.test("the endpoints of a restored zone start slowly where the settings enable it", (t) => {
  const lines: string[] = [];
  const agent = createAgent(lines, true);
  const cold = createEndpoint("c", "cold");
  clock.now = 100;
  agent.update([cold], 100);
  agent.recordAnnouncement(100);
  agent.recordZoneRestored(ZONE, 5_000);
  agent.update([cold], 5_000);
  t.ok(countSends(agent, cold, 5_000) <= 8);
  agent.update([cold], 15_000);
  t.equal(countSends(agent, cold, 15_000), 100, "warm again");
  const text = lines.join("\n");
  t.match(text, /endpoint_paced instance=c phase=trial\n[^]*endpoint_paced instance=c phase=full/);
  t.end();
});

// A wait for the share of the largest fleet would send callers away for minutes.
tap.t.test("a process that has just started waits at most until the others know it", (t) => {
  const agent = createAgent([]);
  const cold = createEndpoint("c", "cold");
  clock.now = 900;
  agent.update([], 900);
  agent.recordAnnouncement(1_000);
  const waitMs = agent.getWaitMs([cold], 2_000);
  t.ok(waitMs > 0 && waitMs <= 2_000, `${waitMs}`);
  t.end();
});
