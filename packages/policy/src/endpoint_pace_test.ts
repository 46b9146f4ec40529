import * as core from "@peridotvale/core";
import * as tap from "tap";
import type * as placements from "./call_placement.ts";
import * as colds from "./cold_limits.ts";
import * as rates from "./endpoint_limits.ts";
import * as paces from "./endpoint_pace.ts";
import * as fleets from "./fleet_estimate.ts";

const ZONE = core.createId<core.ZoneName>("a");
const SIZES = [1, 7, 60, 195];
const STEP_MS = 10;
/** Interval of reports, and time until they have arrived through hubs. */
const REPORT_INTERVAL_MS = 100;
const REPORT_LAG_MS = 300;

interface Answer {
  readonly report: placements.AttemptReport;
  readonly afterMs: number;
}

interface Scenario {
  readonly size: number;
  readonly seconds: number;
  /** Requests a second for each endpoint, over all processes. */
  readonly demandPerS: number;
  readonly endpointCount?: number;
  /** Whether the endpoints have run for long; otherwise they start at time 0. */
  readonly isRunning?: boolean;
  /** Rate of a cold endpoint; by default there is none. */
  readonly coldPerS?: number;
  readonly answer: (sends: readonly number[], now: number, random: core.RandomSource) => Answer;
}

interface Outcome {
  /** Times of the requests, of the wanted ones and of failures, by endpoint. */
  readonly sends: number[][];
  readonly wanted: number[][];
  readonly failures: number[][];
  /** Time of the first sound answer of each endpoint. */
  readonly soundAt: (number | undefined)[];
}

function createProcesses(size: number) {
  const members = Array.from({ length: size }, (_, index) => ({
    process: core.createId<core.ProcessId>(`p-${index}`),
    zone: ZONE,
  }));
  return members.map((member, index) => {
    const fleet = new fleets.FleetEstimate(member);
    fleet.recordAnnouncement(-60_000);
    fleet.recordPeers(members.filter((peer) => peer !== member), 0);
    const limits = new rates.EndpointLimits(new core.SeededRandom(index));
    return { fleet, limits, pace: new paces.EndpointPace(), reportedAt: -Infinity };
  });
}

/** Runs processes before endpoints that start at time 0 and are learned of within 200 ms. */
function simulateStart(scenario: Scenario): Outcome {
  const { size, seconds, demandPerS, endpointCount = 1, isRunning = false, coldPerS, answer } =
    scenario;
  const random = new core.SeededRandom(17);
  const processes = createProcesses(size);
  const instances = Array.from(
    { length: endpointCount },
    (_, index) => core.createId<core.InstanceId>(`e-${index}`),
  );
  const list = () => instances.map((): number[] => []);
  const outcome: Outcome = { sends: list(), wanted: list(), failures: list(), soundAt: [] };
  const events = new Map<number, (() => void)[]>();
  const schedule = (at: number, event: () => void) => {
    const step = Math.ceil(at / STEP_MS) * STEP_MS;
    events.set(step, [...(events.get(step) ?? []), event]);
  };
  for (const { pace } of processes) {
    const at = Math.ceil(random.next() * 20) * STEP_MS;
    for (const instance of isRunning ? [] : instances) {
      schedule(at, () => pace.startPace(instance, 0, at));
    }
  }
  const send = (process: typeof processes[0], endpoint: number, now: number) => {
    const instance = instances[endpoint]!;
    const pool = process.fleet.getPool(ZONE, now);
    const paced = process.pace.getPermit(instance, pool, now);
    const options = { bounds: colds.DEFAULT_COLD_BOUNDS, originAt: 0 };
    const permit = coldPerS === undefined
      ? paced
      : rates.chooseSlowerPermit(colds.createColdPermit(coldPerS, pool, options), paced);
    if (process.pace.getBlockedMs(instance, now) > 0) return;
    if (!process.limits.canSend(instance, size, now, permit)) return;
    process.limits.recordSend(instance, size, now, permit);
    process.pace.recordSend(instance, now);
    outcome.sends[endpoint]!.push(now);
    const { report, afterMs } = answer(outcome.sends[endpoint]!, now, random);
    schedule(now + afterMs, () => {
      const endedAt = now + afterMs;
      if (report === "answered") outcome.soundAt[endpoint] ??= endedAt;
      else outcome.failures[endpoint]!.push(endedAt);
      process.pace.recordEnd(instance, report, { startedAt: now, now: endedAt });
    });
  };
  for (let now = 0; now < seconds * 1_000; now += STEP_MS) {
    for (const event of events.get(now) ?? []) event();
    events.delete(now);
    if (now > 200) {
      for (const [endpoint, wanted] of outcome.wanted.entries()) {
        for (let n = demandPerS * STEP_MS / 1_000; random.next() < n; n -= 1) {
          wanted.push(now);
          send(processes[Math.floor(random.next() * size)]!, endpoint, now);
        }
      }
    }
    for (const process of now % REPORT_INTERVAL_MS === 0 ? processes : []) {
      process.pace.expireStates(now);
      const news = process.pace.listNews(process.reportedAt, now);
      process.reportedAt = now;
      if (news.length === 0) continue;
      const arrivesAt = now + REPORT_LAG_MS;
      schedule(arrivesAt, () => {
        for (const peer of processes) if (peer !== process) peer.pace.applyNews(news, arrivesAt);
      });
    }
  }
  return outcome;
}

