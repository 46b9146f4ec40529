import * as tap from "tap";
import * as retries from "./early_retry.ts";

const ATTEMPT: retries.OpenAttempt = {
  kind: "idempotent",
  ranAttempts: 0,
  refusedAttempts: 0,
  maxAttempts: 2,
  answerBy: 1_000,
};
const MEANS: retries.RetryMeans = { hasEndpoint: true, hasBudget: true };

// An attempt that was ended for a retry that could not be sent lost the answer that it would have
// got, and its caller got a 502 long before the deadline.
tap.t.test("an attempt is ended early only if its retry can be sent at that moment", (t) => {
  t.equal(retries.computeEarlyRetryWaitMs(ATTEMPT, 0), 500);
  t.ok(retries.isEndedEarly(ATTEMPT, MEANS, 500));
  t.notOk(retries.isEndedEarly(ATTEMPT, { ...MEANS, hasEndpoint: false }, 500));
  t.notOk(retries.isEndedEarly(ATTEMPT, { ...MEANS, hasBudget: false }, 500));
  t.equal(retries.computeEarlyRetryWaitMs(ATTEMPT, 500), 250, "checked again later");
  t.equal(retries.computeEarlyRetryWaitMs(ATTEMPT, 970), undefined, "until it is too late");
  t.end();
});

tap.t.test("an attempt that no retry may follow keeps its time", (t) => {
  for (
    const change of [
      { ranAttempts: 1 },
      { refusedAttempts: 3 },
      { kind: "non_idempotent" as const },
      { kind: "streaming" as const },
    ]
  ) {
    const attempt = { ...ATTEMPT, ...change };
    t.equal(retries.computeEarlyRetryWaitMs(attempt, 0), undefined, JSON.stringify(change));
    t.notOk(retries.isEndedEarly(attempt, MEANS, 0));
  }
  t.end();
});
