/** Finds in a log what was decided about a request, and what was believed meanwhile. */

import type * as handler from "./operator_handler.ts";

/** One line of a log. */
interface LogLine {
  readonly at: number;
  readonly event: string;
  readonly process: string;
  readonly fields: Readonly<Record<string, string>>;
}

/** Events of a process that may explain its requests. */
const BACKGROUND_EVENTS: ReadonlySet<string> = new Set([
  "config_adopted",
  "draining",
  "endpoint_changed",
  "log_lines_dropped",
  "peer_lost",
  "settings_applied",
  "store_lost",
  "store_regained",
  "watch_deaf",
  "watch_ended",
]);
/** Background this long before a request's first line is shown too. */
const BACKGROUND_BEFORE_MS = 3_000;
const PAIR = /(\w+)=("(?:[^"\\]|\\.)*"|\S+)/g;

/**
 * Finds the lines about `request`, oldest first. Between them stand the lines of its
 * process about the store and the configuration, and those about endpoints that the
 * request was sent to.
 */
export function findDecisions(log: string, request: string): handler.DecisionView[] {
  const lines: LogLine[] = [];
  for (const text of log.split("\n")) {
    const line = parseLine(text);
    if (line !== undefined) lines.push(line);
  }
  const own = lines.filter((line) => line.fields["request"] === request);
  const [first] = own;
  const last = own.at(-1);
  if (first === undefined || last === undefined) return [];
  const instances = new Set<string>();
  for (const line of own) {
    for (const name of ["instance", "target", "source"]) {
      const value = line.fields[name];
      if (value !== undefined) instances.add(value);
    }
  }
  const shown = lines.filter((line) => {
    if (line.fields["request"] === request) return true;
    if (line.process !== first.process || !BACKGROUND_EVENTS.has(line.event)) return false;
    if (line.at < first.at - BACKGROUND_BEFORE_MS || line.at > last.at) return false;
    const instance = line.fields["instance"];
    return instance === undefined || instances.has(instance);
  });
  return shown.map(({ at, event, process, fields }) => ({ at, event, process, fields }));
}

function parseLine(text: string): LogLine | undefined {
  const fields: Record<string, string> = {};
  for (const match of text.matchAll(PAIR)) fields[match[1]!] = parseValue(match[2]!);
  const { time, event, process, ...rest } = fields;
  if (event === undefined || time === undefined) return undefined;
  return { at: Date.parse(time), event, process: process ?? "", fields: rest };
}

function parseValue(text: string): string {
  if (!text.startsWith('"')) return text;
  try {
    return String(JSON.parse(text));
  } catch {
    // A line that was cut; what is there is shown as it is.
    return text;
  }
}