function countBetween(times: readonly number[], from: number, until: number): number {
  return times.filter((at) => at >= from && at < until).length;
}

function answerSoundly(afterMs: number): Scenario["answer"] {
  return () => ({ report: "answered", afterMs });
}

for (const size of SIZES) {
  tap.t.test(`${size} processes give a sound endpoint its share within 3 s`, (t) => {
    for (const demandPerS of [20, 200]) {
      for (const [afterMs, spreadMs] of [[30, 0], [1_200, 0], [50, 1_000]] as const) {
        const { sends, wanted, soundAt } = simulateStart({
          size,
          seconds: 20,
          demandPerS,
          answer: (_sends, _now, random) => ({
            report: "answered",
            afterMs: afterMs + Math.floor(spreadMs * random.next()),
          }),
        });
        const from = soundAt[0]! + 3_000;
        const share = countBetween(sends[0]!, from, Infinity) /
          countBetween(wanted[0]!, from, Infinity);
        const trials = countBetween(sends[0]!, 0, soundAt[0]!);
        const label = `${demandPerS}/s, answers after ${afterMs} to ${afterMs + spreadMs} ms`;
        t.ok(share >= 0.9, `${label}: first sound at ${soundAt[0]} ms, then ${share}`);
        t.ok(trials <= 3, `${label}: ${trials} trials`);
      }
    }
    t.end();
  });

  tap.t.test(`${size} processes try a failing endpoint at most three times`, (t) => {
    for (
      const [report, afterMs] of [["failed", 30], ["unreachable", 5], ["silent", 3_000]] as const
    ) {
      const { failures, sends } = simulateStart({
        size,
        seconds: 40,
        demandPerS: 200,
        answer: () => ({ report, afterMs }),
      });
      const early = countBetween(sends[0]!, 0, 5_000);
      t.ok(early <= 3, `${report}: ${early} in 5 s`);
      t.ok(failures[0]!.length <= 9, `${report}: ${failures[0]!.length} in 40 s`);
      t.ok(failures[0]!.length >= 3, `${report}: it is still tried`);
    }
    t.end();
  });

  tap.t.test(`${size} processes keep a half sound endpoint at a low rate`, (t) => {
    const { sends, failures } = simulateStart({
      size,
      seconds: 30,
      demandPerS: 200,
      answer: (_sends, _now, random) => ({
        report: random.next() < 0.5 ? "answered" : "failed",
        afterMs: 30,
      }),
    });
    t.ok(
      sends[0]!.length <= 30 * 60,
      `${sends[0]!.length} requests, ${failures[0]!.length} failed`,
    );
    t.end();
  });

  tap.t.test(`${size} processes do not flood an endpoint that has returned`, (t) => {
    // Crashes above 40 requests in a second, until it has been idle for a second.
    let crashes = 0;
    let downUntil = 0;
    const { sends, soundAt } = simulateStart({
      size,
      seconds: 20,
      demandPerS: 25,
      answer: (times, now) => {
        if (now < downUntil) return { report: "unreachable", afterMs: 5 };
        if (countBetween(times, now - 1_000, Infinity) <= 40) {
          return { report: "answered", afterMs: 30 };
        }
        crashes += 1;
        downUntil = now + 1_000;
        return { report: "unreachable", afterMs: 5 };
      },
    });
    t.ok(crashes <= 1, `${crashes} crashes, ${sends[0]!.length} requests`);
    t.ok(soundAt[0] !== undefined);
    t.end();
  });

  tap.t.test(`${size} processes use an endpoint again that was unreachable`, (t) => {
    const { sends, wanted, failures } = simulateStart({
      size,
      seconds: 45,
      demandPerS: 200,
      isRunning: true,
      answer: (_sends, now) =>
        now > 5_000 && now < 20_000
          ? { report: "unreachable", afterMs: 5 }
          : { report: "answered", afterMs: 30 },
    });
    const late = countBetween(failures[0]!, 16_000, 20_000);
    t.ok(late <= 0.05 * countBetween(wanted[0]!, 16_000, 20_000), `${late} in the last 4 s`);
    const share = countBetween(sends[0]!, 35_000, Infinity) /
      countBetween(wanted[0]!, 35_000, Infinity);
    t.ok(share >= 0.9, `${share} from 15 s after it: pause, turns and ramp`);
    t.end();
  });

  tap.t.test(`${size} processes keep the rate of a cold endpoint while the pace grows`, (t) => {
    for (const coldPerS of [5, 20, 60]) {
      const { sends } = simulateStart({
        size,
        seconds: 12,
        demandPerS: 2_000,
        coldPerS,
        answer: answerSoundly(30),
      });
      const counts = sends[0]!.map((at) => countBetween(sends[0]!, at, at + 1_000));
      const allowed = 1.5 * coldPerS + 5;
      t.ok(Math.max(...counts) <= allowed, `${Math.max(...counts)} of ${allowed} in a second`);
      const use = countBetween(sends[0]!, 6_000, 12_000) / 6 / coldPerS;
      t.ok(use >= 0.8, `use ${use}`);
    }
    t.end();
  });

  tap.t.test(`${size} processes try the endpoints of a zone that returns`, (t) => {
    const { sends, soundAt } = simulateStart({
      size,
      seconds: 12,
      demandPerS: 100,
      endpointCount: 12,
      answer: answerSoundly(100),
    });
    const trials = sends.map((times, index) => countBetween(times, 0, soundAt[index]!));
    t.ok(trials.every((count) => count <= 3), `trials ${trials}`);
    t.ok(Math.max(...soundAt.map((at) => at ?? Infinity)) <= 6_000, `first sound ${soundAt}`);
    t.end();
  });
}

