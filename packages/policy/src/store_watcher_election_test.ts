import * as core from "@peridotvale/core";
import * as fastCheck from "fast-check";
import * as tap from "tap";
import * as elections from "./store_watcher_election.ts";

const ZONES = ["a", "b"].map((zone) => core.createId<core.ZoneName>(zone));
const CONTACTS = Array.from({ length: 8 }, (_, index) => ({
  process: core.createId<core.ProcessId>(`front-${index}`),
  zone: ZONES[index % 2]!,
}));

// Each process decides for itself from its peers' reports. No zone may rely on a watcher without
// contact with the store, and while no process has contact, all of them must try to reach it.
tap.t.test("a zone with a process in contact with the store has exactly one watcher", (t) => {
  const ageLists = fastCheck.array(fastCheck.constantFrom(100, 5_000, Infinity), {
    minLength: 8,
    maxLength: 8,
  });
  fastCheck.assert(
    fastCheck.property(ageLists, (confirmAgesMs) => {
      const allContacts = CONTACTS.map((contact, index) => ({
        ...contact,
        confirmAgeMs: confirmAgesMs[index]!,
        isInContact: confirmAgesMs[index]! !== Infinity,
      }));
      for (const zone of ZONES) {
        const members = allContacts.filter((process) => process.zone === zone);
        const watchers = members.filter((self) =>
          elections.isStoreWatcher(self, allContacts.filter((other) => other !== self))
        );
        const hasContact = members.some((process) => process.confirmAgeMs === 100);
        const watchersInContact = watchers.filter((process) => process.confirmAgeMs === 100);
        if (hasContact && watchersInContact.length !== 1) return false;
        if (hasContact && watchers.some((process) => !process.isInContact)) return false;
        const isCutOff = members.every((process) => !process.isInContact);
        if (isCutOff && watchers.length !== members.length) return false;
      }
      return true;
    }),
    { seed: 20261204 },
  );
  t.equal(
    elections.isStoreWatcher({ ...CONTACTS[0]!, isInContact: true }, []),
    true,
    "a process without peers watches",
  );
  t.end();
});

tap.t.test("the confirmation interval meets the stricter of the operators' bounds", (t) => {
  const computeIntervalMs = (configApplyMs: number, keyRevocationMs: number) =>
    elections.computeConfirmIntervalMs({ configApplyMs, keyRevocationMs });
  t.equal(computeIntervalMs(2_000, 5_000), 1_000);
  t.equal(computeIntervalMs(3_000, 2_000), 500);
  t.equal(computeIntervalMs(60_000, 60_000), 2_000);
  t.end();
});

tap.t.test("a relayed confirmation is no older than half the key revocation bound", (t) => {
  for (const keyRevocationMs of [1_000, 2_000, 5_000, 20_000]) {
    const bounds = { configApplyMs: 10_000, keyRevocationMs };
    const oldestMs = 2 * elections.computeReportIntervalMs(bounds) +
      elections.computeConfirmIntervalMs(bounds);
    t.ok(oldestMs <= keyRevocationMs / 2, `${oldestMs} of ${keyRevocationMs} ms`);
  }
  t.end();
});
