/**
 * Tests streams while engines, connections and entry processes fail. Tokens depend only on the
 * request, the model version and the engine's salt, so that a lost, duplicated or foreign token
 * shows in the result.
 */

import * as tap from "tap";
import * as caller from "./caller.ts";
import * as fleets from "./test_fleet.ts";
import * as testHarness from "./test_harness.ts";

const SLOW_ENGINE_ARGS = ["--base", "15"];
const SEED = 11;

tap.t.test("engine killed after first token: another engine continues the stream", async (t) => {
  const harness = new testHarness.TestHarness();
  t.teardown(() => harness.stop());
  const { engines, entries } = await fleets.startFleet(harness, {
    engines: [SLOW_ENGINE_ARGS, SLOW_ENGINE_ARGS],
  });
  const prompt = "killed after [len=60]";
  let killDone: Promise<void> | undefined;
  const transcript = await caller.streamCompletion(entries[0]!.address, {
    prompt,
    seed: SEED,
    requestId: "killed-after",
    onToken: ({ tokens }) => {
      if (tokens.length === 10) killDone = killEngine(engines, "killed-after");
    },
  });
  await killDone;
  t.equal(transcript.problem, undefined);
  t.same(transcript.tokens, fleets.createExpectedTokens(prompt, SEED, { length: 60 }));
  t.ok(transcript.done);
});

tap.t.test("engine killed before first token: another engine runs the generation", async (t) => {
  const harness = new testHarness.TestHarness();
  t.teardown(() => harness.stop());
  const slowPrefillArgs = ["--prefill", "2"];
  const { engines, entries } = await fleets.startFleet(harness, {
    engines: [slowPrefillArgs, slowPrefillArgs],
  });
  const prompt = `killed before [len=5] ${"x".repeat(2_000)}`;
  const pendingAnswer = caller.streamCompletion(entries[0]!.address, {
    prompt,
    seed: SEED,
    requestId: "killed-before",
    rank: "patient",
  });
  await testHarness.waitUntil(
    () => fleets.findEngine(engines, "killed-before").then(() => true),
    "runs",
  );
  await killEngine(engines, "killed-before");
  const transcript = await pendingAnswer;
  t.same(transcript.tokens, fleets.createExpectedTokens(prompt, SEED, { length: 5 }));
});

tap.t.test("engine killed, replacement generates different tokens: the stream fails", async (t) => {
  const harness = new testHarness.TestHarness();
  t.teardown(() => harness.stop());
  const { engines, entries } = await fleets.startFleet(harness, {
    engines: [[...SLOW_ENGINE_ARGS, "--salt", "a"], [...SLOW_ENGINE_ARGS, "--salt", "b"]],
  });
  let killDone: Promise<void> | undefined;
  const transcript = await caller.streamCompletion(entries[0]!.address, {
    prompt: "diverges [len=60]",
    requestId: "diverges",
    onToken: ({ tokens }) => {
      if (tokens.length === 10) killDone = killEngine(engines, "diverges");
    },
  });
  await killDone;
  t.equal(transcript.problem?.code, "generation_diverged");
  t.equal(transcript.problem?.outcome, "failed");
  t.equal(transcript.problem?.delivered_tokens, transcript.tokens.length);
  t.notOk(transcript.done);
});

tap.t.test("engine killed during unstreamed answer: another engine generates it", async (t) => {
  const harness = new testHarness.TestHarness();
  t.teardown(() => harness.stop());
  const { engines, entries } = await fleets.startFleet(harness, {
    engines: [[...SLOW_ENGINE_ARGS, "--salt", "a"], [...SLOW_ENGINE_ARGS, "--salt", "b"]],
  });
  const prompt = "whole [len=40]";
  const pendingAnswer = fetch(`http://${entries[0]!.address}/v1/completions`, {
    method: "POST",
    headers: { "x-workspace": "orchard", "x-request-id": "whole" },
    body: JSON.stringify({ model: "layout-7b", prompt, seed: SEED }),
  });
  await testHarness.waitUntil(async () => {
    const engine = await fleets.findEngine(engines, "whole");
    const { generations } = await fleets.readEngineLedger(engine);
    return generations.some((entry) => entry.attempt.startsWith("whole~") && entry.tokens > 5);
  }, "the first engine generates");
  const killedEngine = await fleets.findEngine(engines, "whole");
  killedEngine.child.kill("SIGKILL");
  const answer = await (await pendingAnswer).json() as {
    readonly choices: readonly { readonly text: string }[];
  };
  const version = killedEngine === engines[0] ? "v1b" : "v1a";
  const expected = fleets.createExpectedTokens(prompt, SEED, { length: 40, version });
  t.equal(answer.choices[0]?.text, expected.join(""));
});

async function killEngine(
  engines: readonly testHarness.StartedProcess[],
  requestId: string,
): Promise<void> {
  const engine = await fleets.findEngine(engines, requestId);
  engine.child.kill("SIGKILL");
}
