/**
 * Compares complete sessions (answers, logs and ledgers) with golden files, to detect changes
 * of texts on the wire, in the log or in the commands' output.
 */

import * as tap from "tap";
import * as undici from "undici";
import * as fleets from "./test_fleet.ts";
import * as golden from "./golden.ts";
import * as testHarness from "./test_harness.ts";

const CALL_HEADERS = { "content-type": "application/json", "x-workspace": "orchard" };
/** Headers set by the HTTP library, not by the entry process. */
const IGNORED_HEADERS = new Set(["date", "connection", "keep-alive", "transfer-encoding"]);

tap.t.test("sessions match their golden files", async (t) => {
  const harness = new testHarness.TestHarness();
  t.teardown(() => harness.stop());
  const { engines, services, entries } = await fleets.startFleet(harness, {
    engines: [["--base", "15"]],
    services: 1,
    entries: ["asahikawa", "asahikawa"],
  });
  const [first, second] = entries as [testHarness.StartedEntry, testHarness.StartedEntry];
  const placeholders = new Map([
    [engines[0]!.address, "ENGINE"],
    [services[0]!.address, "SERVICE"],
    [first.address, "FIRST"],
    [second.address, "SECOND"],
    [first.operators, "OPERATORS"],
    [second.operators, "OPERATORS-2"],
  ]);
  const checkGolden = (name: string, parts: readonly string[]) => {
    const actual = golden.normalizeSession(`${parts.join("\n\n")}\n`, placeholders);
    t.equal(actual, golden.readGolden(name, actual), name);
  };
  const generate = (
    entry: testHarness.StartedEntry,
    request: string,
    body: unknown,
    cursor?: string,
  ) =>
    sendRequest(`http://${entry.address}/v1/completions`, {
      method: "POST",
      headers: {
        ...CALL_HEADERS,
        "x-request-id": request,
        ...(cursor ? { "last-event-id": cursor } : {}),
      },
      body: JSON.stringify(body),
    });

  const streamedAnswer = await generate(first, "stream", {
    model: "layout-7b",
    prompt: "golden [len=3]",
    seed: 1,
    stream: true,
  });
  checkGolden("stream", [
    streamedAnswer.text,
    await readAttempts(engines[0]!, "stream"),
    await readLog(first, "stream"),
  ]);

  const completeAnswer = await generate(first, "whole", {
    model: "layout-7b",
    prompt: "golden [len=3]",
    seed: 1,
  });
  checkGolden("whole_answer", [completeAnswer.text, await readLog(first, "whole")]);

  const order = await sendRequest(`http://${first.address}/services/orders/orders`, {
    method: "POST",
    headers: { ...CALL_HEADERS, "x-request-id": "order", "idempotency-key": "golden" },
    body: '{"nets":3}',
  });
  const retry = await sendRequest(`http://${second.address}/services/orders/orders`, {
    method: "POST",
    headers: { ...CALL_HEADERS, "x-request-id": "order-again", "idempotency-key": "golden" },
    body: '{"nets":3}',
  });
  const ledger = await fleets.readServiceLedger(services[0]!);
  checkGolden("order", [
    order.text,
    retry.text,
    `ledger: ${JSON.stringify(ledger)}`,
    await readLog(first, "order"),
    await readLog(second, "order-again"),
  ]);

  const refusedAnswers = [
    await generate(first, "refused-model", { model: "none", prompt: "x" }),
    await generate(first, "refused-body", { model: "layout-7b" }),
  ];
  checkGolden("refusal", [
    ...refusedAnswers.map((refusal) => refusal.text),
    await readLog(first, "refused-model"),
  ]);

  const body = { model: "layout-7b", prompt: "golden [len=6]", seed: 1, stream: true };
  const originalAnswer = await generate(first, "resume", body);
  const cursor = /^id: (\S+)$/m.exec(originalAnswer.text)![1]!;
  const resumedAnswer = await generate(second, "resume-2", body, cursor);
  checkGolden("resume", [
    originalAnswer.text,
    resumedAnswer.text,
    await readLog(second, "resume-2"),
  ]);

  const manifest = harness.writeFile(
    "release-2.yaml",
    testHarness.TEST_MANIFEST.replace("release: 1", "release: 2"),
  );
  const invalidManifest = harness.writeFile("bad.yaml", "release: 3\nranks: {}\nzones: 4\n");
  const commands = [
    ["validate", manifest],
    ["validate", invalidManifest],
    ["submit", manifest, "--entry", `http://${first.operators}`, "--submission", "golden-2"],
    ["submit", manifest, "--entry", `http://${second.operators}`, "--submission", "golden-3"],
  ];
  const commandOutputs: string[] = [];
  for (const args of commands) {
    const result = await harness.runCtl(args);
    commandOutputs.push(
      `$ peridotctl ${args.join(" ")}\nexit ${result.code}\n${result.stdout}${result.stderr}`
        .replaceAll(/\S*\/(release-2|bad)\.yaml/g, "$1.yaml"),
    );
  }
  checkGolden("manifest", commandOutputs);

  const drainedStream = generate(second, "drained", { ...body, prompt: "golden [len=40]" });
  await testHarness.waitFor(200);
  second.child.kill("SIGTERM");
  const drainedAnswer = await drainedStream;
  const code = await second.exited;
  checkGolden("drain", [
    drainedAnswer.text.split("\n").slice(-4).join("\n"),
    `exit ${code}`,
    await readLog(second, "drained"),
    second.lines.filter((line) => line.includes("event=drain_")).join("\n"),
  ]);
});

async function sendRequest(
  url: string,
  options: {
    readonly method: undici.Dispatcher.HttpMethod;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: string;
  },
): Promise<{ readonly text: string }> {
  const response = await undici.request(url, options);
  const headers = Object.entries(response.headers)
    .filter(([name]) => !IGNORED_HEADERS.has(name))
    .map(([name, value]) => `${name}: ${value}`);
  const body = await response.body.text();
  return { text: [`status ${response.statusCode}`, ...headers, "", body.trimEnd()].join("\n") };
}

async function readAttempts(engine: testHarness.StartedProcess, request: string): Promise<string> {
  const { generations } = await fleets.readEngineLedger(engine);
  const attempts = generations.filter((entry) => entry.attempt.startsWith(`${request}~`));
  return `engine: ${JSON.stringify(attempts)}`;
}

/** Waits until the log shows the end of a request, and returns the request's log lines. */
async function readLog(entry: testHarness.StartedEntry, request: string): Promise<string> {
  const getLines = () => entry.lines.filter((line) => line.includes(` request=${request} `));
  await testHarness.waitUntil(
    () => getLines().some((line) => /event=request_(ended|refused)/.test(line)),
    `the log of ${request}`,
  );
  return getLines().join("\n");
}
