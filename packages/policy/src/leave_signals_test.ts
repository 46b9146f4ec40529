import * as core from "@peridotvale/core";
import * as tap from "tap";
import * as directories from "./instance_directory.ts";
import * as signals from "./leave_signals.ts";

const SERVICE = core.createId<core.ServiceName>("desk");
const INSTANCE = core.createId<core.InstanceId>("s-1");

function createRecord(changes: Partial<core.EndpointRecord> = {}): core.EndpointRecord {
  return {
    instance: INSTANCE,
    endpoint: core.createId<core.EndpointId>("10.0.0.1:80"),
    service: SERVICE,
    zone: core.createId<core.ZoneName>("a"),
    isDraining: false,
    slots: 6,
    startedAt: 5,
    revision: 1,
    coldLeftMs: 0,
    ...changes,
  };
}

function createDirectory(record: core.EndpointRecord): directories.InstanceDirectory {
  const directory = new directories.InstanceDirectory();
  directory.applyRecord(record, 0);
  return directory;
}

// Entries say `ready` until the endpoint has written another one, and the listing after a store
// outage has them all again; requests that follow are lost with the endpoint.
tap.t.test("no entry of the start that leaves readmits it", (t) => {
  const directory = createDirectory(createRecord());
  const [change] = directory.recordLeaveSignal(createRecord(), 10);
  t.match(change, { type: "leaving", reason: "signalled" });
  t.same(directory.recordLeaveSignal(createRecord(), 11), [], "reported once");
  directory.applyRecord(createRecord({ revision: 9 }), 20);
  t.notOk(directory.isUsable(INSTANCE), "a newer entry of the same start");
  directory.applyListing([], { revision: 10, now: 30 });
  directory.expireInstances(100_000);
  directory.applyRecord(createRecord({ revision: 11 }), 100_001);
  t.notOk(directory.isUsable(INSTANCE), "its entry, long after it was removed");
  directory.applyRecord(createRecord({ revision: 12, startedAt: 6 }), 100_002);
  t.ok(directory.isUsable(INSTANCE), "a new start");
  t.same(
    directory.recordLeaveSignal(createRecord(), 100_003),
    [],
    "a late answer of the old start",
  );
  t.ok(directory.isUsable(INSTANCE));
  t.end();
});

tap.t.test("a peer's report counts for the start that it names, in any order", (t) => {
  const source = createDirectory(createRecord());
  source.recordLeaveSignal(createRecord(), 1_000);
  const reports = source.listLeaveSignals(999, 1_400);
  t.same(reports, [{ instance: INSTANCE, startedAt: 5, ageMs: 400 }]);
  t.same(source.listLeaveSignals(1_000, 1_400), []);
  t.same(source.listLeaveNotices(1_400), []);
  const early = new directories.InstanceDirectory();
  early.applyLeaveSignals(reports, 50);
  t.match(early.applyRecord(createRecord(), 60), [{ type: "leaving", reason: "signalled" }]);
  const later = createDirectory(createRecord({ startedAt: 6 }));
  t.same(later.applyLeaveSignals(reports, 50), []);
  t.ok(later.isUsable(INSTANCE));
  t.end();
});

// Without a time of its start, only what happened to the entry tells two starts apart.
tap.t.test("without a stated start, a new one is known by its entry's removal or drain", (t) => {
  const undated = createRecord({ startedAt: undefined });
  const directory = createDirectory(undated);
  directory.recordLeaveSignal(undated, 10);
  directory.applyRecord({ ...undated, revision: 2 }, 20);
  t.notOk(directory.isUsable(INSTANCE));
  directory.removeRecord(INSTANCE, 3, 30);
  directory.applyRecord({ ...undated, revision: 4 }, 40);
  t.ok(directory.isUsable(INSTANCE));
  const reports = [{ instance: INSTANCE, startedAt: undefined, ageMs: 30 }];
  t.same(directory.applyLeaveSignals(reports, 50), [], "seen before the new start");
  t.equal(directory.applyLeaveSignals([{ ...reports[0]!, ageMs: 5 }], 50).length, 1);
  t.end();
});

tap.t.test("the oldest statements are dropped beyond a bound", (t) => {
  const known = new signals.LeaveSignals();
  for (let i = 0; i < 5_000; i += 1) {
    const instance = core.createId<core.InstanceId>(`s-${i}`);
    known.recordSignal(instance, { startedAt: 1, seenAt: i, learnedAt: i });
  }
  t.equal(known.size, 4_096);
  const isLeaving = (id: string) =>
    known.isLeaving(createRecord({ instance: core.createId<core.InstanceId>(id), startedAt: 1 }));
  t.notOk(isLeaving("s-0"));
  t.ok(isLeaving("s-4999"));
  t.end();
});
