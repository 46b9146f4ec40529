/** Parses the TAP output of a test run: the failed assertions, the totals and the files that ran. */

/** A failed assertion, or a test file that did not complete. */
export interface TapFailure {
  /** Path of the test file, as it appears in the output of `tap run`. */
  readonly file: string;
  /** Names of the enclosing subtests, the outermost first. */
  readonly subtests: readonly string[];
  readonly description: string;
}

/** Contents of the TAP output of `tap run`. */
export interface TapResults {
  readonly failures: readonly TapFailure[];
  /** Number of assertions that passed. A subtest counts, as one, only if it has no assertions. */
  readonly passedCount: number;
  /** Number of assertions that failed. Unlike `failures`, excludes files that did not complete. */
  readonly failedCount: number;
  /** Paths of the test files with a final result. */
  readonly reportedFiles: readonly string[];
  /** Number of test files in the plan of the run; -1 if the output has no such plan. */
  readonly plannedFileCount: number;
}

/** State of the test file being parsed. */
interface TestFile {
  readonly file: string;
  /** Number of top-level results in the file's TAP plan; -1 until the plan is parsed. */
  plannedCount: number;
  /** Number of top-level results parsed so far. */
  resultCount: number;
  failureCount: number;
}

const INDENT_SPACES = 4;
const TAP_LINE_PATTERN = /^( *)(?:(# Subtest): (.*)|(not ok|ok) \d+ - (.*)|1\.\.(\d+))/;

/**
 * Parses `text`, the TAP output of `tap run`. A file that ends before its plan is complete, or
 * that fails without a failed assertion, yields one additional failure.
 */
export function parseTapResults(text: string): TapResults {
  const failures: TapFailure[] = [];
  const reportedFiles: string[] = [];
  let plannedFileCount = -1;
  let passedCount = 0;
  let failedCount = 0;
  const subtestPath: string[] = [];
  /** Failures of the file before each subtest of the path. */
  const failureCountsBefore: number[] = [];
  /** Counted results before each subtest of the path. */
  const resultCountsBefore: number[] = [];
  let testFile: TestFile = { file: "", plannedCount: -1, resultCount: 0, failureCount: 0 };
  const finishTestFile = (isOk: boolean) => {
    const isComplete = testFile.plannedCount > 0 && testFile.plannedCount === testFile.resultCount;
    if (isOk || (isComplete && testFile.failureCount > 0)) return;
    failures.push({ file: testFile.file, subtests: [], description: "did not complete" });
  };
  for (const line of text.split("\n")) {
    const match = TAP_LINE_PATTERN.exec(line);
    if (match === null) continue;
    const [, indent, subtestMarker, name, status, description, plannedCount] = match;
    const depth = indent!.length / INDENT_SPACES;
    if (!Number.isInteger(depth)) continue;
    if (subtestMarker !== undefined) {
      subtestPath.splice(depth, Infinity, name!);
      if (depth === 0) {
        testFile = { file: name!, plannedCount: -1, resultCount: 0, failureCount: 0 };
      }
      failureCountsBefore[depth] = testFile.failureCount;
      resultCountsBefore[depth] = passedCount + failedCount;
      continue;
    }
    if (plannedCount !== undefined) {
      if (depth === 0) plannedFileCount = Number(plannedCount);
      if (depth === 1) testFile.plannedCount = Number(plannedCount);
      continue;
    }
    const isOk = status === "ok";
    if (depth === 0) {
      if (testFile.file !== "") reportedFiles.push(testFile.file);
      finishTestFile(isOk);
      continue;
    }
    if (depth === 1) testFile.resultCount += 1;
    // The line that closes a subtest has the subtest's name. Its failure is listed only if none is
    // listed within the subtest, from which it would follow.
    const isClosing = subtestPath[depth] !== undefined &&
      hasName(description!, subtestPath[depth]!);
    if (isClosing) subtestPath.splice(depth);
    // A subtest without assertions, which passes if its function does not throw, counts as one.
    const isCounted = !isClosing || passedCount + failedCount === resultCountsBefore[depth];
    if (isCounted && isOk) passedCount += 1;
    if (isCounted && !isOk) failedCount += 1;
    const isListed = isClosing && testFile.failureCount > failureCountsBefore[depth]!;
    if (isOk || isListed) continue;
    testFile.failureCount += 1;
    failures.push({
      file: testFile.file,
      subtests: subtestPath.slice(1, depth),
      description: description!,
    });
  }
  return { failures, passedCount, failedCount, reportedFiles, plannedFileCount };
}

/**
 * Returns why the run cannot be trusted although its reported assertions may have passed: no
 * assertion ran, a file of `expectedFiles` has no result, or the run ended before its plan.
 */
export function findRunProblems(
  results: TapResults,
  expectedFiles: readonly string[],
): string[] {
  const problems: string[] = [];
  const { passedCount, failedCount, reportedFiles, plannedFileCount } = results;
  if (passedCount + failedCount === 0) problems.push("no assertion ran");
  const reported = new Set(reportedFiles);
  for (const file of expectedFiles) {
    if (!reported.has(file)) problems.push(`${file}: no result`);
  }
  if (plannedFileCount !== reportedFiles.length) {
    problems.push(
      `${reportedFiles.length} of ${plannedFileCount} planned test files have a result`,
    );
  }
  return problems;
}

function hasName(description: string, name: string): boolean {
  return description === name || description.startsWith(`${name} # time=`);
}
