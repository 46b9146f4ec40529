/**
 * Guards against an entry process that exits, exceeds its memory or descriptors, or no longer
 * answers ordinary callers because of uncontrolled clients. Such tests run one at a time: the peak
 * memory depends on what else uses the processors.
 */

import * as tap from "tap";
import * as undici from "undici";
import * as loads from "./caller_load.ts";
import * as fleets from "./test_fleet.ts";
import * as testHarness from "./test_harness.ts";

const CLIENT_COUNT = 120;
const MEMORY_MB = 200;
const OLD_SPACE_MB = 96;
const MAX_PEAK_MB = 150;
const MAX_FDS = 500;
const RESERVED_FDS = 200;
/** Long enough for the clients to fill the memory, and shorter than the timeout of an order. */
const SERVICE_DELAY_MS = 1_000;
/** After a start, memory falls back from a peak that has nothing to do with load. */
const SETTLE_MS = 1_000;

const LOADS = loads.createLoads((id, kind, framing) => {
  const path = kind === "large_stream" ? "/v1/completions" : "/services/orders/orders";
  return `POST ${path} HTTP/1.1\r\nHost: entry\r\nX-Request-Id: load-${id}\r\n` +
    `X-Workspace: orchard\r\n${framing}\r\n\r\n`;
});

function isRunning({ child }: testHarness.StartedEntry): boolean {
  return child.exitCode === null && child.signalCode === null;
}

/** Sends an ordinary request until it is served, for as long as the process runs. */
async function waitUntilOrdinaryServed(entry: testHarness.StartedEntry): Promise<void> {
  const url = `http://${entry.address}/services/orders/stock/1`;
  while (isRunning(entry)) {
    try {
      const answer = await undici.request(url, { headers: { "x-workspace": "orchard" } });
      await answer.body.dump();
      if (answer.statusCode === 200) return;
    } catch {
      // The connection was closed, or the process has ended.
    }
    await testHarness.waitFor(50);
  }
}

for (const [name, createScript] of Object.entries(LOADS)) {
  tap.t.test(`entry process: ${name}`, async (t) => {
    const harness = new testHarness.TestHarness();
    const load = new loads.CallerLoad();
    t.teardown(() => harness.stop());
    t.teardown(() => load.close());
    const { entries: [entry], services: [service] } = await fleets.startFleet(harness, {
      services: 1,
      nodeFlags: [`--max-old-space-size=${OLD_SPACE_MB}`],
      extraSettings: `limits: { memory_mb: ${MEMORY_MB}, max_fds: ${MAX_FDS} }`,
    });
    await undici.request(`http://${service!.address}/faults`, {
      method: "POST",
      body: JSON.stringify({ delayMs: SERVICE_DELAY_MS }),
    });
    await testHarness.waitFor(SETTLE_MS);
    const pid = entry!.child.pid!;
    loads.resetPeakMemory(pid);
    const idleMb = loads.readPeakMemoryMb(pid);
    await load.run(Number(entry!.address.split(":")[1]), CLIENT_COUNT, createScript);
    const descriptors = isRunning(entry!) ? loads.countDescriptors(pid) : 0;
    await waitUntilOrdinaryServed(entry!);
    load.close();
    await waitUntilOrdinaryServed(entry!);
    t.ok(isRunning(entry!), "the process runs and answers an ordinary request");
    const peakMb = isRunning(entry!) ? loads.readPeakMemoryMb(pid) : Infinity;
    t.comment(`peak ${peakMb} MB, idle ${idleMb} MB, descriptors ${descriptors}`);
    t.ok(peakMb < MAX_PEAK_MB, `peak memory below ${MAX_PEAK_MB} MB`, { peakMb });
    const maxDescriptors = MAX_FDS - RESERVED_FDS;
    t.ok(descriptors <= maxDescriptors, `at most ${maxDescriptors} descriptors`, { descriptors });
  });
}
