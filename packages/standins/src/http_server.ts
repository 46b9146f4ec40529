/** A minimal HTTP server for the stand-ins, which reads each request's body before handling it. */

import * as http from "node:http";
import type * as net from "node:net";

/** A request with its complete body. */
export interface StandinRequest {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
}

/** Handles a request and answers it through `response`. */
export type RequestHandler = (
  request: StandinRequest,
  response: http.ServerResponse,
) => void | Promise<void>;

export interface RunningServer {
  /** Address as `host:port`. */
  readonly address: string;
  close(): void;
}

/** Starts a server that passes every request to `handle`. */
export function startServer(
  handle: RequestHandler,
  options: { readonly host: string; readonly port: number },
): Promise<RunningServer> {
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

export function sendJson(
  response: http.ServerResponse,
  status: number,
  value: unknown,
): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(value));
}
