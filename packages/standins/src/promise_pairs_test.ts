import * as core from "@peridotvale/core";
import * as tap from "tap";
import * as caller from "./caller.ts";
import * as fleets from "./fleet_bed.ts";
import * as relays from "./relay_standin.ts";
import * as testBed from "./test_bed.ts";

/** A fault that begins, and ends some time later. */
type Fault = "store_outage" | "process_killed" | "zone_cut" | "endpoint_blackholed";

const FAULTS: readonly Fault[] = [
  "store_outage",
  "process_killed",
  "zone_cut",
  "endpoint_blackholed",
];
const SEEDS = [11, 12];
const TRAFFIC_MS = 4_000;
const FAULT_MS = 1_500;
const GENERATION_TOKENS = 60;
/** Tries of a caller whose connection breaks. */
const MAX_TRIES = 60;
const ZONES = ["asahikawa", "furano"] as const;

type TestContext = Parameters<Parameters<typeof tap.t.test>[0]>[0];

interface ZoneBed {
  readonly zone: string;
  entry: testBed.StartedEntry;
  readonly engineRelay: relays.RelayStandin;
  readonly peersRelay: relays.RelayStandin;
  readonly platformRelay: relays.RelayStandin;
  readonly restart: () => Promise<testBed.StartedEntry>;
}

interface SentOrder {
  readonly key: string;
  readonly outcome: string;
}

tap.t.test("two faults at once, mixed traffic", async (t) => {
  const bed = new testBed.TestBed();
  t.teardown(() => bed.stop());
  await bed.startPlatform();
  const zones: ZoneBed[] = [];
  t.teardown(() => stopRelays(zones));
  const services: testBed.Started[] = [];
  for (const zone of ZONES) {
    services.push(await bed.startService(zone));
    await bed.startEngine(zone, ["--base", "15"]);
    zones.push(await startZone(bed, zone));
  }
  await bed.submitManifest(zones[0]!.entry);
  for (const { entry } of zones) await fleets.waitServing(entry);
  let highest = 1;
  for (const [pairIndex, pair] of createPairs().entries()) {
    for (const seed of SEEDS) {
      await t.test(`${pair.join(" and ")}, seed ${seed}`, async (t) => {
        const random = new core.SeededRandom(seed * 100 + pairIndex);
        const until = performance.now() + TRAFFIC_MS;
        const work = [];
        const orders: SentOrder[] = [];
        for (let worker = 0; worker < 6; worker++) {
          work.push(runGenerations(t, zones, { worker, seed, until }));
          work.push(runOrders(zones, { worker, until, orders, name: `${pairIndex}-${seed}` }));
        }
        const faults = pair.map((fault) =>
          runFault(bed, zones, { fault, delayMs: random.next() * 1_000, random })
        );
        const release = await submitNext(bed, zones, highest);
        await Promise.all([...work, ...faults]);
        highest = Math.max(highest, release);
        await checkOrders(t, services, orders);
        await testBed.waitUntil(async () => {
          for (const { entry } of zones) if (await readRelease(entry) < highest) return false;
          return true;
        }, `release ${highest} is in force everywhere`);
        for (const { entry } of zones) await fleets.waitServing(entry);
      });
    }
  }
});

async function startZone(bed: testBed.TestBed, zone: string): Promise<ZoneBed> {
  const engine = await bed.startEngine(zone, ["--base", "15"]);
  const engineRelay = await fleets.startRelay(bed, engine);
  const [platformHost, platformPort] = bed.platform.split(":");
  const platformRelay = new relays.RelayStandin({
    host: platformHost!,
    port: Number(platformPort),
  });
  const platform = await platformRelay.start("127.0.0.1", 0);
  const port = await testBed.getFreePort();
  const peersRelay = new relays.RelayStandin({ host: "127.0.0.1", port });
  const advertised = await peersRelay.start("127.0.0.1", 0);
  const restart = () =>
    bed.startEntry(`${zone}-1`, zone, { platform, peers: `127.0.0.1:${port}`, advertised });
  return { zone, entry: await restart(), engineRelay, peersRelay, platformRelay, restart };
}

async function runFault(
  bed: testBed.TestBed,
  zones: readonly ZoneBed[],
  options: {
    readonly fault: Fault;
    readonly delayMs: number;
    readonly random: core.RandomSource;
  },
): Promise<void> {
  await testBed.waitFor(options.delayMs);
  const zone = zones[Math.floor(options.random.next() * zones.length)]!;
  switch (options.fault) {
    case "store_outage":
      await bed.postPlatform("faults", { down: true });
      await testBed.waitFor(FAULT_MS);
      await bed.postPlatform("faults", {});
      return;
    case "process_killed":
      zone.entry.child.kill("SIGKILL");
      await zone.entry.exited;
      await testBed.waitFor(FAULT_MS / 3);
      zone.entry = await zone.restart();
      return;
    case "zone_cut":
      for (const { peersRelay } of zones) peersRelay.applyFaults({ cut: true });
      zone.platformRelay.applyFaults({ cut: true });
      await testBed.waitFor(FAULT_MS);
      for (const { peersRelay } of zones) peersRelay.applyFaults({});
      zone.platformRelay.applyFaults({});
      return;
    case "endpoint_blackholed":
      zone.engineRelay.applyFaults({ blackholeOpen: true });
      return;
  }
}

