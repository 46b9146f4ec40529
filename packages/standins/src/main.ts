/** Command line of the stand-ins; each runs as a process of its own. */

import sade from "sade";
import * as engine from "./engine_standin.ts";
import * as platform from "./platform_standin.ts";
import * as service from "./service_standin.ts";

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

const EXIT_POLL_MS = 100;
/** Time for which an engine that has left still answers. */
const EXIT_DELAY_MS = 10_000;

const program = sade("standin");
program.option("--host", "Address to listen at", "127.0.0.1").option(
  "--port",
  "Port",
  0,
);

program.command("platform").action(async (options: ListenOptions) => {
  writeAddress(await new platform.PlatformStandin(options).start());
});

program.command("service").action(async (options: ListenOptions) => {
  writeAddress(await new service.ServiceStandin(options).start());
});

program.command("engine")
  .option("--models", "Loaded models, as name@version,...", "")
  .option("--base", "Milliseconds of a step", 8)
  .option("--slope", "Milliseconds that each stream adds", 0.3)
  .option("--prefill", "Milliseconds per prompt token", 0.02)
  .option("--memory", "Memory in tokens", 60_000)
  .option("--batch", "Most streams at once", 64)
  .option("--lag", "Lag of the load report in milliseconds", 500)
  .option("--fencing", "Refuse orders with an old fencing number", false)
  .option("--load", "Milliseconds to load a model", 300)
  .option("--salt", "Text that makes its tokens differ", "")
  .action(async (options: EngineOptions) => {
    const standin = new engine.EngineStandin({
      host: options.host,
      port: options.port,
      parameters: {
        baseMs: options.base,
        perStreamMs: options.slope,
        prefillMs: options.prefill,
        memoryTokens: options.memory,
        maxBatch: options.batch,
        cacheTokens: options.memory / 2,
      },
      loaded: parseModels(String(options.models)),
      reportLagMs: options.lag,
      fencing: options.fencing,
      loadMs: options.load,
      salt: String(options.salt),
    });
    process.on("SIGTERM", () => {
      standin.startLeaving();
      setInterval(() => {
        if (standin.runningCount === 0) setTimeout(() => process.exit(0), EXIT_DELAY_MS);
      }, EXIT_POLL_MS);
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
