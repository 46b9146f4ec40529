/** A machine is stopped while generations wait there for a free model server. */

import * as http from "node:http";
import * as stand from "../lib/stand.js";

/** As many as the model server's memory holds; each takes 12 s. */
const RUNNING = 3;
const WAITING = 3;
const EVENTS = 300;
const EVENT_MS = 40;
const STOP_AT_MS = 2_000;
const GRACE_MS = 8_000;
const DEADLINE_MS = 39_000;

async function startModel(context) {
  const { recorder, arrivals } = context;
  const server = http.createServer(async (request, response) => {
    for await (const _chunk of request);
    const id = String(request.headers["x-request-id"]);
    arrivals.add(id);
    recorder.write(`m-1 runs ${id}`);
    response.writeHead(200, {
      "x-request-id": id,
      "x-server-stamp": `m-1.${id}`,
      "content-type": "text/event-stream",
    });
    for (let event = 1; event <= EVENTS && !response.destroyed; event += 1) {
      response.write(`id: ${event}\ndata: ${"t".repeat(40)}\n\n`);
      await stand.wait(EVENT_MS);
    }
    recorder.write(`m-1 ${response.destroyed ? "is closed by the caller of" : "ends"} ${id}`);
    response.end();
  });
  await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
  context.onStop(() => server.closeAllConnections());
  return `127.0.0.1:${server.address().port}`;
}

async function readDraft(context, id) {
  const { recorder, front, readAt } = context;
  const sentAt = performance.now();
  readAt.set(id, sentAt);
  recorder.write(`consumer sends ${id}`);
  const answer = await stand.send(front.port, {
    path: "/draft/1",
    method: "POST",
    headers: {
      host: "a.example",
      "x-request-id": id,
      "x-deadline-ms": String(DEADLINE_MS),
      "x-model": "m",
      "x-token-count": "8000,2400",
      "x-length-hint": "1200",
      "x-prompt-prefix": `aa:40,${id}:7960`,
    },
    body: "x".repeat(1000),
    timeoutMs: DEADLINE_MS,
  });
  const afterMs = Math.round(performance.now() - sentAt);
  recorder.write(`consumer: ${id} ${answer.status} after ${afterMs} ms (${answer.end})`);
  return { id, ...answer, afterMs };
}

await stand.runCase(import.meta.dirname, async (context) => {
  const { recorder } = context;
  const store = await context.startStore();
  const route = stand.createRoute("draft", "streaming", {
    Service: "model",
    Sticky: true,
    TimeoutMs: DEADLINE_MS,
    TargetLatencyMs: 4_000,
    GapAimMs: 180,
  });
  store.write("op/config", stand.createConfig([route]));
  const arrivals = new Set();
  const address = await startModel({ ...context, arrivals });
  store.write("servers/m-1", stand.createEntry(address, "model", { Slots: 24 }));
  const front = await context.startFront("front-1", store);
  const shared = { recorder, front, readAt: new Map() };
  const drafts = [];
  for (let n = 1; n <= RUNNING + WAITING; n += 1) {
    drafts.push(readDraft(shared, `d-${n}`));
    await stand.wait(100);
  }
  await stand.wait(STOP_AT_MS);
  const sentOn = new Set(arrivals);
  if (sentOn.size !== RUNNING) throw new stand.CannotRun(`${sentOn.size} generations run`);
  if (stand.hasTrouble) {
    recorder.write(`front-1 gets SIGTERM; GraceS is ${GRACE_MS / 1000}`);
    front.signal("SIGTERM");
    setTimeout(() => {
      if (!front.isEnded) front.signal("SIGKILL");
    }, GRACE_MS);
  }
  const answers = await Promise.all(drafts);
  const lost = answers.filter((answer) => answer.status === 0 && !arrivals.has(answer.id));
  recorder.write(
    `LOST, never sent to a server, closed without an answer: ${
      lost.map((answer) => `${answer.id} (after ${answer.afterMs} ms)`).join(" ")
    }`,
  );
  return lost.length > 0;
});
