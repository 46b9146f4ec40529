import * as core from "@peridotvale/core";
import * as tap from "tap";
import * as relays from "./load_relay.ts";

const ZONE = core.createId<core.ZoneName>("asahikawa");
const OTHER_ZONE = core.createId<core.ZoneName>("furano");

function createReport(
  name: string,
  options: Partial<relays.RelayedLoads> & { readonly runs?: number } = {},
): relays.RelayedLoads {
  const { runs = 1, ...fields } = options;
  const instance = core.createId<core.InstanceId>("engine-1");
  return {
    process: core.createId<core.ProcessId>(name),
    zone: ZONE,
    incarnation: 1,
    sentAt: 0,
    loads: [{ instance, runs, reservedTokens: 10, unreadPromptTokens: 0, moveValue: 0 }],
    isLost: false,
    ...fields,
  };
}

const listNames = (reports: readonly relays.RelayedLoads[]) =>
  reports.map((report) => String(report.process));

tap.t.test("reports of other zones are passed on within the own zone only", (t) => {
  const relay = new relays.LoadRelay(ZONE);
  relay.applyReport(createReport("own"), { isDirect: true, now: 0 });
  relay.applyReport(createReport("far", { zone: OTHER_ZONE }), { isDirect: false, now: 0 });
  t.same(listNames(relay.takeReports("own_zone")), ["own", "far"]);
  t.same(listNames(relay.takeReports("other_zones")), ["own"]);
  t.same(relay.takeReports("own_zone"), [], "each report is passed on once");
  t.same(listNames(relay.listAll("other_zones")), ["own"], "a new link gets all of them");
  t.end();
});

// Reports arrive by several ways. An old copy must not bring back loads that have ended.
tap.t.test("an older report or an earlier life of a process does not replace a newer one", (t) => {
  const relay = new relays.LoadRelay(ZONE);
  const apply = (report: relays.RelayedLoads) =>
    relay.applyReport(report, { isDirect: false, now: 0 });
  t.ok(apply(createReport("p", { incarnation: 2, sentAt: 5 })));
  t.notOk(apply(createReport("p", { incarnation: 2, sentAt: 5 })));
  t.notOk(apply(createReport("p", { incarnation: 2, sentAt: 4 })));
  t.notOk(apply(createReport("p", { incarnation: 1, sentAt: 900 })));
  t.ok(apply(createReport("p", { incarnation: 3, sentAt: 1 })), "a restart begins anew");
  t.end();
});

tap.t.test("unchanged loads are passed on again only after the refresh interval", (t) => {
  const relay = new relays.LoadRelay(ZONE);
  const apply = (sentAt: number, runs = 1) =>
    relay.applyReport(createReport("p", { sentAt, runs }), { isDirect: true, now: sentAt });
  apply(0);
  t.equal(relay.takeReports("own_zone").length, 1);
  apply(500);
  t.equal(relay.takeReports("own_zone").length, 0);
  apply(900, 2);
  t.equal(relay.takeReports("own_zone").length, 1, "changed loads are passed on at once");
  apply(6_000, 2);
  t.equal(relay.takeReports("own_zone").length, 1);
  relay.expireReports(6_000 + relays.RELAYED_REPORT_TTL_MS + 1);
  t.same(relay.listAll("own_zone"), [], "a report that is not refreshed is dropped");
  t.end();
});

// The other hub of the zone may be faster. Its copy must not keep this hub from passing the
// report on to other zones.
tap.t.test("a report that another hub passed on first is passed on once it arrives itself", (t) => {
  for (const sentAt of [10, 500]) {
    const relay = new relays.LoadRelay(ZONE);
    relay.applyReport(createReport("p", { sentAt: 10 }), { isDirect: false, now: 10 });
    t.same(relay.takeReports("other_zones"), []);
    relay.applyReport(createReport("p", { sentAt }), { isDirect: true, now: sentAt });
    t.same(listNames(relay.takeReports("other_zones")), ["p"], `sent at ${sentAt}`);
  }
  t.end();
});

tap.t.test("loads of a lost process are withdrawn until it reports again", (t) => {
  const relay = new relays.LoadRelay(ZONE);
  const process = core.createId<core.ProcessId>("p");
  relay.applyReport(createReport("p", { sentAt: 10 }), { isDirect: true, now: 10 });
  relay.takeReports("own_zone");
  relay.recordLinkLost(process, 20);
  t.match(relay.takeReports("own_zone"), [{ process, isLost: true, loads: [] }]);
  t.ok(relay.applyReport(createReport("p", { sentAt: 30 }), { isDirect: false, now: 30 }));
  t.notOk(relay.recordLinkLost(process, 40), "another hub still has its link");
  t.ok(relay.recordUnreachable(process, 50), "it accepts no connections itself");
  t.match(relay.takeReports("other_zones"), [{ process, isLost: true }]);
  t.notOk(relay.recordUnreachable(process, 60));
  t.end();
});
