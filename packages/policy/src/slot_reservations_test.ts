import * as core from "@peridotvale/core";
import * as tap from "tap";
import * as reservations from "./slot_reservations.ts";

/** Creates engines with a time per token of (14 + streams) / speed, as in the benchmarks. */
function createEngines(speeds: readonly number[]): reservations.ReservableEngine[] {
  return speeds.map((speed, index) => ({
    endpoint: core.createId<core.EndpointId>(`e${index}`),
    maxBatch: Math.min(48, Math.floor(31 * speed - 14)),
    baseMs: 14 / speed,
    slopeMs: 1 / speed,
  }));
}

// Reservations limit the batches of their engines for all other work, so they must not spread
// over more engines than necessary.
tap.t.test("slots are reserved on the fastest engines, on no more than necessary", (t) => {
  const engines = createEngines([1, 1, 2, 4, 4]);
  const plannedReservations = reservations.planReservations(engines, 8);
  t.same([...plannedReservations.keys()], ["e3"]);
  t.equal(
    plannedReservations.get(core.createId("e3"))?.reservedSlots,
    9,
    "eight streams plus a tenth for bursts",
  );
  t.same([...reservations.planReservations(engines, 20).keys()], ["e3", "e4"]);
  t.end();
});

// Streams on one engine slow each other down. A reserved slot is of use only if other work
// can't fill the rest of the engine with a large batch.
tap.t.test("other work slows low-demand streams on reserved engines by at most half", (t) => {
  const engines = createEngines([1, 1, 1.5, 2, 2, 3, 4, 4]);
  for (const lowDemandStreams of [1, 5, 20, 60, 110]) {
    for (
      const [endpoint, reservation] of reservations.planReservations(engines, lowDemandStreams)
    ) {
      const engine = engines.find((candidate) => candidate.endpoint === endpoint)!;
      const fullTokenMs = engine.baseMs + engine.slopeMs * reservation.maxBatch;
      t.ok(
        fullTokenMs <= 1.5 * findUnsharedTokenMs(engines, lowDemandStreams),
        `${lowDemandStreams} at ${endpoint}`,
      );
    }
  }
  t.end();
});

tap.t.test("no slots are reserved without low-demand streams or without engines", (t) => {
  t.equal(reservations.planReservations(createEngines([1, 2]), 0).size, 0);
  t.equal(reservations.planReservations([], 5).size, 0);
  t.end();
});

/** Finds the time per token if the engines serve only these streams, evenly loaded. */
function findUnsharedTokenMs(
  engines: readonly reservations.ReservableEngine[],
  streams: number,
): number {
  const streamCounts = engines.map(() => 0);
  for (let i = 0; i < streams; i += 1) {
    let bestIndex = 0;
    const getTokenMs = (index: number) =>
      engines[index]!.baseMs + engines[index]!.slopeMs * (streamCounts[index]! + 1);
    for (const index of engines.keys()) {
      if (getTokenMs(index) < getTokenMs(bestIndex)) bestIndex = index;
    }
    streamCounts[bestIndex]! += 1;
  }
  const tokenTimesMs = engines.map((engine, index) =>
    streamCounts[index] === 0 ? 0 : engine.baseMs + engine.slopeMs * streamCounts[index]!
  );
  return Math.max(...tokenTimesMs);
}
