import * as tap from "tap";
import * as knownFailures from "./known_failures.ts";
import * as results from "./tap_results.ts";

/**
 * Creates the output of `tap run` for one file with two subtests, of which the first is in
 * LISTED_SUBTESTS. `outcomes` holds `ok` or `not ok` for each.
 */
function createTapOutput(outcomes: { readonly listed: string; readonly other: string }): string {
  const { listed, other } = outcomes;
  const outer = listed === "ok" && other === "ok" ? "ok" : "not ok";
  return [
    "TAP version 14",
    "# Subtest: a_test.js",
    "    # Subtest: outer",
    "        # Subtest: by failing: listed",
    `            ${listed} 1 - first assertion`,
    "              ---",
    "              at:",
    "              ...",
    "            1..1",
    `        ${listed} 1 - by failing: listed # time=2.1ms`,
    "        # Subtest: other",
    `            ${other} 1 - second assertion`,
    "            1..1",
    `        ${other} 2 - other # time=2.1ms`,
    "        1..2",
    `    ${outer} 1 - outer # time=2.1ms`,
    "    1..1",
    `${outer} 1 - a_test.js # time=2.1ms`,
    "1..1",
  ].join("\n");
}

const LISTED_SUBTESTS = [{ file: "a_test.js", subtest: "by failing: listed" }];

tap.t.test("a failed assertion in a listed subtest is a known failure", (t) => {
  const { failures } = results.parseTapResults(createTapOutput({ listed: "not ok", other: "ok" }));
  const { known, unexpected } = knownFailures.compareFailures(failures, LISTED_SUBTESTS);
  t.same(known.map(knownFailures.formatFailure), ["outer > by failing: listed > first assertion"]);
  t.same(unexpected, []);
  t.end();
});

tap.t.test(
  "a failed assertion in another subtest or another file than listed is an unexpected failure",
  (t) => {
    const { failures } = results.parseTapResults(
      createTapOutput({ listed: "not ok", other: "not ok" }),
    );
    const { known, unexpected } = knownFailures.compareFailures(failures, LISTED_SUBTESTS);
    t.equal(known.length, 1);
    t.same(unexpected.map(knownFailures.formatFailure), ["outer > other > second assertion"]);
    const elsewhere = knownFailures.compareFailures(failures, [{
      ...LISTED_SUBTESTS[0]!,
      file: "b_test.js",
    }]);
    t.equal(elsewhere.known.length, 0);
    t.end();
  },
);

tap.t.test("the output of a run that passes yields no failures", (t) => {
  t.same(results.parseTapResults(createTapOutput({ listed: "ok", other: "ok" })).failures, []);
  t.end();
});

tap.t.test(
  "a file that ends before its plan is complete yields an unexpected failure",
  (t) => {
    const output = [
      "# Subtest: a_test.js",
      "    # Subtest: outer",
      "        # Subtest: by failing: listed",
      "            not ok 1 - first assertion",
      "            1..1",
      "        not ok 1 - by failing: listed # time=2.1ms",
      "    1..0 # no tests found",
      "not ok 1 - a_test.js # time=2.1ms",
    ].join("\n");
    const { known, unexpected } = knownFailures.compareFailures(
      results.parseTapResults(output).failures,
      LISTED_SUBTESTS,
    );
    t.equal(known.length, 1);
    t.same(unexpected.map(knownFailures.formatFailure), ["did not complete"]);
    t.end();
  },
);

tap.t.test("a file that fails without a failed assertion yields a failure", (t) => {
  const output = "# Subtest: a_test.js\n    1..0\nnot ok 1 - a_test.js # time=2.1ms\n";
  const { failures } = results.parseTapResults(output);
  t.same(failures.map(knownFailures.formatFailure), ["did not complete"]);
  t.end();
});

tap.t.test("a subtest that fails without a failed assertion yields a failure", (t) => {
  const output = createTapOutput({ listed: "not ok", other: "ok" })
    .replace("        ok 2 - other", "        not ok 2 - other");
  const { known, unexpected } = knownFailures.compareFailures(
    results.parseTapResults(output).failures,
    LISTED_SUBTESTS,
  );
  t.equal(known.length, 1);
  t.same(unexpected.map(knownFailures.formatFailure), ["outer > other # time=2.1ms"]);
  t.end();
});

tap.t.test("totals count each assertion once and neither subtests nor files", (t) => {
  const passed = results.parseTapResults(createTapOutput({ listed: "ok", other: "ok" }));
  t.equal(passed.passedCount, 2);
  t.equal(passed.failedCount, 0);
  const failed = results.parseTapResults(createTapOutput({ listed: "ok", other: "not ok" }));
  t.equal(failed.passedCount, 1);
  t.equal(failed.failedCount, 1);
  const withoutAssertion = createTapOutput({ listed: "ok", other: "ok" })
    .replace("            ok 1 - second assertion\n            1..1", "            1..0");
  t.equal(results.parseTapResults(withoutAssertion).passedCount, 2, "an empty subtest counts");
  t.end();
});

tap.t.test("a complete run of all expected files has no problem", (t) => {
  const tapResults = results.parseTapResults(createTapOutput({ listed: "ok", other: "ok" }));
  t.same(results.findRunProblems(tapResults, ["a_test.js"]), []);
  t.end();
});

tap.t.test("a run without tests, or without output, is a failed run", (t) => {
  for (const output of ["", "TAP version 14\n1..0 # no tests found\n"]) {
    const problems = results.findRunProblems(results.parseTapResults(output), []);
    t.ok(problems.includes("no assertion ran"), JSON.stringify(output));
  }
  t.end();
});

tap.t.test("an expected test file without a result fails the run", (t) => {
  const tapResults = results.parseTapResults(createTapOutput({ listed: "ok", other: "ok" }));
  t.same(results.findRunProblems(tapResults, ["a_test.js", "b_test.js"]), [
    "b_test.js: no result",
  ]);
  t.end();
});

tap.t.test("a run that ends before its plan fails, whatever has passed until then", (t) => {
  const complete = createTapOutput({ listed: "ok", other: "ok" });
  const cut = complete.replace(/\n1\.\.1$/, "\n1..2");
  t.same(results.findRunProblems(results.parseTapResults(cut), ["a_test.js"]), [
    "1 of 2 planned test files have a result",
  ]);
  const unplanned = complete.replace(/\n1\.\.1$/, "");
  t.equal(results.findRunProblems(results.parseTapResults(unplanned), ["a_test.js"]).length, 1);
  t.end();
});
