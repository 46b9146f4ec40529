import * as core from "@peridotvale/core";
import * as tap from "tap";
import * as placements from "./call_placement.ts";

const ZONE = core.createId<core.ZoneName>("a");
const NO_INSTANCES: ReadonlySet<core.InstanceId> = new Set();

function createEndpoint(id: string, zone = "a"): core.EndpointRecord {
  return {
    instance: core.createId<core.InstanceId>(id),
    endpoint: core.createId<core.EndpointId>(`${id}:80`),
    service: core.createId<core.ServiceName>("desk"),
    zone: core.createId<core.ZoneName>(zone),
    isDraining: false,
    slots: 6,
    startedAt: undefined,
    revision: 1,
    coldLeftMs: 0,
  };
}

/** Sends calls one after another for a given time, and counts the calls to each endpoint. */
class CallerSimulation {
  readonly placement = new placements.CallPlacement();
  readonly #random = new core.SeededRandom(7);
  now = 0;

  run(
    endpoints: readonly core.EndpointRecord[],
    durationMs: number,
    answer: (endpoint: core.EndpointRecord) => { report: placements.AttemptReport; ms: number },
  ): Map<string, number> {
    const callCounts = new Map<string, number>(endpoints.map(({ instance }) => [instance, 0]));
    const endAt = this.now + durationMs;
    while (this.now < endAt) {
      const chosenEndpoint = this.placement.chooseEndpoint(endpoints, this.now, {
        zone: ZONE,
        random: this.#random,
        avoid: NO_INSTANCES,
      })!;
      callCounts.set(chosenEndpoint.instance, callCounts.get(chosenEndpoint.instance)! + 1);
      const startedAt = this.now;
      this.placement.recordStart(chosenEndpoint.instance, startedAt);
      const { report, ms } = answer(chosenEndpoint);
      this.now += ms;
      this.placement.recordEnd(chosenEndpoint.instance, report, { startedAt, now: this.now });
    }
    return callCounts;
  }
}

// An endpoint without observations is scored with the mean latency. A fixed assumed latency would
// keep new endpoints unused next to faster ones.
tap.t.test("a new endpoint gets calls, however fast the others are", (t) => {
  const caller = new CallerSimulation();
  const firstEndpoint = createEndpoint("first");
  const answer = () => ({ report: "answered" as const, ms: 1 });
  caller.run([firstEndpoint], 500, answer);
  const callCounts = caller.run([firstEndpoint, createEndpoint("second")], 500, answer);
  t.ok(callCounts.get("second")! > 100, `${callCounts.get("second")} of 500`);
  t.end();
});

// An endpoint without calls yields no new observations. Its old observations must lose weight, or
// it would never be chosen again.
tap.t.test("an endpoint that was slow gets calls again once it is fast", (t) => {
  const caller = new CallerSimulation();
  const endpoints = [createEndpoint("steady"), createEndpoint("slow")];
  let slowMs = 400;
  const answer = ({ instance }: core.EndpointRecord) => ({
    report: "answered" as const,
    ms: instance === "slow" ? slowMs : 10,
  });
  const countsWhileFaulty = caller.run(endpoints, 10_000, answer);
  t.ok(
    countsWhileFaulty.get("slow")! * 20 < countsWhileFaulty.get("steady")!,
    "it gets few calls while it is slow",
  );
  slowMs = 10;
  caller.run(endpoints, 15_000, answer);
  const countsAfterRecovery = caller.run(endpoints, 5_000, answer);
  t.ok(
    countsAfterRecovery.get("slow")! > 150,
    `${countsAfterRecovery.get("slow")} of 500 once it is fast`,
  );
  t.end();
});

tap.t.test("an endpoint gets few calls while it fails, and its share once it works", (t) => {
  const caller = new CallerSimulation();
  const endpoints = [createEndpoint("steady"), createEndpoint("failing")];
  let isFailing = true;
  const answer = ({ instance }: core.EndpointRecord) => ({
    report: instance === "failing" && isFailing ? "failed" as const : "answered" as const,
    ms: 10,
  });
  const countsWhileFaulty = caller.run(endpoints, 5_000, answer);
  t.ok(
    countsWhileFaulty.get("failing")! < 25,
    `${countsWhileFaulty.get("failing")} of 500 while it fails`,
  );
  isFailing = false;
  caller.run(endpoints, 15_000, answer);
  const countsAfterRecovery = caller.run(endpoints, 5_000, answer);
  t.ok(
    countsAfterRecovery.get("failing")! > 150,
    `${countsAfterRecovery.get("failing")} of 500 once it works`,
  );
  t.end();
});

