import * as tap from "tap";
import * as caller from "./caller.ts";
import type * as engineStandin from "./engine_standin.ts";
import * as fleets from "./fleet_bed.ts";
import * as relays from "./relay_standin.ts";
import * as testBed from "./test_bed.ts";

interface Status {
  readonly processes: readonly { readonly process: string; readonly state: string }[];
  readonly endpoints: readonly {
    readonly endpoint: string;
    readonly zone: string;
    readonly owner?: string;
  }[];
}

tap.t.test("owners killed, paused and thawed: serving goes on", async (t) => {
  const bed = new testBed.TestBed();
  t.teardown(() => bed.stop());
  const { entries } = await fleets.startFleet(bed, {
    engines: [["--base", "4"], ["--base", "4"]],
    entries: ["asahikawa", "asahikawa", "asahikawa"],
  });

  await t.test("the owner is paused: others use their share, then one takes over", async (t) => {
    const owner = await findOwner(entries);
    const others = entries.filter((entry) => entry !== owner);
    owner.child.kill("SIGSTOP");
    const during = await streamEvery(others);
    for (const transcript of during) t.ok(transcript.done, transcript.problem?.code ?? "served");
    await testBed.waitUntil(async () => {
      const status = await readStatus(others[0]!);
      return status.endpoints.every((entry) => entry.owner !== owner.process);
    }, "another process owns the engines");
    owner.child.kill("SIGCONT");
    await testBed.waitUntil(async () => {
      const status = await readStatus(others[0]!);
      return status.processes.every((entry) => entry.state === "alive");
    }, "the thawed process is alive again");
    for (const transcript of await streamEvery(entries)) t.ok(transcript.done);
  });

  await t.test("the owner is killed", async (t) => {
    const owner = await findOwner(entries);
    const others = entries.filter((entry) => entry !== owner);
    owner.child.kill("SIGKILL");
    for (const transcript of await streamEvery(others)) t.ok(transcript.done);
  });
});

tap.t.test("links between processes that go silent for good are replaced", async (t) => {
  const bed = new testBed.TestBed();
  t.teardown(() => bed.stop());
  await bed.startPlatform();
  await bed.startEngine("asahikawa");
  const peerRelays: relays.RelayStandin[] = [];
  t.teardown(() => {
    for (const relay of peerRelays) relay.stop();
  });
  const entries: testBed.StartedEntry[] = [];
  for (const name of ["asahikawa-1", "asahikawa-2"]) {
    const port = await testBed.getFreePort();
    const relay = new relays.RelayStandin({ host: "127.0.0.1", port });
    peerRelays.push(relay);
    const advertised = await relay.start("127.0.0.1", 0);
    const peers = `127.0.0.1:${port}`;
    entries.push(await bed.startEntry(name, "asahikawa", { peers, advertised }));
  }
  await bed.submitManifest(entries[0]!);
  for (const entry of entries) await fleets.waitServing(entry);
  const owner = await findOwner(entries);
  const other = entries.find((entry) => entry !== owner)!;
  for (const relay of peerRelays) relay.applyFaults({ blackholeOpen: true });
  for (const transcript of await streamEvery([other])) t.ok(transcript.done);
  await testBed.waitUntil(async () => {
    for (const entry of entries) {
      const status = await readStatus(entry);
      const owners = new Set(status.endpoints.map((endpoint) => endpoint.owner));
      if (status.processes.some((process) => process.state !== "alive")) return false;
      if (owners.size !== 1 || !owners.has(owner.process)) return false;
    }
    return true;
  }, "both are alive to each other, and agree on the owner");
  for (const transcript of await streamEvery(entries)) t.ok(transcript.done);
});

tap.t.test("a full zone uses another zone's engines", async (t) => {
  const bed = new testBed.TestBed();
  t.teardown(() => bed.stop());
  const { engines, entries } = await fleets.startFleet(bed, {
    engines: [["--base", "10", "--batch", "2"], ["--base", "10", "--batch", "16"]],
    zones: ["asahikawa", "furano"],
    entries: ["asahikawa", "furano"],
  });
  const transcripts = await Promise.all(Array.from(
    { length: 8 },
    (_, index) =>
      caller.streamCompletion(entries[0]!.address, { prompt: `spill ${index} [len=50]` }),
  ));
  for (const transcript of transcripts) t.ok(transcript.done);
  const ledger = await fleets.readEngineLedger(engines[1]!);
  t.ok(ledger.generations.length >= 6, "the other zone has served the rest");
});

