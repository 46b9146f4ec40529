/**
 * Command line tool for operators. Validates and submits manifests, shows the manifest in force
 * and the state of the system, and explains decisions about requests.
 */

import * as crypto from "node:crypto";
import * as fs from "node:fs";
import * as core from "@peridotvale/core";
import sade from "sade";
import * as client from "./operator_client.ts";
import * as logs from "./log_reader.ts";
import type * as handler from "./operator_handler.ts";
import * as tables from "./table.ts";

/** Exit codes of `peridotctl`. */
export const EXIT_CODES = {
  ok: 0,
  /** The manifest or the arguments are invalid; nothing was changed. */
  invalid: 1,
  /** Another release was accepted before this submission; nothing was changed. */
  conflict: 2,
  /** The entry process or the platform could not be reached; nothing was changed. */
  unreachable: 3,
  /** The submission may have taken effect. */
  unknown: 4,
  /** No manifest is in force, or nothing is recorded about the request. */
  notFound: 5,
} as const;

interface CommonOptions {
  readonly entry: string;
  readonly json?: boolean;
}

interface SubmitOptions extends CommonOptions {
  readonly base?: number;
  readonly submission?: string;
}

interface ExplainOptions extends CommonOptions {
  /** Path of a log file; `true` and `-` select standard input. */
  readonly log?: string | boolean;
}

const STANDARD_INPUT_FD = 0;
const DEFAULT_ENTRY_URL = "http://127.0.0.1:7070";

/** Runs the command given by `argv` and sets the process's exit code. */
export async function runMain(argv: readonly string[]): Promise<void> {
  const program = sade("peridotctl");
  program
    .version("0.1.0")
    .option("-e, --entry", "Operators' URL of an entry process", DEFAULT_ENTRY_URL)
    .option("--json", "Print JSON");
  program
    .command("validate <file>", "Check a manifest without submitting it")
    .action((file: string, options: CommonOptions) => validate(file, options));
  program
    .command("submit <file>", "Submit a manifest")
    .option(
      "--base",
      "Release that the manifest succeeds (default: its own release minus 1)",
    )
    .option(
      "--submission",
      "Id of the submission, for a retry after an unknown result",
    )
    .action((file: string, options: SubmitOptions) => submit(file, options));
  program
    .command("show", "Print the manifest in force")
    .action((options: CommonOptions) => showManifest(options));
  program
    .command("status", "Print releases, owners and reachability")
    .action((options: CommonOptions) => showStatus(options));
  program
    .command("explain <request>", "Print the decisions about a recent request")
    .option("--log", "Read a log (a file, or - for standard input) instead of an entry process")
    .action((request: string, options: ExplainOptions) => explain(request, options));
  const parsed = program.parse([...argv], { lazy: true });
  if (parsed === undefined) return;
  process.exitCode = await (parsed.handler(...parsed.args) as unknown as Promise<number>);
}

function validate(file: string, options: CommonOptions): number {
  const text = readFile(file);
  if (text === undefined) return EXIT_CODES.invalid;
  const parsed = core.parseManifest(text, { source: file });
  if (parsed.isErr()) return writeProblems(parsed.error, options);
  writeResult(
    options,
    { valid: true, release: parsed.value.release },
    () => `${file}: release ${parsed.value.release} is valid`,
  );
  return EXIT_CODES.ok;
}

async function submit(file: string, options: SubmitOptions): Promise<number> {
  const text = readFile(file);
  if (text === undefined) return EXIT_CODES.invalid;
  const parsed = core.parseManifest(text, { source: file });
  if (parsed.isErr()) return writeProblems(parsed.error, options);
  const base = options.base ?? parsed.value.release - 1;
  const submission = options.submission ?? crypto.randomUUID();
  const result = await new client.OperatorClient(options.entry).submit(text, {
    base,
    submission,
  });
  if (result.isErr()) {
    if (!result.error.mayHaveTakenEffect) return writeUnreachableError(options, result.error);
    return writeUnknownResult(options, submission, result.error.message);
  }
  return writeSubmitView(result.value, options, submission);
}

function writeSubmitView(
  view: handler.SubmitView,
  options: SubmitOptions,
  submission: string,
): number {
  switch (view.type) {
    case "accepted":
      writeResult(options, view, () => `release ${view.release} accepted`);
      return EXIT_CODES.ok;
    case "invalid":
      return writeProblems(view.problems, options);
    case "conflict":
      writeError(options, view, [
        `conflict: release ${view.inForce} (submission ${view.submission ?? "none"}) is in force`,
        "nothing was changed; rebase on it: peridotctl show",
      ]);
      return EXIT_CODES.conflict;
    case "not_accepted":
      writeError(options, view, [
        `not accepted: ${view.message}`,
        "nothing was changed; try again",
      ]);
      return EXIT_CODES.unreachable;
    case "unknown":
      return writeUnknownResult(options, submission, view.message);
  }
}

async function showManifest(options: CommonOptions): Promise<number> {
  const result = await new client.OperatorClient(options.entry).readManifest();
  if (result.isErr()) return writeUnreachableError(options, result.error);
  const manifest = result.value;
  if (manifest === undefined) {
    writeError(options, { type: "none" }, [
      "no manifest is in force: peridotctl submit FILE",
    ]);
    return EXIT_CODES.notFound;
  }
  writeResult(options, manifest, () => manifest.text.trimEnd());
  return EXIT_CODES.ok;
}

