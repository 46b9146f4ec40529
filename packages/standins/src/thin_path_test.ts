import * as tap from "tap";
import * as undici from "undici";
import * as caller from "./caller.ts";
import * as models from "./engine_model.ts";
import * as testBed from "./test_bed.ts";

tap.t.test(
  "one path from the caller to an engine and to a service",
  async (t) => {
    const bed = new testBed.TestBed();
    t.teardown(() => bed.stop());
    await bed.startPlatform();
    await bed.startEngine("asahikawa");
    const service = await bed.startService("asahikawa");
    const entry = await bed.startEntry("asahikawa-1", "asahikawa");
    await bed.submitManifest(entry);
    await bed.waitReady(entry);
    const prompt = "net for a melon field [len=20]";
    const expected = Array.from(
      { length: 20 },
      (_, index) => models.createTokenText({ prompt, seed: 7, version: "v1" }, index),
    );

    await testBed.waitUntil(async () => {
      const probe = await caller.streamCompletion(entry.address, {
        prompt: "[len=1]",
      });
      return probe.done;
    }, "an engine is known");

    await t.test("a streamed generation", async (t) => {
      const transcript = await caller.streamCompletion(entry.address, {
        prompt,
        seed: 7,
      });
      t.equal(transcript.status, 200);
      t.same(transcript.tokens, expected);
      t.equal(transcript.finishReason, "stop");
      t.ok(transcript.done);
    });

    await t.test("a whole answer", async (t) => {
      const response = await undici.request(
        `http://${entry.address}/v1/chat/completions`,
        {
          method: "POST",
          headers: {
            "x-workspace": "orchard",
            "content-type": "application/json",
          },
          body: JSON.stringify({
            model: "layout-7b",
            messages: [{ role: "user", content: "[len=3]" }],
            max_tokens: 2,
          }),
        },
      );
      const body = await response.body.json() as {
        readonly choices: readonly { readonly finish_reason: string }[];
        readonly usage: { readonly completion_tokens: number };
      };
      t.equal(response.statusCode, 200);
      t.equal(body.choices[0]?.finish_reason, "length");
      t.equal(body.usage.completion_tokens, 2);
    });

    await t.test("an order, once", async (t) => {
      const order = {
        method: "POST",
        path: "orders/orders",
        body: { nets: 2 },
      };
      const answer = await caller.callService(entry.address, order);
      t.equal(answer.status, 200);
      const ledger = await caller.readJson<
        { readonly orders: readonly unknown[] }
      >(
        `http://${service.address}/ledger`,
      );
      t.equal(ledger.orders.length, 1);
    });

    await t.test("SIGTERM ends it with 0", async (t) => {
      entry.child.kill("SIGTERM");
      t.equal(await entry.exited, 0);
    });
  },
);
