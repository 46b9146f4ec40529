/** A TCP relay that simulates network faults: cuts, delays, blackholes and lost answers. */

import * as net from "node:net";

export interface RelayFaults {
  /** Refuses new connections and closes open ones. */
  readonly cut?: boolean;
  /** Drops all data on the connections that are open when this is set; new connections work. */
  readonly blackholeOpenConnections?: boolean;
  readonly delayMs?: number;
  /** Forwards requests, but closes the connection instead of forwarding the answer. */
  readonly dropAnswers?: boolean;
}

interface RelayedConnection {
  readonly client: net.Socket;
  readonly server: net.Socket;
  isBlackholed: boolean;
}

export class RelayStandin {
  readonly #target: { readonly host: string; readonly port: number };
  readonly #connections = new Set<RelayedConnection>();
  readonly #server: net.Server;
  #injectedFaults: RelayFaults = {};

  constructor(target: { readonly host: string; readonly port: number }) {
    this.#target = target;
    this.#server = net.createServer((client) => this.#accept(client));
  }

  /** Starts listening and returns the address as `host:port`. */
  start(host: string, port: number): Promise<string> {
    return new Promise((resolve) => {
      this.#server.listen(port, host, () => {
        resolve(`${host}:${(this.#server.address() as net.AddressInfo).port}`);
      });
    });
  }

  /** Stops listening and closes all connections. */
  stop(): void {
    this.#server.close();
    this.#closeConnections();
  }

  /** Replaces the injected faults. Blackholed connections remain blackholed until they close. */
  applyFaults(faults: RelayFaults): void {
    this.#injectedFaults = faults;
    if (faults.cut) this.#closeConnections();
    if (faults.blackholeOpenConnections) {
      for (const connection of this.#connections) connection.isBlackholed = true;
    }
  }

  #accept(client: net.Socket): void {
    if (this.#injectedFaults.cut) {
      client.destroy();
      return;
    }
    const server = net.connect(this.#target);
    const connection: RelayedConnection = { client, server, isBlackholed: false };
    this.#connections.add(connection);
    const close = () => {
      this.#connections.delete(connection);
      client.destroy();
      server.destroy();
    };
    for (const socket of [client, server]) {
      socket.setNoDelay(true);
      socket.on("error", close);
      socket.on("close", close);
    }
    client.on("data", (data) => this.#relayData(connection, server, data));
    server.on("data", (data) => {
      if (this.#injectedFaults.dropAnswers) close();
      else this.#relayData(connection, client, data);
    });
  }

  #relayData(connection: RelayedConnection, destination: net.Socket, data: Uint8Array): void {
    if (connection.isBlackholed) return;
    if (!this.#injectedFaults.delayMs) {
      destination.write(data);
      return;
    }
    setTimeout(() => destination.write(data), this.#injectedFaults.delayMs);
  }

  #closeConnections(): void {
    for (const connection of this.#connections) {
      connection.client.destroy();
      connection.server.destroy();
    }
    this.#connections.clear();
  }
}
