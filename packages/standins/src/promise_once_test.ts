/**
 * Checks that no order is applied twice. After the service has applied an order, its answer can be
 * lost, delayed, truncated or carry another request's id. The entry process must then report the
 * outcome `unknown` instead of retrying, and must never return another request's answer.
 */

import * as tap from "tap";
import * as caller from "./caller.ts";
import * as fleets from "./test_fleet.ts";
import * as testHarness from "./test_harness.ts";

interface ServiceAnswer {
  readonly status: number;
  readonly body: { readonly code?: string; readonly outcome?: string; readonly order?: number };
  readonly headers: Readonly<Record<string, string>>;
}

tap.t.test("no order is applied twice when the service fails", async (t) => {
  const harness = new testHarness.TestHarness();
  t.teardown(() => harness.stop());
  const { services: [service], entries: [entry] } = await fleets.startFleet(harness, {
    engines: [],
    services: 1,
  });
  const sendOrder = (key?: string, body: unknown = { nets: 2 }) =>
    placeOrder(entry!.address, { key, body });

  await t.test("answer lost after the order was applied: outcome unknown, no retry", async (t) => {
    await fleets.applyFaults(service!, { dropAnswers: 1 });
    const before = await countOrders(service!);
    const answer = await sendOrder();
    t.equal(answer.body.outcome, "unknown");
    t.equal(await countOrders(service!), before + 1);
  });

  await t.test("answer with another request's id: outcome unknown, not forwarded", async (t) => {
    await fleets.applyFaults(service!, { crossAnswers: 1 });
    const before = await countOrders(service!);
    const answer = await sendOrder();
    t.equal(answer.body.outcome, "unknown");
    t.equal(answer.body.order, undefined);
    t.equal(await countOrders(service!), before + 1);
  });

  await t.test("truncated answer: outcome unknown, not returned as complete", async (t) => {
    await fleets.applyFaults(service!, { truncateAnswers: 1 });
    const answer = await sendOrder();
    t.equal(answer.body.outcome, "unknown");
  });

  await t.test("answer after the timeout: not given to a later request", async (t) => {
    await fleets.applyFaults(service!, { delayMs: 1_800 });
    const lateAnswer = await sendOrder();
    t.equal(lateAnswer.body.outcome, "unknown");
    await fleets.applyFaults(service!, {});
    const answers = await Promise.all(
      Array.from(
        { length: 10 },
        (_, index) =>
          caller.callService(entry!.address, { method: "GET", path: `orders/stock/${index}` }),
      ),
    );
    for (const [index, answer] of answers.entries()) {
      t.equal((answer.body as { readonly path: string }).path, `/stock/${index}`);
    }
  });

  await t.test("endpoint reports an order as not run: the order is retried", async (t) => {
    await fleets.applyFaults(service!, { notRun: 1 });
    const before = await countOrders(service!);
    const answer = await sendOrder();
    t.equal(answer.status, 200);
    t.equal(await countOrders(service!), before + 1);
  });

  await t.test("answer to a read lost: the read is retried", async (t) => {
    await fleets.applyFaults(service!, { dropAnswers: 1 });
    const answer = await caller.callService(entry!.address, {
      method: "GET",
      path: "orders/stock/7",
    });
    t.equal(answer.status, 200);
  });

  await t.test("endpoint paused: outcome unknown; endpoint killed: not_run", async (t) => {
    await fleets.applyFaults(service!, {});
    const before = await countOrders(service!);
    service!.child.kill("SIGSTOP");
    const answerWhilePaused = await sendOrder();
    t.equal(
      answerWhilePaused.body.outcome,
      "unknown",
      "the request was written to an open connection, so it may still run",
    );
    service!.child.kill("SIGCONT");
    await testHarness.waitUntil(
      async () => (await countOrders(service!)) === before + 1,
      "the paused service has applied the order once",
    );
    service!.child.kill("SIGKILL");
    await service!.exited;
    const answer = await sendOrder();
    t.equal(answer.body.outcome, "not_run");
  });
});