tap.t.test("a copy too many is unloaded under load: nothing is refused", async (t) => {
  const bed = new testBed.TestBed();
  t.teardown(() => bed.stop());
  const { engines, entries } = await fleets.startFleet(bed, {
    engines: [["--base", "4"], ["--base", "4"], ["--base", "4"]],
    manifest: testBed.TEST_MANIFEST.replace("replicas: 2", "replicas: 3"),
  });
  await bed.submitManifest(entries[0]!, testBed.TEST_MANIFEST.replace("release: 1", "release: 2"));
  const hasUnloaded = async () =>
    (await readOrders(engines)).some((order) => order.type === "unload_model");
  let served = 0;
  for (let round = 0; round < 200 && !(await hasUnloaded()); round++) {
    for (const transcript of await streamEvery(entries)) {
      served += 1;
      if (!transcript.done) t.fail(transcript.problem?.code ?? "no end");
    }
  }
  t.ok(await hasUnloaded(), `${served} requests were served meanwhile`);
  for (let round = 0; round < 10; round++) {
    for (const transcript of await streamEvery(entries)) {
      if (!transcript.done) t.fail(transcript.problem?.code ?? "no end");
    }
  }
});

for (const fencing of [true, false]) {
  tap.t.test(`orders by one holder, engines ${fencing ? "check" : "ignore"} fencing`, async (t) => {
    const bed = new testBed.TestBed();
    t.teardown(() => bed.stop());
    const options = fencing ? ["--fencing"] : [];
    const manifest = testBed.TEST_MANIFEST.replace("replicas: 2", "replicas: 3") +
      `engines: { fencing: ${fencing}, max_concurrent_loads: 1 }\n`;
    const { engines, entries } = await fleets.startFleet(bed, {
      engines: [options, [...options, "--models", ""], [...options, "--models", ""]],
      entries: ["asahikawa", "asahikawa"],
      manifest,
    });
    await testBed.waitUntil(
      async () => (await countLoads(engines)) === 2,
      "both empty engines were ordered to load",
    );
    const first = await findHolder(entries);
    const second = entries.find((entry) => entry !== first)!;
    first.child.kill("SIGSTOP");
    await testBed.waitUntil(
      () => second.lines.some((line) => line.includes("event=lease_acquired")),
      "the other process holds the lease",
      20_000,
    );
    const newer = manifest.replace("release: 1", "release: 2").replace(
      "version: v1",
      "version: v2",
    );
    await bed.submitManifest(second, newer);
    await testBed.waitUntil(
      async () => (await readOrders(engines)).length > 2,
      "the new holder orders",
      20_000,
    );
    first.child.kill("SIGCONT");
    await testBed.waitUntil(
      async () => (await readOrders(engines)).filter((order) => order.accepted).length >= 5,
      "all three engines were ordered to load the new version",
      20_000,
    );
    const orders = (await readOrders(engines)).sort((a, b) => a.at - b.at);
    let highest = 0;
    for (const order of orders) {
      if (!order.accepted) continue;
      t.ok(order.fencing >= highest, "no order of an earlier holder after a later one's");
      highest = Math.max(highest, order.fencing);
    }
  });
}

async function streamEvery(
  entries: readonly testBed.StartedEntry[],
): Promise<caller.Transcript[]> {
  return await Promise.all(Array.from(
    { length: 12 },
    (_, index) =>
      caller.streamCompletion(entries[index % entries.length]!.address, {
        prompt: `every ${index} [len=20]`,
        rank: "patient",
      }),
  ));
}

async function findOwner(
  entries: readonly testBed.StartedEntry[],
): Promise<testBed.StartedEntry> {
  const status = await readStatus(entries[0]!);
  const { owner } = status.endpoints[0]!;
  return entries.find((entry) => entry.process === owner)!;
}

async function findHolder(
  entries: readonly testBed.StartedEntry[],
): Promise<testBed.StartedEntry> {
  let holder: testBed.StartedEntry | undefined;
  let latest = "";
  for (const entry of entries) {
    for (const line of entry.lines) {
      if (!line.includes("event=order_sent") || line < latest) continue;
      latest = line;
      holder = entry;
    }
  }
  return await Promise.resolve(holder!);
}

async function readStatus(entry: testBed.StartedEntry): Promise<Status> {
  return await caller.readJson<Status>(`http://${entry.operators}/status`);
}

async function readOrders(
  engines: readonly testBed.Started[],
): Promise<engineStandin.OrderLedgerEntry[]> {
  const orders: engineStandin.OrderLedgerEntry[] = [];
  for (const engine of engines) orders.push(...(await fleets.readEngineLedger(engine)).orders);
  return orders;
}

async function countLoads(engines: readonly testBed.Started[]): Promise<number> {
  const orders = await readOrders(engines);
  return orders.filter((order) => order.type === "load_model").length;
}
