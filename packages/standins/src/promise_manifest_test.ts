import * as tap from "tap";
import * as caller from "./caller.ts";
import * as fleets from "./fleet_bed.ts";
import * as testBed from "./test_bed.ts";

interface Submission {
  readonly type: string;
  readonly inForce?: number;
  readonly submission?: string;
}

/** Time in which a release must be in force everywhere. */
const IN_FORCE_MS = 6_000;

tap.t.test("releases only rise, and spread", async (t) => {
  const bed = new testBed.TestBed();
  t.teardown(() => bed.stop());
  const { entries } = await fleets.startFleet(bed, {
    engines: [],
    entries: ["asahikawa", "asahikawa", "furano"],
  });
  const [first, second, third] = entries as [
    testBed.StartedEntry,
    testBed.StartedEntry,
    testBed.StartedEntry,
  ];

  await t.test("ten operators racing: one wins, the others are told against what", async (t) => {
    const answers = await Promise.all(
      Array.from(
        { length: 10 },
        (_, index) =>
          submit(entries[index % 3]!, { release: 2, base: 1, submission: `racer-${index}` }),
      ),
    );
    const winners = answers.filter((answer) => answer.type === "accepted");
    t.equal(winners.length, 1);
    for (const answer of answers) {
      if (answer.type === "accepted") continue;
      t.equal(answer.type, "conflict");
      t.equal(answer.inForce, 2);
      t.equal(answer.submission, winners[0]!.submission);
    }
    await waitRelease(entries, 2);
  });

  await t.test("an answer lost after the effect is resolved", async (t) => {
    await bed.postPlatform("faults", { dropAnswers: 1 });
    const answer = await submit(first, { release: 3, base: 2, submission: "lost" });
    t.equal(answer.type, "accepted");
    await waitRelease(entries, 3);
  });

  await t.test("the store is down: not accepted, serving goes on", async (t) => {
    await bed.postPlatform("faults", { down: true });
    const answer = await submit(first, { release: 4, base: 3, submission: "down" });
    t.not(answer.type, "accepted");
    t.equal(await readRelease(second), 3);
    await bed.postPlatform("faults", {});
  });

  await t.test("down in mid-spread: peers pass it on", async (t) => {
    const current = await readRelease(first);
    const answer = await submit(first, { release: current + 1, base: current, submission: "mid" });
    await bed.postPlatform("faults", { down: true });
    t.equal(answer.type, "accepted");
    await waitRelease(entries, current + 1);
    await bed.postPlatform("faults", {});
  });

  await t.test("a store that comes back older is brought up to date", async (t) => {
    await bed.postPlatform("snapshot", {});
    const current = await readRelease(first);
    await submit(second, { release: current + 1, base: current, submission: "newer" });
    await waitRelease(entries, current + 1);
    await bed.postPlatform("rollback", {});
    await testBed.waitUntil(async () => {
      const { values } = await caller.readJson<{
        readonly values: readonly { readonly key: string; readonly value: string }[];
      }>(`http://${bed.platform}/test/values`);
      const stored = values.find((entry) => entry.key === "peridotvale/manifest");
      return stored !== undefined && JSON.parse(stored.value).release === current + 1;
    }, "the store holds the release in force");
    for (const entry of entries) t.equal(await readRelease(entry), current + 1);
  });

  await t.test("a process started while the platform is unreachable learns it", async (t) => {
    await bed.postPlatform("faults", { down: true });
    const late = await bed.startEntry("furano-9", "furano", { seeds: [third.peers] });
    await waitRelease([late], await readRelease(first));
    t.equal(await readRelease(late), await readRelease(first));
    await bed.postPlatform("faults", {});
  });

  await t.test("a watcher killed: still in force within the bound", async (t) => {
    const current = await readRelease(first);
    second.child.kill("SIGKILL");
    const answer = await submit(third, {
      release: current + 1,
      base: current,
      submission: "watcher-killed",
    });
    t.equal(answer.type, "accepted");
    await waitRelease([first, third], current + 1);
  });
});

async function submit(
  entry: testBed.StartedEntry,
  options: { readonly release: number; readonly base: number; readonly submission: string },
): Promise<Submission> {
  const text = testBed.TEST_MANIFEST.replace("release: 1", `release: ${options.release}`);
  const query = `base=${options.base}&submission=${options.submission}`;
  const response = await fetch(`http://${entry.operators}/manifest?${query}`, {
    method: "POST",
    body: text,
  });
  return await response.json() as Submission;
}

async function readRelease(entry: testBed.StartedEntry): Promise<number> {
  const manifest = await caller.readJson<{ readonly release?: number }>(
    `http://${entry.operators}/manifest`,
  );
  return manifest.release ?? 0;
}

async function waitRelease(
  entries: readonly testBed.StartedEntry[],
  release: number,
): Promise<void> {
  await testBed.waitUntil(
    async () => {
      for (const entry of entries) if (await readRelease(entry) !== release) return false;
      return true;
    },
    `release ${release} is in force`,
    IN_FORCE_MS,
  );
}
