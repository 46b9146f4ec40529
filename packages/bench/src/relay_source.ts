/** Simulated engine for the relay bench. The text of each token is the time at which it is sent. */

import * as http from "node:http";

/** First command-line argument: the time between two tokens of a stream. */
const tokenIntervalMs = Number(process.argv[2]);
const tokensPerStream = Number(process.argv[3]);
let nextId = 0;

interface SourceStream {
  readonly response: http.ServerResponse;
  readonly id: string;
  sentTokens: number;
  /** Time at which the next token is due. */
  dueAt: number;
}

const streams = new Set<SourceStream>();

const server = http.createServer((request, response) => {
  if (request.url === "/status") {
    response.setHeader("content-type", "application/json");
    response.end(JSON.stringify({
      accepting: true,
      role: "serving",
      models: [{ model: "layout-7b", version: "v1", adapters: [], state: "ready" }],
      runningStreams: streams.size,
      memoryUsedTokens: 0,
      memoryLimitTokens: 1e9,
      maxBatch: 100_000,
      preemptions: 0,
      fencing: 0,
    }));
    return;
  }
  if (request.url === "/v1/generations") {
    response.end('{"generations":[]}');
    return;
  }
  request.resume();
  request.on("end", () => startStream(request, response));
});

server.listen(0, "127.0.0.1", () => {
  const address = server.address() as { readonly port: number };
  process.stdout.write(`listening 127.0.0.1:${address.port}\n`);
});
setInterval(sendDueTokens, 1);

function startStream(request: http.IncomingMessage, response: http.ServerResponse): void {
  nextId += 1;
  const id = `g${nextId}`;
  response.writeHead(200, {
    "content-type": "text/event-stream",
    "x-request-id": String(request.headers["x-request-id"] ?? ""),
    "x-generation-id": id,
    "x-model-version": "v1",
  });
  response.flushHeaders();
  // Staggers the streams over one token interval, so that tokens are sent at an even rate.
  const dueAt = performance.now() + tokenIntervalMs * ((nextId * 0.618) % 1);
  const stream = { response, id, sentTokens: 0, dueAt };
  streams.add(stream);
  response.on("close", () => streams.delete(stream));
}

function sendDueTokens(): void {
  const now = performance.now();
  for (const stream of streams) {
    while (stream.dueAt <= now && streams.has(stream)) sendToken(stream);
  }
}

function sendToken(stream: SourceStream): void {
  const { response, id, sentTokens } = stream;
  stream.dueAt += tokenIntervalMs;
  if (sentTokens >= tokensPerStream) {
    const choice = { index: 0, text: "", finish_reason: "length" };
    const end = JSON.stringify({ id, choices: [choice], usage: { prompt_tokens: 1 } });
    response.end(`id: ${id}:${sentTokens}\ndata: ${end}\n\ndata: [DONE]\n\n`);
    streams.delete(stream);
    return;
  }
  const text = (performance.timeOrigin + performance.now()).toFixed(3);
  const data = JSON.stringify({ id, choices: [{ index: 0, text, finish_reason: null }] });
  response.write(`id: ${id}:${sentTokens}\ndata: ${data}\n\n`);
  stream.sentTokens += 1;
}
