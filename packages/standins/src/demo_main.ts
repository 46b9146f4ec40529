/**
 * Demo: serves mixed traffic in two availability zones, kills an engine under load, and reports
 * whether a generation failed or an order was applied twice.
 */

import * as fleets from "./test_fleet.ts";
import * as loadGenerator from "./load_generator.ts";
import * as testHarness from "./test_harness.ts";

const LOAD_DURATION_MS = 6_000;
const KILL_AFTER_MS = 2_500;
const SEED = 7;
const ENGINE_ARGS = [["--base", "10"], ["--base", "5"], ["--base", "8"], ["--base", "6"]];

process.exitCode = await runDemo();

async function runDemo(): Promise<number> {
  const harness = new testHarness.TestHarness();
  try {
    writeLine("starting platform, 4 engines, 2 services and 2 entry processes in 2 zones");
    const fleet = await fleets.startFleet(harness, {
      zones: ["asahikawa", "furano"],
      engines: ENGINE_ARGS,
      services: 2,
      entries: ["asahikawa", "furano"],
    });
    const operatorAddress = `http://${fleet.entries[0]!.operators}`;
    writeLine(
      "release 1 is in force; sending mixed traffic for 6 s and killing an engine under load\n",
    );
    const killDone = testHarness.waitFor(KILL_AFTER_MS).then(() => {
      fleet.engines[0]!.child.kill("SIGKILL");
    });
    const loadResult = await loadGenerator.runLoad({
      addresses: fleet.entries.map((entry) => entry.address),
      durationMs: LOAD_DURATION_MS,
      rates: [{ rank: "urgent", perSecond: 15 }, { rank: "patient", perSecond: 10 }],
      workspaces: ["orchard", "melon"],
      ordersPerSecond: 5,
      seed: SEED,
    });
    await killDone;
    writeLine(loadGenerator.formatLoadResult(loadResult));
    let appliedCount = 0;
    const orderBodies = new Set<string>();
    for (const service of fleet.services) {
      for (const order of await fleets.readServiceLedger(service)) {
        appliedCount += 1;
        orderBodies.add(order.body);
      }
    }
    writeLine(
      `the services applied ${appliedCount} orders, ${
        appliedCount - orderBodies.size
      } of them twice\n`,
    );
    const status = await harness.runCtl(["status", "--entry", operatorAddress]);
    writeLine(`$ peridotctl status\n${status.stdout}`);
    const isConsistent = appliedCount === orderBodies.size &&
      loadResult.ranks.every((group) => group.failed === 0);
    writeLine(
      isConsistent
        ? "no generation failed and no order was applied twice"
        : "GENERATIONS FAILED OR ORDERS WERE APPLIED TWICE",
    );
    return isConsistent ? 0 : 1;
  } finally {
    await harness.stop();
  }
}

function writeLine(line: string): void {
  process.stdout.write(`${line}\n`);
}
