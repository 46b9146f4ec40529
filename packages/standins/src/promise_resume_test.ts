/**
 * Tests streams whose connection, engine or entry process is silent, paused or restarted, and streams
 * with faulty events. As in promise_tokens_test, tokens depend only on the request, the model version
 * and the engine's salt.
 */

import * as tap from "tap";
import * as caller from "./caller.ts";
import * as fleets from "./test_fleet.ts";
import * as testHarness from "./test_harness.ts";

const SLOW_ENGINE_ARGS = ["--base", "15"];
const SEED = 11;

tap.t.test("connection goes silent: the stream resumes on a new connection", async (t) => {
  const harness = new testHarness.TestHarness();
  t.teardown(() => harness.stop());
  const { engines, entries } = await fleets.startFleet(harness, { engines: [SLOW_ENGINE_ARGS] });
  const relay = await fleets.startRelay(harness, engines[0]!);
  t.teardown(() => relay.stop());
  await testHarness.waitUntil(async () => {
    const status = await caller.readJson<{ readonly endpoints: readonly { endpoint: string }[] }>(
      `http://${entries[0]!.operators}/status`,
    );
    return status.endpoints.every((entry) => entry.endpoint !== engines[0]!.address);
  }, "the relay is listed");
  await fleets.waitServing(entries[0]!);
  const prompt = "blackholed [len=80]";
  const transcript = await caller.streamCompletion(entries[0]!.address, {
    prompt,
    seed: SEED,
    onToken: ({ tokens }) => {
      if (tokens.length === 10) relay.applyFaults({ blackholeOpenConnections: true });
    },
  });
  t.same(transcript.tokens, fleets.createExpectedTokens(prompt, SEED, { length: 80 }));
  t.ok(transcript.done);
  const { generations } = await fleets.readEngineLedger(engines[0]!);
  t.equal(generations.filter((entry) => entry.tokens === 80).length, 1, "one generation");
});

tap.t.test("entry process killed mid-stream: the caller resumes at another process", async (t) => {
  const harness = new testHarness.TestHarness();
  t.teardown(() => harness.stop());
  const { engines, entries } = await fleets.startFleet(harness, {
    engines: [SLOW_ENGINE_ARGS, SLOW_ENGINE_ARGS],
    entries: ["asahikawa", "asahikawa"],
  });
  const prompt = "entry killed [len=60]";
  const first = await caller.streamCompletion(entries[0]!.address, {
    prompt,
    seed: SEED,
    requestId: "entry-killed",
    onToken: ({ tokens }) => {
      if (tokens.length === 10) entries[0]!.child.kill("SIGKILL");
    },
  });
  t.ok(first.error, "the connection broke");
  const second = await caller.streamCompletion(entries[1]!.address, {
    prompt,
    requestId: "entry-killed",
    cursor: first.cursor!,
  });
  t.same(
    [...first.tokens, ...second.tokens],
    fleets.createExpectedTokens(prompt, SEED, { length: 60 }),
  );
  t.ok(second.done);
  let generationCount = 0;
  for (const engine of engines) {
    const { generations } = await fleets.readEngineLedger(engine);
    generationCount += generations.filter((entry) =>
      entry.attempt.startsWith("entry-killed")
    ).length;
  }
  t.equal(generationCount, 1, "one generation");

  await t.test("a cursor of another request or an altered cursor: refused", async (t) => {
    const other = await caller.streamCompletion(entries[1]!.address, {
      prompt: "another prompt",
      cursor: first.cursor!,
    });
    t.equal(other.problem?.code, "invalid_cursor");
    t.equal(other.problem?.outcome, "not_run");
    const altered = await caller.streamCompletion(entries[1]!.address, {
      prompt,
      cursor: `${first.cursor}0`,
    });
    t.equal(altered.problem?.code, "invalid_cursor");
  });
});

tap.t.test("engine paused and resumed: the stream completes", async (t) => {
  const harness = new testHarness.TestHarness();
  t.teardown(() => harness.stop());
  const { engines, entries } = await fleets.startFleet(harness, {
    engines: [SLOW_ENGINE_ARGS, SLOW_ENGINE_ARGS],
  });
  const prompt = "paused [len=60]";
  const transcript = await caller.streamCompletion(entries[0]!.address, {
    prompt,
    seed: SEED,
    requestId: "paused",
    onToken: ({ tokens }) => {
      if (tokens.length === 10) void pauseEngine(engines, "paused", 4_000);
    },
  });
  t.equal(transcript.problem, undefined);
  t.same(transcript.tokens, fleets.createExpectedTokens(prompt, SEED, { length: 60 }));
});

tap.t.test("duplicated, foreign and missing events do not change the stream", async (t) => {
  const harness = new testHarness.TestHarness();
  t.teardown(() => harness.stop());
  const { engines, entries } = await fleets.startFleet(harness, { engines: [SLOW_ENGINE_ARGS] });
  for (const faults of [{ duplicate: true }, { crossOnce: true }, { skipOnce: true }]) {
    await fleets.applyFaults(engines[0]!, faults);
    const prompt = `${Object.keys(faults)[0]} [len=30]`;
    const transcript = await caller.streamCompletion(entries[0]!.address, { prompt, seed: SEED });
    t.same(
      transcript.tokens,
      fleets.createExpectedTokens(prompt, SEED, { length: 30 }),
      JSON.stringify(faults),
    );
    t.ok(transcript.done);
  }
});

tap.t.test("engine restarts and loses its generation: the stream completes", async (t) => {
  const harness = new testHarness.TestHarness();
  t.teardown(() => harness.stop());
  const port = String(await testHarness.getFreePort());
  const { engines, entries } = await fleets.startFleet(harness, {
    engines: [[...SLOW_ENGINE_ARGS, "--port", port]],
  });
  const prompt = "restarted [len=60]";
  let restartDone: Promise<unknown> | undefined;
  const transcript = await caller.streamCompletion(entries[0]!.address, {
    prompt,
    seed: SEED,
    rank: "patient",
    onToken: ({ tokens }) => {
      if (tokens.length !== 10) return;
      engines[0]!.child.kill("SIGKILL");
      restartDone = engines[0]!.exited.then(() =>
        harness.startEngine("asahikawa", [...SLOW_ENGINE_ARGS, "--port", port])
      );
    },
  });
  await restartDone;
  t.same(transcript.tokens, fleets.createExpectedTokens(prompt, SEED, { length: 60 }));
  t.ok(transcript.done);
});

async function pauseEngine(
  engines: readonly testHarness.StartedProcess[],
  requestId: string,
  durationMs: number,
): Promise<void> {
  const engine = await fleets.findEngine(engines, requestId);
  engine.child.kill("SIGSTOP");
  setTimeout(() => engine.child.kill("SIGCONT"), durationMs);
}
