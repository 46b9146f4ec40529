/** Many callers at one process, each on a connection that it opens again when it is closed. */

import * as net from "node:net";

const REOPEN_MS = 200;

export class Crowd {
  #port;
  #act;
  #sockets = new Set();
  #isStopped = false;
  /** Number of connections opened so far. */
  openedCount = 0;

  /** `act` is called with each connection once it is open. */
  constructor(port, act) {
    this.#port = port;
    this.#act = act;
  }

  start(count) {
    for (let i = 0; i < count; i += 1) this.#open();
  }

  stop() {
    this.#isStopped = true;
    for (const socket of this.#sockets) socket.destroy();
  }

  #open() {
    if (this.#isStopped) return;
    const socket = net.connect({ host: "127.0.0.1", port: this.#port });
    this.#sockets.add(socket);
    socket.on("error", () => {});
    socket.on("data", () => {});
    socket.on("connect", () => {
      this.openedCount += 1;
      this.#act(socket);
    });
    socket.on("close", () => {
      this.#sockets.delete(socket);
      setTimeout(() => this.#open(), REOPEN_MS);
    });
  }
}
