/** Golden files: recorded sessions with placeholders for times, addresses and ids. */

import * as fs from "node:fs";
import * as path from "node:path";
import * as url from "node:url";

const GOLDEN_FOLDER = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), "../golden");

const REPLACEMENTS: readonly (readonly [RegExp, string])[] = [
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

/** Maps each address to its placeholder. */
export type AddressPlaceholders = ReadonlyMap<string, string>;

/** Replaces addresses, times, ids and other values that differ between runs by placeholders. */
export function normalizeSession(text: string, placeholders: AddressPlaceholders): string {
  let normalized = text;
  for (const [address, name] of placeholders) normalized = normalized.replaceAll(address, name);
  for (const [pattern, replacement] of REPLACEMENTS) {
    normalized = normalized.replaceAll(pattern, replacement);
  }
  return normalized;
}

/** Returns the golden file `name`; if UPDATE_GOLDEN is set, writes `actual` to it first. */
export function readGolden(name: string, actual: string): string {
  const file = path.join(GOLDEN_FOLDER, `${name}.txt`);
  if (process.env["UPDATE_GOLDEN"]) {
    fs.mkdirSync(GOLDEN_FOLDER, { recursive: true });
    fs.writeFileSync(file, actual);
  }
  return fs.readFileSync(file, "utf8");
}
