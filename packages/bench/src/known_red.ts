/** Known failures: checks that are listed in KNOWN-RED.txt are printed and passed over. */

import * as fs from "node:fs";
import type * as results from "./tap_results.ts";

/** Result of one check. */
export interface Check {
  /** Name by which KNOWN-RED.txt lists it. */
  readonly name: string;
  readonly isMet: boolean;
  /** What was seen and what is the target. */
  readonly detail: string;
}

const FILE = "KNOWN-RED.txt";

/** Names of the checks that are known to fail: first words of the lines, up to a colon. */
export function readKnownRed(): ReadonlySet<string> {
  if (!fs.existsSync(FILE)) return new Set();
  const names = new Set<string>();
  for (const line of fs.readFileSync(FILE, "utf8").split("\n")) {
    const name = /^([a-z0-9_/]+):/.exec(line)?.[1];
    if (name !== undefined) names.add(name);
  }
  return names;
}

/** Prints `checks`; returns whether every failure is a known one. */
export function writeChecks(checks: readonly Check[]): boolean {
  const known = readKnownRed();
  let isSound = true;
  let met = 0;
  for (const check of checks) {
    const isKnown = known.has(check.name);
    if (check.isMet) met += 1;
    if (check.isMet && !isKnown) continue;
    if (!check.isMet && !isKnown) isSound = false;
    const state = check.isMet
      ? "met, though listed as known red"
      : isKnown
      ? "known red"
      : "NOT MET";
    process.stdout.write(`${check.name}: ${state}: ${check.detail}\n`);
  }
  process.stdout.write(`${met} of ${checks.length} bounds met\n`);
  return isSound;
}

/** A subtest that KNOWN-RED.txt lists. */
export interface KnownTest {
  readonly file: string;
  readonly subtest: string;
}

/** Lists the known failing subtests: lines `test FILE "SUBTEST": ...`. */
export function readKnownTests(): KnownTest[] {
  if (!fs.existsSync(FILE)) return [];
  const tests: KnownTest[] = [];
  for (const line of fs.readFileSync(FILE, "utf8").split("\n")) {
    const match = /^test (\S+) "([^"]+)":/.exec(line);
    if (match !== null) tests.push({ file: match[1]!, subtest: match[2]! });
  }
  return tests;
}

/** Compares the failures with the known subtests; returns those inside them and all others. */
export function compareFailures(
  failures: readonly results.TapFailure[],
  tests: readonly KnownTest[],
): { readonly known: results.TapFailure[]; readonly unknown: results.TapFailure[] } {
  const known: results.TapFailure[] = [];
  const unknown: results.TapFailure[] = [];
  for (const failure of failures) {
    const isKnown = tests.some((test) =>
      test.file === failure.file && failure.subtests.includes(test.subtest)
    );
    (isKnown ? known : unknown).push(failure);
  }
  return { known, unknown };
}

/** Formats the subtests and the assertion of a failure. */
export function formatFailure(failure: results.TapFailure): string {
  return [...failure.subtests, failure.description].join(" > ");
}