// An endpoint whose first answers were slow, as on a busy machine, got no calls in the 7 s after
// that: the mean that stands for its fading latency contained that latency.
tap.t.test("an endpoint whose first answers are slow gets its share within seconds", (t) => {
  const SLOW_UNTIL = 2_000;
  const INTERVAL_MS = 10;
  const endpoints = ["first", "second", "slow"].map((id) => createEndpoint(id));
  for (const slowMs of [300, 2_000]) {
    const placement = new placements.CallPlacement();
    const options = { zone: ZONE, random: new core.SeededRandom(7), avoid: NO_INSTANCES };
    const open: { instance: core.InstanceId; startedAt: number; endAt: number }[] = [];
    const starts: number[] = [];
    let mostOpen = 0;
    for (let now = 0; now < 10_000; now += INTERVAL_MS) {
      for (const call of open.filter(({ endAt }) => endAt <= now)) {
        open.splice(open.indexOf(call), 1);
        placement.recordEnd(call.instance, "answered", { startedAt: call.startedAt, now });
      }
      const { instance } = placement.chooseEndpoint(endpoints, now, options)!;
      const isSlow = instance === "slow" && now < SLOW_UNTIL;
      placement.recordStart(instance, now);
      open.push({ instance, startedAt: now, endAt: now + (isSlow ? slowMs : 20) });
      if (instance === "slow") starts.push(now);
      const slowCount = open.filter((call) => call.instance === "slow").length;
      if (now > SLOW_UNTIL + slowMs) mostOpen = Math.max(mostOpen, slowCount);
    }
    const lateStarts = starts.filter((at) => at >= SLOW_UNTIL + slowMs + 4_000);
    const lateCalls = (10_000 - SLOW_UNTIL - slowMs - 4_000) / INTERVAL_MS;
    const share = lateStarts.length / lateCalls;
    t.ok(share > 0.2, `${slowMs} ms: ${share} of the calls from 4 s after its last slow answer`);
    t.ok(mostOpen <= 2, `${slowMs} ms: ${mostOpen} calls at once`);
    const firstLate = starts.find((at) => at > SLOW_UNTIL + slowMs) ?? Infinity;
    t.comment(`first call ${firstLate - SLOW_UNTIL - slowMs} ms after the last slow answer`);
  }
  t.end();
});

// At a low rate all endpoints are idle, and the one with the luckiest answers got nearly all calls.
tap.t.test("equal endpoints share the calls of an idle service", (t) => {
  const endpoints = [createEndpoint("first"), createEndpoint("second")];
  for (let seed = 1; seed <= 60; seed += 1) {
    const placement = new placements.CallPlacement();
    const jitter = new core.SeededRandom(seed + 1_000);
    const options = { zone: ZONE, random: new core.SeededRandom(seed), avoid: NO_INSTANCES };
    let firstCount = 0;
    for (let startedAt = 0; startedAt < 12_000; startedAt += 75) {
      const { instance } = placement.chooseEndpoint(endpoints, startedAt, options)!;
      if (startedAt >= 8_000 && instance === "first") firstCount += 1;
      placement.recordStart(instance, startedAt);
      const now = startedAt + Math.min(74, 22 - 10 * Math.log(1 - jitter.next()));
      placement.recordEnd(instance, "answered", { startedAt, now });
    }
    const share = firstCount / (4_000 / 75);
    t.ok(share > 0.25 && share < 0.75, `seed ${seed}: ${share} of the calls of the last 4 s`);
  }
  t.end();
});

// Attempts at an endpoint that hangs do not end, so its recorded latency and failure share do not
// rise.
tap.t.test("an endpoint that stops answering gets no calls while another one answers", (t) => {
  const placement = new placements.CallPlacement();
  const endpoints = [createEndpoint("mute"), createEndpoint("other")];
  const options = { zone: ZONE, random: new core.SeededRandom(7), avoid: NO_INSTANCES };
  for (const { instance } of endpoints) {
    placement.recordStart(instance, 0);
    placement.recordEnd(instance, "answered", { startedAt: 0, now: 20 });
  }
  placement.recordStart(endpoints[0]!.instance, 100);
  for (let i = 0; i < 5; i += 1) placement.recordStart(endpoints[1]!.instance, 600);
  t.equal(placement.chooseEndpoint(endpoints, 600, options)?.instance, "other");
  t.end();
});

tap.t.test("the own zone is preferred until its load is about twice that of others", (t) => {
  const placement = new placements.CallPlacement();
  const endpoints = [createEndpoint("near"), createEndpoint("far", "b")];
  const options = { zone: ZONE, random: new core.SeededRandom(7), avoid: NO_INSTANCES };
  const chosenInstances: string[] = [];
  for (let i = 0; i < 9; i += 1) {
    const endpoint = placement.chooseEndpoint(endpoints, 0, options)!;
    placement.recordStart(endpoint.instance, 0);
    chosenInstances.push(endpoint.instance);
  }
  t.equal(chosenInstances[0], "near");
  t.equal(chosenInstances.filter((instance) => instance === "near").length, 6);
  t.end();
});

// Attempts at an instance may end after the instance has left and its observations were dropped.
// They must not change the load that is counted for the instance after its return.
tap.t.test("attempts begun before an instance left do not count after its return", (t) => {
  const placement = new placements.CallPlacement();
  const endpoints = [createEndpoint("back"), createEndpoint("other")];
  const options = { zone: ZONE, random: new core.SeededRandom(7), avoid: NO_INSTANCES };
  const [returningInstance, otherInstance] = endpoints.map(({ instance }) => instance);
  for (let i = 0; i < 4; i += 1) placement.recordStart(returningInstance!, 0);
  placement.dropInstance(returningInstance!);
  for (let i = 0; i < 4; i += 1) {
    placement.recordEnd(returningInstance!, "answered", { startedAt: 0, now: 50 });
  }
  placement.recordStart(returningInstance!, 100);
  placement.recordStart(otherInstance!, 100);
  const counts = new Map([[returningInstance, 1], [otherInstance, 1]]);
  for (let i = 0; i < 8; i += 1) {
    const { instance } = placement.chooseEndpoint(endpoints, 100, options)!;
    placement.recordStart(instance, 100);
    counts.set(instance, counts.get(instance)! + 1);
  }
  t.same([...counts.values()], [5, 5]);
  t.end();
});
