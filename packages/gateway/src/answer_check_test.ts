import * as core from "@peridotvale/core";
import * as tap from "tap";
import * as answers from "./answer_check.ts";

const REQUEST = { id: core.createId<core.RequestId>("r1"), isConnectionReused: false };
const VALID_HEAD = {
  request: "r1" as string | undefined,
  isRefused: false,
  isMisdirected: false,
  isClosing: false,
  isLeaving: false,
  retryAfterMs: undefined,
  isGenuine: true,
  rateLimitPerS: undefined,
  isEncoded: false,
};

// A reused connection may deliver the answer to an earlier request, and another instance or an
// intermediary may answer at the endpoint's address.
tap.t.test(
  "an answer to another request is refused, and so is an intermediary's success",
  (t) => {
    const findFault = (status: number, changes: Partial<typeof VALID_HEAD>) =>
      answers.findAnswerFault(status, { ...VALID_HEAD, ...changes }, REQUEST);
    t.equal(findFault(200, {}), undefined);
    t.equal(findFault(500, { isGenuine: false }), undefined);
    t.same(findFault(200, { request: "r0" })?.reason, "answer_of_another_request");
    t.same(
      findFault(404, { request: "r0" })?.outcome,
      "unknown",
      "an error of another request is refused too",
    );
    t.same(findFault(200, { request: "r0", isRefused: true })?.outcome, "unknown");
    t.same(findFault(200, { isGenuine: false })?.outcome, "unknown");
    t.same(findFault(200, { isEncoded: true })?.outcome, "unknown");
    t.same(findFault(503, { isRefused: true })?.outcome, "not_run");
    t.same(findFault(421, { isMisdirected: true })?.outcome, "not_run");
    t.equal(answers.findAnswerFault(200, undefined, REQUEST)?.outcome, "unknown");
    t.end();
  },
);

// A late second copy of a refusal was taken for the refusal of an order that ran.
tap.t.test("an answer without a request id proves nothing on a reused connection", (t) => {
  const head = { ...VALID_HEAD, request: undefined, isRefused: true };
  const reused = { ...REQUEST, isConnectionReused: true };
  t.equal(answers.findAnswerFault(503, head, REQUEST)?.outcome, "not_run");
  t.equal(answers.findAnswerFault(503, head, reused)?.outcome, "unknown");
  t.equal(
    answers.findAnswerFault(421, { ...head, isMisdirected: true }, reused)?.outcome,
    "unknown",
  );
  t.equal(answers.findAnswerFault(500, { ...head, isRefused: false }, reused)?.outcome, "unknown");
  t.equal(answers.findAnswerFault(503, { ...head, request: "r1" }, reused)?.outcome, "not_run");
  t.end();
});
