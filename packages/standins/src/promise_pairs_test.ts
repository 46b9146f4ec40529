/**
 * Injects each pair of faults, with two seeds, under mixed traffic in two zones. Streams must yield
 * exactly the expected tokens, each order's outcome must match the service's ledger, and the newest
 * release must be in force everywhere afterwards.
 */

import * as core from "@peridotvale/core";
import * as tap from "tap";
import * as caller from "./caller.ts";
import * as fleets from "./test_fleet.ts";
import * as relays from "./relay_standin.ts";
import * as testHarness from "./test_harness.ts";

type Fault = "store_outage" | "process_killed" | "zone_cut" | "endpoint_blackholed";

const FAULTS: readonly Fault[] = [
  "store_outage",
  "process_killed",
  "zone_cut",
  "endpoint_blackholed",
];
const SEEDS = [11, 12];
const TRAFFIC_DURATION_MS = 4_000;
const FAULT_DURATION_MS = 1_500;
const GENERATION_TOKENS = 60;
/** Maximum number of requests by which a caller starts and resumes one stream. */
const MAX_ATTEMPTS_PER_STREAM = 60;
const ZONES = ["asahikawa", "furano"] as const;

type TestContext = Parameters<Parameters<typeof tap.t.test>[0]>[0];

interface ZoneFleet {
  readonly zone: string;
  entry: testHarness.StartedEntry;
  readonly engineRelay: relays.RelayStandin;
  readonly peersRelay: relays.RelayStandin;
  readonly platformRelay: relays.RelayStandin;
  readonly startEntry: () => Promise<testHarness.StartedEntry>;
}

interface OrderResult {
  readonly key: string;
  readonly outcome: string;
}

tap.t.test("two simultaneous faults: tokens, orders and releases stay correct", async (t) => {
  const harness = new testHarness.TestHarness();
  t.teardown(() => harness.stop());
  await harness.startPlatform();
  const zones: ZoneFleet[] = [];
  t.teardown(() => stopRelays(zones));
  const services: testHarness.StartedProcess[] = [];
  for (const zone of ZONES) {
    services.push(await harness.startService(zone));
    await harness.startEngine(zone, ["--base", "15"]);
    zones.push(await startZone(harness, zone));
  }
  await harness.submitManifest(zones[0]!.entry);
  for (const { entry } of zones) await fleets.waitServing(entry);
  let latestRelease = 1;
  for (const [pairIndex, pair] of createPairs().entries()) {
    for (const seed of SEEDS) {
      await t.test(`${pair.join(" and ")}, seed ${seed}`, async (t) => {
        const random = new core.SeededRandom(seed * 100 + pairIndex);
        const endAt = performance.now() + TRAFFIC_DURATION_MS;
        const workers = [];
        const orders: OrderResult[] = [];
        for (let worker = 0; worker < 6; worker++) {
          workers.push(runGenerations(t, zones, { worker, seed, endAt }));
          workers.push(
            runOrders(zones, { worker, endAt, orders, keyPrefix: `${pairIndex}-${seed}` }),
          );
        }
        const faults = pair.map((fault) =>
          runFault(harness, zones, { fault, delayMs: random.next() * 1_000, random })
        );
        const release = await submitNextRelease(harness, zones, latestRelease);
        await Promise.all([...workers, ...faults]);
        latestRelease = Math.max(latestRelease, release);
        await checkOrders(t, services, orders);
        await testHarness.waitUntil(async () => {
          for (const { entry } of zones) if (await readRelease(entry) < latestRelease) return false;
          return true;
        }, `release ${latestRelease} is in force everywhere`);
        for (const { entry } of zones) await fleets.waitServing(entry);
      });
    }
  }
});

async function startZone(harness: testHarness.TestHarness, zone: string): Promise<ZoneFleet> {
  const engine = await harness.startEngine(zone, ["--base", "15"]);
  const engineRelay = await fleets.startRelay(harness, engine);
  const [platformHost, platformPort] = harness.platform.split(":");
  const platformRelay = new relays.RelayStandin({
    host: platformHost!,
    port: Number(platformPort),
  });
  const platform = await platformRelay.start("127.0.0.1", 0);
  const port = await testHarness.getFreePort();
  const peersRelay = new relays.RelayStandin({ host: "127.0.0.1", port });
  const advertised = await peersRelay.start("127.0.0.1", 0);
  const startEntry = () =>
    harness.startEntry(`${zone}-1`, zone, { platform, peers: `127.0.0.1:${port}`, advertised });
  return {
    zone,
    entry: await startEntry(),
    engineRelay,
    peersRelay,
    platformRelay,
    startEntry,
  };
}

/**
 * Injects a fault after `delayMs` and ends it after a fixed time. The fault `endpoint_blackholed`
 * affects only the connections that are open at its injection, and is not ended.
 */
