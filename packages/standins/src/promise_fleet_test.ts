/**
 * Tests failures of a fleet of real processes: killed or paused entry processes that own engines,
 * silent peer links, a zone without free slots and surplus replicas. Serving must continue.
 */

import * as tap from "tap";
import * as caller from "./caller.ts";
import * as fleets from "./test_fleet.ts";
import * as relays from "./relay_standin.ts";
import * as testHarness from "./test_harness.ts";

interface Status {
  readonly processes: readonly { readonly process: string; readonly state: string }[];
  readonly endpoints: readonly {
    readonly endpoint: string;
    readonly zone: string;
    readonly owner?: string;
  }[];
}

tap.t.test("requests are served while engine owners are paused, resumed and killed", async (t) => {
  const harness = new testHarness.TestHarness();
  t.teardown(() => harness.stop());
  const { entries } = await fleets.startFleet(harness, {
    engines: [["--base", "4"], ["--base", "4"]],
    entries: ["asahikawa", "asahikawa", "asahikawa"],
  });

  await t.test("owner paused: the others serve, and one takes over its engines", async (t) => {
    const owner = await findOwner(entries);
    const others = entries.filter((entry) => entry !== owner);
    owner.child.kill("SIGSTOP");
    const answers = await sendGenerations(others);
    for (const transcript of answers) t.ok(transcript.done, transcript.problem?.code ?? "served");
    await testHarness.waitUntil(async () => {
      const status = await readStatus(others[0]!);
      return status.endpoints.every((entry) => entry.owner !== owner.process);
    }, "another process owns the engines");
    owner.child.kill("SIGCONT");
    await testHarness.waitUntil(async () => {
      const status = await readStatus(others[0]!);
      return status.processes.every((entry) => entry.state === "alive");
    }, "the resumed process is alive again");
    for (const transcript of await sendGenerations(entries)) t.ok(transcript.done);
  });

  await t.test("owner killed: other processes serve requests", async (t) => {
    const owner = await findOwner(entries);
    const others = entries.filter((entry) => entry !== owner);
    owner.child.kill("SIGKILL");
    for (const transcript of await sendGenerations(others)) t.ok(transcript.done);
  });
});

tap.t.test("peer links that go silent are replaced by new connections", async (t) => {
  const harness = new testHarness.TestHarness();
  t.teardown(() => harness.stop());
  await harness.startPlatform();
  await harness.startEngine("asahikawa");
  const peerRelays: relays.RelayStandin[] = [];
  t.teardown(() => {
    for (const relay of peerRelays) relay.stop();
  });
  const entries: testHarness.StartedEntry[] = [];
  for (const name of ["asahikawa-1", "asahikawa-2"]) {
    const port = await testHarness.getFreePort();
    const relay = new relays.RelayStandin({ host: "127.0.0.1", port });
    peerRelays.push(relay);
    const advertised = await relay.start("127.0.0.1", 0);
    const peers = `127.0.0.1:${port}`;
    entries.push(await harness.startEntry(name, "asahikawa", { peers, advertised }));
  }
  await harness.submitManifest(entries[0]!);
  for (const entry of entries) await fleets.waitServing(entry);
  const owner = await findOwner(entries);
  const nonOwner = entries.find((entry) => entry !== owner)!;
  for (const relay of peerRelays) relay.applyFaults({ blackholeOpenConnections: true });
  for (const transcript of await sendGenerations([nonOwner])) t.ok(transcript.done);
  await testHarness.waitUntil(async () => {
    for (const entry of entries) {
      const status = await readStatus(entry);
      const owners = new Set(status.endpoints.map((endpoint) => endpoint.owner));
      if (status.processes.some((process) => process.state !== "alive")) return false;
      if (owners.size !== 1 || !owners.has(owner.process)) return false;
    }
    return true;
  }, "each process lists the other as alive, and both report the same owner");
  for (const transcript of await sendGenerations(entries)) t.ok(transcript.done);
});

tap.t.test("a zone without free slots sends requests to another zone's engines", async (t) => {
  const harness = new testHarness.TestHarness();
  t.teardown(() => harness.stop());
  const { engines, entries } = await fleets.startFleet(harness, {
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
  t.ok(ledger.generations.length >= 6, "the other zone has served the remaining requests");
});

// A copy is a replica of the model. Release 2 reduces the replicas from 3 to 2, so that one
// replica is surplus and is unloaded while requests run.
tap.t.test("a copy too many is unloaded under load: nothing is refused", async (t) => {
  const harness = new testHarness.TestHarness();
  t.teardown(() => harness.stop());
  const { engines, entries } = await fleets.startFleet(harness, {
    engines: [["--base", "4"], ["--base", "4"], ["--base", "4"]],
    manifest: testHarness.TEST_MANIFEST.replace("replicas: 2", "replicas: 3"),
  });
  await harness.submitManifest(
    entries[0]!,
    testHarness.TEST_MANIFEST.replace("release: 1", "release: 2"),
  );
  const hasUnloaded = async () =>
    (await fleets.readOrders(engines)).some((order) => order.type === "unload_model");
  let requestCount = 0;
  for (let round = 0; round < 200 && !(await hasUnloaded()); round++) {
    for (const transcript of await sendGenerations(entries)) {
      requestCount += 1;
      if (!transcript.done) t.fail(transcript.problem?.code ?? "stream is incomplete");
    }
  }
  t.ok(await hasUnloaded(), `${requestCount} requests were served until the unload`);
  for (let round = 0; round < 10; round++) {
    for (const transcript of await sendGenerations(entries)) {
      if (!transcript.done) t.fail(transcript.problem?.code ?? "stream is incomplete");
    }
  }
});

async function sendGenerations(
  entries: readonly testHarness.StartedEntry[],
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
  entries: readonly testHarness.StartedEntry[],
): Promise<testHarness.StartedEntry> {
  const status = await readStatus(entries[0]!);
  const { owner } = status.endpoints[0]!;
  return entries.find((entry) => entry.process === owner)!;
}

async function readStatus(entry: testHarness.StartedEntry): Promise<Status> {
  return await caller.readJson<Status>(`http://${entry.operators}/status`);
}
