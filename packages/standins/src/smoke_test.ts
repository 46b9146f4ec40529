/** Smoke test: an entry process, an engine and a service answer one request of each kind. */

import * as tap from "tap";
import * as undici from "undici";
import * as caller from "./caller.ts";
import * as engineModel from "./engine_model.ts";
import * as testHarness from "./test_harness.ts";

tap.t.test(
  "an entry process serves generations and service calls, and stops on SIGTERM",
  async (t) => {
    const harness = new testHarness.TestHarness();
    t.teardown(() => harness.stop());
    await harness.startPlatform();
    await harness.startEngine("asahikawa");
    const service = await harness.startService("asahikawa");
    const entry = await harness.startEntry("asahikawa-1", "asahikawa");
    await harness.submitManifest(entry);
    await harness.waitReady(entry);
    const prompt = "net for a melon field [len=20]";
    const expected = Array.from(
      { length: 20 },
      (_, index) => engineModel.createTokenText({ prompt, seed: 7, version: "v1" }, index),
    );

    await testHarness.waitUntil(async () => {
      const probe = await caller.streamCompletion(entry.address, {
        prompt: "[len=1]",
      });
      return probe.done;
    }, "the entry process has found the engine");

    await t.test("a streamed generation yields the expected tokens", async (t) => {
      const transcript = await caller.streamCompletion(entry.address, {
        prompt,
        seed: 7,
      });
      t.equal(transcript.status, 200);
      t.same(transcript.tokens, expected);
      t.equal(transcript.finishReason, "stop");
      t.ok(transcript.done);
    });

    await t.test("an unstreamed chat completion stops at max_tokens", async (t) => {
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

    await t.test("an order is applied once", async (t) => {
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

    await t.test("SIGTERM: the process exits with code 0", async (t) => {
      entry.child.kill("SIGTERM");
      t.equal(await entry.exited, 0);
    });
  },
);
