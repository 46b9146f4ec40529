/** A TCP relay that cuts, delays and blackholes what passes through it. */

import * as net from "node:net";

/** What the relay does to connections. */
export interface RelayFaults {
  /** Refuses new connections and closes open ones. */
  readonly cut?: boolean;
  /** Open connections pass nothing any more; new ones work. */
  readonly blackholeOpen?: boolean;
  readonly delayMs?: number;
  /** Passes requests on, and closes connections instead of passing answers back. */
  readonly dropAnswers?: boolean;
}

interface Pair {
  readonly client: net.Socket;
  readonly server: net.Socket;
  blackholed: boolean;
}

/** The relay. */
export class RelayStandin {
  readonly #target: { readonly host: string; readonly port: number };
  readonly #pairs = new Set<Pair>();
  readonly #server: net.Server;
  #faults: RelayFaults = {};

  constructor(target: { readonly host: string; readonly port: number }) {
    this.#target = target;
    this.#server = net.createServer((client) => this.#accept(client));
  }

  /** Starts to listen; returns the address. */
  start(host: string, port: number): Promise<string> {
    return new Promise((resolve) => {
      this.#server.listen(port, host, () => {
        resolve(`${host}:${(this.#server.address() as net.AddressInfo).port}`);
      });
    });
  }

  /** Stops at once. */
  stop(): void {
    this.#server.close();
    this.#closePairs();
  }

  /** Changes what the relay does from now on. */
  applyFaults(faults: RelayFaults): void {
    this.#faults = faults;
    if (faults.cut) this.#closePairs();
    if (faults.blackholeOpen) {
      for (const pair of this.#pairs) pair.blackholed = true;
    }
  }

  #accept(client: net.Socket): void {
    if (this.#faults.cut) {
      client.destroy();
      return;
    }
    const server = net.connect(this.#target);
    const pair: Pair = { client, server, blackholed: false };
    this.#pairs.add(pair);
    const close = () => {
      this.#pairs.delete(pair);
      client.destroy();
      server.destroy();
    };
    for (const socket of [client, server]) {
      socket.setNoDelay(true);
      socket.on("error", close);
      socket.on("close", close);
    }
    client.on("data", (data) => this.#pass(pair, server, data));
    server.on("data", (data) => {
      if (this.#faults.dropAnswers) close();
      else this.#pass(pair, client, data);
    });
  }

  #pass(pair: Pair, to: net.Socket, data: Uint8Array): void {
    if (pair.blackholed) return;
    if (!this.#faults.delayMs) {
      to.write(data);
      return;
    }
    setTimeout(() => to.write(data), this.#faults.delayMs);
  }

  #closePairs(): void {
    for (const pair of this.#pairs) {
      pair.client.destroy();
      pair.server.destroy();
    }
    this.#pairs.clear();
  }
}
