import * as core from "@peridotvale/core";
import * as tap from "tap";
import * as budgets from "./window_budget.ts";

const BOUNDS = { ratio: 0.2, allowance: 54, windowMs: 10_000 };
const PROCESSES = 7;

tap.t.test("all processes together stay within the bounds in every window", (t) => {
  const random = new core.SeededRandom(7);
  const list = Array.from({ length: PROCESSES }, () => new budgets.WindowBudget(BOUNDS));
  const requests: number[] = [];
  const repeats: number[] = [];
  for (let now = 0; now < 60_000; now += 5) {
    // A failing service: each request is repeated as long as it may be.
    const budget = list[Math.floor(random.next() * PROCESSES)]!;
    if (random.next() < 0.3) {
      budget.recordRequest(now);
      requests.push(now);
    }
    if (budget.takeRepeat(now, PROCESSES)) repeats.push(now);
  }
  for (let from = 0; from <= 50_000; from += 250) {
    const inWindow = (at: number) => at >= from && at < from + BOUNDS.windowMs;
    const allowed = BOUNDS.ratio * requests.filter(inWindow).length + BOUNDS.allowance;
    t.ok(repeats.filter(inWindow).length <= allowed, `window from ${from}`);
  }
  t.ok(repeats.length > 60, "repeats are not refused altogether");
  t.end();
});

tap.t.test("moves that are made in any case leave less for retries", (t) => {
  const budget = new budgets.WindowBudget({ ratio: 0, allowance: 10, windowMs: 10_000 });
  for (let i = 0; i < 8; i++) budget.recordRepeat(i);
  t.equal(budget.takeRepeat(10, 1), false);
  t.equal(budget.takeRepeat(10_050, 1), true);
  t.end();
});

tap.t.test("a process that never repeats keeps the times of one window only", (t) => {
  const budget = new budgets.WindowBudget(BOUNDS);
  for (let now = 0; now < 20 * BOUNDS.windowMs; now += 10) budget.recordRequest(now);
  t.ok(budget.recordedCount <= BOUNDS.windowMs / 10, `${budget.recordedCount} times kept`);
  t.end();
});
