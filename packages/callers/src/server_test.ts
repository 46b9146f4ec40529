import * as http from "node:http";
import * as core from "@peridotvale/core";
import * as intake from "@peridotvale/gateway/intake";
import * as neverthrow from "neverthrow";
import * as tap from "tap";
import type * as handler from "./request_handler.ts";
import * as servers from "./server.ts";

/** More than the buffers of both sockets hold. */
const ANSWER_BYTES = 16_000_000;

// A connection whose answer was still being sent was closed as an idle one.
tap.t.test("closing the server does not cut an answer that its caller reads slowly", async (t) => {
  const answer = { status: 200, headers: {}, body: new Uint8Array(ANSWER_BYTES) };
  const requestHandler: handler.RequestHandler = {
    generate: () => Promise.reject(new Error("not used")),
    call: () => Promise.resolve(neverthrow.ok(answer)),
    isReady: () => true,
    readMetrics: () => Promise.resolve(""),
  };
  const server = await servers.startCallerServer(requestHandler, {
    host: "127.0.0.1",
    port: 0,
    maxBodyBytes: 1_000,
    maxHeaderBytes: 16_384,
    stallTimeoutMs: 10_000,
    clock: new core.SystemClock(),
    memory: new intake.MemoryAgent({
      clock: new core.SystemClock(),
      logger: { write: () => {} },
      metrics: new core.Metrics(),
      memoryMb: undefined,
    }),
    maxConnections: Infinity,
  });
  t.teardown(() => server.destroy());
  const response = await new Promise<http.IncomingMessage>((resolve) => {
    const headers = { "x-workspace": "orchard" };
    http.get(`http://${server.address}/services/desk/x`, { headers }, resolve);
  });
  t.equal(response.statusCode, 200);
  await core.waitFor(200);
  server.close();
  await core.waitFor(200);
  t.equal(server.openAnswerCount, 1);
  let receivedBytes = 0;
  response.on("data", (chunk: Uint8Array) => receivedBytes += chunk.length);
  response.on("error", () => {});
  await new Promise((resolve) => response.once("close", resolve));
  t.equal(receivedBytes, ANSWER_BYTES);
  while (server.openAnswerCount > 0) await core.waitFor(5);
});
