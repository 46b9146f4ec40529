import * as core from "@peridotvale/core";
import * as fastCheck from "fast-check";
import * as tap from "tap";
import type * as attribution from "./crash_attribution.ts";
import * as quarantines from "./prompt_quarantine.ts";

const MINUTE_MS = 60_000;
const SYSTEM = createPart("system");
const TENANT = createPart("tenant");
const HARMFUL = createPart("harmful");

function createPart(id: string): core.PromptPartId {
  return core.createId<core.PromptPartId>(id);
}

function createSuspect(prompt: string, ...parts: core.PromptPartId[]): attribution.SuspectPrompt {
  return { prompt: createPart(prompt), parts };
}

function createCrash(index: number, ...suspects: attribution.SuspectPrompt[]) {
  return { instance: core.createId<core.InstanceId>(`e-${index}`), suspects };
}

/** A crash under a prompt with the harmful part, alone at its engine. */
function createHarmfulCrash(index: number) {
  return createCrash(index, createSuspect(`own-${index}`, SYSTEM, TENANT, HARMFUL));
}

function isFree(quarantine: quarantines.PromptQuarantine, part: core.PromptPartId, now: number) {
  return quarantine.findQuarantined([part], now) === undefined;
}

tap.t.test("a part that recurs in crashes is quarantined; the parts beside it are not", (t) => {
  const quarantine = new quarantines.PromptQuarantine();
  quarantine.recordOutput([SYSTEM, TENANT], 0);
  t.same(quarantine.recordCrash(createHarmfulCrash(1), 1_000).added, []);
  const { added } = quarantine.recordCrash(createHarmfulCrash(2), 2_000);
  t.same(added.map((entry) => entry.part), [HARMFUL]);
  t.notOk(isFree(quarantine, HARMFUL, 2_000));
  t.ok(isFree(quarantine, SYSTEM, 2_000));
  t.ok(isFree(quarantine, TENANT, 2_000));
  t.end();
});

// A tenant whose prompts nearly all have the harmful part must still be served without it.
tap.t.test("of parts that are always together, only the most specific is quarantined", (t) => {
  const quarantine = new quarantines.PromptQuarantine();
  for (let i = 1; i <= 6; i += 1) quarantine.recordCrash(createHarmfulCrash(i), i * 1_000);
  t.notOk(isFree(quarantine, HARMFUL, 7_000));
  t.ok(isFree(quarantine, TENANT, 7_000));
  t.ok(isFree(quarantine, SYSTEM, 7_000));
  t.end();
});

tap.t.test("a harmful part is found among many prompts that wait at the same engines", (t) => {
  const quarantine = new quarantines.PromptQuarantine();
  for (let i = 1; i <= 3; i += 1) {
    const waiting = [1, 2, 3, 4, 5].map((other) =>
      createSuspect(`wait-${i}-${other}`, SYSTEM, createPart(`field-${i}-${other}`))
    );
    const suspects = [...waiting, createSuspect(`own-${i}`, SYSTEM, TENANT, HARMFUL)];
    quarantine.recordOutput([SYSTEM], i * 1_000 - 100);
    quarantine.recordCrash(createCrash(i, ...suspects), i * 1_000);
  }
  t.notOk(isFree(quarantine, HARMFUL, 4_000));
  t.ok(isFree(quarantine, SYSTEM, 4_000));
  t.end();
});

tap.t.test("output after a crash clears a part", (t) => {
  const quarantine = new quarantines.PromptQuarantine();
  quarantine.recordCrash(createHarmfulCrash(1), 1_000);
  quarantine.recordCrash(createHarmfulCrash(2), 2_000);
  t.same(quarantine.recordOutput([HARMFUL], 3_000).released, [HARMFUL]);
  t.ok(isFree(quarantine, HARMFUL, 3_000));
  t.end();
});

