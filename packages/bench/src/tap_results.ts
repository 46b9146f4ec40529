/** Parses the TAP output of a test run and extracts the failed assertions. */

/** A failed assertion, or a test file that did not complete. */
export interface TapFailure {
  /** Test file, as `tap run` names it. */
  readonly file: string;
  /** Names of the enclosing subtests, the outermost first. */
  readonly subtests: readonly string[];
  readonly description: string;
}

/** State of the test file being parsed. */
interface TestFile {
  readonly file: string;
  /** Number of top-level results that the file's TAP plan states; -1 until the plan is read. */
  plannedCount: number;
  /** Number of top-level results read so far. */
  resultCount: number;
  failureCount: number;
}

const INDENT_SPACES = 4;
const TAP_LINE_PATTERN = /^( *)(?:(# Subtest): (.*)|(not ok|ok) \d+ - (.*)|1\.\.(\d+))/;

/**
 * Lists the failed assertions of `text`, the TAP output of `tap run`. A file that ends before its
 * plan is complete, or that fails without a failed assertion, yields one failure of its own.
 */
export function parseTapFailures(text: string): TapFailure[] {
  const failures: TapFailure[] = [];
  const subtestPath: string[] = [];
  let testFile: TestFile = { file: "", plannedCount: -1, resultCount: 0, failureCount: 0 };
  const finishTestFile = (isOk: boolean) => {
    const isComplete = testFile.plannedCount > 0 && testFile.plannedCount === testFile.resultCount;
    if (isOk || (isComplete && testFile.failureCount > 0)) return;
    failures.push({ file: testFile.file, subtests: [], description: "did not complete" });
  };
  for (const line of text.split("\n")) {
    const match = TAP_LINE_PATTERN.exec(line);
    if (match === null) continue;
    const [, spaces, subtest, name, status, description, plan] = match;
    const depth = spaces!.length / INDENT_SPACES;
    if (!Number.isInteger(depth)) continue;
    if (subtest !== undefined) {
      subtestPath.splice(depth, Infinity, name!);
      if (depth === 0) {
        testFile = { file: name!, plannedCount: -1, resultCount: 0, failureCount: 0 };
      }
      continue;
    }
    if (plan !== undefined) {
      if (depth === 1) testFile.plannedCount = Number(plan);
      continue;
    }
    const isOk = status === "ok";
    if (depth === 0) {
      finishTestFile(isOk);
      continue;
    }
    if (depth === 1) testFile.resultCount += 1;
    // The closing line of a subtest repeats its name. Its failed assertions are listed already.
    const isClosing = subtestPath[depth] !== undefined &&
      hasName(description!, subtestPath[depth]!);
    if (isClosing) subtestPath.splice(depth);
    if (isOk || (isClosing && testFile.failureCount > 0)) continue;
    testFile.failureCount += 1;
    failures.push({
      file: testFile.file,
      subtests: subtestPath.slice(1, depth),
      description: description!,
    });
  }
  return failures;
}

function hasName(description: string, name: string): boolean {
  return description === name || description.startsWith(`${name} # time=`);
}
