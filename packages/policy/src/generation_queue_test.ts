import * as core from "@peridotvale/core";
import * as tap from "tap";
import * as queues from "./generation_queue.ts";

const LONG_RUN_SIZE = { promptTokens: 3_000, maxOutputTokens: 2_000, expectedOutputTokens: 900 };
const TOKEN_MS = 7;
const NOW = 0;
const SHORT_RUN_SIZE = { promptTokens: 2_300, maxOutputTokens: 40, expectedOutputTokens: 16 };

function createWaitingGeneration(
  id: string,
  changes: Partial<queues.WaitingGeneration> = {},
): queues.WaitingGeneration {
  return {
    request: core.createId<core.RequestId>(id),
    service: core.createId<core.ServiceName>("drafts"),
    size: LONG_RUN_SIZE,
    rank: 2,
    workspace: core.createId<core.WorkspaceName>("large"),
    arrivedAt: 0,
    targetBy: 4_000,
    answerBy: 39_000,
    ...changes,
  };
}

function placeAll(queue: queues.GenerationQueue, now: number, maxCount = Infinity): string[] {
  const placedRequests: string[] = [];
  queue.placeWaiting(now, (waiting) => {
    if (placedRequests.length >= maxCount) return false;
    placedRequests.push(waiting.request);
    return true;
  });
  return placedRequests;
}

tap.t.test("generations are ordered by rank, lateness, and running count of the workspace", (t) => {
  const queue = new queues.GenerationQueue(() => TOKEN_MS);
  const smallWorkspace = core.createId<core.WorkspaceName>("small");
  queue.addGeneration(createWaitingGeneration("late", { targetBy: 500 }), NOW);
  queue.addGeneration(createWaitingGeneration("large-1", { arrivedAt: 1 }), NOW);
  queue.addGeneration(createWaitingGeneration("large-2", { arrivedAt: 2 }), NOW);
  queue.addGeneration(
    createWaitingGeneration("small-1", { arrivedAt: 3, workspace: smallWorkspace }),
    NOW,
  );
  queue.addGeneration(
    createWaitingGeneration("query", {
      arrivedAt: 4,
      rank: 0,
      size: SHORT_RUN_SIZE,
      answerBy: 6_000,
    }),
    NOW,
  );
  t.same(placeAll(queue, 1_000, 2), ["query", "small-1"]);
  t.equal(queue.size, 3);
  t.same(placeAll(queue, 1_000), ["large-1", "large-2", "late"]);
  t.end();
});

tap.t.test("a workspace with many running generations waits behind one with few", (t) => {
  const queue = new queues.GenerationQueue(() => TOKEN_MS);
  for (let i = 0; i < 5; i++) queue.recordStart(createWaitingGeneration(`running-${i}`), 0);
  queue.addGeneration(createWaitingGeneration("large", { arrivedAt: 1 }), NOW);
  const smallWorkspace = core.createId<core.WorkspaceName>("small");
  queue.addGeneration(
    createWaitingGeneration("small", { arrivedAt: 2, workspace: smallWorkspace }),
    NOW,
  );
  t.same(placeAll(queue, 10, 1), ["small"]);
  t.end();
});

// Generations that cannot meet their deadline would only delay the others in the queue.
tap.t.test("a generation is too late once its predicted end exceeds its deadline", (t) => {
  const queue = new queues.GenerationQueue(() => TOKEN_MS);
  const admittedGeneration = createWaitingGeneration("admitted", { answerBy: Infinity });
  t.equal(queue.isTooLate(createWaitingGeneration("first"), 0), false);
  queue.addGeneration(createWaitingGeneration("second"), 0);
  // Two long generations per second are admitted while the queue is not empty.
  for (let at = 0; at < 5_000; at += 500) queue.recordStart(admittedGeneration, at);
  let acceptedCount = 0;
  for (let i = 0; i < 200; i++) {
    const waiting = createWaitingGeneration(`flood-${i}`, { arrivedAt: 5_000, answerBy: 44_000 });
    if (queue.isTooLate(waiting, 5_000)) break;
    queue.addGeneration(waiting, NOW);
    acceptedCount += 1;
  }
  // 39 s less 6.5 s for the run itself leave room for about 65 generations at two per second.
  t.ok(acceptedCount >= 60 && acceptedCount <= 70, `accepted ${acceptedCount}`);
  const query = createWaitingGeneration("query", {
    rank: 0,
    size: SHORT_RUN_SIZE,
    answerBy: 11_000,
  });
  t.equal(queue.isTooLate(query, 5_000), false, "less urgent generations do not delay it");
  t.end();
});

tap.t.test("a generation that can no longer meet its deadline is removed", (t) => {
  const queue = new queues.GenerationQueue(() => TOKEN_MS);
  queue.addGeneration(createWaitingGeneration("draft"), NOW);
  t.same(queue.takeLateGenerations(32_600), []);
  t.same(queue.takeLateGenerations(32_800).map((waiting) => waiting.request), ["draft"]);
  t.equal(queue.size, 0);
  t.end();
});

// With an empty queue, the admission rate shows the demand and not the engines' capacity. A burst
// after a period of low demand would be refused although the engines have room.
tap.t.test("a low admission rate with an empty queue does not cause refusals", (t) => {
  const queue = new queues.GenerationQueue(() => TOKEN_MS);
  for (let at = 0; at < 5_000; at += 1_200) queue.recordStart(createWaitingGeneration("quiet"), at);
  for (let i = 0; i < 4; i++) queue.addGeneration(createWaitingGeneration(`burst-${i}`), 5_000);
  const query = createWaitingGeneration("query", {
    size: SHORT_RUN_SIZE,
    arrivedAt: 5_000,
    answerBy: 11_000,
  });
  t.equal(queue.isTooLate(query, 5_000), false);
  t.end();
});