// The loss of a rack ends many engines at once; the parts of its prompts are not the cause.
tap.t.test("engines that are lost at the same moment count as one crash", (t) => {
  const quarantine = new quarantines.PromptQuarantine();
  for (let i = 1; i <= 8; i += 1) quarantine.recordCrash(createHarmfulCrash(i), 1_000 + i);
  t.equal(quarantine.size, 0);
  t.end();
});

tap.t.test("a prompt that its caller repeats does not quarantine the parts it shares", (t) => {
  const quarantine = new quarantines.PromptQuarantine();
  for (let i = 1; i <= 6; i += 1) {
    quarantine.recordCrash(createCrash(i, createSuspect("own", SYSTEM, TENANT)), i * 1_000);
  }
  t.equal(quarantine.size, 0);
  t.end();
});

tap.t.test("a part that was sound before is quarantined once crashes go on without output", (t) => {
  const quarantine = new quarantines.PromptQuarantine();
  quarantine.recordOutput([HARMFUL], 500);
  quarantine.recordOutput([SYSTEM, TENANT], 600);
  quarantine.recordCrash(createHarmfulCrash(1), 1_000);
  quarantine.recordCrash(createHarmfulCrash(2), 2_000);
  t.equal(quarantine.size, 0);
  quarantine.recordCrash(createHarmfulCrash(3), 3_000);
  t.notOk(isFree(quarantine, HARMFUL, 3_000));
  t.end();
});

tap.t.test("a quarantine ends after a time; one further crash renews it", (t) => {
  const quarantine = new quarantines.PromptQuarantine();
  quarantine.recordCrash(createHarmfulCrash(1), 1_000);
  quarantine.recordCrash(createHarmfulCrash(2), 2_000);
  const end = 2_000 + 10 * MINUTE_MS;
  t.same(quarantine.expireEvidence(end).released, [HARMFUL]);
  t.ok(isFree(quarantine, HARMFUL, end));
  t.same(quarantine.recordCrash(createHarmfulCrash(3), end + 1_000).added[0]?.part, HARMFUL);
  quarantine.expireEvidence(end + 21 * MINUTE_MS);
  t.same(quarantine.listNews(-Infinity, end + 21 * MINUTE_MS), { crashes: [], soundParts: [] });
  t.end();
});

tap.t.test("a process that starts late concludes the same from its peers' evidence", (t) => {
  const first = new quarantines.PromptQuarantine();
  const second = new quarantines.PromptQuarantine();
  first.recordOutput([SYSTEM], 500);
  first.recordCrash(createHarmfulCrash(1), 1_000);
  second.recordCrash(createHarmfulCrash(2), 2_000);
  second.applyNews(first.listNews(-Infinity, 2_100), 2_100);
  t.notOk(isFree(second, HARMFUL, 2_100));
  t.ok(isFree(second, SYSTEM, 2_100));
  const late = new quarantines.PromptQuarantine();
  // The clock of another process has another origin.
  late.applyNews(second.listNews(-Infinity, 50_000), 9);
  t.notOk(isFree(late, HARMFUL, 10));
  t.end();
});

tap.t.test("two processes that report one crash to each other do not repeat it forever", (t) => {
  const first = new quarantines.PromptQuarantine();
  const second = new quarantines.PromptQuarantine();
  const suspects = [createSuspect("own-a", SYSTEM), createSuspect("own-b", TENANT)];
  first.recordOutput([SYSTEM], 900);
  first.recordCrash(createCrash(1, suspects[0]!), 1_000);
  second.recordCrash(createCrash(1, suspects[1]!), 1_010);
  let now = 1_100;
  for (let i = 0; i < 10; i += 1) {
    second.applyNews(first.listNews(now - 100, now), now + 20);
    first.applyNews(second.listNews(now - 100, now), now + 20);
    now += 100;
  }
  t.same(first.listNews(now - 100, now), { crashes: [], soundParts: [] });
  t.same(second.listNews(now - 100, now), { crashes: [], soundParts: [] });
  t.equal(first.listNews(-Infinity, now).crashes.length, 1);
  t.equal(first.listNews(-Infinity, now).crashes[0]?.suspects.length, 2);
  t.end();
});

