/**
 * The flood bench: overloads engines, each a process of its own, with requests of the rank
 * `patient`, once through entry processes and once with round robin over the same engines.
 */

import * as standins from "@peridotvale/standins";

/** Command-line flags of the engines. Each engine is twice as fast as the previous one. */
const ENGINE_FLAGS = [
  ["--base", "14", "--slope", "1", "--memory", "20000", "--batch", "48"],
  ["--base", "7", "--slope", "0.5", "--memory", "28000", "--batch", "48"],
  ["--base", "3.5", "--slope", "0.25", "--memory", "44000", "--batch", "48"],
];
const DURATION_MS = 5_000;
/** About 0.5 (`urgent`) and 5 (`patient`) times the load that the engines can serve on time. */
const REQUEST_RATES = [{ rank: "urgent", perSecond: 18 }, { rank: "patient", perSecond: 190 }];
const SEED = 20_261_204;

await runBench();

async function runBench(): Promise<void> {
  const harness = new standins.TestHarness();
  try {
    const { engines, entries } = await standins.startFleet(harness, {
      engines: ENGINE_FLAGS,
      manifest: standins.TEST_MANIFEST.replace("replicas: 2", "replicas: 3"),
      entries: ["asahikawa", "asahikawa"],
    });
    const load = {
      durationMs: DURATION_MS,
      rates: REQUEST_RATES,
      workspaces: ["orchard", "melon"],
      ordersPerSecond: 0,
      seed: SEED,
    };
    const entryReport = await standins.runLoad({
      ...load,
      addresses: entries.map((entry) => entry.address),
    });
    process.stdout.write(`through entry processes\n${standins.formatLoadResult(entryReport)}\n\n`);
    const roundRobinReport = await standins.runLoad({
      ...load,
      addresses: engines.map((engine) => engine.address),
    });
    process.stdout.write(
      `round robin over the same engines\n${standins.formatLoadResult(roundRobinReport)}\n`,
    );
  } finally {
    await harness.stop();
  }
}
