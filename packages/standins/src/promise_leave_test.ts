import * as tap from "tap";
import * as caller from "./caller.ts";
import * as fleets from "./fleet_bed.ts";
import * as testBed from "./test_bed.ts";

/** Time after which a leaving endpoint gets no new work. */
const LEAVE_BOUND_MS = 3_000;
const ENGINE = ["--base", "4"];

tap.t.test("a leaving endpoint gets no new work at any entry process", async (t) => {
  const bed = new testBed.TestBed();
  t.teardown(() => bed.stop());
  const { engines, entries } = await fleets.startFleet(bed, {
    engines: [ENGINE, ENGINE, ENGINE, ENGINE],
    entries: ["asahikawa", "asahikawa", "asahikawa"],
  });

  await t.test("by the VM list", async (t) => {
    const index = bed.vms.findIndex((line) => line.address === engines[0]!.address);
    bed.vms[index] = { ...bed.vms[index]!, state: "leaving" };
    await bed.sendVms();
    await testBed.waitFor(LEAVE_BOUND_MS);
    t.equal(await countNewWork(engines[0]!, entries), 0);
  });

  await t.test("by its own word, with the VM list lagging and the store down", async (t) => {
    await bed.postPlatform("faults", { down: true });
    const long = caller.streamCompletion(entries[0]!.address, { prompt: "long [len=600]" });
    await testBed.waitFor(200);
    engines[1]!.child.kill("SIGTERM");
    await testBed.waitFor(LEAVE_BOUND_MS);
    t.equal(await countNewWork(engines[1]!, entries), 0);
    t.ok((await long).done, "an open generation ends");
    await bed.postPlatform("faults", {});
  });

  await t.test("by failing: its requests are served elsewhere", async (t) => {
    engines[2]!.child.kill("SIGKILL");
    const transcripts = await Promise.all(
      Array.from(
        { length: 30 },
        (_, index) =>
          caller.streamCompletion(entries[index % 3]!.address, { prompt: `x${index} [len=5]` }),
      ),
    );
    for (const transcript of transcripts) t.ok(transcript.done);
  });
});

tap.t.test("a leaving plain service gets no new calls", async (t) => {
  const bed = new testBed.TestBed();
  t.teardown(() => bed.stop());
  const { services: [leaving, staying], entries } = await fleets.startFleet(bed, {
    engines: [],
    services: 2,
    entries: ["asahikawa", "asahikawa"],
  });
  const placeMany = () =>
    Promise.all(
      Array.from({ length: 20 }, (_, index) =>
        caller.callService(entries[index % 2]!.address, {
          method: "POST",
          path: "orders/orders",
          body: { index },
        })),
    );
  await placeMany();
  t.ok((await fleets.readServiceLedger(leaving!)).length > 0, "it gets calls at first");
  const index = bed.vms.findIndex((line) => line.address === leaving!.address);
  bed.vms[index] = { ...bed.vms[index]!, state: "leaving" };
  await bed.sendVms();
  await testBed.waitFor(LEAVE_BOUND_MS);
  const before = (await fleets.readServiceLedger(leaving!)).length;
  const answers = await placeMany();
  for (const answer of answers) t.equal(answer.status, 200);
  t.equal((await fleets.readServiceLedger(leaving!)).length, before);
  staying!.child.kill("SIGKILL");
  await staying!.exited;
  const refused = await placeMany();
  for (const answer of refused) {
    t.equal((answer.body as { readonly outcome: string }).outcome, "not_run");
  }
  t.equal((await fleets.readServiceLedger(leaving!)).length, before);
});

tap.t.test("a graceful shutdown cuts no request", async (t) => {
  const bed = new testBed.TestBed();
  t.teardown(() => bed.stop());
  const { entries, services: [service] } = await fleets.startFleet(bed, {
    engines: [ENGINE, ENGINE],
    services: 1,
    entries: ["asahikawa", "asahikawa", "asahikawa", "asahikawa"],
  });
  const callable = entries.slice(0, 3);
  const failures: unknown[] = [];
  let isRunning = true;
  let served = 0;
  const load = Promise.all(Array.from({ length: 12 }, async (_, worker) => {
    for (let turn = 0; isRunning; turn++) {
      const entry = await chooseReady(callable, worker + turn);
      const transcript = await caller.streamCompletion(entry.address, {
        prompt: `${worker}.${turn} [len=40]`,
      });
      const order = await caller.callService((await chooseReady(callable, worker)).address, {
        method: "POST",
        path: "orders/orders",
        body: { worker, turn },
      });
      served += 1;
      if (!transcript.done) failures.push(transcript.problem ?? transcript.error);
      if (order.status !== 200) failures.push(order.body);
    }
  }));
  const long = caller.streamCompletion(entries[0]!.address, { prompt: "long stream [len=900]" });
  await testBed.waitFor(800);
  entries[0]!.child.kill("SIGTERM");
  entries[0]!.child.kill("SIGTERM");
  // A peer without callers of its own dies at the same time; it may own the engines.
  entries[3]!.child.kill("SIGKILL");
  await testBed.waitFor(300);
  entries[1]!.child.kill("SIGTERM");
  t.ok((await long).done, "a long stream ends whole");
  t.equal(await entries[0]!.exited, 0);
  t.equal(await entries[1]!.exited, 0);
  await testBed.waitFor(300);
  isRunning = false;
  await load;
  t.same(failures, []);
  t.ok(served > 12, `${served} requests were served meanwhile`);
  const orders = await fleets.readServiceLedger(service!);
  t.equal(new Set(orders.map((order) => order.body)).size, orders.length, "no order twice");
});

async function countNewWork(
  engine: testBed.Started,
  entries: readonly testBed.StartedEntry[],
): Promise<number> {
  const before = (await fleets.readEngineLedger(engine)).generations.length;
  await Promise.all(Array.from(
    { length: 30 },
    (_, index) =>
      caller.streamCompletion(entries[index % entries.length]!.address, {
        prompt: `n${index} [len=5]`,
      }),
  ));
  return (await fleets.readEngineLedger(engine)).generations.length - before;
}

/** The balancer sends requests only to processes that are ready. */
async function chooseReady(
  entries: readonly testBed.StartedEntry[],
  start: number,
): Promise<testBed.StartedEntry> {
  while (true) {
    for (let offset = 0; offset < entries.length; offset++) {
      const entry = entries[(start + offset) % entries.length]!;
      try {
        const answer = await fetch(`http://${entry.address}/readyz`);
        await answer.arrayBuffer();
        if (answer.status === 200) return entry;
      } catch {
        // A stopped process is not ready.
      }
    }
    await testBed.waitFor(20);
  }
}
