/** Generations whose answers have no length are moved when their servers are replaced. */

import * as http from "node:http";
import * as stand from "../lib/stand.js";

const ENGINES = 6;
const CONSUMERS = 60;
/** Share of the servers that answer some requests with neither a length nor chunks. */
const UNFRAMED_SERVERS = 0.6;
/** Share of these servers' answers that have neither. */
const UNFRAMED_SHARE = 0.05;
const EVENTS = 200;
const EVENT_MS = 30;
const PLAY_MS = 60_000;
const LEAVE_INTERVAL_MS = 3_000;
const LEAVE_COUNT = 18;
/** A draining server goes on serving for `DrainMs` and a little longer. */
const DRAIN_MS = 4_000;

/** The run of each generation, at the server that works on it. */
const runs = new Map();

class ModelServer {
  id;
  address = "";
  #number;
  #recorder;
  #requests = 0;
  #handles = 0;
  #server = http.createServer((request, response) => this.#serve(request, response));

  constructor(number, recorder) {
    this.id = `m-${number}`;
    this.#number = number;
    this.#recorder = recorder;
  }

  async start() {
    await new Promise((resolve) => this.#server.listen(0, "127.0.0.1", resolve));
    this.address = `127.0.0.1:${this.#server.address().port}`;
  }

  stop() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #serve(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const sendJson = (status, body) => {
      response.writeHead(status, { "content-type": "application/json" });
      response.end(JSON.stringify(body));
    };
    if (request.url === "/api/kv-move") {
      return await this.#move(JSON.parse(Buffer.concat(chunks).toString()), sendJson);
    }
    if (request.url.startsWith("/api/")) return sendJson(200, {});
    const id = String(request.headers["x-request-id"]);
    const isResumed = request.headers["kv-from"] !== undefined;
    this.#requests += 1;
    const isUnframed = this.#number % 10 < UNFRAMED_SERVERS * 10 &&
      this.#requests % Math.round(1 / UNFRAMED_SHARE) === 0;
    this.#recorder.write(
      `${this.id} runs ${id}${isResumed ? ", moved here" : ""}${isUnframed ? ", no length" : ""}`,
    );
    const run = { sent: Number(request.headers["last-event-id"] ?? 0), isStopped: false };
    runs.set(id, run);
    if (isUnframed) {
      response.useChunkedEncodingByDefault = false;
      response.shouldKeepAlive = false;
    }
    response.writeHead(200, {
      "x-request-id": id,
      "x-server-stamp": `${this.id}.${id}`,
      "content-type": "text/event-stream",
    });
    while (run.sent < EVENTS && !response.destroyed) {
      if (run.isStopped) {
        // Stopped by the final copy: the stream is closed without its end.
        this.#recorder.write(`${this.id} closes the stream of ${id} after event ${run.sent}`);
        return void response.socket?.end();
      }
      run.sent += 1;
      response.write(`id: ${run.sent}\ndata: ${"t".repeat(40)}\n\n`);
      await stand.wait(EVENT_MS);
    }
    if (!response.destroyed) this.#recorder.write(`${this.id} ends ${id} after event ${run.sent}`);
    response.end();
  }

  async #move(order, sendJson) {
    const run = runs.get(order.Id);
    if (run === undefined || run.sent >= EVENTS) return sendJson(404, {});
    if (order.Last === true) run.isStopped = true;
    // 1,500 tokens of 35,136 B at 5,100 Mbit/s; what is new since the first copy takes less.
    await stand.wait(order.Last === true ? EVENT_MS + 10 : 85);
    this.#handles += 1;
    sendJson(200, { Handle: `${this.id}-${this.#handles}`, CreateRevision: run.sent });
  }
}

async function readDrafts(context, index, endAt) {
  const { recorder, front, drafts } = context;
  await stand.wait(index * 75);
  for (let i = 1; performance.now() < endAt; i += 1) {
    const id = `d${index}-${i}`;
    const answer = await stand.send(front.port, {
      path: "/draft/1",
      method: "POST",
      headers: {
        host: "a.example",
        "x-request-id": id,
        "x-deadline-ms": "39000",
        "x-model": "m",
        "x-token-count": "1000,1600",
        "x-length-hint": "800",
        "x-prompt-prefix": `aa${index}:40,bb${index}${i}:960`,
      },
      body: "x".repeat(1000),
      timeoutMs: 39_000,
    });
    const ids = [...answer.body.matchAll(/^id: (\d+)$/gm)].map((match) => Number(match[1]));
    const isInOrder = ids.every((event, position) => event === position + 1);
    drafts.push({ id, status: answer.status, events: ids.length, isInOrder });
    recorder.write(
      `consumer: ${id} ${answer.status}, ${ids.length} events (${answer.end})`,
    );
    if (answer.status !== 200) await stand.wait(200);
  }
}

await stand.runCase(import.meta.dirname, async (context) => {
  const { recorder } = context;
  const store = await context.startStore();
  const route = stand.createRoute("draft", "streaming", {
    Service: "model",
    Sticky: true,
    TimeoutMs: 39_000,
    TargetLatencyMs: 4_000,
    GapAimMs: 180,
  });
  store.write("op/config", stand.createConfig([route]));
  const engines = [];
  const addEngine = async () => {
    const engine = new ModelServer(engines.length + 1, recorder);
    await engine.start();
    context.onStop(() => engine.stop());
    const entry = stand.createEntry(engine.address, "model", { Slots: 24 });
    store.write(`servers/${engine.id}`, entry);
    engines.push({ engine, entry });
  };
  for (let i = 0; i < ENGINES; i += 1) await addEngine();
  const front = await context.startFront("front-1", store);
  const drafts = [];
  const endAt = performance.now() + PLAY_MS;
  const consumers = Array.from(
    { length: CONSUMERS },
    (_, n) => readDrafts({ recorder, front, drafts }, n + 1, endAt),
  );
  // Servers are replaced one after the other: the new one starts first, the old one drains.
  for (let n = 0; stand.hasTrouble && n < LEAVE_COUNT; n += 1) {
    await stand.wait(LEAVE_INTERVAL_MS);
    await addEngine();
    const { engine, entry } = engines[n];
    recorder.write(`${engine.id} drains`);
    store.write(`servers/${engine.id}`, { ...entry, State: "draining", Sequence: 2 });
    setTimeout(() => {
      recorder.write(`${engine.id} exits`);
      store.remove(`servers/${engine.id}`);
      engine.stop();
    }, DRAIN_MS);
  }
  await Promise.all(consumers);
  const cut = drafts.filter((draft) =>
    draft.status === 200 && (draft.events < EVENTS || !draft.isInOrder)
  );
  recorder.write(`${drafts.length} drafts of ${EVENTS} events each`);
  recorder.write(
    `ORDER, complete before the last event: ${
      cut.map((draft) => `${draft.id} (${draft.events})`).join(" ")
    }`,
  );
  if (drafts.length < 200) throw new stand.CannotRun("too few drafts");
  return cut.length > 0;
});
