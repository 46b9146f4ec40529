import * as tap from "tap";
import * as policy from "./forward_retry.ts";

const REFUSED_ATTEMPT: policy.EndedAttempt = {
  kind: "non_idempotent",
  outcome: "not_run",
  ranAttempts: 0,
  refusedAttempts: 1,
  maxAttempts: 1,
  answerBy: 1_000,
};

// A retry of a request that has run would cause its effects twice.
tap.t.test("requests that may have run are retried only if they are idempotent", (t) => {
  for (const kind of ["non_idempotent", "streaming"] as const) {
    t.equal(policy.chooseForwardRetry({ ...REFUSED_ATTEMPT, kind }, 0).type, "again");
    for (const outcome of ["unknown", "failed"] as const) {
      const decision = policy.chooseForwardRetry(
        { ...REFUSED_ATTEMPT, kind, outcome, ranAttempts: 0 },
        0,
      );
      t.same(decision, { type: "stop", reason: "not_repeatable" });
    }
  }
  const idempotentAttempt = {
    ...REFUSED_ATTEMPT,
    kind: "idempotent" as const,
    outcome: "unknown" as const,
  };
  t.equal(
    policy.chooseForwardRetry({ ...idempotentAttempt, ranAttempts: 1, maxAttempts: 2 }, 0).type,
    "again",
  );
  t.same(policy.chooseForwardRetry({ ...idempotentAttempt, ranAttempts: 2, maxAttempts: 2 }, 0), {
    type: "stop",
    reason: "attempts_exhausted",
  });
  t.end();
});

tap.t.test("no retry follows the third refused attempt or starts just before the deadline", (t) => {
  t.same(policy.chooseForwardRetry({ ...REFUSED_ATTEMPT, refusedAttempts: 3 }, 0), {
    type: "stop",
    reason: "attempts_exhausted",
  });
  t.same(policy.chooseForwardRetry(REFUSED_ATTEMPT, 990), {
    type: "stop",
    reason: "deadline_exceeded",
  });
  t.end();
});

tap.t.test("the status is 503 only if the request has not run", (t) => {
  t.equal(policy.chooseFailureStatus("not_run", { isLate: true }), 503);
  t.equal(policy.chooseFailureStatus("unknown", { isLate: true }), 504);
  t.equal(policy.chooseFailureStatus("unknown", { isLate: false }), 502);
  t.equal(policy.chooseFailureStatus("failed", { isLate: false }), 502);
  t.end();
});
