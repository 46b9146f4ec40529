import * as core from "@peridotvale/core";
import * as tap from "tap";
import * as holdOffs from "./hold_offs.ts";

const RECORD: core.EndpointRecord = {
  instance: core.createId<core.InstanceId>("s-1"),
  endpoint: core.createId<core.EndpointId>("10.0.0.1:80"),
  service: core.createId<core.ServiceName>("desk"),
  zone: core.createId<core.ZoneName>("a"),
  isDraining: false,
  slots: 6,
  startedAt: 1,
  revision: 1,
  coldLeftMs: 0,
};

// A shorter time in a late answer to a concurrent request would end the pause too early.
tap.t.test("an endpoint is held off until the latest time that it stated", (t) => {
  const held = new holdOffs.HoldOffs();
  t.equal(held.getWaitMs(RECORD, 0), 0);
  t.equal(held.recordPause(RECORD, 2_000, 0), 2_000);
  t.equal(held.recordPause(RECORD, 1_000, 100), 0, "no new pause");
  t.equal(held.getWaitMs(RECORD, 500), 1_500);
  t.equal(held.recordPause(RECORD, 4_000, 500), 0, "prolonged");
  t.equal(held.getWaitMs(RECORD, 4_000), 500);
  t.same(held.expirePauses(4_499), []);
  t.same(held.expirePauses(4_500), ["s-1"]);
  t.equal(held.size, 0);
  t.end();
});

// A value in milliseconds, read as seconds, would take an endpoint out of use for hours.
tap.t.test("a pause is capped", (t) => {
  const held = new holdOffs.HoldOffs();
  t.equal(held.recordPause(RECORD, 1e12, 0), holdOffs.MAX_HOLD_OFF_MS);
  t.equal(held.recordPause(RECORD, 0, holdOffs.MAX_HOLD_OFF_MS), 0, "zero is no pause");
  t.equal(held.getWaitMs(RECORD, holdOffs.MAX_HOLD_OFF_MS), 0);
  t.end();
});

tap.t.test("a new start of the endpoint is not held off", (t) => {
  const held = new holdOffs.HoldOffs();
  held.recordPause(RECORD, 2_000, 0);
  t.equal(held.getWaitMs({ ...RECORD, startedAt: 2 }, 1), 0);
  t.equal(held.getWaitMs({ ...RECORD, slots: 7 }, 1), 1_999, "a changed entry of the same start");
  t.end();
});
