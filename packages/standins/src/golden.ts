/** Golden files: whole sessions with times, addresses and ids normalised. */

import * as fs from "node:fs";
import * as path from "node:path";
import * as url from "node:url";

const FOLDER = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), "../golden");

const RULES: readonly (readonly [RegExp, string])[] = [
  [/\btime=\S+ /g, ""],
  [/"created":\d+/g, '"created":0'],
  [/\b(duration_ms|queued_ms|open)=\d+/g, "$1=0"],
  [/"retry_after_ms":\d+/g, '"retry_after_ms":0'],
  [/^retry-after: \d+$/gm, "retry-after: 0"],
  [/~[\w-]{11}(?=\.)/g, "~NONCE"],
  [/[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}/g, "UUID"],
  [/\bg\d+-\d+-\d+/g, "GENERATION"],
  [/^id: \S+$/gm, "id: CURSOR"],
  [/fencing=\d+/g, "fencing=0"],
];

/** Names of addresses in a session. */
export type AddressNames = ReadonlyMap<string, string>;

/** Normalises what differs from run to run. */
export function normalizeSession(text: string, names: AddressNames): string {
  let normalized = text;
  for (const [address, name] of names) normalized = normalized.replaceAll(address, name);
  for (const [pattern, replacement] of RULES) {
    normalized = normalized.replaceAll(pattern, replacement);
  }
  return normalized;
}

/** The golden file of a session; written anew when UPDATE_GOLDEN is set. */
export function readGolden(name: string, actual: string): string {
  const file = path.join(FOLDER, `${name}.txt`);
  if (process.env["UPDATE_GOLDEN"]) {
    fs.mkdirSync(FOLDER, { recursive: true });
    fs.writeFileSync(file, actual);
  }
  return fs.readFileSync(file, "utf8");
}
