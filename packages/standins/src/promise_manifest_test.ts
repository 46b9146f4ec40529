/**
 * Tests manifest releases under concurrent submissions, store failures and killed processes.
 * Guards against a release number that decreases, two accepted submissions of the same release, and
 * processes that stay on an old release.
 */

import * as tap from "tap";
import * as caller from "./caller.ts";
import * as fleets from "./test_fleet.ts";
import * as testHarness from "./test_harness.ts";

interface SubmitAnswer {
  readonly type: string;
  readonly inForce?: number;
  readonly submission?: string;
}

/** Time within which a release must be in force at every process. */
const IN_FORCE_BOUND_MS = 6_000;

tap.t.test("release numbers only increase, and a release reaches every process", async (t) => {
  const harness = new testHarness.TestHarness();
  t.teardown(() => harness.stop());
  const { entries } = await fleets.startFleet(harness, {
    engines: [],
    entries: ["asahikawa", "asahikawa", "furano"],
  });
  const [first, second, third] = entries as [
    testHarness.StartedEntry,
    testHarness.StartedEntry,
    testHarness.StartedEntry,
  ];

  await t.test("ten concurrent submissions: one accepted, others get a conflict", async (t) => {
    const answers = await Promise.all(
      Array.from(
        { length: 10 },
        (_, index) =>
          submitRelease(entries[index % 3]!, { release: 2, base: 1, submission: `racer-${index}` }),
      ),
    );
    const acceptedAnswers = answers.filter((answer) => answer.type === "accepted");
    t.equal(acceptedAnswers.length, 1);
    for (const answer of answers) {
      if (answer.type === "accepted") continue;
      t.equal(answer.type, "conflict");
      t.equal(answer.inForce, 2);
      t.equal(answer.submission, acceptedAnswers[0]!.submission);
    }
    await waitRelease(entries, 2);
  });

  await t.test("store answer lost after the write: the submission is accepted", async (t) => {
    await harness.postToPlatform("faults", { dropAnswers: 1 });
    const answer = await submitRelease(first, { release: 3, base: 2, submission: "lost" });
    t.equal(answer.type, "accepted");
    await waitRelease(entries, 3);
  });

  await t.test("store down: submission not accepted, old release stays in force", async (t) => {
    await harness.postToPlatform("faults", { down: true });
    const answer = await submitRelease(first, { release: 4, base: 3, submission: "down" });
    t.not(answer.type, "accepted");
    t.equal(await readRelease(second), 3);
    await harness.postToPlatform("faults", {});
  });

  await t.test("store fails right after acceptance: peers distribute the release", async (t) => {
    const current = await readRelease(first);
    const answer = await submitRelease(first, {
      release: current + 1,
      base: current,
      submission: "mid",
    });
    await harness.postToPlatform("faults", { down: true });
    t.equal(answer.type, "accepted");
    await waitRelease(entries, current + 1);
    await harness.postToPlatform("faults", {});
  });

  await t.test("store rolled back: the processes restore the newer release", async (t) => {
    await harness.postToPlatform("snapshot", {});
    const current = await readRelease(first);
    await submitRelease(second, { release: current + 1, base: current, submission: "newer" });
    await waitRelease(entries, current + 1);
    await harness.postToPlatform("rollback", {});
    await testHarness.waitUntil(async () => {
      const { values } = await caller.readJson<{
        readonly values: readonly { readonly key: string; readonly value: string }[];
      }>(`http://${harness.platform}/test/values`);
      const stored = values.find((entry) => entry.key === "peridotvale/manifest");
      return stored !== undefined && JSON.parse(stored.value).release === current + 1;
    }, "the store holds the release in force");
    for (const entry of entries) t.equal(await readRelease(entry), current + 1);
  });

  await t.test("process started while the platform is down: peers send the release", async (t) => {
    await harness.postToPlatform("faults", { down: true });
    const newEntry = await harness.startEntry("furano-9", "furano", { seeds: [third.peers] });
    await waitRelease([newEntry], await readRelease(first));
    t.equal(await readRelease(newEntry), await readRelease(first));
    await harness.postToPlatform("faults", {});
  });

  await t.test("process killed: the next release reaches the others in time", async (t) => {
    const current = await readRelease(first);
    second.child.kill("SIGKILL");
    const answer = await submitRelease(third, {
      release: current + 1,
      base: current,
      submission: "watcher-killed",
    });
    t.equal(answer.type, "accepted");
    await waitRelease([first, third], current + 1);
  });
});

async function submitRelease(
  entry: testHarness.StartedEntry,
  options: { readonly release: number; readonly base: number; readonly submission: string },
): Promise<SubmitAnswer> {
  const text = testHarness.TEST_MANIFEST.replace("release: 1", `release: ${options.release}`);
  const query = `base=${options.base}&submission=${options.submission}`;
  const response = await fetch(`http://${entry.operators}/manifest?${query}`, {
    method: "POST",
    body: text,
  });
  return await response.json() as SubmitAnswer;
}

async function readRelease(entry: testHarness.StartedEntry): Promise<number> {
  const manifest = await caller.readJson<{ readonly release?: number }>(
    `http://${entry.operators}/manifest`,
  );
  return manifest.release ?? 0;
}

async function waitRelease(
  entries: readonly testHarness.StartedEntry[],
  release: number,
): Promise<void> {
  await testHarness.waitUntil(
    async () => {
      for (const entry of entries) if (await readRelease(entry) !== release) return false;
      return true;
    },
    `release ${release} is in force`,
    IN_FORCE_BOUND_MS,
  );
}