async function runFault(
  harness: testHarness.TestHarness,
  zones: readonly ZoneFleet[],
  options: {
    readonly fault: Fault;
    readonly delayMs: number;
    readonly random: core.RandomSource;
  },
): Promise<void> {
  await testHarness.waitFor(options.delayMs);
  const zone = zones[Math.floor(options.random.next() * zones.length)]!;
  switch (options.fault) {
    case "store_outage":
      await harness.postToPlatform("faults", { down: true });
      await testHarness.waitFor(FAULT_DURATION_MS);
      await harness.postToPlatform("faults", {});
      return;
    case "process_killed":
      zone.entry.child.kill("SIGKILL");
      await zone.entry.exited;
      await testHarness.waitFor(FAULT_DURATION_MS / 3);
      zone.entry = await zone.startEntry();
      return;
    case "zone_cut":
      for (const { peersRelay } of zones) peersRelay.applyFaults({ cut: true });
      zone.platformRelay.applyFaults({ cut: true });
      await testHarness.waitFor(FAULT_DURATION_MS);
      for (const { peersRelay } of zones) peersRelay.applyFaults({});
      zone.platformRelay.applyFaults({});
      return;
    case "endpoint_blackholed":
      zone.engineRelay.applyFaults({ blackholeOpenConnections: true });
      return;
  }
}

/** Streams generations, and resumes each at the next zone until it completes. */
async function runGenerations(
  t: TestContext,
  zones: readonly ZoneFleet[],
  options: { readonly worker: number; readonly seed: number; readonly endAt: number },
): Promise<void> {
  for (let round = 0; performance.now() < options.endAt; round++) {
    const prompt = `pair ${options.worker} ${round} [len=${GENERATION_TOKENS}]`;
    const expected = fleets.createExpectedTokens(prompt, options.seed, {
      length: GENERATION_TOKENS,
    });
    const tokens: string[] = [];
    let cursor: string | undefined;
    for (let attempt = 0; attempt < MAX_ATTEMPTS_PER_STREAM; attempt++) {
      const { entry } = zones[(options.worker + attempt) % zones.length]!;
      const transcript = await caller.streamCompletion(entry.address, {
        prompt,
        seed: options.seed,
        rank: "patient",
        ...(cursor === undefined ? {} : { cursor }),
      });
      tokens.push(...transcript.tokens);
      cursor = transcript.cursor ?? cursor;
      if (transcript.done) break;
      await testHarness.waitFor(50);
    }
    const prefix = expected.slice(0, tokens.length);
    if (JSON.stringify(tokens) !== JSON.stringify(prefix)) t.same(tokens, prefix, prompt);
    else if (tokens.length < GENERATION_TOKENS) t.fail(`${prompt}: only ${tokens.length} tokens`);
  }
}

/**
 * Places orders until `endAt`, every second order with an idempotency key, and appends their
 * outcomes to `orders`.
 */
async function runOrders(
  zones: readonly ZoneFleet[],
  options: {
    readonly worker: number;
    readonly endAt: number;
    readonly orders: OrderResult[];
    readonly keyPrefix: string;
  },
): Promise<void> {
  for (let round = 0; performance.now() < options.endAt; round++) {
    const key = `${options.keyPrefix}-${options.worker}-${round}`;
    const { entry } = zones[(options.worker + round) % zones.length]!;
    let outcome = "unknown";
    try {
      const answer = await caller.callService(entry.address, {
        method: "POST",
        path: "orders/orders",
        body: { key },
        headers: round % 2 === 0 ? { "idempotency-key": key } : {},
      });
      const { outcome: reportedOutcome } = answer.body as { readonly outcome?: string };
      outcome = answer.status === 200 ? "completed" : reportedOutcome ?? "unknown";
    } catch {
      // If the connection breaks, the outcome is unknown.
    }
    options.orders.push({ key, outcome });
    await testHarness.waitFor(100);
  }
}

/**
 * Checks how often the services applied each order: exactly once for the outcome `completed`, never
 * for `not_run` and at most once for any other outcome.
 */
async function checkOrders(
  t: TestContext,
  services: readonly testHarness.StartedProcess[],
  orders: readonly OrderResult[],
): Promise<void> {
  const counts = new Map<string, number>();
  for (const service of services) {
    for (const { body } of await fleets.readServiceLedger(service)) {
      const { key } = JSON.parse(body) as { readonly key: string };
      counts.set(key, (counts.get(key) ?? 0) + 1);
    }
  }
  const violations = orders.filter(({ key, outcome }) => {
    const count = counts.get(key) ?? 0;
    if (outcome === "completed") return count !== 1;
    return outcome === "not_run" ? count !== 0 : count > 1;
  });
  t.same(violations, [], `${orders.length} orders`);
}

/**
 * Submits the next release through the first zone that accepts it. Returns the new release, or
 * `current` if no zone accepts it.
 */
async function submitNextRelease(
  harness: testHarness.TestHarness,
  zones: readonly ZoneFleet[],
  current: number,
): Promise<number> {
  const text = testHarness.TEST_MANIFEST.replace("release: 1", `release: ${current + 1}`);
  for (const { entry } of zones) {
    try {
      await harness.submitManifest(entry, text);
      return current + 1;
    } catch {
      // An entry process that is killed or cut off from the platform accepts no manifest.
    }
  }
  return current;
}

async function readRelease(entry: testHarness.StartedEntry): Promise<number> {
  const manifest = await caller.readJson<{ readonly release?: number }>(
    `http://${entry.operators}/manifest`,
  );
  return manifest.release ?? 0;
}

function createPairs(): Fault[][] {
  const pairs: Fault[][] = [];
  for (const [index, first] of FAULTS.entries()) {
    for (const second of FAULTS.slice(index + 1)) pairs.push([first, second]);
  }
  return pairs;
}

function stopRelays(zones: readonly ZoneFleet[]): void {
  for (const zone of zones) {
    for (const relay of [zone.engineRelay, zone.peersRelay, zone.platformRelay]) relay.stop();
  }
}
