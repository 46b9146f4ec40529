/** Writes a second to the store, and latency that claims add, as orders a second grow. */

import * as standins from "@peridotvale/standins";
import * as hdr from "hdr-histogram-js";

const RATES = [1, 10, 50, 100, 250, 500];
const DURATION_MS = 5_000;
const MANIFEST = standins.TEST_MANIFEST;

await runBench();

async function runBench(): Promise<void> {
  const bed = new standins.TestBed();
  try {
    const fleet = await standins.startFleet(bed, {
      engines: [],
      services: 1,
      entries: ["asahikawa", "asahikawa"],
      manifest: MANIFEST,
    });
    const addresses = fleet.entries.map((entry) => entry.address);
    await runRate(bed, addresses, { perSecond: 50, keyed: true });
    process.stdout.write(
      "orders/s  key  placed  other  store writes/s  p50 ms  p99 ms (2 entry processes)\n",
    );
    for (const perSecond of RATES) {
      for (const keyed of [false, true]) {
        await runRate(bed, addresses, { perSecond, keyed, print: true });
      }
    }
  } finally {
    await bed.stop();
  }
}

async function runRate(
  bed: standins.TestBed,
  addresses: readonly string[],
  options: { readonly perSecond: number; readonly keyed: boolean; readonly print?: boolean },
): Promise<void> {
  const { perSecond, keyed } = options;
  const histogram = hdr.build();
  const before = await readWrites(bed);
  const startedAt = performance.now();
  const open: Promise<void>[] = [];
  let placed = 0;
  let other = 0;
  const count = Math.round(perSecond * DURATION_MS / 1000);
  for (let index = 0; index < count; index++) {
    const dueAt = startedAt + index * 1000 / perSecond;
    await standins.waitFor(Math.max(0, dueAt - performance.now()));
    open.push((async () => {
      const sentAt = performance.now();
      const key = `${perSecond}-${index}-${startedAt}`;
      const answer = await standins.callService(addresses[index % addresses.length]!, {
        method: "POST",
        path: "orders/orders",
        body: { index },
        headers: keyed ? { "idempotency-key": key } : {},
      });
      if (answer.status === 200) placed += 1;
      else other += 1;
      histogram.recordValue(Math.round((performance.now() - sentAt) * 1000));
    })());
  }
  await Promise.all(open);
  const writes = (await readWrites(bed) - before) / ((performance.now() - startedAt) / 1000);
  if (!options.print) return;
  process.stdout.write(
    `${String(perSecond).padStart(8)}  ${keyed ? "yes" : " no"}  ${String(placed).padStart(6)}  ` +
      `${String(other).padStart(5)}  ${writes.toFixed(1).padStart(14)}  ` +
      `${(histogram.getValueAtPercentile(50) / 1000).toFixed(1).padStart(6)}  ` +
      `${(histogram.getValueAtPercentile(99) / 1000).toFixed(1).padStart(6)}\n`,
  );
}

async function readWrites(bed: standins.TestBed): Promise<number> {
  const counts = await standins.readJson<standins.CallCounts>(
    `http://${bed.platform}/test/counts`,
  );
  return counts.writes;
}
