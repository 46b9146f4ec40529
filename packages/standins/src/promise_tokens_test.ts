import * as tap from "tap";
import * as caller from "./caller.ts";
import * as fleets from "./fleet_bed.ts";
import * as testBed from "./test_bed.ts";

const SLOW = ["--base", "15"];
const SEED = 11;

tap.t.test("an engine killed after the first token: the same tokens go on elsewhere", async (t) => {
  const bed = new testBed.TestBed();
  t.teardown(() => bed.stop());
  const { engines, entries } = await fleets.startFleet(bed, { engines: [SLOW, SLOW] });
  const prompt = "killed after [len=60]";
  let killed: Promise<void> | undefined;
  const transcript = await caller.streamCompletion(entries[0]!.address, {
    prompt,
    seed: SEED,
    requestId: "killed-after",
    onToken: ({ tokens }) => {
      if (tokens.length === 10) killed = killEngine(engines, "killed-after");
    },
  });
  await killed;
  t.equal(transcript.problem, undefined);
  t.same(transcript.tokens, fleets.createExpectedTokens(prompt, SEED, { length: 60 }));
  t.ok(transcript.done);
});

tap.t.test("an engine killed before the first token: started again elsewhere", async (t) => {
  const bed = new testBed.TestBed();
  t.teardown(() => bed.stop());
  const slowPrompt = ["--prefill", "2"];
  const { engines, entries } = await fleets.startFleet(bed, { engines: [slowPrompt, slowPrompt] });
  const prompt = `killed before [len=5] ${"x".repeat(2_000)}`;
  const running = caller.streamCompletion(entries[0]!.address, {
    prompt,
    seed: SEED,
    requestId: "killed-before",
    rank: "patient",
  });
  await testBed.waitUntil(
    () => fleets.findEngine(engines, "killed-before").then(() => true),
    "runs",
  );
  await killEngine(engines, "killed-before");
  const transcript = await running;
  t.same(transcript.tokens, fleets.createExpectedTokens(prompt, SEED, { length: 5 }));
});

tap.t.test("a different prefix elsewhere: an explicit error, never a mixture", async (t) => {
  const bed = new testBed.TestBed();
  t.teardown(() => bed.stop());
  const { engines, entries } = await fleets.startFleet(bed, {
    engines: [[...SLOW, "--salt", "a"], [...SLOW, "--salt", "b"]],
  });
  let killed: Promise<void> | undefined;
  const transcript = await caller.streamCompletion(entries[0]!.address, {
    prompt: "diverges [len=60]",
    requestId: "diverges",
    onToken: ({ tokens }) => {
      if (tokens.length === 10) killed = killEngine(engines, "diverges");
    },
  });
  await killed;
  t.equal(transcript.problem?.code, "generation_diverged");
  t.equal(transcript.problem?.outcome, "failed");
  t.equal(transcript.problem?.delivered_tokens, transcript.tokens.length);
  t.notOk(transcript.done);
});

tap.t.test("a whole answer starts again elsewhere, also with other tokens", async (t) => {
  const bed = new testBed.TestBed();
  t.teardown(() => bed.stop());
  const { engines, entries } = await fleets.startFleet(bed, {
    engines: [[...SLOW, "--salt", "a"], [...SLOW, "--salt", "b"]],
  });
  const prompt = "whole [len=40]";
  const running = fetch(`http://${entries[0]!.address}/v1/completions`, {
    method: "POST",
    headers: { "x-workspace": "orchard", "x-request-id": "whole" },
    body: JSON.stringify({ model: "layout-7b", prompt, seed: SEED }),
  });
  await testBed.waitUntil(async () => {
    const engine = await fleets.findEngine(engines, "whole");
    const { generations } = await fleets.readEngineLedger(engine);
    return generations.some((entry) => entry.attempt.startsWith("whole~") && entry.tokens > 5);
  }, "the first engine generates");
  const killed = await fleets.findEngine(engines, "whole");
  killed.child.kill("SIGKILL");
  const answer = await (await running).json() as {
    readonly choices: readonly { readonly text: string }[];
  };
  const version = killed === engines[0] ? "v1b" : "v1a";
  const expected = fleets.createExpectedTokens(prompt, SEED, { length: 40, version });
  t.equal(answer.choices[0]?.text, expected.join(""));
});

tap.t.test("a connection that is silent for good: resumed on a new one", async (t) => {
  const bed = new testBed.TestBed();
  t.teardown(() => bed.stop());
  const { engines, entries } = await fleets.startFleet(bed, { engines: [SLOW] });
  const relay = await fleets.startRelay(bed, engines[0]!);
  t.teardown(() => relay.stop());
  await testBed.waitUntil(async () => {
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
      if (tokens.length === 10) relay.applyFaults({ blackholeOpen: true });
    },
  });
  t.same(transcript.tokens, fleets.createExpectedTokens(prompt, SEED, { length: 80 }));
  t.ok(transcript.done);
  const { generations } = await fleets.readEngineLedger(engines[0]!);
  t.equal(generations.filter((entry) => entry.tokens === 80).length, 1, "one generation");
});

tap.t.test("an entry process killed mid-stream: resumed at another one", async (t) => {
  const bed = new testBed.TestBed();
  t.teardown(() => bed.stop());
  const { engines, entries } = await fleets.startFleet(bed, {
    engines: [SLOW, SLOW],
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
  let started = 0;
  for (const engine of engines) {
    const { generations } = await fleets.readEngineLedger(engine);
    started += generations.filter((entry) => entry.attempt.startsWith("entry-killed")).length;
  }
  t.equal(started, 1, "one generation");

  await t.test("a cursor of another request or an altered one is refused", async (t) => {
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

tap.t.test("an engine paused and thawed: the stream ends whole", async (t) => {
  const bed = new testBed.TestBed();
  t.teardown(() => bed.stop());
  const { engines, entries } = await fleets.startFleet(bed, { engines: [SLOW, SLOW] });
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

tap.t.test("events doubled, crossed and left out", async (t) => {
  const bed = new testBed.TestBed();
  t.teardown(() => bed.stop());
  const { engines, entries } = await fleets.startFleet(bed, { engines: [SLOW] });
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

tap.t.test("an engine restarted, so that the generation is unknown", async (t) => {
  const bed = new testBed.TestBed();
  t.teardown(() => bed.stop());
  const port = String(await testBed.getFreePort());
  const { engines, entries } = await fleets.startFleet(bed, {
    engines: [[...SLOW, "--port", port]],
  });
  const prompt = "restarted [len=60]";
  let restarted: Promise<unknown> | undefined;
  const transcript = await caller.streamCompletion(entries[0]!.address, {
    prompt,
    seed: SEED,
    rank: "patient",
    onToken: ({ tokens }) => {
      if (tokens.length !== 10) return;
      engines[0]!.child.kill("SIGKILL");
      restarted = engines[0]!.exited.then(() =>
        bed.startEngine("asahikawa", [...SLOW, "--port", port])
      );
    },
  });
  await restarted;
  t.same(transcript.tokens, fleets.createExpectedTokens(prompt, SEED, { length: 60 }));
  t.ok(transcript.done);
});

async function killEngine(engines: readonly testBed.Started[], requestId: string): Promise<void> {
  const engine = await fleets.findEngine(engines, requestId);
  engine.child.kill("SIGKILL");
}

async function pauseEngine(
  engines: readonly testBed.Started[],
  requestId: string,
  durationMs: number,
): Promise<void> {
  const engine = await fleets.findEngine(engines, requestId);
  engine.child.kill("SIGSTOP");
  setTimeout(() => engine.child.kill("SIGCONT"), durationMs);
}
