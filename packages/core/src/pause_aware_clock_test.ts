import * as tap from "tap";
import * as clocks from "./pause_aware_clock.ts";

function createFake() {
  const fake = { monotonic: 0, wall: 1_000_000 };
  return {
    fake,
    clock: new clocks.PauseAwareClock({
      now: () => fake.monotonic,
      readWallTime: () => fake.wall,
    }),
  };
}

tap.t.test("a suspension that the monotonic clock does not count is counted", (t) => {
  const { fake, clock } = createFake();
  fake.monotonic += 10;
  fake.wall += 4_010;
  t.equal(clock.now(), 4_010);
  fake.monotonic += 10;
  fake.wall += 10;
  t.equal(clock.now(), 4_020);
  t.end();
});

tap.t.test("a step of the wall clock back does not turn time back", (t) => {
  const { fake, clock } = createFake();
  fake.monotonic += 10;
  fake.wall -= 5_000;
  t.equal(clock.now(), 10);
  fake.monotonic += 10;
  fake.wall += 5_010;
  t.equal(clock.now(), 5_020, "its return looks like a pause, which is on the safe side");
  t.end();
});
