/** One model server in trouble sends bytes that are no answer, without end, in small chunks. */

import * as lib from "../lib-2/fleet.js";

const CALLER_COUNT = 15;
const WORK_MS = 60;
const TIMEOUT_MS = 1_500;
/** CONFIG: of the requests unanswered at the time-out, more than half are so half a second later. */
const LATE_MS = 500;
const MIN_LATE_REQUESTS = 8;
const DEADLINE_MS = 5_000;
const RUN_MS = 15_000;
/** One of seven model servers is in trouble. */
const MODEL_SERVER_COUNT = 7;
const GENERATION_COUNT = 42;
/** About the text of one event, which holds 4 tokens. */
const CHUNK_BYTES = Number(process.env.CHUNK_BYTES ?? 32);

/** Counts the questions of the platform, one a second, that a process does not answer. */
async function countMissedChecks(front, endAt) {
  let missed = 0;
  while (Date.now() < endAt) {
    const isAnswered = await Promise.race([front.isReady(), lib.wait(1_000).then(() => false)]);
    if (!isAnswered) missed += 1;
    await lib.wait(1_000);
  }
  return missed;
}

await lib.runCase(import.meta.dirname, async ({ fleet, record, isTroubled }) => {
  await fleet.start(3, [
    lib.createRoute("draft", "streaming", "model"),
    lib.createRoute("order", "non_idempotent", "desk", { TimeoutMs: TIMEOUT_MS }),
    lib.createRoute("stock", "idempotent", "desk", { TimeoutMs: TIMEOUT_MS }),
  ]);
  for (const [i, zone] of ["asahikawa", "furano", "nayoro"].entries()) {
    const id = `i-${i + 1}`;
    const server = await fleet.spawnStandin("desk.js", id, WORK_MS, 1, 0, "length");
    fleet.register(id, `127.0.0.1:${server.port}`, "desk", zone);
  }
  for (let i = 1; i <= MODEL_SERVER_COUNT; i += 1) {
    const id = `i-model-${i}`;
    const framing = isTroubled && i === 1 ? `endless-${CHUNK_BYTES}` : "chunked";
    const { port } = await fleet.spawnStandin("engine.js", id, "60", "100", framing);
    const zone = ["asahikawa", "furano", "nayoro"][i % 3];
    fleet.register(id, `127.0.0.1:${port}`, "model", zone);
  }
  await lib.wait(1_000);
  const endAt = Date.now() + RUN_MS;
  const counts = { answered: 0, unanswered: 0, late: 0 };
  const call = async (caller) => {
    const front = fleet.fronts[caller % fleet.fronts.length];
    const isOrder = caller % 2 === 0;
    while (Date.now() < endAt) {
      const answer = await lib.sendRequest(front, {
        method: isOrder ? "POST" : "GET",
        path: isOrder ? "/order/2f" : "/stock/2f",
        body: isOrder ? "{}" : undefined,
        deadlineMs: DEADLINE_MS,
      });
      const isUnanswered = !answer.isComplete || answer.durationMs > TIMEOUT_MS;
      const isLate = !answer.isComplete || answer.durationMs > TIMEOUT_MS + LATE_MS;
      counts.answered += isUnanswered ? 0 : 1;
      counts.unanswered += isUnanswered ? 1 : 0;
      counts.late += isLate ? 1 : 0;
      if (isUnanswered) {
        record.write(
          `${isOrder ? "order" : "stock"} ${answer.id} at ${front.name}: status ${answer.status} ` +
            `after ${answer.durationMs} ms`,
        );
      }
      await lib.wait(50);
    }
  };
  const callers = Array.from({ length: CALLER_COUNT }, (_, caller) => call(caller));
  const checks = fleet.fronts.map((front) => countMissedChecks(front, endAt));
  await lib.wait(1_000);
  const generations = Array.from({ length: GENERATION_COUNT }, (_, i) => {
    const front = fleet.fronts[i % fleet.fronts.length];
    return lib.sendRequest(front, {
      method: "POST",
      path: "/draft/2f",
      body: "{}",
      deadlineMs: 39_000,
      headers: lib.createGenerationHeaders(`e44${i}`),
    }).then((answer) => {
      record.write(
        `generation at ${front.name}: ${answer.stamp}, status ${answer.status} after ` +
          `${answer.durationMs} ms, ${answer.isComplete ? "complete" : "broken off"}`,
      );
    });
  });
  await Promise.all(callers);
  const missedChecks = await Promise.all(checks);
  await Promise.race([Promise.all(generations), lib.wait(1_000)]);
  record.write(`readiness checks without an answer, by process: ${missedChecks.join(", ")}`);
  const { answered, unanswered, late } = counts;
  return {
    isBroken: late >= MIN_LATE_REQUESTS && late > unanswered / 2,
    text:
      `CONFIG: ${late} of ${unanswered} calls that were unanswered at their route's TimeoutMs ` +
      `had no answer half a second later; ${answered} were answered before; ` +
      `readiness checks missed: ${missedChecks.join(", ")}`,
  };
});
