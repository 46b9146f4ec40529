import * as tap from "tap";
import * as schedules from "./drain_schedule.ts";

tap.t.test("requests are answered before connections close, and both before the end", (t) => {
  for (const gracePeriodMs of [0, 300, 1_000, 3_000, 8_000, 30_000]) {
    const schedule = schedules.planDrain(gracePeriodMs, 1_000);
    t.ok(schedule.acceptUntil >= 1_000 && schedule.acceptUntil <= schedule.answerBy);
    t.ok(schedule.answerBy <= schedule.closeBy);
    t.ok(schedule.closeBy <= 1_000 + gracePeriodMs);
  }
  t.end();
});

tap.t.test("a request whose target lies after the stop is not accepted any more", (t) => {
  const stopAt = 8_000;
  const stop = { acceptUntil: 2_500, answerBy: stopAt, closeBy: 8_500 };
  const request = { answerBy: stopAt, targetLatencyMs: 300, isGeneration: false };
  t.ok(schedules.canAnswerBeforeStop(request, stop, 7_700));
  t.notOk(schedules.canAnswerBeforeStop(request, stop, 7_701));
  // The caller's own deadline is earlier than the stop.
  t.ok(schedules.canAnswerBeforeStop({ ...request, answerBy: 7_900 }, stop, 7_800));
  t.ok(schedules.canAnswerBeforeStop({ ...request, answerBy: 9e9 }, schedules.NO_STOP, 7_800));
  t.end();
});

// Generations sent seconds after the signal were cut off at their engine at the end of the stop.
tap.t.test("no generation starts once the load balancer has noticed the stop", (t) => {
  const stop = { acceptUntil: 2_500, answerBy: 7_400, closeBy: 7_800 };
  const request = { answerBy: stop.answerBy, targetLatencyMs: 300, isGeneration: true };
  t.ok(schedules.canAnswerBeforeStop(request, stop, 2_499));
  t.notOk(schedules.canAnswerBeforeStop(request, stop, 2_500));
  // Its caller gives it up before the stop ends.
  t.ok(schedules.canAnswerBeforeStop({ ...request, answerBy: 7_000 }, stop, 3_000));
  t.end();
});
