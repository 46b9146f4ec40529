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
    await sendOrders(harness, addresses, { perSecond: 50, hasIdempotencyKey: true });
    process.stdout.write(
      "orders/s  key  placed  other  store writes/s  p50 ms  p99 ms (2 entry processes)\n",
    );
    for (const perSecond of ORDERS_PER_SECOND) {
      for (const hasIdempotencyKey of [false, true]) {
        await sendOrders(harness, addresses, {
          perSecond,
          hasIdempotencyKey,
          shouldPrint: true,
        });
      }
    }
  } finally {
    await harness.stop();
  }
}

async function sendOrders(
  harness: standins.TestHarness,
  entryAddresses: readonly string[],
  options: {
    readonly perSecond: number;
    readonly hasIdempotencyKey: boolean;
    readonly shouldPrint?: boolean;
  },
): Promise<void> {
  const { perSecond, hasIdempotencyKey } = options;
  const histogram = hdr.build();
  const writesBefore = await readStoreWriteCount(harness);
  const startedAt = performance.now();
  const calls: Promise<void>[] = [];
  let placedCount = 0;
  let otherCount = 0;
  const orderCount = Math.round(perSecond * DURATION_MS / 1000);
  for (let index = 0; index < orderCount; index++) {
    const dueAt = startedAt + index * 1000 / perSecond;
    await standins.waitFor(Math.max(0, dueAt - performance.now()));
    calls.push((async () => {
      const sentAt = performance.now();
      const key = `${perSecond}-${index}-${startedAt}`;
      const answer = await standins.callService(entryAddresses[index % entryAddresses.length]!, {
        method: "POST",
        path: "orders/orders",
        body: { index },
        headers: hasIdempotencyKey ? { "idempotency-key": key } : {},
      });
      if (answer.status === 200) placedCount += 1;
      else otherCount += 1;
      histogram.recordValue(Math.round((performance.now() - sentAt) * 1000));
    })());
  }
  await Promise.all(calls);
  const writesPerSecond = (await readStoreWriteCount(harness) - writesBefore) /
    ((performance.now() - startedAt) / 1000);
  if (!options.shouldPrint) return;
  process.stdout.write(
    `${String(perSecond).padStart(8)}  ${hasIdempotencyKey ? "yes" : " no"}  ` +
      `${String(placedCount).padStart(6)}  ${String(otherCount).padStart(5)}  ${
        writesPerSecond.toFixed(1).padStart(14)
      }  ` +
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
