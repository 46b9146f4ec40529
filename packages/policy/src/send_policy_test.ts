import * as tap from "tap";
import * as sends from "./send_policy.ts";

const FRESH: sends.EndedSend = {
  kind: "non_idempotent",
  outcome: "not_run",
  ranSends: 0,
  refusedSends: 1,
  maxAttempts: 1,
  answerBy: 1_000,
};

tap.t.test("only what is proved not to have run is sent again, unless it is idempotent", (t) => {
  for (const kind of ["non_idempotent", "streaming"] as const) {
    t.equal(sends.chooseNextSend({ ...FRESH, kind }, 0).type, "again");
    for (const outcome of ["unknown", "failed"] as const) {
      const next = sends.chooseNextSend({ ...FRESH, kind, outcome, ranSends: 0 }, 0);
      t.same(next, { type: "stop", reason: "not_repeatable" });
    }
  }
  const idempotent = { ...FRESH, kind: "idempotent" as const, outcome: "unknown" as const };
  t.equal(sends.chooseNextSend({ ...idempotent, ranSends: 1, maxAttempts: 2 }, 0).type, "again");
  t.same(sends.chooseNextSend({ ...idempotent, ranSends: 2, maxAttempts: 2 }, 0), {
    type: "stop",
    reason: "attempts_exhausted",
  });
  t.end();
});

tap.t.test("refusals and time bound the sends", (t) => {
  t.same(sends.chooseNextSend({ ...FRESH, refusedSends: 3 }, 0), {
    type: "stop",
    reason: "attempts_exhausted",
  });
  t.same(sends.chooseNextSend(FRESH, 990), { type: "stop", reason: "deadline_exceeded" });
  t.end();
});

tap.t.test("503 is answered only for what has not run", (t) => {
  t.equal(sends.chooseFailureStatus("not_run", { isLate: true }), 503);
  t.equal(sends.chooseFailureStatus("unknown", { isLate: true }), 504);
  t.equal(sends.chooseFailureStatus("unknown", { isLate: false }), 502);
  t.equal(sends.chooseFailureStatus("failed", { isLate: false }), 502);
  t.end();
});
