/** A plain HTTP server for the stand-ins. */

import * as http from "node:http";
import type * as net from "node:net";

/** A request with its body read. */
export interface PlainRequest {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
}

/** Answers a request through `response`. */
export type PlainHandler = (
  request: PlainRequest,
  response: http.ServerResponse,
) => void | Promise<void>;

/** A running server. */
export interface PlainServer {
  readonly address: string;
  close(): void;
}

/** Starts a server whose `handle` gets every request. */
export function startPlainServer(
  handle: PlainHandler,
  options: { readonly host: string; readonly port: number },
): Promise<PlainServer> {
  const server = http.createServer(async (incoming, response) => {
    const chunks: Uint8Array[] = [];
    for await (const chunk of incoming) chunks.push(chunk as Uint8Array);
    const url = new URL(incoming.url ?? "/", "http://stand-in");
    response.on("error", () => {});
    await handle({
      method: incoming.method ?? "GET",
      path: url.pathname,
      query: url.searchParams,
      headers: incoming.headers,
      body: Buffer.concat(chunks).toString("utf8"),
    }, response);
  });
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(options.port, options.host, () => {
      const { port } = server.address() as net.AddressInfo;
      const close = () => {
        server.close();
        server.closeAllConnections();
      };
      resolve({ address: `${options.host}:${port}`, close });
    });
  });
}

/** Sends JSON. */
export function sendJson(
  response: http.ServerResponse,
  status: number,
  value: unknown,
): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(value));
}
