/** Structured logging through roarr: writes each event as one line of `key=value` pairs. */

import "./roarr_enabled.ts";
import * as roarr from "roarr";

/** Fields of a log line, by key. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Writes log events, one line each. */
export interface Logger {
  /** Writes `event` with `fields`; omits undefined fields. */
  write(event: string, fields?: LogFields): void;
}

const UNQUOTED_VALUE_PATTERN = /^[^\s="\\]+$/;

/** Formats a value; empty values and values with spaces, `"`, `=` or `\` become JSON strings. */
export function formatValue(value: string | number | boolean): string {
  const text = String(value);
  if (UNQUOTED_VALUE_PATTERN.test(text)) return text;
  return JSON.stringify(text);
}

/** Formats one event as a line without a line break; omits undefined fields. */
export function formatLine(event: string, fields: LogFields): string {
  let line = `event=${formatValue(event)}`;
  for (const [key, value] of Object.entries(fields)) {
    if (value === undefined) continue;
    line += ` ${key}=${formatValue(value)}`;
  }
  return line;
}

/**
 * Creates a logger that adds `context` to each event and passes each line, with
 * its line break, to `write`. Roarr has one output per process, so the
 * `write` of the last call receives the lines of all loggers.
 */
export function createLogger(
  write: (line: string) => void,
  context: LogFields = {},
): Logger {
  roarr.ROARR.write = (message: string) => write(formatRoarrMessage(message));
  const logger = roarr.Roarr.child(dropUndefinedFields(context));
  return {
    write(event, fields = {}) {
      logger(dropUndefinedFields(fields), "%s", event);
    },
  };
}

function formatRoarrMessage(message: string): string {
  const parsed = JSON.parse(message) as {
    context: LogFields;
    message: string;
    time: number;
  };
  const time = new Date(parsed.time).toISOString();
  return `time=${time} ${formatLine(parsed.message, parsed.context)}\n`;
}

function dropUndefinedFields(
  fields: LogFields,
): Record<string, string | number | boolean> {
  const definedFields: Record<string, string | number | boolean> = {};
  for (const [key, value] of Object.entries(fields)) {
    if (value !== undefined) definedFields[key] = value;
  }
  return definedFields;
}
