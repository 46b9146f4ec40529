/**
 * Tests invalid requests and settings, and callers that disconnect. Guards against invalid input
 * that reaches an engine or service, settings that are accepted in part, and generations that
 * keep running after their caller has disconnected.
 */

import * as tap from "tap";
import * as undici from "undici";
import * as fleets from "./test_fleet.ts";
import * as testHarness from "./test_harness.ts";

interface InvalidRequest {
  readonly name: string;
  readonly path?: string;
  readonly method?: undici.Dispatcher.HttpMethod;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly status: number;
  readonly code: string;
}

const PROMPT = '{"model":"layout-7b","prompt":"x"}';
const INVALID_REQUESTS: readonly InvalidRequest[] = [
  { name: "no workspace", headers: { "x-workspace": "" }, status: 400, code: "invalid_header" },
  {
    name: "an unknown workspace",
    headers: { "x-workspace": "z" },
    status: 403,
    code: "unknown_workspace",
  },
  { name: "an unknown rank", headers: { "x-rank": "z" }, status: 400, code: "unknown_rank" },
  {
    name: "a deadline of 0",
    headers: { "x-deadline-ms": "0" },
    status: 400,
    code: "invalid_header",
  },
  {
    name: "a request id that contains a space",
    headers: { "x-request-id": "a b" },
    status: 400,
    code: "invalid_header",
  },
  {
    name: "an unknown model",
    body: '{"model":"z","prompt":"x"}',
    status: 404,
    code: "unknown_model",
  },
  { name: "a body that is not JSON", body: "{", status: 400, code: "invalid_body" },
  {
    name: "a prompt that is not a string",
    body: '{"model":"layout-7b","prompt":1}',
    status: 400,
    code: "invalid_body",
  },
  {
    name: "a request for two choices",
    body: '{"model":"layout-7b","prompt":"x","n":2}',
    status: 400,
    code: "invalid_body",
  },
  {
    name: "a body above max_body_bytes",
    body: `{"model":"layout-7b","prompt":"${"x".repeat(70_000)}"}`,
    status: 413,
    code: "body_too_large",
  },
  {
    name: "a prompt above max_prompt_tokens",
    body: `{"model":"layout-7b","prompt":"${"x".repeat(5_000)}"}`,
    status: 413,
    code: "prompt_too_large",
  },
  {
    name: "a forged cursor",
    headers: { "last-event-id": "a.b.c.d.e" },
    status: 400,
    code: "invalid_cursor",
  },
  { name: "an unknown path", path: "/v2/x", status: 404, code: "unknown_path" },
  { name: "an unknown service", path: "/services/z/orders", status: 404, code: "unknown_service" },
  {
    name: "an unknown operation",
    path: "/services/orders/refunds",
    status: 404,
    code: "unknown_operation",
  },
];

tap.t.test("an invalid request gets its specific error and is not forwarded", async (t) => {
  const harness = new testHarness.TestHarness();
  t.teardown(() => harness.stop());
  const { engines, services, entries: [entry] } = await fleets.startFleet(harness, {
    services: 1,
    extraSettings: "limits: { max_body_bytes: 65536, max_prompt_tokens: 1000 }",
  });
  const before = (await fleets.readEngineLedger(engines[0]!)).generations.length;
  for (const invalidRequest of INVALID_REQUESTS) {
    const response = await undici.request(
      `http://${entry!.address}${invalidRequest.path ?? "/v1/completions"}`,
      {
        method: invalidRequest.method ?? "POST",
        headers: {
          "x-workspace": "orchard",
          "content-type": "application/json",
          ...invalidRequest.headers,
        },
        body: invalidRequest.body ?? PROMPT,
      },
    );
    const problem = await response.body.json() as {
      readonly code: string;
      readonly outcome: string;
    };
    t.equal(response.statusCode, invalidRequest.status, invalidRequest.name);
    t.equal(problem.code, invalidRequest.code, invalidRequest.name);
    t.equal(problem.outcome, "not_run", invalidRequest.name);
    t.equal(response.headers["content-type"], "application/problem+json");
  }
  const after = (await fleets.readEngineLedger(engines[0]!)).generations.length;
  t.equal(after, before);
  t.equal((await fleets.readServiceLedger(services[0]!)).length, 0);
});

tap.t.test("invalid settings: all problems are reported and nothing starts", async (t) => {
  const harness = new testHarness.TestHarness();
  t.teardown(() => harness.stop());
  const file = harness.writeFile(
    "settings.yaml",
    "process: a\nzone: 3\ncallers: { host: x }\nextra: 1\n",
  );
  const result = await harness.runEntry(["--settings", file, "--check"]);
  t.equal(result.code, 1);
  const lines = result.stderr.replaceAll(file, "settings.yaml").trimEnd().split("\n");
  t.ok(lines.includes("settings.yaml:2: zone: must be a string"));
  t.ok(lines.includes("settings.yaml:3: callers.port: missing key"));
  t.ok(lines.includes("settings.yaml:4: extra: unknown key"));
  t.ok(lines.some((line) => line.includes("cursor_secret: missing key")));
  t.equal((await harness.runEntry([])).code, 1);
});

tap.t.test("when the caller disconnects mid-stream, its generation is cancelled", async (t) => {
  const harness = new testHarness.TestHarness();
  t.teardown(() => harness.stop());
  const { engines, entries: [entry] } = await fleets.startFleet(harness, {
    engines: [["--base", "15"]],
  });
  const response = await undici.request(`http://${entry!.address}/v1/completions`, {
    method: "POST",
    headers: { "x-workspace": "orchard", "x-request-id": "hang-up" },
    body: '{"model":"layout-7b","prompt":"[len=2000]","stream":true}',
  });
  response.body.on("error", () => {});
  await new Promise((resolve) => response.body.once("data", resolve));
  response.body.destroy();
  await testHarness.waitUntil(async () => {
    const { generations } = await fleets.readEngineLedger(engines[0]!);
    return generations.some((entry) => entry.attempt.startsWith("hang-up~") && entry.cancelled);
  }, "the generation is cancelled");
  t.pass();
});
