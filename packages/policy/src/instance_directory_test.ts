import * as core from "@peridotvale/core";
import * as tap from "tap";
import * as directories from "./instance_directory.ts";

const SERVICE = core.createId<core.ServiceName>("desk");

function createRecord(
  id: string,
  changes: Partial<core.EndpointRecord> = {},
): core.EndpointRecord {
  return {
    instance: core.createId<core.InstanceId>(id),
    endpoint: core.createId<core.EndpointId>(`10.0.0.1:${8000 + id.length}`),
    service: SERVICE,
    zone: core.createId<core.ZoneName>("a"),
    isDraining: false,
    slots: 6,
    startedAt: 1,
    revision: 1,
    coldLeftMs: 0,
    ...changes,
  };
}

function listUsableIds(directory: directories.InstanceDirectory): string[] {
  return directory.listUsableEndpoints(SERVICE).map((record) => record.instance);
}

tap.t.test("a draining, removed or misdirected instance gets no new work", (t) => {
  const directory = new directories.InstanceDirectory();
  directory.applyListing([createRecord("a"), createRecord("b"), createRecord("c")], {
    revision: 1,
    now: 0,
  });
  t.same(listUsableIds(directory), ["a", "b", "c"]);
  const [change] = directory.applyRecord(createRecord("a", { isDraining: true, revision: 2 }), 1);
  t.equal(change?.type, "leaving");
  directory.removeRecord(createRecord("b").instance, 2, 1);
  directory.recordMisdirected(createRecord("c").instance, 1);
  t.same(listUsableIds(directory), []);
  t.same(directory.applyRecord(createRecord("c", { coldLeftMs: 5 }), 2), []);
  t.same(listUsableIds(directory), [], "its entry alone does not readmit a misdirected instance");
  t.end();
});

tap.t.test("an instance that restarts under the same id gets new work again", (t) => {
  const directory = new directories.InstanceDirectory();
  directory.applyListing([createRecord("a")], { revision: 1, now: 0 });
  directory.recordMisdirected(createRecord("a").instance, 1);
  const [change] = directory.applyRecord(createRecord("a", { startedAt: 2 }), 2);
  t.equal(change?.type, "added");
  t.same(listUsableIds(directory), ["a"]);
  t.end();
});

tap.t.test("without a store outage, an instance whose entry is missing leaves at once", (t) => {
  const directory = new directories.InstanceDirectory();
  directory.applyListing([createRecord("a"), createRecord("b")], { revision: 1, now: 0 });
  const changes = directory.applyListing([createRecord("b")], { revision: 1, now: 1 });
  t.same(changes.map((change) => change.type), ["leaving"]);
  t.same(listUsableIds(directory), ["b"]);
  t.end();
});

// Leases expire during a store outage although the instances still run. Removing all of them at
// once would leave their services without endpoints.
tap.t.test("instances whose entries expired in a store outage have 2 s to write new ones", (t) => {
  const directory = new directories.InstanceDirectory();
  directory.applyListing([createRecord("a"), createRecord("b")], { revision: 1, now: 0 });
  directory.recordStoreRecovery(10_000);
  directory.applyListing([], { revision: 1, now: 10_010 });
  t.same(listUsableIds(directory), ["a", "b"]);
  directory.applyRecord(createRecord("a", { revision: 2 }), 11_000);
  t.same(directory.expireInstances(11_900), []);
  const changes = directory.expireInstances(12_000);
  t.same(changes.map((change) => change.record.instance), ["b"]);
  t.same(listUsableIds(directory), ["a"]);
  t.end();
});

// A late answer of the store may contain an entry written before the instance began to leave.
tap.t.test("a peer's leave notice holds until a newer entry revokes it", (t) => {
  const directory = new directories.InstanceDirectory();
  directory.applyListing([createRecord("a"), createRecord("b")], { revision: 5, now: 0 });
  const { instance } = createRecord("a");
  t.same(directory.applyNotice({ instance, revision: 1 }, 1), [], "not newer than the entry");
  t.equal(directory.applyNotice({ instance, revision: 7 }, 1)[0]?.type, "leaving");
  t.same(directory.listLeaveNotices(2), [{ instance, revision: 7 }], "it is passed on");
  directory.applyRecord(createRecord("a", { revision: 6 }), 3);
  t.same(listUsableIds(directory), ["b"], "an entry older than the notice does not readmit it");
  directory.applyRecord(createRecord("a", { revision: 8 }), 4);
  t.same(listUsableIds(directory), ["a", "b"]);
  t.end();
});

tap.t.test("an instance that reported leaving gets no work until it writes a new entry", (t) => {
  const directory = new directories.InstanceDirectory();
  directory.applyListing([createRecord("a")], { revision: 1, now: 0 });
  directory.recordAnnouncedLeaving(createRecord("a").instance, 1);
  directory.applyListing([createRecord("a")], { revision: 3, now: 2 });
  t.same(listUsableIds(directory), []);
  directory.applyRecord(createRecord("a", { revision: 4, isDraining: true }), 3);
  t.same(listUsableIds(directory), []);
  directory.applyRecord(createRecord("a", { revision: 5 }), 4);
  t.same(listUsableIds(directory), ["a"]);
  t.end();
});

tap.t.test("an entry that expired in a store outage is missing until it is written again", (t) => {
  const directory = new directories.InstanceDirectory();
  const { instance } = createRecord("a");
  directory.applyListing([createRecord("a")], { revision: 1, now: 0 });
  t.equal(directory.isEntryMissing(instance), false);
  directory.recordStoreRecovery(100);
  directory.applyListing([], { revision: 2, now: 110 });
  t.equal(directory.isEntryMissing(instance), true);
  directory.applyRecord(createRecord("a", { revision: 3 }), 200);
  t.equal(directory.isEntryMissing(instance), false);
  t.end();
});
