/** Ends the child processes of a test file that the test runner stops. */

import type * as childProcess from "node:child_process";

const children = new Set<childProcess.ChildProcess>();
let isListening = false;

/** Kills `child` if the test runner stops this test file, as it does at the file's time limit. */
export function registerChild(child: childProcess.ChildProcess): void {
  children.add(child);
  child.once("exit", () => children.delete(child));
  if (isListening) return;
  isListening = true;
  process.once("SIGTERM", () => {
    for (const running of children) running.kill("SIGKILL");
    process.exit(1);
  });
}
