import * as core from "@peridotvale/core";
import * as fastCheck from "fast-check";
import * as tap from "tap";
import * as limits from "./endpoint_limits.ts";

const INSTANCE = core.createId<core.InstanceId>("e-1");
const WINDOW_MS = 4_000;
const STEP_MS = 20;

/** Processes of a fleet that all know the limit of one endpoint. */
function createFleet(size: number, ratePerS: number, seed: number): limits.EndpointLimits[] {
  return Array.from({ length: size }, (_, index) => {
    const process = new limits.EndpointLimits(new core.SeededRandom(seed + index));
    const answer = { ratePerS, sentAt: 0 };
    process.recordAnswer(INSTANCE, answer, { place: { size, rank: index }, now: 0 });
    return process;
  });
}

/** Returns the times of the sends if each process sends whenever `hasDemand` and it may. */
function simulateSends(
  fleet: readonly limits.EndpointLimits[],
  durationMs: number,
  hasDemand: (process: number, now: number) => boolean,
): number[] {
  const sends: number[] = [];
  for (let now = 0; now < durationMs; now += STEP_MS) {
    for (const [index, process] of fleet.entries()) {
      if (!hasDemand(index, now) || !process.canSend(INSTANCE, fleet.length, now)) continue;
      process.recordSend(INSTANCE, fleet.length, now);
      sends.push(now);
    }
  }
  return sends;
}

function countBusiestWindow(sends: readonly number[]): number {
  let busiest = 0;
  let first = 0;
  for (const [last, at] of sends.entries()) {
    while (at - sends[first]! >= WINDOW_MS) first += 1;
    busiest = Math.max(busiest, last - first + 1);
  }
  return busiest;
}

const SIZES = [1, 3, 7, 12, 60, 195];
const RATES = [0.5, 1, 3, 7.2, 20, 100];

// All processes send as much as they may, from the moment at which they hear of the limit.
tap.t.test("a fleet under full load stays within a limit, and uses most of it", (t) => {
  for (const size of SIZES) {
    for (const ratePerS of RATES) {
      const sends = simulateSends(createFleet(size, ratePerS, 7), 60_000, () => true);
      const busiest = countBusiestWindow(sends);
      const allowed = 1.5 * ratePerS * WINDOW_MS / 1_000 + 5;
      t.ok(busiest <= allowed, `${size} processes, ${ratePerS}/s: ${busiest} of ${allowed}`);
      const possible = Math.min(ratePerS, size * 1_000 / STEP_MS) * 60;
      t.ok(sends.length >= 0.7 * possible, `${size}, ${ratePerS}/s: ${sends.length} in 60 s`);
    }
  }
  t.end();
});

// Sends that idle processes have left unused must not add up.
tap.t.test("a burst in the whole fleet after an idle time stays within a limit", (t) => {
  for (const size of SIZES) {
    for (const ratePerS of RATES) {
      for (const seed of [11, 12, 13]) {
        const fleet = createFleet(size, ratePerS, seed * 1_000);
        const sends = simulateSends(fleet, 40_000, (_, now) => now >= 20_000);
        const busiest = countBusiestWindow(sends);
        const allowed = 1.5 * ratePerS * WINDOW_MS / 1_000 + 5;
        t.ok(busiest <= allowed, `${size} processes, ${ratePerS}/s: ${busiest} of ${allowed}`);
      }
    }
  }
  t.end();
});

tap.t.test("a fleet stays within a limit that is lowered, to zero and up again", (t) => {
  for (const size of SIZES) {
    const fleet = createFleet(size, 20, 5);
    for (const [step, ratePerS] of [20, 2, 0, 2].entries()) {
      const start = step * 10_000;
      const sends: number[] = [];
      for (let now = start; now < start + 10_000; now += STEP_MS) {
        for (const [rank, process] of fleet.entries()) {
          const answer = { ratePerS, sentAt: now };
          process.recordAnswer(INSTANCE, answer, { place: { size, rank }, now });
          if (!process.canSend(INSTANCE, size, now)) continue;
          process.recordSend(INSTANCE, size, now);
          sends.push(now);
        }
      }
      const busiest = countBusiestWindow(sends);
      const allowed = 1.5 * ratePerS * WINDOW_MS / 1_000 + 5;
      t.ok(busiest <= allowed, `${size} processes, ${ratePerS}/s: ${busiest} of ${allowed}`);
    }
  }
  t.end();
});

