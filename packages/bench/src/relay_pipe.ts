/** Plain HTTP proxy on node:http, the baseline of the relay bench. */

import * as http from "node:http";

const targetAddress = process.argv[2]!.split(":");
const agent = new http.Agent({ keepAlive: true, maxSockets: Infinity });

const server = http.createServer((request, response) => {
  const upstream = http.request({
    host: targetAddress[0],
    port: Number(targetAddress[1]),
    path: request.url,
    method: request.method,
    headers: request.headers,
    agent,
  }, (upstreamResponse) => {
    response.writeHead(upstreamResponse.statusCode ?? 502, upstreamResponse.headers);
    response.flushHeaders();
    upstreamResponse.pipe(response);
  });
  request.pipe(upstream);
});

server.listen(0, "127.0.0.1", () => {
  const address = server.address() as { readonly port: number };
  process.stdout.write(`listening 127.0.0.1:${address.port}\n`);
});
