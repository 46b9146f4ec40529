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
  const request = { answerBy: stopAt, targetLatencyMs: 300 };
  t.ok(schedules.canAnswerBeforeStop(request, stopAt, 7_700));
  t.notOk(schedules.canAnswerBeforeStop(request, stopAt, 7_701));
  // The caller's own deadline is earlier than the stop.
  t.ok(schedules.canAnswerBeforeStop({ ...request, answerBy: 7_900 }, stopAt, 7_800));
  t.ok(schedules.canAnswerBeforeStop({ ...request, answerBy: 9e9 }, Infinity, 7_800));
  t.end();
});
