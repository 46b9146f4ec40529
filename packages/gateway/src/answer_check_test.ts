import * as core from "@peridotvale/core";
import * as tap from "tap";
import * as answers from "./answer_check.ts";

const REQUEST = core.createId<core.RequestId>("r1");
const GENUINE = {
  request: "r1",
  isNotRun: false,
  isMisdirected: false,
  isClosing: false,
  isGenuine: true,
  isEncoded: false,
};

tap.t.test("only the endpoint's own answer to the request is passed on", (t) => {
  const find = (status: number, changes: Partial<typeof GENUINE>) =>
    answers.findAnswerFault(status, { ...GENUINE, ...changes }, REQUEST);
  t.equal(find(200, {}), undefined);
  t.equal(find(500, { isGenuine: false }), undefined);
  t.same(find(200, { request: "r0" })?.reason, "answer_of_another_request");
  t.same(find(404, { request: "r0" })?.outcome, "unknown", "also a failure is another one's");
  t.same(find(200, { request: "r0", isNotRun: true })?.outcome, "unknown");
  t.same(find(200, { isGenuine: false })?.outcome, "unknown");
  t.same(find(200, { isEncoded: true })?.outcome, "unknown");
  t.same(find(503, { isNotRun: true })?.outcome, "not_run");
  t.same(find(421, { isMisdirected: true })?.outcome, "not_run");
  t.equal(answers.findAnswerFault(200, undefined, REQUEST)?.outcome, "unknown");
  t.end();
});
