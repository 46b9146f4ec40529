/** The command `peridotvale`, which runs an entry process. */

import * as fs from "node:fs";
import * as core from "@peridotvale/core";
import sade from "sade";
import * as entry from "./entry_process.ts";
import * as settingsModule from "./settings.ts";

interface MainOptions {
  readonly settings?: string;
  readonly check?: boolean;
}

export const EXIT_CODES = { ok: 0, invalidSettings: 1, failed: 2 } as const;

/** Runs the command line; resolves after the entry process has drained. */
export async function runMain(argv: readonly string[]): Promise<void> {
  const program = sade("peridotvale", true);
  program
    .version("0.1.0")
    .describe("Entry process: serves callers' requests from endpoints")
    .option("-s, --settings", "Settings file (YAML)")
    .option("--check", "Only check the settings")
    .action((options: MainOptions) => runEntryProcess(options));
  const parsedCommand = program.parse([...argv], { lazy: true });
  if (parsedCommand === undefined) return;
  process.exitCode =
    await (parsedCommand.handler(...parsedCommand.args) as unknown as Promise<number>);
}

async function runEntryProcess(options: MainOptions): Promise<number> {
  const settings = readSettings(options.settings);
  if (settings === undefined) return EXIT_CODES.invalidSettings;
  if (options.check) {
    process.stdout.write("settings are valid\n");
    return EXIT_CODES.ok;
  }
  const logger = core.createLogger((line) => process.stdout.write(line), {
    process: settings.process,
    zone: settings.zone,
  });
  try {
    const entryProcess = await entry.startEntryProcess(settings, {
      logger,
      clock: new core.SystemClock(),
    });
    await waitForStopSignal();
    await entryProcess.drain();
    return EXIT_CODES.ok;
  } catch (error) {
    logger.write("process_failed", { error: (error as Error).message });
    return EXIT_CODES.failed;
  }
}

function readSettings(
  file: string | undefined,
): settingsModule.Settings | undefined {
  if (file === undefined) {
    process.stderr.write("--settings FILE is required\n");
    return undefined;
  }
  let text: string;
  try {
    text = fs.readFileSync(file, "utf8");
  } catch (error) {
    process.stderr.write(`cannot read ${file}: ${(error as Error).message}\n`);
    return undefined;
  }
  const parseResult = settingsModule.parseSettings(text, { source: file });
  if (parseResult.isOk()) return parseResult.value;
  for (const problem of parseResult.error) {
    process.stderr.write(`${core.formatDocumentProblem(problem)}\n`);
  }
  return undefined;
}

/** Resolves on the first SIGTERM or SIGINT; further signals during the drain are ignored. */
function waitForStopSignal(): Promise<void> {
  return new Promise((resolve) => {
    process.on("SIGTERM", () => resolve());
    process.on("SIGINT", () => resolve());
  });
}
