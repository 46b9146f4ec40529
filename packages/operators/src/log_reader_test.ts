import * as childProcess from "node:child_process";
import * as path from "node:path";
import * as tap from "tap";
import * as reader from "./log_reader.ts";

function createLine(second: number, text: string, process = "front-1"): string {
  const time = new Date(Date.UTC(2026, 0, 1, 0, 0, second)).toISOString();
  return `time=${time} ${text} process=${process}`;
}

const LOG = [
  createLine(1, "event=config_adopted release=3 from=read"),
  createLine(7, "event=endpoint_changed instance=i-1 change=draining"),
  createLine(7, "event=endpoint_changed instance=i-8 change=added"),
  createLine(7, "event=endpoint_changed instance=i-1 change=reported", "front-2"),
  createLine(8, "event=engine_chosen request=r1 instance=i-1 waited_ms=40"),
  createLine(8, "event=engine_chosen request=r2 instance=i-1 waited_ms=0"),
  createLine(9, 'event=store_lost reason=unreachable detail="connect ECONNREFUSED"'),
  createLine(10, 'event=stream_broken request=r1 instance=i-1 reason="other side closed"'),
  createLine(10, "event=request_ended request=r1 status=200 outcome=unknown"),
  "noise without pairs",
  createLine(12, "event=store_regained after_ms=3000"),
].join("\n");

// An explanation with too few lines hides why a request failed; one with the events of other
// requests, processes and instances misleads its reader.
tap.t.test("findDecisions returns the request's lines and its process's background events", (t) => {
  const events = reader.findDecisions(LOG, "r1").map((decision) => decision.event);
  t.same(events, [
    "endpoint_changed",
    "engine_chosen",
    "store_lost",
    "stream_broken",
    "request_ended",
  ]);
  t.same(reader.findDecisions(LOG, "r3"), []);
  t.end();
});

tap.t.test("peridotctl explain reads a log from standard input", (t) => {
  const file = path.join(import.meta.dirname, "../bin/peridotctl.js");
  const run = (request: string) =>
    childProcess.spawnSync(process.execPath, [file, "explain", request, "--log", "-"], {
      input: LOG,
      encoding: "utf8",
    });
  const found = run("r1");
  t.equal(found.status, 0);
  t.match(found.stdout, /stream_broken .*other side closed/);
  t.equal(run("r3").status, 5);
  t.end();
});
