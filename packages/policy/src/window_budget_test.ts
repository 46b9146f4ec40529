import * as core from "@peridotvale/core";
import * as tap from "tap";
import * as budgets from "./window_budget.ts";

const BOUNDS = { ratio: 0.2, allowance: 54, windowMs: 10_000 };
const PROCESSES = 7;

// Processes count independently and get uneven shares of the requests.
tap.t.test("retries of all processes together stay within the limits in every window", (t) => {
  const random = new core.SeededRandom(7);
  const budgetList = Array.from(
    { length: PROCESSES },
    () => new budgets.SlidingWindowRetryBudget(BOUNDS),
  );
  const requests: number[] = [];
  const retries: number[] = [];
  for (let now = 0; now < 60_000; now += 5) {
    // The service fails, so every allowed retry is made.
    const budget = budgetList[Math.floor(random.next() * PROCESSES)]!;
    if (random.next() < 0.3) {
      budget.recordRequest(now);
      requests.push(now);
    }
    if (budget.takeRetry(now, PROCESSES)) retries.push(now);
  }
  for (let from = 0; from <= 50_000; from += 250) {
    const inWindow = (at: number) => at >= from && at < from + BOUNDS.windowMs;
    const allowed = BOUNDS.ratio * requests.filter(inWindow).length + BOUNDS.allowance;
    t.ok(retries.filter(inWindow).length <= allowed, `window from ${from}`);
  }
  t.ok(retries.length > 60, "some retries are allowed");
  t.end();
});

tap.t.test("retries that need no permission count towards the limit", (t) => {
  const budget = new budgets.SlidingWindowRetryBudget({
    ratio: 0,
    allowance: 10,
    windowMs: 10_000,
  });
  for (let i = 0; i < 8; i++) budget.recordRetry(i);
  t.equal(budget.takeRetry(10, 1), false);
  t.equal(budget.takeRetry(10_050, 1), true);
  t.end();
});

// If only retries dropped expired times, a process without retries would keep all of them.
tap.t.test("a process without retries keeps the request times of one window only", (t) => {
  const budget = new budgets.SlidingWindowRetryBudget(BOUNDS);
  for (let now = 0; now < 20 * BOUNDS.windowMs; now += 10) budget.recordRequest(now);
  t.ok(budget.recordedCount <= BOUNDS.windowMs / 10, `${budget.recordedCount} times kept`);
  t.end();
});
