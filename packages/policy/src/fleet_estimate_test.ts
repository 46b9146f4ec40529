import * as core from "@peridotvale/core";
import * as tap from "tap";
import * as fleets from "./fleet_estimate.ts";

const ZONES = ["a", "b"].map((name) => core.createId<core.ZoneName>(name));

function createMembers(size: number, zone: number): fleets.FleetMember[] {
  return Array.from({ length: size }, (_, index) => ({
    process: core.createId<core.ProcessId>(`${zone}-${index}`),
    zone: ZONES[zone]!,
  }));
}

// Processes that start at once know nobody; each must leave room for a whole fleet.
tap.t.test("a process assumes the largest fleet until the others know it", (t) => {
  const [self, ...others] = createMembers(4, 0);
  const fleet = new fleets.FleetEstimate(self!);
  fleet.recordPeers(others, 0);
  t.equal(fleet.getPool(ZONES[0]!, 60_000).size, fleets.MAX_FLEET_SIZE);
  fleet.recordAnnouncement(60_000);
  t.equal(fleet.getPool(ZONES[0]!, 62_900).size, fleets.MAX_FLEET_SIZE);
  t.equal(fleet.getPool(ZONES[0]!, 63_000).size, 4);
  t.end();
});

// A cut-off process may still send; processes that end must not hold back the rest for long.
tap.t.test("processes that vanish are counted for a while, many of them for longer", (t) => {
  const [self, ...others] = createMembers(30, 0);
  const fleet = new fleets.FleetEstimate(self!);
  fleet.recordAnnouncement(-10_000);
  const readSize = (peers: readonly fleets.FleetMember[], now: number) => {
    fleet.recordPeers(peers, now);
    return fleet.getPool(ZONES[0]!, now).size;
  };
  t.equal(readSize(others, 0), 30);
  t.equal(readSize(others.slice(0, 9), 1_000), 30);
  t.equal(readSize(others.slice(0, 9), 31_000), 30);
  t.equal(readSize(others.slice(0, 9), 62_000), 20, "two thirds");
  t.equal(readSize(others.slice(0, 9), 301_000), 20);
  t.equal(readSize(others.slice(0, 9), 602_000), 10);
  t.end();
});

tap.t.test("the pools of a zone and of all others share the rate, each with its turns", (t) => {
  const members = [...createMembers(3, 0), ...createMembers(5, 1)];
  const ranks = new Map<number, Set<number>>();
  let total = 0;
  for (const self of members) {
    const fleet = new fleets.FleetEstimate(self);
    fleet.recordAnnouncement(-10_000);
    fleet.recordPeers(members.filter((peer) => peer !== self), 0);
    const { share, size, place } = fleet.getPool(ZONES[0]!, 0);
    t.equal(place.size, size);
    total += share / size;
    ranks.set(size, (ranks.get(size) ?? new Set()).add(place.rank));
  }
  t.ok(Math.abs(total - 1) < 1e-9, `${total}`);
  t.same([...ranks].map(([size, taken]) => taken.size === size), [true, true]);
  t.end();
});
