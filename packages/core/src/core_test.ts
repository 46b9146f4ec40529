import * as tap from "tap";
import * as disposers from "./disposer.ts";
import * as documents from "./document.ts";
import * as logs from "./log.ts";
import * as manifests from "./manifest.ts";

const VALID_MANIFEST = `release: 1
models: { m: { version: v, replicas: 1, max_output_tokens: 10 } }
ranks: { r: { order: 0, first_token_ms: 1, between_tokens_ms: 1, deadline_ms: 1 } }
default_rank: r
workspaces: { w: {} }
`;

tap.t.test("all problems of a manifest are reported together, with path and line", (t) => {
  const text = VALID_MANIFEST.replace("default_rank: r", "default_rank: none")
    .replace("workspaces: { w: {} }", "workspaces:\n  w: { weight: 0 }\n  BAD: {}\nextra: 1");
  const problems = manifests.parseManifest(text, { source: "m.yaml" })._unsafeUnwrapErr()
    .map(documents.formatDocumentProblem);
  t.same(problems, [
    "m.yaml:6: workspaces.w.weight: must be at least 0.001",
    "m.yaml:7: workspaces.BAD: must be 1 to 63 lower-case letters, digits, '.', '_' or '-'",
    "m.yaml:8: extra: unknown key",
  ]);
  const referenceProblems = manifests.parseManifest(
    VALID_MANIFEST.replace("default_rank: r", "default_rank: x"),
    {
      source: "m.yaml",
    },
  )._unsafeUnwrapErr().map(documents.formatDocumentProblem);
  t.same(referenceProblems, ["m.yaml:4: default_rank: no such rank: x"]);
  t.end();
});

tap.t.test("invalid YAML is reported with the source and a line", (t) => {
  const [problem] = manifests.parseManifest("a: [1\nb: 2", { source: "x" })._unsafeUnwrapErr();
  t.equal(problem?.source, "x");
  t.ok(problem!.line >= 1);
  t.end();
});

tap.t.test("ranks of the same order and minimum shares above 0.9 in total are rejected", (t) => {
  const text = VALID_MANIFEST.replace(
    /ranks:.*\n/,
    "ranks:\n" +
      "  r: { order: 0, first_token_ms: 1, between_tokens_ms: 1, deadline_ms: 1, floor: 0.5 }\n" +
      "  s: { order: 0, first_token_ms: 1, between_tokens_ms: 1, deadline_ms: 1, floor: 0.5 }\n",
  );
  const problems = manifests.parseManifest(text, { source: "m" })._unsafeUnwrapErr();
  t.same(problems.map((problem) => problem.path), ["ranks.s.order", "ranks"]);
  t.end();
});

tap.t.test("a log event is one line of key=value pairs; values are quoted if necessary", (t) => {
  t.equal(
    logs.formatLine("request_ended", { a: 1, b: "x y", c: undefined, d: 'q"', e: true }),
    'event=request_ended a=1 b="x y" d="q\\"" e=true',
  );
  t.end();
});

tap.t.test("merged disposers run once, in reverse order", (t) => {
  const order: number[] = [];
  const dispose = disposers.mergeDisposers(() => order.push(1), () => order.push(2));
  dispose();
  dispose();
  t.same(order, [2, 1]);
  t.end();
});
