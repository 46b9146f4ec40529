import * as fc from "fast-check";
import * as tap from "tap";
import * as budgets from "./retry_budget.ts";
import * as retries from "./retry_policy.ts";

fc.configureGlobal({ seed: 20_261_204, numRuns: 300 });

const outcomes = fc.constantFrom("not_run" as const, "failed" as const, "unknown" as const);
const calls = fc.record({
  outcome: outcomes,
  idempotent: fc.boolean(),
  attempts: fc.integer({ min: 1, max: 6 }),
  budgetLeft: fc.boolean(),
  deadlineAt: fc.integer({ min: 0, max: 100 }),
});
const generations = fc.record({
  outcome: outcomes,
  streamed: fc.boolean(),
  deliveredTokens: fc.integer({ min: 0, max: 10 }),
  resumable: fc.boolean(),
  attempts: fc.integer({ min: 1, max: 8 }),
  fruitlessAttempts: fc.integer({ min: 0, max: 3 }),
  budgetLeft: fc.boolean(),
  deadlineAt: fc.integer({ min: 0, max: 100 }),
});
const times = fc.integer({ min: 0, max: 100 });

// Guards against a second execution of a non-idempotent call that an endpoint may have run.
tap.t.test("a non-idempotent call is retried only after a not_run attempt", (t) => {
  fc.assert(fc.property(calls, times, (attempt, now) => {
    const retry = retries.chooseCallRetry(attempt, now);
    if (retry.type !== "retry") return true;
    return (attempt.idempotent || attempt.outcome === "not_run") && now < attempt.deadlineAt &&
      attempt.budgetLeft && attempt.attempts < retries.MAX_CALL_ATTEMPTS;
  }));
  t.end();
});

// A restarted generation may produce other tokens, which would not continue the text that the
// caller has received.
tap.t.test("a stream with delivered tokens is never restarted without a comparison", (t) => {
  fc.assert(fc.property(generations, times, (attempt, now) => {
    const retry = retries.chooseGenerationRetry(attempt, now);
    if (now >= attempt.deadlineAt) return retry.type === "stop";
    if (retry.type === "restart") return !attempt.streamed || attempt.deliveredTokens === 0;
    if (retry.type === "resume") return attempt.resumable;
    return true;
  }));
  t.end();
});

// When an engine unloads a model, all grants under way are refused at once, which would use up the
// budget although no engine has done any work.
tap.t.test("attempts that no engine took need no retry budget, all others do", (t) => {
  fc.assert(fc.property(generations, (attempt) => {
    const open = {
      ...attempt,
      resumable: false,
      attempts: 1,
      fruitlessAttempts: 0,
      budgetLeft: false,
      deadlineAt: 100,
    };
    const retry = retries.chooseGenerationRetry(open, 0);
    if (attempt.outcome === "not_run") return retry.type !== "stop";
    return retry.type === "stop" && retry.reason === "retry_budget_exhausted";
  }));
  t.notOk(retries.isRetryCharged("not_run"));
  t.ok(retries.isRetryCharged("failed"));
  t.ok(retries.isRetryCharged("unknown"));
  t.end();
});

// A prompt that crashes engines would otherwise cost one engine for each attempt.
tap.t.test(
  "a generation that has lost two engines as it began is not restarted",
  (t) => {
    fc.assert(fc.property(generations, times, (attempt, now) => {
      const retry = retries.chooseGenerationRetry({ ...attempt, fruitlessAttempts: 2 }, now);
      return retry.type === "stop" || retry.type === "resume";
    }));
    t.end();
  },
);

tap.t.test("the outcome of a request is not_run only if every attempt was not_run", (t) => {
  fc.assert(fc.property(fc.array(outcomes, { minLength: 1 }), (attempts) => {
    const mergedOutcome = attempts.reduce(retries.mergeOutcomes);
    if (mergedOutcome === "not_run") return attempts.every((outcome) => outcome === "not_run");
    if (attempts.includes("unknown")) return mergedOutcome === "unknown";
    return true;
  }));
  t.end();
});

tap.t.test("retries stay within a tenth of the requests when every attempt fails", (t) => {
  const budget = new budgets.RetryBudget();
  let takenRetries = 0;
  for (let request = 0; request < 10_000; request++) {
    budget.recordRequest();
    if (budget.takeRetry()) takenRetries += 1;
  }
  t.ok(takenRetries <= 10_000 * budgets.RETRY_RATIO + 10, `${takenRetries} retries`);
  t.end();
});
