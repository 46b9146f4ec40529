import * as tap from "tap";
import * as counts from "./process_count.ts";

const MAX_CONNECTIONS = 100;

interface Process {
  readonly count: counts.ProcessCount;
  held: number;
}

/** A fleet whose processes fill their shares at once and close nothing when their share shrinks. */
class Fleet {
  readonly #processes: Process[] = [];
  now = 0;

  start(count: number): void {
    for (let i = 0; i < count; i += 1) {
      this.#processes.push({ count: new counts.ProcessCount(), held: 0 });
    }
    // A process that starts does not know the others that start at the same time.
    this.#fill(this.#processes.slice(-count), 1, true);
  }

  /** Lets the processes from `from` to `to` see each other only. */
  run(from: number, to: number): void {
    this.now += 2_000;
    this.#fill(this.#processes.slice(from, to), to - from, false);
  }

  get total(): number {
    return this.#processes.reduce((sum, { held }) => sum + held, 0);
  }

  #fill(processes: Process[], known: number, isStarting: boolean): void {
    for (const process of processes) {
      const count = process.count.getCount(known, { isStarting, now: this.now });
      const share = counts.computeConnectionShare(MAX_CONNECTIONS, count);
      process.held = Math.max(process.held, share);
    }
  }
}

// An endpoint refuses connections beyond its limit; the requests on them fail.
tap.t.test("all processes together stay within a connection limit", (t) => {
  for (const first of [1, 3, 7, 12]) {
    for (const last of [1, 3, 7, 12].filter((size) => size >= first)) {
      const fleet = new Fleet();
      fleet.start(first);
      t.ok(fleet.total <= MAX_CONNECTIONS, `${fleet.total} when ${first} start`);
      fleet.run(0, first);
      if (last > first) fleet.start(last - first);
      t.ok(fleet.total <= MAX_CONNECTIONS, `${fleet.total} when ${first} grow to ${last}`);
      fleet.run(0, last);
      for (let side = 1; side < last; side += 1) {
        fleet.run(0, side);
        fleet.run(side, last);
      }
      t.ok(fleet.total <= MAX_CONNECTIONS, `${fleet.total} of ${first}, ${last}, then apart`);
    }
  }
  t.end();
});

// With a fixed minimum of eight, a single process refused calls at an eighth of the limit.
tap.t.test("the share follows the number of known processes", (t) => {
  const count = new counts.ProcessCount();
  t.equal(count.getCount(1, { isStarting: false, now: 0 }), 4);
  t.equal(count.getCount(320, { isStarting: false, now: 1 }), 480);
  t.equal(count.getCount(1, { isStarting: false, now: 1_000 }), 480, "those gone still count");
  t.equal(count.getCount(1, { isStarting: false, now: 900_000 }), 4);
  t.end();
});
