import * as core from "@peridotvale/core";
import * as tap from "tap";
import * as engineStarts from "./engine_starts.ts";

const instance = core.createId<core.InstanceId>("e-1");

// A stream that a restart has cut short ended as a complete one.
tap.t.test("a later start than the one known when the request was sent is a restart", (t) => {
  const cases: [name: string, starts: (number | undefined)[], isRestarted: boolean][] = [
    ["engine states a later start", [5, 5, 6], true],
    ["its entry names a later start", [5, 6, undefined], true],
    ["same start", [5, 5, 5], false],
    ["entry of an earlier start is late", [5, 4, 5], false],
    ["nothing stated", [5, 5, undefined], false],
    ["nothing known before", [undefined, undefined, 6], false],
  ];
  for (const [name, [placedStart, entryStart, statedStart], isRestarted] of cases) {
    const stream = { instance, sentAt: 10, placedStart, entryStart, statedStart };
    t.equal(new engineStarts.EngineStarts().hasRestarted(stream), isRestarted, name);
  }
  t.end();
});

// The first of two streams cut by one restart records the new start; the second would be compared
// with it and pass for complete.
tap.t.test("a start stated after the request was sent is not the one it was sent to", (t) => {
  const starts = new engineStarts.EngineStarts();
  starts.recordStart(instance, 5, 1);
  starts.recordStart(instance, 6, 20);
  starts.recordStart(instance, 6, 21);
  const stream = { instance, placedStart: undefined, entryStart: undefined, statedStart: 6 };
  t.equal(starts.hasRestarted({ ...stream, sentAt: 10 }), true, "sent to the earlier start");
  t.equal(starts.hasRestarted({ ...stream, sentAt: 30 }), false, "sent to the later start");
  t.equal(starts.hasRestarted({ ...stream, sentAt: 30, placedStart: 5 }), false, "late entry");
  t.end();
});