tap.t.test("an answer to a later request that names no limit ends it", (t) => {
  const process = new limits.EndpointLimits(new core.SeededRandom(1));
  const timing = (now: number) => ({ place: { size: 7, rank: 3 }, now });
  process.recordAnswer(INSTANCE, { ratePerS: 1, sentAt: 900 }, timing(1_000));
  t.equal(
    process.recordAnswer(INSTANCE, { ratePerS: undefined, sentAt: 950 }, timing(1_100)),
    undefined,
    "its request was sent before the limit was named",
  );
  t.equal(process.size, 1);
  const change = process.recordAnswer(
    INSTANCE,
    { ratePerS: undefined, sentAt: 1_001 },
    timing(1_200),
  );
  t.same(change, { instance: INSTANCE, ratePerS: undefined });
  t.ok(process.canSend(INSTANCE, 7, 1_200));
  t.end();
});

tap.t.test("a limit of zero permits nothing until it ends or expires", (t) => {
  const process = new limits.EndpointLimits(new core.SeededRandom(1));
  process.recordAnswer(INSTANCE, { ratePerS: 0, sentAt: 0 }, {
    place: { size: 7, rank: 0 },
    now: 0,
  });
  for (let now = 0; now < 30_000; now += 100) t.notOk(process.canSend(INSTANCE, 7, now));
  process.expireLimits(30_001);
  t.ok(process.canSend(INSTANCE, 7, 30_001));
  t.end();
});

tap.t.test("peers learn of a limit and of its end, and do not repeat them forever", (t) => {
  const first = new limits.EndpointLimits(new core.SeededRandom(1));
  const second = new limits.EndpointLimits(new core.SeededRandom(2));
  first.recordAnswer(INSTANCE, { ratePerS: 1, sentAt: 0 }, {
    place: { size: 2, rank: 0 },
    now: 100,
  });
  let now = 200;
  const exchange = () => {
    const timing = { place: { size: 2, rank: 0 }, now: now + 10 };
    second.applyNews(first.listNews(now - 150, now), timing);
    first.applyNews(second.listNews(now - 150, now), timing);
    now += 100;
  };
  exchange();
  t.equal(second.size, 1);
  for (let i = 0; i < 5; i += 1) exchange();
  t.same(first.listNews(now - 150, now), []);
  t.same(second.listNews(now - 150, now), []);
  t.equal(first.listNews(-Infinity, now).length, 1, "a new link gets all limits");
  second.recordAnswer(INSTANCE, { ratePerS: undefined, sentAt: now }, {
    place: { size: 2, rank: 0 },
    now,
  });
  now += 50;
  exchange();
  t.equal(first.size, 0);
  // A report that was under way must not bring the limit back.
  const lateReport = { instance: INSTANCE, ratePerS: 1, ageMs: 1_000 };
  first.applyNews([lateReport], { place: { size: 2, rank: 0 }, now });
  t.equal(first.size, 0);
  t.end();
});

tap.t.test("no process sends sooner than its share permits, whatever happens", (t) => {
  const stepArbitrary = fastCheck.record({
    gapMs: fastCheck.integer({ min: 0, max: 3_000 }),
    ratePerS: fastCheck.constantFrom(1, 4),
  });
  fastCheck.assert(
    fastCheck.property(fastCheck.array(stepArbitrary, { maxLength: 40 }), (steps) => {
      const process = new limits.EndpointLimits(new core.SeededRandom(3));
      let now = 0;
      let sends = 0;
      process.recordAnswer(INSTANCE, { ratePerS: 4, sentAt: 0 }, {
        place: { size: 4, rank: 0 },
        now,
      });
      for (const { gapMs, ratePerS } of steps) {
        now += gapMs;
        process.recordAnswer(INSTANCE, { ratePerS, sentAt: now }, {
          place: { size: 4, rank: 0 },
          now,
        });
        if (!process.canSend(INSTANCE, 4, now)) continue;
        process.recordSend(INSTANCE, 4, now);
        sends += 1;
      }
      return sends <= now / 1_000 + 1;
    }),
    { seed: 20261204, numRuns: 300 },
  );
  t.end();
});
