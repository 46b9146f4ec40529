/** Command-line program that runs one stand-in. */

import sade from "sade";
import * as engineStandin from "./engine_standin.ts";
import * as platformStandin from "./platform_standin.ts";
import * as serviceStandin from "./service_standin.ts";

interface ListenOptions {
  readonly host: string;
  readonly port: number;
}

interface EngineOptions extends ListenOptions {
  readonly models: string;
  readonly base: number;
  readonly slope: number;
  readonly prefill: number;
  readonly memory: number;
  readonly batch: number;
  readonly lag: number;
  readonly fencing: boolean;
  readonly load: number;
  readonly salt: string;
}

const EXIT_POLL_INTERVAL_MS = 100;
/** Time for which an engine still answers after its last generation has ended. */
const EXIT_DELAY_MS = 10_000;

const program = sade("standin");
program.option("--host", "Address to listen on", "127.0.0.1").option(
  "--port",
  "Port",
  0,
);

program.command("platform").action(async (options: ListenOptions) => {
  writeAddress(await new platformStandin.PlatformStandin(options).start());
});

program.command("service").action(async (options: ListenOptions) => {
  writeAddress(await new serviceStandin.ServiceStandin(options).start());
});

program.command("engine")
  .option("--models", "Loaded models as name@version,...", "")
  .option("--base", "Base duration of a step in milliseconds", 8)
  .option("--slope", "Milliseconds that each stream adds to a step", 0.3)
  .option("--prefill", "Milliseconds per prompt token", 0.02)
  .option("--memory", "Memory in tokens", 60_000)
  .option("--batch", "Maximum number of concurrent streams", 64)
  .option("--lag", "Refresh interval of the load report in milliseconds", 500)
  .option("--fencing", "Refuse orders with an old fencing number", false)
  .option("--load", "Milliseconds to load a model", 300)
  .option("--salt", "Text that makes the tokens differ from other engines'", "")
  .action(async (options: EngineOptions) => {
    const standin = new engineStandin.EngineStandin({
      host: options.host,
      port: options.port,
      parameters: {
        baseMs: options.base,
        perStreamMs: options.slope,
        perPromptTokenMs: options.prefill,
        memoryTokens: options.memory,
        maxBatch: options.batch,
        cacheTokens: options.memory / 2,
      },
      loadedModels: parseModels(String(options.models)),
      reportLagMs: options.lag,
      checksFencing: options.fencing,
      modelLoadMs: options.load,
      salt: String(options.salt),
    });
    process.on("SIGTERM", () => {
      standin.startLeaving();
      setInterval(() => {
        if (standin.activeGenerationCount === 0) setTimeout(() => process.exit(0), EXIT_DELAY_MS);
      }, EXIT_POLL_INTERVAL_MS);
    });
    writeAddress(await standin.start());
  });

program.parse(process.argv);

function parseModels(text: string): { model: string; version: string }[] {
  return text.split(",").filter((part) => part !== "").map((part) => {
    const [model, version] = part.split("@");
    return { model: model ?? "", version: version ?? "1" };
  });
}

function writeAddress(address: string): void {
  process.stdout.write(`listening ${address}\n`);
}
