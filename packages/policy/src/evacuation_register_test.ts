import * as core from "@peridotvale/core";
import * as fastCheck from "fast-check";
import * as tap from "tap";
import * as registers from "./evacuation_register.ts";

const ZONE = core.createId<core.ZoneName>("a");

function createEntry(revision: number, isEvacuated: boolean): registers.ZoneEvacuation {
  return { zone: ZONE, revision, isEvacuated };
}

// A late report must neither bring an ended evacuation back nor end a newer one.
tap.t.test("an older entry does not override a newer one, in either direction", (t) => {
  const register = new registers.EvacuationRegister();
  t.ok(register.applyEntry(createEntry(5, true)));
  t.notOk(register.applyEntry(createEntry(4, false)));
  t.ok(register.isEvacuated(ZONE));
  t.ok(register.applyEntry(createEntry(6, false)));
  t.notOk(register.applyEntry(createEntry(5, true)));
  t.notOk(register.isEvacuated(ZONE));
  t.same(register.listEntries(), [createEntry(6, false)], "the ended entry is kept");
  t.notOk(register.applyEntry(createEntry(7, false)), "a zone that was not evacuated");
  t.notOk(register.applyEntry(createEntry(6, true)), "the later end is known");
  t.end();
});

// A slow listing that was read before the request must not end the evacuation.
tap.t.test("a listing without the zone ends only evacuations up to its revision", (t) => {
  const register = new registers.EvacuationRegister();
  register.applyEntry(createEntry(8, true));
  t.same(register.applyListing([], 7), []);
  t.ok(register.isEvacuated(ZONE));
  t.same(register.applyListing([createEntry(8, true)], 9), []);
  t.same(register.applyListing([], 9), [createEntry(9, false)]);
  t.notOk(register.applyEntry(createEntry(8, true)), "a report from before the listing");
  t.same(register.applyListing([createEntry(11, true)], 10), [createEntry(11, true)]);
  t.end();
});

// Reports and changes reach the processes of a fleet in different orders.
tap.t.test("the order in which entries arrive does not matter", (t) => {
  const entries = fastCheck.uniqueArray(
    fastCheck.record({ revision: fastCheck.nat(30), isEvacuated: fastCheck.boolean() }),
    { minLength: 1 },
  );
  const property = fastCheck.property(entries, fastCheck.infiniteStream(fastCheck.nat()), (
    drawn,
    keys,
  ) => {
    const ordered = drawn.map(({ revision, isEvacuated }) => createEntry(revision, isEvacuated));
    const shuffled = ordered.map((entry) => ({ entry, key: keys.next().value as number }))
      .sort((a, b) => a.key - b.key).map(({ entry }) => entry);
    const apply = (list: readonly registers.ZoneEvacuation[]) => {
      const register = new registers.EvacuationRegister();
      for (const entry of list) register.applyEntry(entry);
      return register.listEntries();
    };
    t.same(apply(shuffled), apply(ordered));
  });
  fastCheck.assert(property, { numRuns: 100 });
  t.end();
});
