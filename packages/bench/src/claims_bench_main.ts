/**
 * The claims bench: measures store writes per second and the latency that claims add, at growing
 * rates of orders with and without an idempotency key.
 */

import * as standins from "@peridotvale/standins";
import * as hdr from "hdr-histogram-js";

const ORDERS_PER_SECOND = [1, 10, 50, 100, 250, 500];
const DURATION_MS = 5_000;
const MANIFEST = standins.TEST_MANIFEST;

await runBench();

async function runBench(): Promise<void> {
  const harness = new standins.TestHarness();
  try {
    const fleet = await standins.startFleet(harness, {
      engines: [],
      services: 1,
      entries: ["asahikawa", "asahikawa"],
      manifest: MANIFEST,
    });
    const addresses = fleet.entries.map((entry) => entry.address);
    await runOrders(harness, addresses, { perSecond: 50, hasKey: true });
    process.stdout.write(
      "orders/s  key  placed  other  store writes/s  p50 ms  p99 ms (2 entry processes)\n",
    );
    for (const perSecond of ORDERS_PER_SECOND) {
      for (const hasKey of [false, true]) {
        await runOrders(harness, addresses, { perSecond, hasKey, print: true });
      }
    }
  } finally {
    await harness.stop();
  }
}

async function runOrders(
  harness: standins.TestHarness,
  addresses: readonly string[],
  options: { readonly perSecond: number; readonly hasKey: boolean; readonly print?: boolean },
): Promise<void> {
  const { perSecond, hasKey } = options;
  const histogram = hdr.build();
  const writesBefore = await readStoreWriteCount(harness);
  const startedAt = performance.now();
  const calls: Promise<void>[] = [];
  let placed = 0;
  let others = 0;
  const orderCount = Math.round(perSecond * DURATION_MS / 1000);
  for (let index = 0; index < orderCount; index++) {
    const dueAt = startedAt + index * 1000 / perSecond;
    await standins.waitFor(Math.max(0, dueAt - performance.now()));
    calls.push((async () => {
      const sentAt = performance.now();
      const key = `${perSecond}-${index}-${startedAt}`;
      const answer = await standins.callService(addresses[index % addresses.length]!, {
        method: "POST",
        path: "orders/orders",
        body: { index },
        headers: hasKey ? { "idempotency-key": key } : {},
      });
      if (answer.status === 200) placed += 1;
      else others += 1;
      histogram.recordValue(Math.round((performance.now() - sentAt) * 1000));
    })());
  }
  await Promise.all(calls);
  const writesPerSecond = (await readStoreWriteCount(harness) - writesBefore) /
    ((performance.now() - startedAt) / 1000);
  if (!options.print) return;
  process.stdout.write(
    `${String(perSecond).padStart(8)}  ${hasKey ? "yes" : " no"}  ${String(placed).padStart(6)}  ` +
      `${String(others).padStart(5)}  ${writesPerSecond.toFixed(1).padStart(14)}  ` +
      `${(histogram.getValueAtPercentile(50) / 1000).toFixed(1).padStart(6)}  ` +
      `${(histogram.getValueAtPercentile(99) / 1000).toFixed(1).padStart(6)}\n`,
  );
}

async function readStoreWriteCount(harness: standins.TestHarness): Promise<number> {
  const counts = await standins.readJson<standins.CallCounts>(
    `http://${harness.platform}/test/counts`,
  );
  return counts.writes;
}
