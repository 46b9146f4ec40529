import * as core from "@peridotvale/core";
import * as fastCheck from "fast-check";
import * as tap from "tap";
import * as hubs from "./hub_selection.ts";

const ZONES = ["a", "b", "c"].map((zone) => core.createId<core.ZoneName>(zone));
const fleets = fastCheck.array(
  fastCheck.record({
    zone: fastCheck.constantFrom(...ZONES),
    linkMbps: fastCheck.constantFrom(20, 200),
    isSuspect: fastCheck.boolean(),
  }),
  { minLength: 1, maxLength: 60 },
).map((members) =>
  members.map((member, index): hubs.HubCandidate => ({
    ...member,
    process: core.createId<core.ProcessId>(`front-${index}`),
  }))
);

tap.t.test("the links of a fleet with one view connect all processes, and are few", (t) => {
  fastCheck.assert(
    fastCheck.property(fleets, (fleet) => {
      const links = new Map<core.ProcessId, Set<core.ProcessId>>();
      for (const self of fleet) links.set(self.process, new Set());
      let openedCount = 0;
      for (const self of fleet) {
        const choices = hubs.chooseLinks(self, fleet.filter((other) => other !== self));
        if (choices.some((choice) => choice.process === self.process)) return false;
        for (const { process, isPassive } of choices) {
          if (isPassive) continue;
          openedCount += 1;
          links.get(self.process)!.add(process);
          links.get(process)!.add(self.process);
        }
      }
      const reached = new Set([fleet[0]!.process]);
      for (const process of reached) {
        for (const next of links.get(process)!) reached.add(next);
      }
      const linkLimit = hubs.HUBS_PER_ZONE * fleet.length + ZONES.length * ZONES.length;
      return reached.size === fleet.length && openedCount <= linkLimit;
    }),
    { seed: 20261204, numRuns: 300 },
  );
  t.end();
});

tap.t.test("hubs are unsuspected processes with the widest links, where there are any", (t) => {
  fastCheck.assert(
    fastCheck.property(fleets, (fleet) => {
      for (const zone of ZONES) {
        const chosen = new Set(hubs.chooseHubs(zone, fleet));
        const members = fleet.filter((candidate) => candidate.zone === zone);
        for (const hub of members.filter((member) => chosen.has(member.process))) {
          const isBetter = (other: hubs.HubCandidate) =>
            !chosen.has(other.process) && (Number(other.isSuspect) < Number(hub.isSuspect) ||
              (other.isSuspect === hub.isSuspect && other.linkMbps > hub.linkMbps));
          if (members.some(isBetter)) return false;
        }
        if (chosen.size !== Math.min(hubs.HUBS_PER_ZONE, members.length)) return false;
      }
      return true;
    }),
    { seed: 20261204, numRuns: 300 },
  );
  t.end();
});
