import * as tap from "tap";
import * as caller from "./caller.ts";
import * as fleets from "./fleet_bed.ts";
import * as testBed from "./test_bed.ts";

interface Answer {
  readonly status: number;
  readonly body: { readonly code?: string; readonly outcome?: string; readonly order?: number };
  readonly headers: Readonly<Record<string, string>>;
}

tap.t.test("orders under failures of the service", async (t) => {
  const bed = new testBed.TestBed();
  t.teardown(() => bed.stop());
  const { services: [service], entries: [entry] } = await fleets.startFleet(bed, {
    engines: [],
    services: 1,
  });
  const place = (key?: string, body: unknown = { nets: 2 }) =>
    placeOrder(entry!.address, { key, body });

  await t.test("an answer lost after the effect: unknown, and not repeated", async (t) => {
    await fleets.applyFaults(service!, { dropAnswers: 1 });
    const before = await countOrders(service!);
    const answer = await place();
    t.equal(answer.body.outcome, "unknown");
    t.equal(await countOrders(service!), before + 1);
  });

  await t.test("an answer to another request: unknown, never passed on", async (t) => {
    await fleets.applyFaults(service!, { crossAnswers: 1 });
    const before = await countOrders(service!);
    const answer = await place();
    t.equal(answer.body.outcome, "unknown");
    t.equal(answer.body.order, undefined);
    t.equal(await countOrders(service!), before + 1);
  });

  await t.test("a truncated answer is never passed off as whole", async (t) => {
    await fleets.applyFaults(service!, { truncateAnswers: 1 });
    const answer = await place();
    t.equal(answer.body.outcome, "unknown");
  });

  await t.test("a late answer does not meet the next request", async (t) => {
    await fleets.applyFaults(service!, { delayMs: 1_800 });
    const late = await place();
    t.equal(late.body.outcome, "unknown");
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

  await t.test("the endpoint says that it did nothing: repeated safely", async (t) => {
    await fleets.applyFaults(service!, { notRun: 1 });
    const before = await countOrders(service!);
    const answer = await place();
    t.equal(answer.status, 200);
    t.equal(await countOrders(service!), before + 1);
  });

  await t.test("a read is repeated when its answer is lost", async (t) => {
    await fleets.applyFaults(service!, { dropAnswers: 1 });
    const answer = await caller.callService(entry!.address, {
      method: "GET",
      path: "orders/stock/7",
    });
    t.equal(answer.status, 200);
  });

  await t.test("an endpoint that is down: not run, truly", async (t) => {
    await fleets.applyFaults(service!, {});
    const before = await countOrders(service!);
    service!.child.kill("SIGSTOP");
    const paused = await place();
    t.equal(paused.body.outcome, "unknown", "connected and written, so not proved");
    service!.child.kill("SIGCONT");
    await testBed.waitUntil(
      async () => (await countOrders(service!)) === before + 1,
      "the paused service has applied the order once",
    );
    service!.child.kill("SIGKILL");
    await service!.exited;
    const answer = await place();
    t.equal(answer.body.outcome, "not_run");
  });
});

tap.t.test("idempotency keys over two entry processes", async (t) => {
  const bed = new testBed.TestBed();
  t.teardown(() => bed.stop());
  const { services: [service], entries: [first, second] } = await fleets.startFleet(bed, {
    engines: [],
    services: 1,
    entries: ["asahikawa", "asahikawa"],
  });

  await t.test("repeats at both, at once and later, run once", async (t) => {
    const before = await countOrders(service!);
    const attempts = await Promise.all([
      placeOrder(first!.address, { key: "k1" }),
      placeOrder(second!.address, { key: "k1" }),
      placeOrder(first!.address, { key: "k1" }),
    ]);
    const later = await placeOrder(second!.address, { key: "k1" });
    for (const answer of [...attempts, later]) {
      t.equal(answer.status, 200);
      t.equal(answer.body.order, before + 1);
    }
    t.equal(later.headers["idempotent-replayed"], "true");
    t.equal(await countOrders(service!), before + 1);
  });

  await t.test("the same key with another body is refused", async (t) => {
    const before = await countOrders(service!);
    const answer = await placeOrder(second!.address, { key: "k1", body: { nets: 99 } });
    t.equal(answer.status, 422);
    t.equal(answer.body.outcome, "not_run");
    t.equal(await countOrders(service!), before);
  });

  await t.test("a lost answer stays unknown for every repeat", async (t) => {
    const before = await countOrders(service!);
    await fleets.applyFaults(service!, { dropAnswers: 1 });
    const answer = await placeOrder(first!.address, { key: "k2" });
    const repeat = await placeOrder(second!.address, { key: "k2" });
    t.equal(answer.body.outcome, "unknown");
    t.equal(repeat.body.outcome, "unknown");
    t.equal(await countOrders(service!), before + 1);
  });

  await t.test("the store answers after the effect: the claim holds, the order runs", async (t) => {
    const before = await countOrders(service!);
    await bed.postPlatform("faults", { dropAnswers: 1 });
    const answer = await placeOrder(first!.address, { key: "k3" });
    t.equal(answer.status, 200);
    t.equal(await countOrders(service!), before + 1);
  });

  await t.test("the store is down: refused, not run; an order without a key goes on", async (t) => {
    const before = await countOrders(service!);
    await bed.postPlatform("faults", { down: true });
    const answer = await placeOrder(first!.address, { key: "k4" });
    t.equal(answer.body.code, "claim_unavailable");
    t.equal(answer.body.outcome, "not_run");
    t.equal(await countOrders(service!), before);
    const unkeyed = await placeOrder(first!.address, {});
    t.equal(unkeyed.status, 200);
    await bed.postPlatform("faults", {});
    await testBed.waitUntil(
      async () => (await placeOrder(second!.address, { key: "k4" })).status === 200,
      "the key can be used after the outage",
    );
    t.equal(await countOrders(service!), before + 2);
  });

  await t.test("the store is slow, also beyond its timeout", async (t) => {
    for (const [index, delayMs] of [300, 800].entries()) {
      const before = await countOrders(service!);
      await bed.postPlatform("faults", { delayMs });
      const answer = await placeOrder(first!.address, { key: `slow-${index}` });
      await bed.postPlatform("faults", {});
      const applied = await countOrders(service!) - before;
      t.equal(applied, answer.status === 200 ? 1 : 0, `${delayMs} ms: status ${answer.status}`);
      if (answer.status !== 200) t.equal(answer.body.outcome, "not_run");
    }
  });

  await t.test("a holder killed between claim and answer: never run again", async (t) => {
    await fleets.applyFaults(service!, { delayMs: 600 });
    const before = await countOrders(service!);
    const running = placeOrder(first!.address, { key: "k5" }).catch(() => undefined);
    await testBed.waitUntil(async () => (await countOrders(service!)) === before + 1, "applied");
    first!.child.kill("SIGKILL");
    await running;
    await fleets.applyFaults(service!, {});
    const repeat = await placeOrder(second!.address, { key: "k5" });
    t.equal(repeat.body.outcome, "unknown");
    t.equal(await countOrders(service!), before + 1);
  });

  await t.test("a holder paused past every timeout and thawed", async (t) => {
    await fleets.applyFaults(service!, { delayMs: 300 });
    const before = await countOrders(service!);
    const running = placeOrder(second!.address, { key: "k6" }).catch(() => undefined);
    await testBed.waitUntil(async () => (await countOrders(service!)) === before + 1, "applied");
    second!.child.kill("SIGSTOP");
    await new Promise((resolve) => setTimeout(resolve, 4_000));
    second!.child.kill("SIGCONT");
    await running;
    await fleets.applyFaults(service!, {});
    await placeOrder(second!.address, { key: "k6" });
    t.equal(await countOrders(service!), before + 1);
  });
});

async function placeOrder(
  address: string,
  options: { readonly key?: string | undefined; readonly body?: unknown },
): Promise<Answer> {
  return await caller.callService(address, {
    method: "POST",
    path: "orders/orders",
    body: options.body ?? { nets: 2 },
    headers: options.key === undefined ? {} : { "idempotency-key": options.key },
  }) as Answer;
}

async function countOrders(service: testBed.Started): Promise<number> {
  return (await fleets.readServiceLedger(service)).length;
}
