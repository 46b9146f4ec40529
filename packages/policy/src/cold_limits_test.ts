import * as core from "@peridotvale/core";
import * as tap from "tap";
import type * as Tap from "tap";
import * as colds from "./cold_limits.ts";
import * as rates from "./endpoint_limits.ts";
import * as fleets from "./fleet_estimate.ts";

const INSTANCE = core.createId<core.InstanceId>("e-1");
const STEP_MS = 20;
const SIZES = [1, 7, 60, 195];
const RATES = [2, 5, 20, 50];
const BOUNDS = colds.DEFAULT_COLD_BOUNDS;

interface Process {
  readonly member: fleets.FleetMember;
  readonly fleet: fleets.FleetEstimate;
  readonly limits: rates.EndpointLimits;
  /** Time at which the process learns that the endpoint is cold. */
  readonly coldFrom: number;
  readonly originAt: number;
}

interface Scenario {
  readonly ratePerS: number;
  readonly from: number;
  readonly until: number;
  /** Whether the process has a request for the endpoint. */
  readonly hasDemand?: (process: Process, now: number) => boolean;
  /** Other processes that `process` knows; by default all. */
  readonly listPeers?: (process: Process, now: number) => readonly fleets.FleetMember[];
}

/** Creates processes that are spread over `zoneCount` zones. */
function createFleet(
  size: number,
  options: {
    readonly seed: number;
    readonly zoneCount?: number;
    readonly delayMs?: number;
    readonly skewMs?: number;
  },
): Process[] {
  const { seed, zoneCount = 1, delayMs = 0, skewMs = 20 } = options;
  const random = new core.SeededRandom(seed);
  return Array.from({ length: size }, (_, index) => {
    const member = {
      process: core.createId<core.ProcessId>(`p-${String(index).padStart(3, "0")}`),
      zone: core.createId<core.ZoneName>(`zone-${index % zoneCount}`),
    };
    return {
      member,
      fleet: new fleets.FleetEstimate(member),
      limits: new rates.EndpointLimits(new core.SeededRandom(seed * 1_000 + index)),
      coldFrom: random.next() * delayMs,
      originAt: -500 + random.next() * skewMs,
    };
  });
}

/** Runs the processes before one endpoint of `zone-0` and returns the times of their sends. */
function simulateSends(fleet: readonly Process[], scenario: Scenario): number[] {
  const { ratePerS, from, until, hasDemand = () => true, listPeers } = scenario;
  const zone = core.createId<core.ZoneName>("zone-0");
  const members = fleet.map(({ member }) => member);
  const refreshMs = listPeers === undefined ? 20_000 : 1_000;
  const sends: number[] = [];
  for (let now = from; now < until; now += STEP_MS) {
    for (const process of fleet) {
      if ((now - from) % refreshMs === 0) {
        const peers = listPeers?.(process, now) ?? members;
        process.fleet.recordPeers(peers.filter((peer) => peer !== process.member), now);
      }
      if (now < process.coldFrom || !hasDemand(process, now)) continue;
      const permit = colds.createColdPermit(ratePerS, process.fleet.getPool(zone, now), {
        bounds: BOUNDS,
        originAt: process.originAt,
      });
      if (!process.limits.canSend(INSTANCE, fleet.length, now, permit)) continue;
      process.limits.recordSend(INSTANCE, fleet.length, now, permit);
      sends.push(now);
    }
  }
  return sends;
}

function settleFleet(fleet: readonly Process[]): void {
  for (const process of fleet) process.fleet.recordAnnouncement(-60_000);
}

function countBusiestSecond(sends: readonly number[]): number {
  let busiest = 0;
  let first = 0;
  for (const [last, at] of sends.entries()) {
    while (at - sends[first]! >= 1_000) first += 1;
    busiest = Math.max(busiest, last - first + 1);
  }
  return busiest;
}

/** Checks the busiest second against the bound, and returns the part of the rate that was used. */
function checkSends(
  t: Tap.Test,
  sends: readonly number[],
  options: { readonly ratePerS: number; readonly seconds: number; readonly label: string },
): number {
  const { ratePerS, seconds, label } = options;
  const busiest = countBusiestSecond(sends);
  const allowed = ratePerS * BOUNDS.over + BOUNDS.slack;
  const use = sends.length / seconds / ratePerS;
  const figures = `busiest second ${busiest} of ${allowed}, use ${Math.round(use * 100)}%`;
  t.ok(busiest <= allowed, `${label}, ${ratePerS}/s: ${figures}`);
  return use;
}