/** A caller that resumes its stream at any zone until it is whole or has failed for a reason. */
async function runGenerations(
  t: TestContext,
  zones: readonly ZoneBed[],
  options: { readonly worker: number; readonly seed: number; readonly until: number },
): Promise<void> {
  for (let turn = 0; performance.now() < options.until; turn++) {
    const prompt = `pair ${options.worker} ${turn} [len=${GENERATION_TOKENS}]`;
    const expected = fleets.createExpectedTokens(prompt, options.seed, {
      length: GENERATION_TOKENS,
    });
    const tokens: string[] = [];
    let cursor: string | undefined;
    for (let tries = 0; tries < MAX_TRIES; tries++) {
      const { entry } = zones[(options.worker + tries) % zones.length]!;
      const transcript = await caller.streamCompletion(entry.address, {
        prompt,
        seed: options.seed,
        rank: "patient",
        ...(cursor === undefined ? {} : { cursor }),
      });
      tokens.push(...transcript.tokens);
      cursor = transcript.cursor ?? cursor;
      if (transcript.done) break;
      await testBed.waitFor(50);
    }
    const prefix = expected.slice(0, tokens.length);
    if (JSON.stringify(tokens) !== JSON.stringify(prefix)) t.same(tokens, prefix, prompt);
    else if (tokens.length < GENERATION_TOKENS) t.fail(`${prompt}: only ${tokens.length} tokens`);
  }
}

async function runOrders(
  zones: readonly ZoneBed[],
  options: {
    readonly worker: number;
    readonly until: number;
    readonly orders: SentOrder[];
    readonly name: string;
  },
): Promise<void> {
  for (let turn = 0; performance.now() < options.until; turn++) {
    const key = `${options.name}-${options.worker}-${turn}`;
    const { entry } = zones[(options.worker + turn) % zones.length]!;
    let outcome = "unknown";
    try {
      const answer = await caller.callService(entry.address, {
        method: "POST",
        path: "orders/orders",
        body: { key },
        headers: turn % 2 === 0 ? { "idempotency-key": key } : {},
      });
      const { outcome: told } = answer.body as { readonly outcome?: string };
      outcome = answer.status === 200 ? "completed" : told ?? "unknown";
    } catch {
      // A broken connection tells nothing.
    }
    options.orders.push({ key, outcome });
    await testBed.waitFor(100);
  }
}

async function checkOrders(
  t: TestContext,
  services: readonly testBed.Started[],
  orders: readonly SentOrder[],
): Promise<void> {
  const counts = new Map<string, number>();
  for (const service of services) {
    for (const { body } of await fleets.readServiceLedger(service)) {
      const { key } = JSON.parse(body) as { readonly key: string };
      counts.set(key, (counts.get(key) ?? 0) + 1);
    }
  }
  const wrong = orders.filter(({ key, outcome }) => {
    const count = counts.get(key) ?? 0;
    if (outcome === "completed") return count !== 1;
    return outcome === "not_run" ? count !== 0 : count > 1;
  });
  t.same(wrong, [], `${orders.length} orders`);
}

/** Submits the next release through any zone; returns the release that is in force then. */
async function submitNext(
  bed: testBed.TestBed,
  zones: readonly ZoneBed[],
  current: number,
): Promise<number> {
  const text = testBed.TEST_MANIFEST.replace("release: 1", `release: ${current + 1}`);
  for (const { entry } of zones) {
    try {
      await bed.submitManifest(entry, text);
      return current + 1;
    } catch {
      // A process that is killed or cut off accepts nothing.
    }
  }
  return current;
}

async function readRelease(entry: testBed.StartedEntry): Promise<number> {
  const view = await caller.readJson<{ readonly release?: number }>(
    `http://${entry.operators}/manifest`,
  );
  return view.release ?? 0;
}

function createPairs(): Fault[][] {
  const pairs: Fault[][] = [];
  for (const [index, first] of FAULTS.entries()) {
    for (const second of FAULTS.slice(index + 1)) pairs.push([first, second]);
  }
  return pairs;
}

function stopRelays(zones: readonly ZoneBed[]): void {
  for (const zone of zones) {
    for (const relay of [zone.engineRelay, zone.peersRelay, zone.platformRelay]) relay.stop();
  }
}