// One process that is cut off from an endpoint must not wait for the turns of all others.
tap.t.test("a process that alone cannot reach an endpoint tries it again soon", (t) => {
  const pace = new paces.EndpointPace();
  const instance = core.createId<core.InstanceId>("e");
  const pool = { share: 1, size: 195, place: { size: 195, rank: 7 } };
  for (const now of [0, 10, 20]) {
    pace.recordEnd(instance, "unreachable", { startedAt: now, now });
  }
  t.ok(pace.getBlockedMs(instance, 30) > 0);
  t.ok((pace.getPermit(instance, pool, 5_000)?.intervalMs ?? 0) < 1_000);
  const report = { instance, version: 1, ageMs: 100, originAgeMs: 100, rampAgeMs: undefined };
  pace.applyNews([{ ...report, failures: 1, blockedMs: 900 }], 100);
  t.ok((pace.getPermit(instance, pool, 2_500)?.intervalMs ?? 0) > 60_000, "others cannot either");
  t.end();
});

tap.t.test("reports of an earlier start are ignored, those of a later one are kept", (t) => {
  const pace = new paces.EndpointPace();
  const instance = core.createId<core.InstanceId>("e");
  const pool = { share: 1, size: 7, place: { size: 7, rank: 1 } };
  const report = { instance, version: 5, failures: 0, blockedMs: 0, originAgeMs: 1_000 };
  pace.startPace(instance, 10_000, 10_000);
  pace.applyNews([{ ...report, ageMs: 900, rampAgeMs: 900 }], 10_500);
  t.ok(pace.getPermit(instance, pool, 13_500) !== undefined, "still tried");
  pace.applyNews([{ ...report, ageMs: 400, rampAgeMs: 400 }], 11_000);
  t.equal(pace.getPermit(instance, pool, 13_500), undefined, "the ramp is over");
  const late = new paces.EndpointPace();
  late.applyNews([{ ...report, ageMs: 400, rampAgeMs: 400 }], 11_000);
  late.startPace(instance, 10_000, 12_000);
  t.equal(late.getPermit(instance, pool, 13_500), undefined, "its entry came late");
  t.end();
});

tap.t.test("a ramp is set back when answers become slow or are refused", (t) => {
  const instance = core.createId<core.InstanceId>("e");
  const pool = { share: 1, size: 7, place: { size: 7, rank: 1 } };
  const measureInterval = (durationMs: number, report: placements.AttemptReport) => {
    const pace = new paces.EndpointPace();
    pace.startPace(instance, 0, 0);
    pace.recordSend(instance, 0);
    pace.recordEnd(instance, "answered", { startedAt: 0, now: 30 });
    for (let now = 500; now < 1_000; now += 100) {
      pace.recordEnd(instance, report, { startedAt: now - durationMs, now });
    }
    return pace.getPermit(instance, pool, 1_300)!.intervalMs;
  };
  const soundMs = measureInterval(30, "answered");
  t.ok(measureInterval(490, "answered") >= 2 * soundMs, "slow");
  t.ok(measureInterval(30, "refused") >= 2 * soundMs, "refused");
  t.ok(measureInterval(30, "failed") > 2 * soundMs, "failed");
  t.end();
});