for (const size of SIZES) {
  tap.t.test(`${size} processes keep a cold endpoint's rate, and use it`, (t) => {
    for (const ratePerS of RATES) {
      for (const [delayMs, skewMs] of [[0, 20], [2_000, 20], [2_000, 5_000]] as const) {
        const fleet = createFleet(size, { seed: 3, delayMs, skewMs });
        settleFleet(fleet);
        const sends = simulateSends(fleet, { ratePerS, from: 0, until: 30_000 });
        const label = `learned within ${delayMs} ms, clocks ${skewMs} ms apart`;
        const use = checkSends(t, sends, { ratePerS, seconds: 30, label });
        t.ok(use >= 0.8, `use ${use}`);
      }
    }
    t.end();
  });

  tap.t.test(`${size} processes that were all idle keep a cold endpoint's rate`, (t) => {
    for (const ratePerS of RATES) {
      for (const seed of [1, 2, 3]) {
        const fleet = createFleet(size, { seed, zoneCount: 3, delayMs: 1_000 });
        settleFleet(fleet);
        const hasDemand = (_: Process, now: number) => now % 10_000 >= 8_000;
        const sends = simulateSends(fleet, { ratePerS, from: 0, until: 40_000, hasDemand });
        checkSends(t, sends, { ratePerS, seconds: 8, label: `seed ${seed}` });
      }
    }
    t.end();
  });

  tap.t.test(`${size} processes that start at once keep a cold endpoint's rate`, (t) => {
    for (const ratePerS of RATES) {
      const fleet = createFleet(size, { seed: 5, zoneCount: 3, delayMs: 1_500 });
      for (const { fleet: estimate, coldFrom } of fleet) estimate.recordAnnouncement(coldFrom);
      // Each process learns of another one when that one has announced itself, or later.
      const listPeers = (process: Process, now: number) =>
        fleet.filter((peer, index) =>
          now >= Math.max(peer.coldFrom, process.coldFrom) + (index % 5) * 300
        ).map((peer) => peer.member);
      const sends = simulateSends(fleet, { ratePerS, from: 0, until: 30_000, listPeers });
      checkSends(t, sends, { ratePerS, seconds: 30, label: "all start" });
      const lateSends = sends.filter((at) => at >= 10_000);
      const use = checkSends(t, lateSends, { ratePerS, seconds: 20, label: "all started" });
      t.ok(use >= 0.8, `use ${use}`);
    }
    t.end();
  });
}

tap.t.test("views of the fleet that lack some processes keep a cold endpoint's rate", (t) => {
  for (const size of [7, 60, 195]) {
    for (const ratePerS of RATES) {
      const partial = createFleet(size, { seed: 9, delayMs: 1_000 });
      settleFleet(partial);
      const views = new Map(partial.map(({ member }) => [
        member,
        partial.map((peer) => peer.member)
          .filter(({ process }) => core.computeHash32(process + member.process) % 10 > 0),
      ]));
      const listMost = ({ member }: Process) => views.get(member)!;
      const scenario = { ratePerS, from: 0, until: 30_000 };
      const sends = simulateSends(partial, { ...scenario, listPeers: listMost });
      checkSends(t, sends, { ratePerS, seconds: 30, label: `${size}, a tenth unknown` });

      // The store's side has dropped the others a while ago, which still send.
      const split = createFleet(size, { seed: 10, delayMs: 1_000 });
      settleFleet(split);
      const cutOff = new Set(split.slice(0, Math.floor(size / 2)));
      const all = split.map((peer) => peer.member);
      const stayed = split.filter((peer) => !cutOff.has(peer)).map((peer) => peer.member);
      const listSide = (process: Process) => cutOff.has(process) ? all : stayed;
      for (const process of split) {
        const listOthers = (members: readonly fleets.FleetMember[]) =>
          members.filter((peer) => peer !== process.member);
        process.fleet.recordPeers(listOthers(all), -120_000);
        for (const at of [-80_000, -45_000, -10_000]) {
          process.fleet.recordPeers(listOthers(listSide(process)), at);
        }
      }
      const splitSends = simulateSends(split, { ...scenario, listPeers: listSide });
      checkSends(t, splitSends, { ratePerS, seconds: 30, label: `${size}, half cut off` });

      // Both sides have dropped the other one a moment ago; the larger size is still believed.
      const dropped = createFleet(size, { seed: 11, delayMs: 1_000 });
      settleFleet(dropped);
      const halves = new Set(dropped.slice(0, Math.floor(size / 2)));
      const listHalf = (process: Process, now: number) =>
        dropped.filter((peer) => now < 0 || halves.has(process) === halves.has(peer))
          .map((peer) => peer.member);
      const fresh = { ratePerS, from: -5_000, until: 20_000, listPeers: listHalf };
      const freshSends = simulateSends(dropped, fresh);
      checkSends(t, freshSends, { ratePerS, seconds: 25, label: `${size}, links lost` });
    }
  }
  t.end();
});

tap.t.test("a zone with few processes uses the rate of its cold endpoints", (t) => {
  for (const ratePerS of RATES) {
    const fleet = createFleet(195, { seed: 4, zoneCount: 65 });
    settleFleet(fleet);
    const hasDemand = ({ member }: Process) => member.zone === "zone-0";
    const sends = simulateSends(fleet, { ratePerS, from: 0, until: 30_000, hasDemand });
    const use = checkSends(t, sends, { ratePerS, seconds: 30, label: "3 of 195 in the zone" });
    t.ok(use >= 0.8, `use ${use}`);
  }
  t.end();
});

