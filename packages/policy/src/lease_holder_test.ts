import * as fc from "fast-check";
import * as tap from "tap";
import * as leases from "./lease_holder.ts";

fc.configureGlobal({ seed: 20_261_204, numRuns: 300 });

const LEASE_OPTIONS = { ttlMs: 600, marginMs: 200, retryMs: 50 };
const STEP_MS = 10;
/** Steps from a request to the store until its answer. */
const ROUND_TRIP_STEPS = 3;

interface Candidate {
  readonly holder: leases.LeaseHolder;
  pausedUntil: number;
  pendingCalls: {
    readonly effect: leases.LeaseEffect;
    readonly sentAt: number;
    readonly dueStep: number;
  }[];
}

const pauseLists = fc.array(
  fc.record({
    candidate: fc.integer({ min: 0, max: 1 }),
    fromStep: fc.integer({ min: 0, max: 400 }),
    steps: fc.integer({ min: 1, max: 150 }),
  }),
  { maxLength: 6 },
);
const outageLists = fc.array(
  fc.record({ fromStep: fc.integer({ min: 0, max: 400 }), steps: fc.integer({ min: 1, max: 60 }) }),
  { maxLength: 3 },
);

// Guards against two holders that act at the same time. A process that was paused
// for longer than the TTL, or whose renewals failed in an outage of the store, may
// otherwise continue to act after another process has acquired the lease.
tap.t.test("at most one holder acts at a time despite process pauses and store outages", (t) => {
  let actCount = 0;
  fc.assert(fc.property(pauseLists, outageLists, (pausePlan, outagePlan) => {
    let holderIndex: number | undefined;
    let expiresAt = 0;
    let fencing = 0;
    let highestFencingNumber = 0;
    const candidates: Candidate[] = [0, 1].map(() => {
      const holder = new leases.LeaseHolder(LEASE_OPTIONS);
      return { holder, pausedUntil: -1, pendingCalls: [] };
    });
    for (let step = 0; step < 500; step++) {
      const now = step * STEP_MS;
      if (now >= expiresAt) holderIndex = undefined;
      for (const pause of pausePlan) {
        if (pause.fromStep === step) candidates[pause.candidate]!.pausedUntil = step + pause.steps;
      }
      const isStoreDown = outagePlan.some(({ fromStep, steps }) =>
        step >= fromStep && step < fromStep + steps
      );
      let actingCount = 0;
      for (const [index, candidate] of candidates.entries()) {
        if (step < candidate.pausedUntil) continue;
        const effects = [...candidate.holder.handle({ type: "wanted_changed", wanted: true }, now)];
        const dueCalls = candidate.pendingCalls.filter((call) => call.dueStep <= step);
        candidate.pendingCalls = candidate.pendingCalls.filter((call) => call.dueStep > step);
        for (const { effect, sentAt } of dueCalls) {
          let event: leases.LeaseEvent;
          if (effect.type === "acquire") {
            if (isStoreDown || holderIndex !== undefined) event = { type: "acquire_failed" };
            else {
              holderIndex = index;
              fencing += 1;
              expiresAt = now + LEASE_OPTIONS.ttlMs;
              event = { type: "acquired", sentAt, fencing };
            }
          } else if (isStoreDown) event = { type: "renew_failed" };
          else if (holderIndex !== index) event = { type: "expired" };
          else {
            expiresAt = now + LEASE_OPTIONS.ttlMs;
            event = { type: "renewed", sentAt };
          }
          effects.push(...candidate.holder.handle(event, now));
        }
        for (const effect of effects) {
          candidate.pendingCalls.push({ effect, sentAt: now, dueStep: step + ROUND_TRIP_STEPS });
        }
        const currentFencingNumber = candidate.holder.getFencingNumber(now);
        if (currentFencingNumber === undefined) continue;
        actingCount += 1;
        actCount += 1;
        if (currentFencingNumber < highestFencingNumber) return false;
        highestFencingNumber = currentFencingNumber;
      }
      if (actingCount > 1) return false;
    }
    return true;
  }));
  t.ok(actCount > 0, "at least one holder acted");
  t.end();
});
