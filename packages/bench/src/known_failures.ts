/**
 * Reads the known failures from KNOWN-RED.txt. Checks and subtests that are listed there and fail
 * are printed, but do not fail the run.
 */

import * as fs from "node:fs";
import type * as results from "./tap_results.ts";

/** Result of the check of one measured value against its bound. */
export interface BoundCheck {
  /** Name under which KNOWN-RED.txt lists the check. */
  readonly name: string;
  readonly isMet: boolean;
  /** Text that states the measured value and the bound. */
  readonly detail: string;
}

const KNOWN_FAILURES_FILE = "KNOWN-RED.txt";

/** Reads the names of the checks that are known to fail, from lines of the form `NAME: ...`. */
export function readKnownChecks(): ReadonlySet<string> {
  if (!fs.existsSync(KNOWN_FAILURES_FILE)) return new Set();
  const checkNames = new Set<string>();
  for (const line of fs.readFileSync(KNOWN_FAILURES_FILE, "utf8").split("\n")) {
    const checkName = /^([a-z0-9_/]+):/.exec(line)?.[1];
    if (checkName !== undefined) checkNames.add(checkName);
  }
  return checkNames;
}

/** Prints the checks that failed or are listed; returns whether all failed checks are listed. */
export function reportChecks(checks: readonly BoundCheck[]): boolean {
  const knownCheckNames = readKnownChecks();
  let hasOnlyKnownFailures = true;
  let metCount = 0;
  for (const check of checks) {
    const isKnown = knownCheckNames.has(check.name);
    if (check.isMet) metCount += 1;
    if (check.isMet && !isKnown) continue;
    if (!check.isMet && !isKnown) hasOnlyKnownFailures = false;
    const checkStatus = check.isMet
      ? "met, although listed as a known failure"
      : isKnown
      ? "known failure"
      : "NOT MET";
    process.stdout.write(`${check.name}: ${checkStatus}: ${check.detail}\n`);
  }
  process.stdout.write(`${metCount} of ${checks.length} bounds met\n`);
  return hasOnlyKnownFailures;
}

export interface KnownSubtest {
  readonly file: string;
  readonly subtest: string;
}

/** Reads the subtests that are known to fail, from lines of the form `test FILE "SUBTEST": ...`. */
export function readKnownSubtests(): KnownSubtest[] {
  if (!fs.existsSync(KNOWN_FAILURES_FILE)) return [];
  const subtests: KnownSubtest[] = [];
  for (const line of fs.readFileSync(KNOWN_FAILURES_FILE, "utf8").split("\n")) {
    const match = /^test (\S+) "([^"]+)":/.exec(line);
    if (match !== null) subtests.push({ file: match[1]!, subtest: match[2]! });
  }
  return subtests;
}

/** Separates known failures, those within one of `knownSubtests`, from unexpected failures. */
export function compareFailures(
  failures: readonly results.TapFailure[],
  knownSubtests: readonly KnownSubtest[],
): { readonly known: results.TapFailure[]; readonly unexpected: results.TapFailure[] } {
  const known: results.TapFailure[] = [];
  const unexpected: results.TapFailure[] = [];
  for (const failure of failures) {
    const isKnown = knownSubtests.some((entry) =>
      entry.file === failure.file && failure.subtests.includes(entry.subtest)
    );
    (isKnown ? known : unexpected).push(failure);
  }
  return { known, unexpected };
}

/** Formats a failure as its subtests and its description, separated by ` > `. */
export function formatFailure(failure: results.TapFailure): string {
  return [...failure.subtests, failure.description].join(" > ");
}
