/**
 * Tests two entry processes that send engine orders at the same time. Only the holder of the zone's
 * lease may send them: after an engine has accepted an order of a later holder, no engine may accept
 * an order of an earlier holder.
 */

import * as tap from "tap";
import * as fleets from "./test_fleet.ts";
import * as testHarness from "./test_harness.ts";

for (const fencing of [true, false]) {
  tap.t.test(`engines ${fencing ? "check" : "ignore"} fencing: no outdated orders`, async (t) => {
    const harness = new testHarness.TestHarness();
    t.teardown(() => harness.stop());
    const fencingArgs = fencing ? ["--fencing"] : [];
    const manifest = testHarness.TEST_MANIFEST.replace("replicas: 2", "replicas: 3") +
      `engines: { fencing: ${fencing}, max_concurrent_loads: 1 }\n`;
    const { engines, entries } = await fleets.startFleet(harness, {
      engines: [fencingArgs, [...fencingArgs, "--models", ""], [...fencingArgs, "--models", ""]],
      entries: ["asahikawa", "asahikawa"],
      manifest,
    });
    await testHarness.waitUntil(
      async () => (await countLoads(engines)) === 2,
      "both empty engines were ordered to load",
    );
    const firstHolder = await findLeaseHolder(entries);
    const secondHolder = entries.find((entry) => entry !== firstHolder)!;
    firstHolder.child.kill("SIGSTOP");
    await testHarness.waitUntil(
      () => secondHolder.lines.some((line) => line.includes("event=lease_acquired")),
      "the other process holds the lease",
      20_000,
    );
    const newerManifest = manifest.replace("release: 1", "release: 2").replace(
      "version: v1",
      "version: v2",
    );
    await harness.submitManifest(secondHolder, newerManifest);
    await testHarness.waitUntil(
      async () => (await fleets.readOrders(engines)).length > 2,
      "the new holder has sent orders",
      20_000,
    );
    firstHolder.child.kill("SIGCONT");
    await testHarness.waitUntil(
      async () => (await fleets.readOrders(engines)).filter((order) => order.accepted).length >= 5,
      "all three engines were ordered to load the new version",
      20_000,
    );
    const orders = (await fleets.readOrders(engines)).sort((a, b) => a.at - b.at);
    let highestFencing = 0;
    for (const order of orders) {
      if (!order.accepted) continue;
      t.ok(
        order.fencing >= highestFencing,
        "no accepted order has a lower fencing number than an earlier one",
      );
      highestFencing = Math.max(highestFencing, order.fencing);
    }
  });
}

/** Returns the process that sent the latest engine order. */
async function findLeaseHolder(
  entries: readonly testHarness.StartedEntry[],
): Promise<testHarness.StartedEntry> {
  let holder: testHarness.StartedEntry | undefined;
  let latestLine = "";
  for (const entry of entries) {
    for (const line of entry.lines) {
      if (!line.includes("event=order_sent") || line < latestLine) continue;
      latestLine = line;
      holder = entry;
    }
  }
  return await Promise.resolve(holder!);
}

async function countLoads(engines: readonly testHarness.StartedProcess[]): Promise<number> {
  const orders = await fleets.readOrders(engines);
  return orders.filter((order) => order.type === "load_model").length;
}
