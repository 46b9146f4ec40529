import * as core from "@peridotvale/core";
import * as tap from "tap";
import * as queues from "./fair_queue.ts";
import * as lowDemand from "./low_demand_reservations.ts";
import * as workspaces from "./workspace_shares.ts";

const ENGINE = {
  endpoint: core.createId<core.EndpointId>("e0"),
  maxBatch: 20,
  baseMs: 10,
  slopeMs: 1,
};

function createDemand(streamCounts: Readonly<Record<string, number>>): lowDemand.RankDemand {
  const shares = new workspaces.WorkspaceShares();
  for (const [name, count] of Object.entries(streamCounts)) {
    for (let i = 0; i < count; i += 1) shares.recordOpened(core.createId(name), 1);
  }
  return { queue: new queues.FairQueue(), workspaceShares: shares };
}

// Without reservations, the streams of the large workspace would take all slots.
tap.t.test("slots are reserved while low- and high-demand workspaces compete", (t) => {
  const reservations = new lowDemand.LowDemandReservations();
  reservations.updateReservations(createDemand({ large: 18, small: 2 }), [ENGINE], 0);
  t.equal(reservations.hasReservations, true);
  t.equal(reservations.isLowDemand(core.createId("small")), true);
  t.equal(reservations.isLowDemand(core.createId("large")), false);
  t.end();
});

// The peak of low-demand streams still includes a workspace that has since become high-demand.
// Slots reserved for that peak could not be used by the workspace that caused it.
tap.t.test("no slots are reserved once every workspace has become high-demand", (t) => {
  const reservations = new lowDemand.LowDemandReservations();
  reservations.updateReservations(createDemand({ only: 10 }), [ENGINE], 0);
  reservations.updateReservations(createDemand({ only: 30 }), [ENGINE], 100);
  t.equal(reservations.hasReservations, false, "the only workspace");
  reservations.updateReservations(createDemand({ first: 9, second: 3 }), [ENGINE], 200);
  reservations.updateReservations(createDemand({ first: 30, second: 30 }), [ENGINE], 300);
  t.equal(reservations.hasReservations, false, "both workspaces are high-demand");
  t.end();
});