tap.t.test("orders with an idempotency key run once across two entry processes", async (t) => {
  const harness = new testHarness.TestHarness();
  t.teardown(() => harness.stop());
  const { services: [service], entries: [first, second] } = await fleets.startFleet(harness, {
    engines: [],
    services: 1,
    entries: ["asahikawa", "asahikawa"],
  });

  await t.test("concurrent and later retries at both processes: run once", async (t) => {
    const before = await countOrders(service!);
    const concurrentAnswers = await Promise.all([
      placeOrder(first!.address, { key: "k1" }),
      placeOrder(second!.address, { key: "k1" }),
      placeOrder(first!.address, { key: "k1" }),
    ]);
    const laterAnswer = await placeOrder(second!.address, { key: "k1" });
    for (const answer of [...concurrentAnswers, laterAnswer]) {
      t.equal(answer.status, 200);
      t.equal(answer.body.order, before + 1);
    }
    t.equal(laterAnswer.headers["idempotent-replayed"], "true");
    t.equal(await countOrders(service!), before + 1);
  });

  await t.test("same key with another body: refused", async (t) => {
    const before = await countOrders(service!);
    const answer = await placeOrder(second!.address, { key: "k1", body: { nets: 99 } });
    t.equal(answer.status, 422);
    t.equal(answer.body.outcome, "not_run");
    t.equal(await countOrders(service!), before);
  });

  await t.test("answer lost: a retry with the same key reports outcome unknown", async (t) => {
    const before = await countOrders(service!);
    await fleets.applyFaults(service!, { dropAnswers: 1 });
    const answer = await placeOrder(first!.address, { key: "k2" });
    const retry = await placeOrder(second!.address, { key: "k2" });
    t.equal(answer.body.outcome, "unknown");
    t.equal(retry.body.outcome, "unknown");
    t.equal(await countOrders(service!), before + 1);
  });

  await t.test("store writes the claim, but its answer is lost: the order runs once", async (t) => {
    const before = await countOrders(service!);
    await harness.postToPlatform("faults", { dropAnswers: 1 });
    const answer = await placeOrder(first!.address, { key: "k3" });
    t.equal(answer.status, 200);
    t.equal(await countOrders(service!), before + 1);
  });

  await t.test("store down: an order with a key is refused, one without a key runs", async (t) => {
    const before = await countOrders(service!);
    await harness.postToPlatform("faults", { down: true });
    const answer = await placeOrder(first!.address, { key: "k4" });
    t.equal(answer.body.code, "claim_unavailable");
    t.equal(answer.body.outcome, "not_run");
    t.equal(await countOrders(service!), before);
    const keylessAnswer = await placeOrder(first!.address, {});
    t.equal(keylessAnswer.status, 200);
    await harness.postToPlatform("faults", {});
    await testHarness.waitUntil(
      async () => (await placeOrder(second!.address, { key: "k4" })).status === 200,
      "the key can be used after the outage",
    );
    t.equal(await countOrders(service!), before + 2);
  });

  await t.test("store slow or timing out: the order runs once or is refused", async (t) => {
    for (const [index, delayMs] of [300, 800].entries()) {
      const before = await countOrders(service!);
      await harness.postToPlatform("faults", { delayMs });
      const answer = await placeOrder(first!.address, { key: `slow-${index}` });
      await harness.postToPlatform("faults", {});
      const applied = await countOrders(service!) - before;
      t.equal(applied, answer.status === 200 ? 1 : 0, `${delayMs} ms: status ${answer.status}`);
      if (answer.status !== 200) t.equal(answer.body.outcome, "not_run");
    }
  });

  await t.test("claim holder killed before its answer: the order is not run again", async (t) => {
    await fleets.applyFaults(service!, { delayMs: 600 });
    const before = await countOrders(service!);
    const pendingOrder = placeOrder(first!.address, { key: "k5" }).catch(() => undefined);
    await testHarness.waitUntil(
      async () => (await countOrders(service!)) === before + 1,
      "applied",
    );
    first!.child.kill("SIGKILL");
    await pendingOrder;
    await fleets.applyFaults(service!, {});
    const retry = await placeOrder(second!.address, { key: "k5" });
    t.equal(retry.body.outcome, "unknown");
    t.equal(await countOrders(service!), before + 1);
  });

  await t.test("claim holder paused beyond all timeouts: the order runs once", async (t) => {
    await fleets.applyFaults(service!, { delayMs: 300 });
    const before = await countOrders(service!);
    const pendingOrder = placeOrder(second!.address, { key: "k6" }).catch(() => undefined);
    await testHarness.waitUntil(
      async () => (await countOrders(service!)) === before + 1,
      "applied",
    );
    second!.child.kill("SIGSTOP");
    await new Promise((resolve) => setTimeout(resolve, 4_000));
    second!.child.kill("SIGCONT");
    await pendingOrder;
    await fleets.applyFaults(service!, {});
    await placeOrder(second!.address, { key: "k6" });
    t.equal(await countOrders(service!), before + 1);
  });
});

async function placeOrder(
  address: string,
  options: { readonly key?: string | undefined; readonly body?: unknown },
): Promise<ServiceAnswer> {
  return await caller.callService(address, {
    method: "POST",
    path: "orders/orders",
    body: options.body ?? { nets: 2 },
    headers: options.key === undefined ? {} : { "idempotency-key": options.key },
  }) as ServiceAnswer;
}

async function countOrders(service: testHarness.StartedProcess): Promise<number> {
  return (await fleets.readServiceLedger(service)).length;
}
