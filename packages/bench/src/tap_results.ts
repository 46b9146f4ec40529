/** Reads the results of a test run in the TAP format and finds the failed assertions. */

/** A failed assertion, or a test file that did not complete. */
export interface TapFailure {
  /** Test file, as `tap run` names it. */
  readonly file: string;
  /** Names of the subtests around the assertion, the outermost first. */
  readonly subtests: readonly string[];
  readonly description: string;
}

interface Suite {
  readonly file: string;
  planned: number;
  seen: number;
  failures: number;
}

const INDENT = 4;
const LINE = /^( *)(?:(# Subtest): (.*)|(not ok|ok) \d+ - (.*)|1\.\.(\d+))/;

/**
 * Lists the failed assertions of `text`, the TAP output of `tap run`. A file that ends before its
 * plan is complete, or fails without a failed assertion, is a failure of its own.
 */
export function parseTapFailures(text: string): TapFailure[] {
  const failures: TapFailure[] = [];
  const path: string[] = [];
  let suite: Suite = { file: "", planned: -1, seen: 0, failures: 0 };
  const finishSuite = (isOk: boolean) => {
    const isComplete = suite.planned > 0 && suite.planned === suite.seen;
    if (isOk || (isComplete && suite.failures > 0)) return;
    failures.push({ file: suite.file, subtests: [], description: "did not complete" });
  };
  for (const line of text.split("\n")) {
    const match = LINE.exec(line);
    if (match === null) continue;
    const [, spaces, subtest, name, status, description, plan] = match;
    const depth = spaces!.length / INDENT;
    if (!Number.isInteger(depth)) continue;
    if (subtest !== undefined) {
      path.splice(depth, Infinity, name!);
      if (depth === 0) suite = { file: name!, planned: -1, seen: 0, failures: 0 };
      continue;
    }
    if (plan !== undefined) {
      if (depth === 1) suite.planned = Number(plan);
      continue;
    }
    const isOk = status === "ok";
    if (depth === 0) {
      finishSuite(isOk);
      continue;
    }
    if (depth === 1) suite.seen += 1;
    // The closing line of a subtest repeats its name; its assertions have been counted.
    const isClosing = path[depth] !== undefined && isNamed(description!, path[depth]!);
    if (isClosing) path.splice(depth);
    if (isOk || (isClosing && suite.failures > 0)) continue;
    suite.failures += 1;
    failures.push({
      file: suite.file,
      subtests: path.slice(1, depth),
      description: description!,
    });
  }
  return failures;
}

function isNamed(description: string, name: string): boolean {
  return description === name || description.startsWith(`${name} # time=`);
}
