/** Runs work whose result nobody awaits, so that its failure ends neither the process nor others. */

import type * as logs from "./log.ts";
import * as timeouts from "./timeout.ts";

/** Pause before a loop that has failed is started again. */
const LOOP_RESTART_MS = 1_000;

/** Starts `run`; a failure is logged under `name` and ends only this task. */
export function startTask(name: string, run: () => Promise<unknown>, logger: logs.Logger): void {
  run().catch((error: unknown) => writeFailure(name, error, logger));
}

/** Starts `run`, which goes on until the process stops; it is started again if it fails. */
export function startLoop(name: string, run: () => Promise<unknown>, logger: logs.Logger): void {
  run().catch(async (error: unknown) => {
    writeFailure(name, error, logger);
    await timeouts.waitFor(LOOP_RESTART_MS);
    startLoop(name, run, logger);
  });
}

function writeFailure(name: string, error: unknown, logger: logs.Logger): void {
  const cause = error instanceof Error ? error.stack ?? error.message : String(error);
  logger.write("task_failed", { task: name, error: cause.replaceAll("\n", " ") });
}
