/**
 * Stand-in of a plain server: works on a call, then sends its answer in parts. Arguments: the
 * instance's id, the work in ms, the number of parts, the time between two parts in ms, and how the
 * body is delimited (`length`, or `unframed`: it ends with the connection). Each part is 800 bytes.
 * Prints its port, and then the id of each request that it runs.
 */

import * as http from "node:http";
import { createPart } from "./parts.js";

const [instance, workMs, partCount, partMs, framing] = process.argv.slice(2);

const server = http.createServer(async (request, response) => {
  const id = request.headers["x-request-id"] ?? "";
  const { socket } = request;
  for await (const _ of request);
  if (request.url === "/health") {
    response.writeHead(200, { "X-Instance-Id": instance, "Content-Length": 0 });
    return void response.end();
  }
  if (request.headers["x-expect-instance"] !== instance) {
    response.writeHead(421, { "X-Request-Id": id, "X-Instance-Id": instance, "Content-Length": 0 });
    return void response.end();
  }
  console.log(`${id} ${instance}`);
  await wait(Number(workMs));
  if (socket.destroyed) return;
  const length = Number(partCount) * createPart(id, 0).length;
  const isUnframed = framing === "unframed";
  // Without a length and chunks, the body ends with the connection.
  if (isUnframed) response.useChunkedEncodingByDefault = false;
  response.writeHead(200, {
    "X-Request-Id": id,
    "X-Server-Stamp": `${instance}.${id}`,
    ...(isUnframed ? { "Connection": "close" } : { "Content-Length": length }),
  });
  for (let part = 0; part < Number(partCount); part += 1) {
    if (part > 0) await wait(Number(partMs));
    if (socket.destroyed) return;
    response.write(createPart(id, part));
  }
  response.end();
});

function wait(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

server.listen(0, "127.0.0.1", () => console.log(server.address().port));
