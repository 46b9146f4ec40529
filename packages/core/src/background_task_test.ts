import * as tap from "tap";
import * as tasks from "./background_task.ts";
import * as timeouts from "./timeout.ts";

tap.t.test("a failed task is logged; a failed loop is started again as well", async (t) => {
  const lines: unknown[] = [];
  const logger = {
    write: (event: string, fields?: Record<string, unknown>) => lines.push([event, fields?.task]),
  };
  let onceRuns = 0;
  let loopRuns = 0;
  const failOnce = () => Promise.reject(new Error(`run ${onceRuns += 1}`));
  const failTwice = () => {
    loopRuns += 1;
    return loopRuns < 3 ? Promise.reject("no error object") : Promise.resolve();
  };
  tasks.startTask("once", failOnce, logger);
  tasks.startLoop("loop", failTwice, logger);
  while (loopRuns < 3) await timeouts.waitFor(1);
  await timeouts.waitFor(5);
  t.equal(onceRuns, 1);
  t.equal(loopRuns, 3);
  t.same(lines, [["task_failed", "once"], ["task_failed", "loop"], ["task_failed", "loop"]]);
});
