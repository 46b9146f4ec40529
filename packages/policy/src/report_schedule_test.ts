import * as tap from "tap";
import * as schedules from "./report_schedule.ts";

const OCCASION: schedules.ReportOccasion = {
  loads: "l",
  news: "n",
  hasRelayedReports: false,
  isForced: false,
  isFullMesh: false,
};

tap.t.test("a report is sent if something has changed, is to be passed on, or is due", (t) => {
  const schedule = new schedules.ReportSchedule();
  t.equal(schedule.takeAudiences(OCCASION, 0).length, 2);
  t.same(schedule.takeAudiences(OCCASION, 100), []);
  t.same(schedule.takeAudiences({ ...OCCASION, loads: "l2" }, 200), ["own_zone"]);
  t.same(schedule.takeAudiences({ ...OCCASION, loads: "l2", hasRelayedReports: true }, 300), [
    "own_zone",
  ]);
  t.equal(schedule.takeAudiences({ ...OCCASION, loads: "l2", isForced: true }, 700).length, 2);
  t.end();
});

// A reclaimed engine is gone two seconds after its notice, so that the notice must not wait.
tap.t.test("news reach other zones at once, loads with the next report that is due", (t) => {
  const schedule = new schedules.ReportSchedule();
  schedule.takeAudiences(OCCASION, 0);
  t.same(schedule.takeAudiences({ ...OCCASION, loads: "l2" }, 10), ["own_zone"]);
  const news = { ...OCCASION, news: "an engine leaves" };
  t.same(schedule.takeAudiences(news, 20), ["own_zone", "other_zones"]);
  t.same(schedule.takeAudiences({ ...news, loads: "l3" }, 30), ["own_zone"]);
  t.same(schedule.takeAudiences({ ...news, loads: "l4" }, 520), ["own_zone", "other_zones"]);
  t.equal(schedule.takeAudiences({ ...news, loads: "l5", isFullMesh: true }, 530).length, 2);
  t.end();
});

tap.t.test("the interval grows with the links of a mesh, less with those of a hub", (t) => {
  const schedule = new schedules.ReportSchedule();
  schedule.takeAudiences(OCCASION, 0);
  t.ok(schedule.isCheckDue({ linkedPeers: 3, isFullMesh: false }, 100));
  t.notOk(schedule.isCheckDue({ linkedPeers: 44, isFullMesh: true }, 500));
  t.notOk(schedule.isCheckDue({ linkedPeers: 44, isFullMesh: false }, 240));
  t.ok(schedule.isCheckDue({ linkedPeers: 44, isFullMesh: false }, 250));
  t.end();
});
