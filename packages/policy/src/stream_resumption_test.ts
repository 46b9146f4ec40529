import * as tap from "tap";
import * as resumption from "./stream_resumption.ts";

const ATTEMPT: resumption.EndedStreamAttempt = {
  isResumable: true,
  outcome: "unknown",
  ranAttempts: 1,
  refusedAttempts: 0,
  maxAttempts: 2,
  answerBy: 1_000,
  deliveredEvents: 0,
  hasLastEventId: false,
};
const DELIVERED = { deliveredEvents: 3, hasLastEventId: true };

// A second run of a stream that must run once, or events twice or missing after a resumption.
tap.t.test("a stream is sent again before its first event and resumed after it", (t) => {
  const cases: [name: string, Partial<resumption.EndedStreamAttempt>, step: string][] = [
    ["reset before an event", {}, "again"],
    ["a 5xx before an event", { outcome: "failed" }, "again"],
    ["reset after events", DELIVERED, "resume"],
    ["refused resumption", { ...DELIVERED, outcome: "not_run", refusedAttempts: 1 }, "resume"],
    ["last event without id", { ...DELIVERED, hasLastEventId: false }, "no_event_id"],
    ["both endpoints failed", { ...DELIVERED, ranAttempts: 2 }, "attempts_exhausted"],
    ["refused too often", { outcome: "not_run", refusedAttempts: 3 }, "attempts_exhausted"],
    ["deadline", { answerBy: 10 }, "deadline_exceeded"],
    ["not resumable, may have run", { isResumable: false }, "not_repeatable"],
    [
      "not resumable, refused",
      { isResumable: false, outcome: "not_run", ranAttempts: 0 },
      "again",
    ],
    [
      "not resumable, moved and refused",
      { ...DELIVERED, isResumable: false, outcome: "not_run" },
      "not_repeatable",
    ],
  ];
  for (const [name, changes, expected] of cases) {
    const step = resumption.chooseStreamStep({ ...ATTEMPT, ...changes }, 0);
    t.equal(step.type === "stop" ? step.reason : step.type, expected, name);
  }
  t.end();
});

// A hedge of each attempt that waits behind a prompt doubles the load that makes it wait.
tap.t.test("a silent attempt is replaced late, and only while its caller waits on", (t) => {
  const abandonMs = resumption.computeAbandonMs({ targetLatencyMs: 1_000, gapAimMs: 180 });
  t.equal(abandonMs, 4_000);
  t.equal(resumption.computeAbandonMs({ targetLatencyMs: 0, gapAimMs: 0 }), 2_000);
  t.equal(resumption.computeAbandonMs({ targetLatencyMs: 0, gapAimMs: 500 }), 4_000);
  const stream = { abandonMs, promptTokens: 1_000, silentMs: 2_400, leftMs: 1_600 };
  t.equal(resumption.isSilenceReplaceable(stream), true);
  t.equal(resumption.isSilenceReplaceable({ ...stream, silentMs: 2_300 }), false, "too early");
  t.equal(resumption.isSilenceReplaceable({ ...stream, leftMs: 700 }), false, "caller leaves");
  const large = { ...stream, promptTokens: 30_000 };
  t.equal(resumption.isSilenceReplaceable(large), false, "its prompt takes longer");
  t.end();
});

// After a pause of the process, endpoints whose events wait in its sockets looked silent.
tap.t.test("a pause of the process is not taken for silence", (t) => {
  const meter = new resumption.SilenceMeter(50);
  t.equal(meter.applyCheck(0, 0), 0);
  t.equal(meter.applyCheck(0, 50), 50);
  t.equal(meter.applyCheck(0, 9_050), 150, "paused");
  t.equal(meter.applyCheck(1, 9_100), 0, "an event");
  t.equal(meter.applyCheck(1, 9_150), 50);
  t.equal(meter.applyCheck(undefined, 9_200), 0, "none expected");
  t.equal(meter.applyCheck(1, 9_250), 0);
  t.end();
});

tap.t.test("what is left of a generation includes its output in the prompt", (t) => {
  const size = { promptTokens: 100, maxOutputTokens: 50, expectedOutputTokens: 20 };
  t.same(resumption.computeRemainingSize(size, 30), {
    promptTokens: 130,
    maxOutputTokens: 20,
    expectedOutputTokens: 1,
  });
  t.end();
});
