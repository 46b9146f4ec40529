import * as childProcess from "node:child_process";
import * as path from "node:path";
import * as core from "@peridotvale/core";
import * as tap from "tap";

const MODULE_FILE = path.join(import.meta.dirname, "child_cleanup.js");
/** A test file that starts a child and prints its process id. */
const TEST_SOURCE = `
import * as childProcess from "node:child_process";
import * as cleanup from ${JSON.stringify(MODULE_FILE)};
const child = childProcess.spawn(process.execPath, ["-e", "setInterval(() => {}, 1000)"]);
cleanup.registerChild(child);
process.stdout.write(child.pid + "\\n");
setInterval(() => {}, 1000);
`;

function isRunning(processId: number): boolean {
  try {
    return process.kill(processId, 0);
  } catch {
    return false;
  }
}

// Children left behind by a stopped test file slow down all files that run after it.
tap.t.test("a test file that is stopped does not leave its children behind", async (t) => {
  const parent = childProcess.spawn(process.execPath, ["--input-type=module", "-e", TEST_SOURCE]);
  const childId = await new Promise<number>((resolve) =>
    parent.stdout.once("data", (data) => resolve(Number(data)))
  );
  t.ok(isRunning(childId));
  parent.kill("SIGTERM");
  await new Promise((resolve) => parent.once("exit", resolve));
  const endAt = performance.now() + 5_000;
  while (isRunning(childId) && performance.now() < endAt) await core.waitFor(20);
  t.notOk(isRunning(childId));
});
