/** Logging: one line of `key=value` pairs for each event, through roarr. */

import "./roarr_enabled.ts";
import * as roarr from "roarr";

/** Values that a log line may hold. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Writes events as lines. */
export interface Logger {
  /** Writes `event` with `fields`; undefined fields are left out. */
  write(event: string, fields?: LogFields): void;
}

const PLAIN_VALUE = /^[^\s="\\]+$/;

/** Formats a value; quotes it as JSON unless it is plain. */
export function formatValue(value: string | number | boolean): string {
  const text = String(value);
  if (PLAIN_VALUE.test(text)) return text;
  return JSON.stringify(text);
}

/** Formats one event as a line without its line end. */
export function formatLine(event: string, fields: LogFields): string {
  let line = `event=${formatValue(event)}`;
  for (const [key, value] of Object.entries(fields)) {
    if (value === undefined) continue;
    line += ` ${key}=${formatValue(value)}`;
  }
  return line;
}

/** Creates a logger through roarr whose lines go to `write`. */
export function createLogger(
  write: (line: string) => void,
  context: LogFields = {},
): Logger {
  roarr.ROARR.write = (message: string) => write(convertMessage(message));
  const logger = roarr.Roarr.child(dropUndefined(context));
  return {
    write(event, fields = {}) {
      logger(dropUndefined(fields), "%s", event);
    },
  };
}

function convertMessage(message: string): string {
  const parsed = JSON.parse(message) as {
    context: LogFields;
    message: string;
    time: number;
  };
  const time = new Date(parsed.time).toISOString();
  return `time=${time} ${formatLine(parsed.message, parsed.context)}\n`;
}

function dropUndefined(
  fields: LogFields,
): Record<string, string | number | boolean> {
  const kept: Record<string, string | number | boolean> = {};
  for (const [key, value] of Object.entries(fields)) {
    if (value !== undefined) kept[key] = value;
  }
  return kept;
}
