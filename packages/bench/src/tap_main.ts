/**
 * Runs all tests and prints the totals; those of loads run one at a time, after the others. Prints failed assertions in subtests that KNOWN-RED.txt
 * lists, without failing the run; exits with 1 if anything else fails or a test file has no result.
 */

import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as knownFailures from "./known_failures.ts";
import * as results from "./tap_results.ts";

/** Exit status of `tap` when the run is complete and assertions failed. */
const TAP_ASSERTIONS_FAILED = 1;
/** End of the compiled files of the tests that run alone. */
const LOAD_TEST_SUFFIX = "_load_test.js";

/**
 * Lists the compiled files of the tests in the source folders. A test file that was not compiled
 * is listed too, so that it counts as missing.
 */
function listExpectedFiles(): string[] {
  const packageFolders = fs.readdirSync("packages").map((name) => path.join("packages", name));
  const files: string[] = [];
  for (const folder of [...packageFolders, "platform"]) {
    const sourceFolder = path.join(folder, "src");
    if (!fs.existsSync(sourceFolder)) continue;
    for (const name of fs.readdirSync(sourceFolder, { recursive: true }) as string[]) {
      if (!name.endsWith("_test.ts")) continue;
      files.push(path.join(folder, "dist", name.replace(/\.ts$/, ".js")));
    }
  }
  return files;
}

/** Runs the test files `files` and returns their results and how the run ended. */
function runTests(files: readonly string[], options: readonly string[]) {
  const temporaryFolder = fs.mkdtempSync(path.join(os.tmpdir(), "peridotvale-tap-"));
  const outputPath = path.join(temporaryFolder, "results.tap");
  const testRun = childProcess.spawnSync(
    "tap",
    ["run", "--reporter=terse", `--output-file=${outputPath}`, ...options, ...files],
    { stdio: "inherit" },
  );
  const tapOutput = fs.existsSync(outputPath) ? fs.readFileSync(outputPath, "utf8") : "";
  fs.rmSync(temporaryFolder, { recursive: true });
  const tapResults = results.parseTapResults(tapOutput);
  const problems = results.findRunProblems(tapResults, files);
  if (testRun.status !== 0 && testRun.status !== TAP_ASSERTIONS_FAILED) {
    problems.push(`tap ended with ${testRun.signal ?? testRun.status}`);
  } else if (testRun.status !== 0 && tapResults.failures.length === 0) {
    problems.push("tap reports a failure that its output does not contain");
  }
  return { tapResults, problems };
}

const expectedFiles = listExpectedFiles();
const isLoadTest = (file: string) => file.endsWith(LOAD_TEST_SUFFIX);
const runs = [
  runTests(expectedFiles.filter((file) => !isLoadTest(file)), []),
  // The peak memory of a process under load depends on what else uses the processors.
  runTests(expectedFiles.filter(isLoadTest), ["--jobs=1"]),
];
const failures = runs.flatMap(({ tapResults }) => tapResults.failures);
const problems = runs.flatMap((run) => run.problems);
const passedCount = runs.reduce((sum, { tapResults }) => sum + tapResults.passedCount, 0);
const { known, unexpected } = knownFailures.compareFailures(
  failures,
  knownFailures.readKnownSubtests(),
);
for (const failure of known) {
  process.stdout.write(`known failure: ${failure.file}: ${knownFailures.formatFailure(failure)}\n`);
}
for (const failure of unexpected) {
  process.stdout.write(`failure: ${failure.file}: ${knownFailures.formatFailure(failure)}\n`);
}
for (const problem of problems) process.stdout.write(`incomplete run: ${problem}\n`);
process.stdout.write(
  `known failures: ${known.length} failed assertions, which do not fail the run\n`,
);
const failedCount = unexpected.length + problems.length;
process.stdout.write(`tests: ${passedCount} passed, ${failedCount} failed\n`);
process.exitCode = failedCount === 0 ? 0 : 1;