tap.t.test("a quarantine from the store holds without evidence, until it is removed", (t) => {
  const quarantine = new quarantines.PromptQuarantine();
  quarantine.applyStored({ part: HARMFUL, crashCount: 2 }, 1_000);
  t.notOk(isFree(quarantine, HARMFUL, 2_000));
  // Its crashes must not be attributed to the parts beside it.
  for (let i = 1; i <= 4; i += 1) quarantine.recordCrash(createHarmfulCrash(i), 2_000 + i * 1_000);
  t.ok(isFree(quarantine, TENANT, 7_000));
  t.same(quarantine.removeStored(HARMFUL, 7_000).released, []);
  t.notOk(isFree(quarantine, HARMFUL, 7_000), "its crashes are known now");
  const other = new quarantines.PromptQuarantine();
  other.applyStored({ part: HARMFUL, crashCount: 2 }, 1_000);
  t.same(other.recordOutput([HARMFUL], 2_000).released, [HARMFUL], "output clears it");
  other.applyStored({ part: SYSTEM, crashCount: 2 }, 1_000);
  t.same(other.expireEvidence(1_000 + 10 * MINUTE_MS).released, [SYSTEM]);
  t.end();
});

tap.t.test("evidence is bounded, whatever callers send", (t) => {
  const quarantine = new quarantines.PromptQuarantine();
  for (let i = 1; i <= 400; i += 1) {
    const suspects = Array.from(
      { length: 40 },
      (_, other) => createSuspect(`own-${i}-${other}`, createPart(`p-${i}-${other}`)),
    );
    quarantine.recordCrash(createCrash(i, ...suspects), i * 1_000);
  }
  const { crashes } = quarantine.listNews(-Infinity, 401_000);
  t.equal(crashes.length, 128);
  t.ok(crashes.every((crash) => crash.suspects.length <= 16));
  t.end();
});

tap.t.test("the order in which evidence arrives does not change the conclusions", (t) => {
  const eventArbitrary = fastCheck.record({
    kind: fastCheck.constantFrom("crash" as const, "output" as const),
    at: fastCheck.integer({ min: 0, max: 20_000 }),
    parts: fastCheck.uniqueArray(fastCheck.constantFrom(SYSTEM, TENANT, HARMFUL), { minLength: 1 }),
  });
  const eventsArbitrary = fastCheck.uniqueArray(eventArbitrary, {
    maxLength: 12,
    selector: (event) => Math.floor(event.at / 2_000),
  });
  fastCheck.assert(
    fastCheck.property(eventsArbitrary, (events) => {
      const now = 21_000;
      const inOrder = new quarantines.PromptQuarantine();
      const reversed = new quarantines.PromptQuarantine();
      const createNews = (event: (typeof events)[number], index: number) => ({
        crashes: event.kind === "crash"
          ? [{
            instance: core.createId<core.InstanceId>(`e-${index}`),
            ageMs: now - event.at,
            suspects: [createSuspect(`own-${index}`, ...event.parts)],
          }]
          : [],
        soundParts: event.kind === "output"
          ? event.parts.map((part) => ({ part, ageMs: now - event.at }))
          : [],
      });
      const news = events.map(createNews);
      // Crashes first: only then does output of their parts count as evidence at all.
      const crashes = news.filter((entry) => entry.crashes.length > 0);
      const outputs = news.filter((entry) => entry.crashes.length === 0);
      for (const entry of [...crashes, ...outputs]) inOrder.applyNews(entry, now);
      for (const entry of [...crashes.toReversed(), ...outputs.toReversed()]) {
        reversed.applyNews(entry, now);
      }
      for (const part of [SYSTEM, TENANT, HARMFUL]) {
        if (isFree(inOrder, part, now) !== isFree(reversed, part, now)) return false;
      }
      return true;
    }),
    { seed: 20261204, numRuns: 500 },
  );
  t.end();
});