const RULE = { coldStartMs: 30_000, coldPerS: 5 };
const ZONE = core.createId<core.ZoneName>("zone-0");

function createRecord(changes: Partial<core.EndpointRecord> = {}): core.EndpointRecord {
  return {
    instance: INSTANCE,
    endpoint: core.createId<core.EndpointId>("10.0.0.1:80"),
    service: core.createId<core.ServiceName>("desk"),
    zone: ZONE,
    isDraining: false,
    slots: 6,
    startedAt: 1_000_000,
    revision: 1,
    coldLeftMs: undefined,
    ...changes,
  };
}

function observe(
  limits: colds.ColdLimits,
  record: core.EndpointRecord,
  now: number,
  isFirstListing = false,
): number {
  limits.observeRecord(record, { now, wallTime: 1_000_000 + now, isFirstListing });
  return limits.getColdUntil(INSTANCE, RULE);
}

tap.t.test("an endpoint is cold after each start, for the longest stated time", (t) => {
  const limits = new colds.ColdLimits();
  t.equal(observe(limits, createRecord(), 1_000), 31_000, "a new entry");
  t.equal(observe(limits, createRecord({ revision: 2 }), 5_000), 31_000, "an update");
  const second = { revision: 3, startedAt: 1_009_000 };
  t.equal(observe(limits, createRecord({ ...second, coldLeftMs: 0 }), 10_000), 40_000, "restart");
  t.equal(
    observe(limits, createRecord({ ...second, coldLeftMs: 45_000 }), 20_000),
    40_000,
    "known",
  );
  const third = { ...second, revision: 4, coldLeftMs: 45_000 };
  t.equal(observe(limits, createRecord(third), 20_000), 65_000, "states a longer time");
  limits.recordStatement(INSTANCE, 60_000, 30_000);
  t.equal(limits.getColdUntil(INSTANCE, RULE), 90_000, "a health answer states a longer time");
  limits.recordLeft(INSTANCE, 95_000);
  t.equal(observe(limits, createRecord({ ...third, revision: 5, coldLeftMs: 0 }), 96_000), 96_000);
  limits.recordLeft(INSTANCE, 97_000);
  limits.expireStates(200_000);
  t.equal(limits.getColdUntil(INSTANCE, RULE), -Infinity, "forgotten");
  t.end();
});

tap.t.test("an entry without the time of the start counts as a start when it is new", (t) => {
  const limits = new colds.ColdLimits();
  const record = createRecord({ startedAt: undefined });
  t.equal(observe(limits, record, 1_000, true), 1_000, "in the first listing");
  limits.recordLeft(INSTANCE, 2_000);
  t.equal(observe(limits, { ...record, revision: 2 }, 3_000), 33_000);
  t.end();
});

// A process that starts must not throttle endpoints that have long been warm.
tap.t.test("the first listing tells the age of a start by its time", (t) => {
  for (const [ageMs, leftMs] of [[500, 30_000], [11_000, 20_000], [31_000, 0]] as const) {
    const record = createRecord({ startedAt: 1_000_000 - ageMs });
    t.equal(observe(new colds.ColdLimits(), record, 0, true), leftMs);
  }
  t.end();
});

tap.t.test("a restored zone is cold unless a later entry states another time", (t) => {
  const warm = () => {
    const limits = new colds.ColdLimits();
    observe(limits, createRecord({ startedAt: 0 }), 0, true);
    limits.recordZoneRestored(ZONE, 100_000, 10);
    t.equal(limits.getColdUntil(INSTANCE, RULE), 130_000);
    return limits;
  };
  const entry = { startedAt: 0, coldLeftMs: 2_000 };
  t.equal(observe(warm(), createRecord({ ...entry, revision: 9 }), 101_000), 130_000, "earlier");
  t.equal(observe(warm(), createRecord({ ...entry, revision: 11 }), 101_000), 103_000, "later");
  const silent = createRecord({ startedAt: 0, revision: 11 });
  t.equal(observe(warm(), silent, 101_000), 130_000, "states no time");
  t.end();
});

tap.t.test("of a named limit and the cold limit, the lower one applies", (t) => {
  for (const [namedPerS, coldPerS, expected] of [[2, 20, 30], [20, 2, 27], [2, 2, 27]] as const) {
    const [process] = createFleet(1, { seed: 1 });
    settleFleet([process!]);
    const answer = { ratePerS: namedPerS, sentAt: 0 };
    const place = { size: 1, rank: 0 };
    for (const now of [-15_000, 0]) {
      process!.limits.recordAnswer(INSTANCE, { ...answer, sentAt: now }, { place, now });
    }
    const sends = simulateSends([process!], { ratePerS: coldPerS, from: 0, until: 15_000 });
    t.ok(Math.abs(sends.length - expected) <= 2, `${namedPerS}, ${coldPerS}: ${sends.length}`);
  }
  t.end();
});
