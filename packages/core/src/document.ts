/** Strict parsing of YAML documents: every problem at once, each with its path and line. */

import * as neverthrow from "neverthrow";
import * as valibot from "valibot";
import * as yaml from "yaml";

/** One fault of a document. */
export interface DocumentProblem {
  /** Name of the document, such as its file path. */
  readonly source: string;
  /** Dotted path of the faulty value; empty for the document itself. */
  readonly path: string;
  /** Line of the faulty value, from 1. */
  readonly line: number;
  readonly message: string;
}

/** Creates a problem at a path. */
export type CreateProblem = (
  path: readonly (string | number)[],
  message: string,
) => DocumentProblem;

/** A parsed document with the positions of its values. */
export interface ParsedDocument<T> {
  readonly value: T;
  /** Creates a problem at `path`, for checks beyond the schema. */
  readonly createProblem: CreateProblem;
}

/**
 * Parses YAML `text` against `schema`; unknown keys must be refused by the
 * schema. JSON is parsed as such, many times faster, but without lines.
 */
export function parseDocument<T>(
  schema: valibot.GenericSchema<unknown, T>,
  text: string,
  options: { readonly source: string },
): neverthrow.Result<ParsedDocument<T>, DocumentProblem[]> {
  const { source } = options;
  const json = parseJson(text);
  if (json !== undefined) {
    const createProblem: CreateProblem = (path, message) => ({
      source,
      path: path.join("."),
      line: 1,
      message,
    });
    return validateValue(schema, json, createProblem);
  }
  const lines = new yaml.LineCounter();
  const document = yaml.parseDocument(text, { lineCounter: lines, uniqueKeys: true });
  if (document.errors.length > 0) {
    return neverthrow.err(document.errors.map((error) => ({
      source,
      path: "",
      line: error.linePos?.[0].line ?? 1,
      message: error.message.split("\n")[0] ?? "invalid YAML",
    })));
  }
  const createProblem: CreateProblem = (path, message) => ({
    source,
    path: path.join("."),
    line: getLine(document, lines, path),
    message,
  });
  return validateValue(schema, document.toJS(), createProblem);
}

/** Converts a YAML document to JSON, which is parsed many times faster. */
export function convertToJson(text: string): string {
  return JSON.stringify(yaml.parse(text));
}

/** Formats a problem as `source:line: path: message`. */
export function formatProblem(problem: DocumentProblem): string {
  const path = problem.path === "" ? "" : `${problem.path}: `;
  return `${problem.source}:${problem.line}: ${path}${problem.message}`;
}

function parseJson(text: string): unknown {
  if (!text.startsWith("{")) return undefined;
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function validateValue<T>(
  schema: valibot.GenericSchema<unknown, T>,
  value: unknown,
  createProblem: CreateProblem,
): neverthrow.Result<ParsedDocument<T>, DocumentProblem[]> {
  const result = valibot.safeParse(schema, value);
  if (result.success) return neverthrow.ok({ value: result.output, createProblem });
  return neverthrow.err(result.issues.map((issue) => {
    const path = (issue.path ?? []).map((item) => item.key as string | number);
    return createProblem(path, formatIssue(issue));
  }));
}

function formatIssue(issue: valibot.BaseIssue<unknown>): string {
  if (issue.type !== "strict_object") return issue.message;
  if (issue.expected === "never") return "unknown key";
  return "missing key";
}

function getLine(
  document: yaml.Document,
  lines: yaml.LineCounter,
  path: readonly (string | number)[],
): number {
  for (let length = path.length; length >= 0; length--) {
    const node = document.getIn(path.slice(0, length), true);
    if (yaml.isNode(node) && node.range) {
      return lines.linePos(node.range[0]).line;
    }
  }
  return 1;
}
