import * as core from "@peridotvale/core";
import * as fastCheck from "fast-check";
import * as tap from "tap";
import * as elections from "./store_watcher_election.ts";

const ZONES = ["a", "b"].map((zone) => core.createId<core.ZoneName>(zone));
const CONTACTS = Array.from({ length: 8 }, (_, index) => ({
  process: core.createId<core.ProcessId>(`front-${index}`),
  zone: ZONES[index % 2]!,
  linkMbps: 1_000,
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
          elections.isStoreWatcher(self, allContacts.filter((other) => other !== self), "zone")
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
    elections.isStoreWatcher({ ...CONTACTS[0]!, isInContact: true }, [], "zone"),
    true,
    "a process without peers watches",
  );
  t.end();
});

tap.t.test("a process links to its peers for a limited time after its first listing", (t) => {
  t.ok(elections.isLinking(1_000, 1_500));
  t.notOk(elections.isLinking(1_000, 3_500), "the others may be gone");
  t.notOk(elections.isLinking(undefined, 1_500));
  t.end();
});

// A process that is no hub is linked to the hubs of its zone only. If it ranked before them by
// another order than that of hubs, it would watch the store beside them.
tap.t.test("a process leaves the watch to its hub, whatever their names", (t) => {
  for (const contact of CONTACTS) {
    const hub = { ...CONTACTS[0]!, linkMbps: 2_000, confirmAgeMs: 100 };
    if (contact.process === hub.process) continue;
    const self = { ...contact, isInContact: true };
    t.notOk(elections.isStoreWatcher(self, [hub], "fleet"), contact.process);
  }
  t.end();
});

// Through hubs each process sees only some of the others, but always the hubs of its zone.
tap.t.test("a fleet with hubs in contact with the store has one watcher over all zones", (t) => {
  const members = CONTACTS.map((contact) => ({ ...contact, confirmAgeMs: 2_600 }));
  const watchers = members.filter((self) =>
    elections.isStoreWatcher(
      { ...self, isInContact: true },
      members.filter((other) => other !== self),
      "fleet",
    )
  );
  t.equal(watchers.length, 1);
  t.end();
});

tap.t.test("in a large fleet the reads of a failed watcher's followers are spread", (t) => {
  t.equal(elections.computeFallbackAgeMs(1_000, "zone", 0.9), 2_000);
  const ages = [0, 0.5, 1].map((jitter) => elections.computeFallbackAgeMs(1_250, "fleet", jitter));
  t.same(ages, [...new Set(ages)].sort((a, b) => a - b));
  t.ok(ages.at(-1)! < 5_000 - 500, "keys are confirmed before requests with them are refused");
  t.end();
});

// A store that refuses calls counts them all the same.
tap.t.test("in a large fleet only hubs retry an unavailable store often", (t) => {
  const hub = elections.chooseRetryIntervals({ scope: "fleet", isHub: true });
  const follower = elections.chooseRetryIntervals({ scope: "fleet", isHub: false });
  t.ok(follower.maxBackoffMs > 2 * hub.maxBackoffMs);
  t.ok(follower.whileConfirmedMs > 2 * hub.whileConfirmedMs);
  t.same(elections.chooseRetryIntervals({ scope: "zone", isHub: false }), hub);
  t.end();
});

tap.t.test("refusals of a large fleet rely on confirmations within the operators' bound", (t) => {
  t.equal(elections.computeRefusalConfirmAgeMs({ configApplyMs: 4_000 }, "fleet"), 3_500);
  t.equal(elections.computeRefusalConfirmAgeMs({ configApplyMs: 300 }, "fleet"), 0);
  t.ok(elections.computeRefusalConfirmAgeMs({ configApplyMs: 4_000 }, "zone") < 0);
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
