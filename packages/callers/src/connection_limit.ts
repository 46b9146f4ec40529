/** Closes an idle connection of a caller when there are too many. */

import type * as http from "node:http";
import type * as net from "node:net";
import type * as core from "@peridotvale/core";
import * as memories from "@peridotvale/gateway/intake";
import * as policy from "@peridotvale/policy";

interface Connection {
  readonly socket: net.Socket;
  openRequests: number;
  hasOpenRequest: boolean;
  idleSince: number;
}

/** Limits the connections of `server`, and the unanswered requests of each of them. */
export function registerConnectionLimit(
  server: http.Server,
  options: {
    readonly maxConnections: number;
    readonly memory: memories.MemoryAgent;
    readonly clock: core.Clock;
  },
): void {
  const { maxConnections, memory, clock } = options;
  const connections = new Map<net.Socket, Connection>();
  const closeConnection = (socket: net.Socket, reason: string) => {
    memory.recordRejection("closed", reason, { socket });
    connections.delete(socket);
    socket.destroy();
  };
  server.on("connection", (socket: net.Socket) => {
    if (connections.size >= maxConnections) {
      const chosen = policy.chooseConnectionToClose(connections.values());
      closeConnection(chosen?.socket ?? socket, "too_many_connections");
      if (socket.destroyed) return;
    }
    const idleSince = clock.now();
    connections.set(socket, { socket, openRequests: 0, hasOpenRequest: false, idleSince });
    socket.once("close", () => connections.delete(socket));
  });
  server.prependListener("request", (request, response) => {
    const connection = connections.get(request.socket);
    if (connection === undefined) return;
    if (memory.decideAdmission(connection.openRequests) === "closed") {
      memories.stopParser(request.socket);
      return closeConnection(request.socket, "too_many_pipelined");
    }
    connection.openRequests += 1;
    connection.hasOpenRequest = true;
    response.once("close", () => {
      connection.openRequests -= 1;
      connection.hasOpenRequest = connection.openRequests > 0;
      connection.idleSince = clock.now();
    });
  });
}
