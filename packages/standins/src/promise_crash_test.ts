/** Tests a prompt whose engines crash as they begin to answer it, one after the other. */

import * as tap from "tap";
import * as caller from "./caller.ts";
import * as fleets from "./test_fleet.ts";
import * as testHarness from "./test_harness.ts";

const SLOW_PREFILL_ARGS = ["--prefill", "2"];
const ENGINE_COUNT = 5;
/** Engines that one generation may cost. */
const MAX_LOST_ENGINES = 2;
const TEST_LIMIT_MS = 30_000;

tap.t.test("a prompt whose engines crash costs no more than two of them", async (t) => {
  const harness = new testHarness.TestHarness();
  t.teardown(() => harness.stop());
  const { engines, entries } = await fleets.startFleet(harness, {
    engines: Array.from({ length: ENGINE_COUNT }, () => SLOW_PREFILL_ARGS),
  });
  const killed = new Set<testHarness.StartedProcess>();
  let hasEnded = false;
  const answer = caller.streamCompletion(entries[0]!.address, {
    prompt: `crash [len=5] ${"x".repeat(2_000)}`,
    requestId: "crash",
    rank: "patient",
  }).finally(() => hasEnded = true);
  const endAt = performance.now() + TEST_LIMIT_MS;
  while (!hasEnded && performance.now() < endAt) {
    for (const engine of engines) {
      if (killed.has(engine) || !(await isRunning(engine))) continue;
      killed.add(engine);
      engine.child.kill("SIGKILL");
    }
    await testHarness.waitFor(10);
  }
  const transcript = await answer;
  t.ok(killed.size <= MAX_LOST_ENGINES, `${killed.size} engines lost`);
  t.equal(transcript.problem?.code, "attempts_exhausted");
  const other = await caller.streamCompletion(entries[0]!.address, { prompt: "sound [len=5]" });
  t.ok(other.done, "other prompts are served");
});

/** Whether `engine` processes the prompt; the ledger counts the first token before it is sent. */
async function isRunning(engine: testHarness.StartedProcess): Promise<boolean> {
  const { generations } = await fleets.readEngineLedger(engine);
  return generations.some((generation) =>
    generation.attempt.startsWith("crash~") && !generation.ended && generation.tokens <= 1
  );
}
