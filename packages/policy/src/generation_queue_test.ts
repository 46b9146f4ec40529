import * as core from "@peridotvale/core";
import * as tap from "tap";
import * as queues from "./generation_queue.ts";

const DRAFT = { promptTokens: 3_000, maxOutputTokens: 2_000, expectedOutputTokens: 900 };
const TOKEN_MS = 7;
const NOW = 0;
const QUERY = { promptTokens: 2_300, maxOutputTokens: 40, expectedOutputTokens: 16 };

function createWaiting(
  id: string,
  changes: Partial<queues.WaitingGeneration> = {},
): queues.WaitingGeneration {
  return {
    request: core.createId<core.RequestId>(id),
    service: core.createId<core.ServiceName>("drafts"),
    size: DRAFT,
    rank: 2,
    workspace: core.createId<core.WorkspaceName>("large"),
    arrivedAt: 0,
    targetBy: 4_000,
    answerBy: 39_000,
    ...changes,
  };
}

function placeAll(queue: queues.GenerationQueue, now: number, room = Infinity): string[] {
  const placed: string[] = [];
  queue.placeWaiting(now, (waiting) => {
    if (placed.length >= room) return false;
    placed.push(waiting.request);
    return true;
  });
  return placed;
}

tap.t.test("urgent before the rest, on time before late, small workspaces before large", (t) => {
  const queue = new queues.GenerationQueue(() => TOKEN_MS);
  const small = core.createId<core.WorkspaceName>("small");
  queue.add(createWaiting("late", { targetBy: 500 }), NOW);
  queue.add(createWaiting("large-1", { arrivedAt: 1 }), NOW);
  queue.add(createWaiting("large-2", { arrivedAt: 2 }), NOW);
  queue.add(createWaiting("small-1", { arrivedAt: 3, workspace: small }), NOW);
  queue.add(createWaiting("query", { arrivedAt: 4, rank: 0, size: QUERY, answerBy: 6_000 }), NOW);
  t.same(placeAll(queue, 1_000, 2), ["query", "small-1"]);
  t.equal(queue.size, 3);
  t.same(placeAll(queue, 1_000), ["large-1", "large-2", "late"]);
  t.end();
});

tap.t.test("a workspace with much running waits behind one with little", (t) => {
  const queue = new queues.GenerationQueue(() => TOKEN_MS);
  for (let i = 0; i < 5; i++) queue.recordStart(createWaiting(`running-${i}`), 0);
  queue.add(createWaiting("large", { arrivedAt: 1 }), NOW);
  const small = core.createId<core.WorkspaceName>("small");
  queue.add(createWaiting("small", { arrivedAt: 2, workspace: small }), NOW);
  t.same(placeAll(queue, 10, 1), ["small"]);
  t.end();
});

tap.t.test("a flood is refused once its wait outlasts the deadline, not before", (t) => {
  const queue = new queues.GenerationQueue(() => TOKEN_MS);
  const admitted = createWaiting("admitted", { answerBy: Infinity });
  t.equal(queue.isHopeless(createWaiting("first"), 0), false);
  queue.add(createWaiting("second"), 0);
  // Two drafts a second are admitted, while others wait.
  for (let at = 0; at < 5_000; at += 500) queue.recordStart(admitted, at);
  let accepted = 0;
  for (let i = 0; i < 200; i++) {
    const waiting = createWaiting(`flood-${i}`, { arrivedAt: 5_000, answerBy: 44_000 });
    if (queue.isHopeless(waiting, 5_000)) break;
    queue.add(waiting, NOW);
    accepted += 1;
  }
  // 39 s less the 6.5 s of the run itself, at two a second.
  t.ok(accepted >= 60 && accepted <= 70, `accepted ${accepted}`);
  const query = createWaiting("query", { rank: 0, size: QUERY, answerBy: 11_000 });
  t.equal(queue.isHopeless(query, 5_000), false, "what is less urgent does not count");
  t.end();
});

tap.t.test("what cannot be whole in time any more is taken out", (t) => {
  const queue = new queues.GenerationQueue(() => TOKEN_MS);
  queue.add(createWaiting("draft"), NOW);
  t.same(queue.takeHopeless(32_600), []);
  t.same(queue.takeHopeless(32_800).map((one) => one.request), ["draft"]);
  t.equal(queue.size, 0);
  t.end();
});

tap.t.test("few admissions while nothing waits do not look like a slow fleet", (t) => {
  const queue = new queues.GenerationQueue(() => TOKEN_MS);
  for (let at = 0; at < 5_000; at += 1_200) queue.recordStart(createWaiting("quiet"), at);
  for (let i = 0; i < 4; i++) queue.add(createWaiting(`burst-${i}`), 5_000);
  const query = createWaiting("query", { size: QUERY, arrivedAt: 5_000, answerBy: 11_000 });
  t.equal(queue.isHopeless(query, 5_000), false);
  t.end();
});
