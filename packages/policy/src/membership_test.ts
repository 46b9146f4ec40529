import * as core from "@peridotvale/core";
import * as fc from "fast-check";
import * as tap from "tap";
import * as memberships from "./membership.ts";
import * as peerSelection from "./peer_selection.ts";
import * as ownership from "./ownership.ts";

fc.configureGlobal({ seed: 20_261_204, numRuns: 300 });

function createInfo(name: string, incarnation = 1, draining = false): memberships.MemberInfo {
  return {
    process: core.createId<core.ProcessId>(name),
    zone: core.createId<core.ZoneName>("z"),
    address: `${name}:1`,
    cores: 1,
    incarnation,
    draining,
  };
}

const updateLists = fc.array(
  fc.record({
    name: fc.constantFrom("a", "b", "c"),
    incarnation: fc.integer({ min: 1, max: 3 }),
    state: fc.constantFrom("alive" as const, "suspect" as const, "dead" as const),
  }).map(({ name, incarnation, state }) => ({ ...createInfo(name, incarnation), state })),
  { minLength: 1, maxLength: 12 },
);

tap.t.test("updates lead to the same view in any order", (t) => {
  const knownUpdates = ["a", "b", "c"].map((name) => ({
    ...createInfo(name, 0),
    state: "alive" as const,
  }));
  fc.assert(
    fc.property(updateLists, fc.infiniteStream(fc.nat()), (receivedUpdates, randomNumbers) => {
      const shuffledUpdates = [...receivedUpdates].sort(() =>
        (randomNumbers.next().value! % 3) - 1
      );
      const views = [receivedUpdates, shuffledUpdates].map((sequence) => {
        const membership = new memberships.Membership(createInfo("self"));
        membership.handle({ type: "updates_received", updates: [...knownUpdates, ...sequence] }, 0);
        return JSON.stringify(
          membership.getMembers().map(({ process, incarnation, state }) => [
            process,
            incarnation,
            state,
          ]),
        );
      });
      return views[0] === views[1];
    }),
  );
  t.end();
});

tap.t.test("a silent peer becomes suspect, then dead until it sends a new incarnation", (t) => {
  const membership = new memberships.Membership(createInfo("self"));
  const getState = () => membership.getMembers()[0]?.state;
  const runTicks = (from: number, to: number) => {
    for (let now = from; now <= to; now += 100) membership.handle({ type: "ticked" }, now);
  };
  membership.handle({ type: "peer_heard", info: createInfo("a") }, 0);
  runTicks(0, memberships.SUSPECT_AFTER_MS + 100);
  t.equal(getState(), "suspect");
  membership.handle({ type: "peer_heard", info: createInfo("a") }, 2_400);
  t.equal(getState(), "alive");
  runTicks(2_400, 8_000);
  t.equal(getState(), "dead");
  membership.handle({ type: "peer_heard", info: createInfo("a") }, 8_100);
  t.equal(getState(), "dead", "a message of the same incarnation does not revive a dead peer");
  membership.handle({ type: "peer_heard", info: createInfo("a", 2) }, 8_200);
  t.equal(getState(), "alive");
  t.end();
});

// During a pause, a process handles no messages of its peers. It must not conclude
// from the missing messages that the peers have failed.
tap.t.test("a process suspects no peer after a pause of its own", (t) => {
  const membership = new memberships.Membership(createInfo("self"));
  membership.handle({ type: "ticked" }, 0);
  membership.handle({ type: "peer_heard", info: createInfo("a") }, 50);
  membership.handle({ type: "ticked" }, 100);
  membership.handle({ type: "ticked" }, 60_000);
  t.equal(membership.getMembers()[0]?.state, "alive");
  t.end();
});

// An update about an earlier run of the same process may carry a higher incarnation
// than the process has now; peers would then ignore the process's own updates.
tap.t.test("a process refutes an update about its death with a higher incarnation", (t) => {
  const membership = new memberships.Membership(createInfo("self", 5));
  membership.takeUpdates();
  membership.handle({
    type: "updates_received",
    updates: [{ ...createInfo("self", 7), state: "dead" }],
  }, 0);
  t.equal(membership.self.incarnation, 8);
  t.equal(membership.takeUpdates()[0]?.state, "alive");
  t.end();
});

tap.t.test("the number of linked peers is bounded, and the links connect all processes", (t) => {
  const zones = ["z1", "z2", "z3", "z4"];
  for (const size of [3, 7, 80, 320]) {
    const allProcesses = Array.from({ length: size }, (_, index) => ({
      process: core.createId<core.ProcessId>(`p${index}`),
      zone: core.createId<core.ZoneName>(zones[index % zones.length]!),
    }));
    const selection = new peerSelection.RingPeerSelector();
    const linkedPeersByProcess = new Map(
      allProcesses.map((self) => [self.process, selection.choosePeers(self, allProcesses)]),
    );
    const linkedPeerCounts = [...linkedPeersByProcess.values()].map((chosen) => chosen.length);
    t.ok(
      Math.max(...linkedPeerCounts) <= 14,
      `at most ${Math.max(...linkedPeerCounts)} linked peers of ${size}`,
    );
    const reachedProcesses = new Set([allProcesses[0]!.process]);
    const queue = [allProcesses[0]!.process];
    for (const process of queue) {
      for (const peer of linkedPeersByProcess.get(process)!) {
        if (reachedProcesses.has(peer)) continue;
        reachedProcesses.add(peer);
        queue.push(peer);
      }
    }
    t.equal(reachedProcesses.size, size);
  }
  t.end();
});

tap.t.test("VMs own groups in proportion to size and keep them when another VM leaves", (t) => {
  const zone = core.createId<core.ZoneName>("z");
  const candidates = Array.from({ length: 10 }, (_, index) => ({
    process: core.createId<core.ProcessId>(`p${index}`),
    zone,
    cores: index === 0 ? 4 : 1,
    draining: false,
  }));
  const groups = Array.from({ length: 2_000 }, (_, index) => ({ zone, index }));
  const owners = groups.map((group) => ownership.chooseOwner(group, candidates));
  const largeVmGroups = owners.filter((owner) => owner === "p0").length;
  t.ok(
    largeVmGroups > 480 && largeVmGroups < 750,
    `the large VM owns ${largeVmGroups} groups; its share is 615`,
  );
  const remainingCandidates = candidates.slice(0, 9);
  let movedCount = 0;
  for (const [index, group] of groups.entries()) {
    const owner = ownership.chooseOwner(group, remainingCandidates);
    if (owner !== owners[index] && owners[index] !== "p9") movedCount += 1;
  }
  t.equal(movedCount, 0, "only the groups of the process that left move");
  t.end();
});
