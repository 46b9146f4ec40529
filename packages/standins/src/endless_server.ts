/** A server whose answers do not end. */

import * as net from "node:net";

/**
 * Starts a server that answers each connection with `head` and then sends `pieces` until it is
 * closed. Returns its address, HOST:PORT.
 */
export async function startEndlessServer(
  t: { teardown(callback: () => unknown): void },
  head: string,
  pieces: Buffer,
): Promise<string> {
  const sockets = new Set<net.Socket>();
  const server = net.createServer((socket) => {
    const send = () => {
      while (!socket.destroyed && socket.write(pieces));
    };
    sockets.add(socket);
    socket.on("error", () => {});
    socket.on("drain", send);
    socket.once("data", () => {
      socket.write(head);
      send();
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", () => resolve()));
  t.teardown(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  return `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
}
