/** Strict parsing of YAML documents, which reports all problems together, with path and line. */

import * as neverthrow from "neverthrow";
import * as valibot from "valibot";
import * as yaml from "yaml";

/** One error in a document. */
export interface DocumentProblem {
  /** Name of the document, such as its file path. */
  readonly source: string;
  /** Dotted path of the invalid value; empty if the error concerns the entire document. */
  readonly path: string;
  /** Line of the invalid value, starting at 1. */
  readonly line: number;
  readonly message: string;
}

/** Creates a problem for the value at `path`, with the document's name and the line. */
export type ProblemFactory = (
  path: readonly (string | number)[],
  message: string,
) => DocumentProblem;

/** A parsed and validated document. */
export interface ParsedDocument<T> {
  readonly value: T;
  /** Creates a problem that is found after the schema's validation, such as an undeclared rank. */
  readonly createProblem: ProblemFactory;
}

/**
 * Parses YAML `text` and validates it against `schema`, which must itself reject
 * unknown keys. Text that is a JSON object goes through the JSON parser, which is
 * many times faster but has no line numbers: its problems all have line 1.
 */
export function parseDocument<T>(
  schema: valibot.GenericSchema<unknown, T>,
  text: string,
  options: { readonly source: string },
): neverthrow.Result<ParsedDocument<T>, DocumentProblem[]> {
  const { source } = options;
  const json = parseJsonObject(text);
  if (json !== undefined) {
    const createProblem: ProblemFactory = (path, message) => ({
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
  const createProblem: ProblemFactory = (path, message) => ({
    source,
    path: path.join("."),
    line: findLine(document, lines, path),
    message,
  });
  return validateValue(schema, document.toJS(), createProblem);
}

/** Converts a YAML document to JSON, which {@linkcode parseDocument} reads many times faster. */
export function convertYamlToJson(text: string): string {
  return JSON.stringify(yaml.parse(text));
}

/**
 * Returns a function that finds the line of the value at a path of the JSON document `text`. It
 * returns `undefined` if the lines cannot be determined, such as where a key is repeated.
 */
export function createLineFinder(
  text: string,
): (path: readonly (string | number)[]) => number | undefined {
  const lines = new yaml.LineCounter();
  const document = yaml.parseDocument(text, { lineCounter: lines, uniqueKeys: true });
  if (document.errors.length > 0) return () => undefined;
  return (path) => findLine(document, lines, path);
}

/** Formats a problem as `source:line: path: message`. */
export function formatDocumentProblem(problem: DocumentProblem): string {
  const path = problem.path === "" ? "" : `${problem.path}: `;
  return `${problem.source}:${problem.line}: ${path}${problem.message}`;
}

/** Parses `text`; returns `undefined` if it is not a JSON object. */
function parseJsonObject(text: string): unknown {
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
  createProblem: ProblemFactory,
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

/** Finds the line of the value at `path`, or of its closest ancestor that has a position. */
function findLine(
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
