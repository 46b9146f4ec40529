import * as tap from "tap";
import * as clocks from "./pause_aware_clock.ts";

function createClock() {
  const inner = { monotonic: 0, wall: 1_000_000 };
  return {
    inner,
    clock: new clocks.PauseAwareClock({
      now: () => inner.monotonic,
      readWallTime: () => inner.wall,
    }),
  };
}

// The monotonic clock stops while a VM is suspended. Data received before the suspension would
// appear newer than it is if the clock did not include that time.
tap.t.test("the clock includes the time during which the VM was suspended", (t) => {
  const { inner, clock } = createClock();
  inner.monotonic += 10;
  inner.wall += 4_010;
  t.equal(clock.now(), 4_010);
  inner.monotonic += 10;
  inner.wall += 10;
  t.equal(clock.now(), 4_020);
  t.end();
});

tap.t.test("a backward step of the wall clock does not decrease the time", (t) => {
  const { inner, clock } = createClock();
  inner.monotonic += 10;
  inner.wall -= 5_000;
  t.equal(clock.now(), 10);
  inner.monotonic += 10;
  inner.wall += 5_010;
  t.equal(clock.now(), 5_020, "the later forward step looks like a pause, which is safe");
  t.end();
});
