/** A model server breaks off the answer that states its condition while the store is down. */

import * as http from "node:http";
import * as stand from "../lib/stand.js";

const DOWN_AT_MS = 4_000;
const DOWN_FOR_MS = 6_000;
const PLAY_MS = 14_000;
const ORDER_CONSUMERS = 8;
/** Share of the answers that the server in trouble breaks off. */
const BROKEN_SHARE = 0.05;

/** A sound server of the plain service; records which requests reach it and which it answers. */
async function startDesk(context, id) {
  const { recorder } = context;
  const arrivals = new Set();
  const server = http.createServer(async (request, response) => {
    const requestId = String(request.headers["x-request-id"]);
    for await (const _chunk of request);
    arrivals.add(requestId);
    recorder.write(`${id} runs ${requestId}`);
    await stand.wait(200);
    recorder.write(`${id} answers ${requestId}: 200`);
    response.writeHead(200, { "x-request-id": requestId, "x-server-stamp": `${id}.${requestId}` });
    response.end("x".repeat(800));
  });
  await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
  context.onStop(() => server.closeAllConnections());
  return { id, arrivals, address: `127.0.0.1:${server.address().port}` };
}

/** A model server whose answers have no length and end with their connection. */
async function startModel(context, id) {
  const { recorder } = context;
  let answerCount = 0;
  const server = http.createServer(async (request, response) => {
    for await (const _chunk of request);
    answerCount += 1;
    const isBroken = stand.hasTrouble && answerCount % Math.round(1 / BROKEN_SHARE) === 0;
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
    const requestId = request.headers["x-request-id"];
    if (request.url === "/api/report") {
      response.writeHead(200, { "content-type": "application/json" });
      response.flushHeaders();
      recorder.write(`${id} is asked for its state${isBroken ? ", breaks off its answer" : ""}`);
      if (isBroken) return void response.socket.end();
      return void response.end(JSON.stringify({
        Stage: "both",
        Models: [{ Name: "m", Version: 1, Adapters: [] }],
        Busy: false,
        Sequence: 0,
        Waiting: 0,
        Running: 1,
        KvUsed: 3000,
        KvTotal: 34371,
        Handles: 0,
        State: "ready",
      }));
    }
    if (requestId === undefined) return void response.writeHead(404).end();
    recorder.write(`${id} runs ${requestId}${isBroken ? ", breaks off its answer" : ""}`);
    response.writeHead(200, {
      "x-request-id": requestId,
      "x-server-stamp": `${id}.${requestId}`,
      "content-type": "text/event-stream",
    });
    for (let event = 1; event <= 150 && !response.destroyed; event += 1) {
      response.write(`id: ${event}\ndata: ${"t".repeat(40)}\n\n`);
      if (isBroken && event === 10) return void response.socket.resetAndDestroy();
      await stand.wait(30);
    }
    response.end();
  });
  await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
  context.onStop(() => server.closeAllConnections());
  return { id, address: `127.0.0.1:${server.address().port}` };
}

/** Sends one request after the other on a kept connection until the end. */
async function sendOrders(context, index, endAt) {
  const { recorder, front, results } = context;
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  for (let i = 1; performance.now() < endAt && !front.isEnded; i += 1) {
    const id = `o${index}-${i}`;
    const answer = await stand.send(front.port, {
      path: "/order/1",
      method: "POST",
      headers: { host: "a.example", "x-request-id": id, "x-deadline-ms": "1500" },
      body: "x".repeat(600),
      agent,
      timeoutMs: 1500,
    });
    results.set(id, answer);
    recorder.write(`consumer gets ${answer.status} for ${id} (${answer.end})`);
  }
  agent.destroy();
}

async function readDrafts(context, index, endAt) {
  const { recorder, front } = context;
  for (let i = 1; performance.now() < endAt && !front.isEnded; i += 1) {
    const id = `d${index}-${i}`;
    const answer = await stand.send(front.port, {
      path: "/draft/1",
      method: "POST",
      headers: {
        host: "a.example",
        "x-request-id": id,
        "x-deadline-ms": "39000",
        "x-model": "m",
        "x-token-count": "1000,600",
        "x-prompt-prefix": `aa${index}:40,bb${index}${i}:960`,
      },
      body: "x".repeat(1000),
      timeoutMs: 39000,
    });
    recorder.write(`consumer gets ${answer.status} for ${id} (${answer.end})`);
    if (answer.status !== 200) await stand.wait(200);
  }
}

await stand.runCase(import.meta.dirname, async (context) => {
  const { recorder } = context;
  const store = await context.startStore();
  store.write(
    "op/config",
    stand.createConfig([
      stand.createRoute("order", "non_idempotent"),
      stand.createRoute("draft", "streaming", { Service: "model", Sticky: true, TimeoutMs: 39000 }),
    ]),
  );
  const desks = [await startDesk(context, "s-1"), await startDesk(context, "s-2")];
  for (const { id, address } of desks) {
    store.write(`servers/${id}`, stand.createEntry(address, "desk"));
  }
  const model = await startModel(context, "m-1");
  store.write(`servers/${model.id}`, stand.createEntry(model.address, "model", { Slots: 24 }));
  const front = await context.startFront("front-1", store);
  const results = new Map();
  const startedAt = performance.now();
  const endAt = startedAt + PLAY_MS;
  const shared = { recorder, front, results };
  const consumers = [1, 2, 3].map((n) => readDrafts(shared, n, endAt));
  for (let n = 1; n <= ORDER_CONSUMERS; n += 1) consumers.push(sendOrders(shared, n, endAt));
  if (stand.hasTrouble) {
    setTimeout(() => {
      recorder.write("the store is down: 503");
      store.setDown(true);
    }, DOWN_AT_MS);
    setTimeout(() => {
      recorder.write("the store is back");
      store.setDown(false);
    }, DOWN_AT_MS + DOWN_FOR_MS);
  }
  while (performance.now() < endAt && !front.isEnded) await stand.wait(20);
  if (front.isEnded) {
    recorder.write(`the process of front-1 ended by itself: ${front.exitCode}`);
    recorder.write(front.readLog().split("\n").filter((line) => /Error/.test(line)).join(" | "));
  }
  await Promise.all(consumers);
  const lost = [...results].filter(([id, answer]) =>
    answer.status === 0 && answer.end !== "the consumer left" &&
    desks.some((desk) => desk.arrivals.has(id))
  ).map(([id]) => id);
  recorder.write(`LOST, passed on to a sound server, closed without an answer: ${lost.join(" ")}`);
  if (results.size < 50) throw new stand.CannotRun("hardly any order was answered");
  return lost.length > 3;
});
