/**
 * Checks how endpoints and entry processes leave. After {@link LEAVE_NOTICE_BOUND_MS}, a leaving
 * endpoint must get no new work, whichever way the fleet learns that it leaves. A graceful
 * shutdown must complete all open requests.
 */

import * as tap from "tap";
import * as caller from "./caller.ts";
import * as fleets from "./test_fleet.ts";
import * as testHarness from "./test_harness.ts";

/** Time within which every entry process stops sending new work to a leaving endpoint. */
const LEAVE_NOTICE_BOUND_MS = 3_000;
const ENGINE_ARGS = ["--base", "4"];

tap.t.test("a leaving endpoint gets no new work at any entry process", async (t) => {
  const harness = new testHarness.TestHarness();
  t.teardown(() => harness.stop());
  const { engines, entries } = await fleets.startFleet(harness, {
    engines: [ENGINE_ARGS, ENGINE_ARGS, ENGINE_ARGS, ENGINE_ARGS],
    entries: ["asahikawa", "asahikawa", "asahikawa"],
  });

  await t.test("leave announced by the VM list: the engine gets no new work", async (t) => {
    const index = harness.vms.findIndex((vm) => vm.address === engines[0]!.address);
    harness.vms[index] = { ...harness.vms[index]!, state: "leaving" };
    await harness.sendVms();
    await testHarness.waitFor(LEAVE_NOTICE_BOUND_MS);
    t.equal(await countNewWork(engines[0]!, entries), 0);
  });

  await t.test("leave announced by the engine only, store down: it gets no new work", async (t) => {
    await harness.postToPlatform("faults", { down: true });
    const openStream = caller.streamCompletion(entries[0]!.address, { prompt: "long [len=600]" });
    await testHarness.waitFor(200);
    engines[1]!.child.kill("SIGTERM");
    await testHarness.waitFor(LEAVE_NOTICE_BOUND_MS);
    t.equal(await countNewWork(engines[1]!, entries), 0);
    t.ok((await openStream).done, "an open generation completes");
    await harness.postToPlatform("faults", {});
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
  const harness = new testHarness.TestHarness();
  t.teardown(() => harness.stop());
  const { services: [leaving, staying], entries } = await fleets.startFleet(harness, {
    engines: [],
    services: 2,
    entries: ["asahikawa", "asahikawa"],
  });
  const placeOrders = () =>
    Promise.all(
      Array.from({ length: 20 }, (_, index) =>
        caller.callService(entries[index % 2]!.address, {
          method: "POST",
          path: "orders/orders",
          body: { index },
        })),
    );
  await placeOrders();
  t.ok((await fleets.readServiceLedger(leaving!)).length > 0, "it gets calls before it leaves");
  const index = harness.vms.findIndex((vm) => vm.address === leaving!.address);
  harness.vms[index] = { ...harness.vms[index]!, state: "leaving" };
  await harness.sendVms();
  await testHarness.waitFor(LEAVE_NOTICE_BOUND_MS);
  const before = (await fleets.readServiceLedger(leaving!)).length;
  const answers = await placeOrders();
  for (const answer of answers) t.equal(answer.status, 200);
  t.equal((await fleets.readServiceLedger(leaving!)).length, before);
  staying!.child.kill("SIGKILL");
  await staying!.exited;
  const refusedAnswers = await placeOrders();
  for (const answer of refusedAnswers) {
    t.equal((answer.body as { readonly outcome: string }).outcome, "not_run");
  }
  t.equal((await fleets.readServiceLedger(leaving!)).length, before);
});

tap.t.test("a graceful shutdown completes all open requests", async (t) => {
  const harness = new testHarness.TestHarness();
  t.teardown(() => harness.stop());
  const { entries, services: [service] } = await fleets.startFleet(harness, {
    engines: [ENGINE_ARGS, ENGINE_ARGS],
    services: 1,
    entries: ["asahikawa", "asahikawa", "asahikawa", "asahikawa"],
  });
  const calledEntries = entries.slice(0, 3);
  const failures: unknown[] = [];
  let isRunning = true;
  let completedRounds = 0;
  const load = Promise.all(Array.from({ length: 12 }, async (_, worker) => {
    for (let round = 0; isRunning; round++) {
      const entry = await chooseReady(calledEntries, worker + round);
      const transcript = await caller.streamCompletion(entry.address, {
        prompt: `${worker}.${round} [len=40]`,
      });
      const order = await caller.callService((await chooseReady(calledEntries, worker)).address, {
        method: "POST",
        path: "orders/orders",
        body: { worker, turn: round },
      });
      completedRounds += 1;
      if (!transcript.done) failures.push(transcript.problem ?? transcript.error);
      if (order.status !== 200) failures.push(order.body);
    }
  }));
  const openStream = caller.streamCompletion(entries[0]!.address, {
    prompt: "long stream [len=900]",
  });
  await testHarness.waitFor(800);
  entries[0]!.child.kill("SIGTERM");
  entries[0]!.child.kill("SIGTERM");
  // Also kills the entry process that gets no requests. If it owns the engines, their owner changes
  // during the shutdown.
  entries[3]!.child.kill("SIGKILL");
  await testHarness.waitFor(300);
  entries[1]!.child.kill("SIGTERM");
  t.ok((await openStream).done, "a long stream completes");
  t.equal(await entries[0]!.exited, 0);
  t.equal(await entries[1]!.exited, 0);
  await testHarness.waitFor(300);
  isRunning = false;
  await load;
  t.same(failures, []);
  t.ok(
    completedRounds > 12,
    `${completedRounds} rounds of requests completed during the shutdowns`,
  );
  const orders = await fleets.readServiceLedger(service!);
  t.equal(
    new Set(orders.map((order) => order.body)).size,
    orders.length,
    "no order is applied twice",
  );
});

/** Sends generations to all entry processes and counts those that reach `engine`. */
async function countNewWork(
  engine: testHarness.StartedProcess,
  entries: readonly testHarness.StartedEntry[],
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

/** Chooses the next ready process, as a load balancer with readiness checks does. */
async function chooseReady(
  entries: readonly testHarness.StartedEntry[],
  startIndex: number,
): Promise<testHarness.StartedEntry> {
  while (true) {
    for (let offset = 0; offset < entries.length; offset++) {
      const entry = entries[(startIndex + offset) % entries.length]!;
      try {
        const answer = await fetch(`http://${entry.address}/readyz`);
        await answer.arrayBuffer();
        if (answer.status === 200) return entry;
      } catch {
        // A process that has exited is not ready.
      }
    }
    await testHarness.waitFor(20);
  }
}
