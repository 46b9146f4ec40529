import * as core from "@peridotvale/core";
import * as tap from "tap";
import * as budgets from "./window_budget.ts";

const RETRY_BOUNDS = { ratio: 0.2, allowance: 54, windowMs: 10_000 };
const PROCESS_COUNT = 7;

// Processes count independently and get uneven shares of the requests.
tap.t.test("retries of all processes together stay within the limits in every window", (t) => {
  const random = new core.SeededRandom(7);
  const budgetList = Array.from(
    { length: PROCESS_COUNT },
    () => new budgets.SlidingWindowRetryBudget(RETRY_BOUNDS),
  );
  const requestTimes: number[] = [];
  const retryTimes: number[] = [];
  for (let now = 0; now < 60_000; now += 5) {
    // The service fails, so every allowed retry is made.
    const budget = budgetList[Math.floor(random.next() * PROCESS_COUNT)]!;
    if (random.next() < 0.3) {
      budget.recordRequest(now);
      requestTimes.push(now);
    }
    if (budget.takeRetry(now, PROCESS_COUNT)) retryTimes.push(now);
  }
  for (let windowStart = 0; windowStart <= 50_000; windowStart += 250) {
    const isInWindow = (at: number) =>
      at >= windowStart && at < windowStart + RETRY_BOUNDS.windowMs;
    const allowedRetries = RETRY_BOUNDS.ratio * requestTimes.filter(isInWindow).length +
      RETRY_BOUNDS.allowance;
    t.ok(retryTimes.filter(isInWindow).length <= allowedRetries, `window from ${windowStart}`);
  }
  t.ok(retryTimes.length > 60, "some retries are allowed");
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
  const budget = new budgets.SlidingWindowRetryBudget(RETRY_BOUNDS);
  for (let now = 0; now < 20 * RETRY_BOUNDS.windowMs; now += 10) budget.recordRequest(now);
  t.ok(budget.recordedCount <= RETRY_BOUNDS.windowMs / 10, `${budget.recordedCount} times kept`);
  t.end();
});
