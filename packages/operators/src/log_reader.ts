/**
 * Extracts the decisions about one request from a log, together with the events that changed the
 * state on which these decisions were based.
 */

import type * as handler from "./operator_handler.ts";

interface LogLine {
  readonly at: number;
  readonly event: string;
  readonly process: string;
  readonly fields: Readonly<Record<string, string>>;
}

/** Events that can explain a process's decisions without naming a request. */
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
/** Time before the request's first line from which background events are included. */
const BACKGROUND_BEFORE_MS = 3_000;
const PAIR_PATTERN = /(\w+)=("(?:[^"\\]|\\.)*"|\S+)/g;

/**
 * Finds the lines about `request` in the order of the log. Adds background events of the process
 * that logged the first of these lines. A background event is added if it names no endpoint
 * instance (events about the store and the configuration, for example), or if it names an instance
 * that also occurs in the lines about the request.
 */
export function findDecisions(log: string, request: string): handler.DecisionView[] {
  const lines: LogLine[] = [];
  for (const text of log.split("\n")) {
    const line = parseLine(text);
    if (line !== undefined) lines.push(line);
  }
  const requestLines = lines.filter((line) => line.fields["request"] === request);
  const [first] = requestLines;
  const last = requestLines.at(-1);
  if (first === undefined || last === undefined) return [];
  const instances = new Set<string>();
  for (const line of requestLines) {
    for (const name of ["instance", "target", "source"]) {
      const value = line.fields[name];
      if (value !== undefined) instances.add(value);
    }
  }
  const includedLines = lines.filter((line) => {
    if (line.fields["request"] === request) return true;
    if (line.process !== first.process || !BACKGROUND_EVENTS.has(line.event)) return false;
    if (line.at < first.at - BACKGROUND_BEFORE_MS || line.at > last.at) return false;
    const instance = line.fields["instance"];
    return instance === undefined || instances.has(instance);
  });
  return includedLines.map(({ at, event, process, fields }) => ({ at, event, process, fields }));
}

function parseLine(text: string): LogLine | undefined {
  const fields: Record<string, string> = {};
  for (const match of text.matchAll(PAIR_PATTERN)) fields[match[1]!] = parseValue(match[2]!);
  const { time, event, process, ...rest } = fields;
  if (event === undefined || time === undefined) return undefined;
  return { at: Date.parse(time), event, process: process ?? "", fields: rest };
}

function parseValue(text: string): string {
  if (!text.startsWith('"')) return text;
  try {
    return String(JSON.parse(text));
  } catch {
    // A truncated line can end in an incomplete string, which is shown unchanged.
    return text;
  }
}