async function showStatus(options: CommonOptions): Promise<number> {
  const result = await new client.OperatorClient(options.entry).readStatus();
  if (result.isErr()) return writeUnreachableError(options, result.error);
  writeResult(options, result.value, () => formatStatus(result.value));
  return EXIT_CODES.ok;
}

async function explain(
  request: string,
  options: ExplainOptions,
): Promise<number> {
  if (options.log !== undefined) return explainFromLog(request, options.log, options);
  const result = await new client.OperatorClient(options.entry).explain(
    request,
  );
  if (result.isErr()) return writeUnreachableError(options, result.error);
  if (result.value.length === 0) {
    writeError(options, { type: "not_found", request }, [
      `no decisions about ${request} are recorded`,
      "only recent requests are recorded; search the logs for older ones (--log)",
    ]);
    return EXIT_CODES.notFound;
  }
  writeResult(options, result.value, () => formatDecisions(result.value));
  return EXIT_CODES.ok;
}

function explainFromLog(
  request: string,
  file: string | boolean,
  options: CommonOptions,
): number {
  const log = readFile(typeof file === "boolean" || file === "-" ? STANDARD_INPUT_FD : file);
  if (log === undefined) return EXIT_CODES.invalid;
  const decisions = logs.findDecisions(log, request);
  if (decisions.length === 0) {
    writeError(options, { type: "not_found", request }, [
      `the log contains no line about ${request}`,
      "each attempt of a caller has its own request id; search the other processes' logs too",
    ]);
    return EXIT_CODES.notFound;
  }
  writeResult(options, decisions, () => formatDecisions(decisions));
  return EXIT_CODES.ok;
}

function formatStatus(status: handler.StatusView): string {
  const lastAnswer = status.platformSilentMs === undefined
    ? "never answered"
    : `last answered ${formatAge(status.platformSilentMs)} ago`;
  const platform = status.platformReachable ? "reachable" : `UNREACHABLE, ${lastAnswer}`;
  const processes = status.processes.map((processView) => [
    processView.zone,
    processView.process,
    processView.state,
    String(processView.release),
    processView.inForceMs === undefined ? "-" : formatAge(processView.inForceMs),
    processView.openRequests === undefined ? "-" : String(processView.openRequests),
  ]);
  const endpoints = status.endpoints.map((endpointView) => [
    endpointView.zone,
    endpointView.endpoint,
    endpointView.role,
    endpointView.accepting ? "accepting" : "NOT ACCEPTING",
    endpointView.owner ?? "-",
  ]);
  return [
    `seen from ${status.process} in ${status.zone}; platform ${platform}`,
    "",
    tables.formatTable(
      ["ZONE", "PROCESS", "STATE", "RELEASE", "SINCE", "OPEN"],
      processes,
    ),
    "",
    tables.formatTable(
      ["ZONE", "ENDPOINT", "ROLE", "STATE", "OWNER"],
      endpoints,
    ),
  ].join("\n");
}

function formatDecisions(decisions: readonly handler.DecisionView[]): string {
  const rows = decisions.map((decision) => [
    new Date(decision.at).toISOString(),
    decision.process,
    core.formatLine(decision.event, decision.fields).slice("event=".length),
  ]);
  return tables.formatTable(["TIME", "PROCESS", "DECISION"], rows);
}

function formatAge(durationMs: number): string {
  if (durationMs < 1_000) return `${Math.round(durationMs)}ms`;
  if (durationMs < 120_000) return `${Math.round(durationMs / 1_000)}s`;
  return `${Math.round(durationMs / 60_000)}min`;
}

function readFile(file: string | number): string | undefined {
  try {
    return fs.readFileSync(file, "utf8");
  } catch (error) {
    process.stderr.write(`cannot read ${file}: ${(error as Error).message}\n`);
    return undefined;
  }
}

function writeProblems(
  problems: readonly core.DocumentProblem[],
  options: CommonOptions,
): number {
  const lines = problems.map(core.formatDocumentProblem);
  writeError(options, { type: "invalid", problems }, [
    ...lines,
    "nothing was changed",
  ]);
  return EXIT_CODES.invalid;
}

function writeUnreachableError(
  options: CommonOptions,
  error: client.OperatorError,
): number {
  writeError(options, { type: "unreachable", message: error.message }, [
    `cannot reach ${options.entry}: ${error.message}`,
    "nothing was changed; select another entry process with --entry",
  ]);
  return EXIT_CODES.unreachable;
}

function writeUnknownResult(
  options: SubmitOptions,
  submission: string,
  message: string,
): number {
  writeError(options, { type: "unknown", submission, message }, [
    `unknown: ${message}`,
    "the submission may have taken effect; retry with the same id, which applies it at most once:",
    `  peridotctl submit FILE --submission ${submission}`,
  ]);
  return EXIT_CODES.unknown;
}

function writeResult(
  options: CommonOptions,
  value: unknown,
  format: () => string,
): void {
  process.stdout.write(
    `${options.json ? JSON.stringify(value, null, 2) : format()}\n`,
  );
}

function writeError(
  options: CommonOptions,
  value: unknown,
  lines: readonly string[],
): void {
  if (options.json) process.stdout.write(`${JSON.stringify(value, null, 2)}\n`);
  process.stderr.write(`${lines.join("\n")}\n`);
}
