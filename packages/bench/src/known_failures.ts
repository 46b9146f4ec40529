/**
 * Known failures: failing checks and subtests that KNOWN-RED.txt lists are printed and do not fail
 * the run.
 */

import * as fs from "node:fs";
import type * as results from "./tap_results.ts";

export interface BoundCheck {
  /** Name under which KNOWN-RED.txt lists the check. */
  readonly name: string;
  readonly isMet: boolean;
  /** Measured value and target. */
  readonly detail: string;
}

const KNOWN_FAILURES_FILE = "KNOWN-RED.txt";

/** Reads the names of the checks that are known to fail, from lines of the form `NAME: ...`. */
export function readKnownChecks(): ReadonlySet<string> {
  if (!fs.existsSync(KNOWN_FAILURES_FILE)) return new Set();
  const names = new Set<string>();
  for (const line of fs.readFileSync(KNOWN_FAILURES_FILE, "utf8").split("\n")) {
    const name = /^([a-z0-9_/]+):/.exec(line)?.[1];
    if (name !== undefined) names.add(name);
  }
  return names;
}

/** Prints the failed and the listed checks; returns whether all failures are known. */
export function reportChecks(checks: readonly BoundCheck[]): boolean {
  const knownNames = readKnownChecks();
  let hasOnlyKnownFailures = true;
  let metCount = 0;
  for (const check of checks) {
    const isKnown = knownNames.has(check.name);
    if (check.isMet) metCount += 1;
    if (check.isMet && !isKnown) continue;
    if (!check.isMet && !isKnown) hasOnlyKnownFailures = false;
    const state = check.isMet
      ? "met, although listed as a known failure"
      : isKnown
      ? "known failure"
      : "NOT MET";
    process.stdout.write(`${check.name}: ${state}: ${check.detail}\n`);
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

/** Splits the failures into known ones, which lie in `knownSubtests`, and unexpected ones. */
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

/** Formats the path of subtests and the assertion of a failure, separated by ` > `. */
export function formatFailure(failure: results.TapFailure): string {
  return [...failure.subtests, failure.description].join(" > ");
}
