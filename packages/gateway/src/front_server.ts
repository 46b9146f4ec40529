/**
 * The HTTP server that callers connect to. At a planned stop it closes connections so that no
 * answer is lost: not before the last byte of an answer has been passed to the operating system,
 * and not while a request is being received.
 */

import * as http from "node:http";
import type * as net from "node:net";
import * as core from "@peridotvale/core";
import * as policy from "@peridotvale/policy";
import type * as settingsModule from "./gateway_settings.ts";
import type * as memories from "./memory_agent.ts";
import * as stops from "./parser_stop.ts";

export interface FrontServerOptions {
  readonly clock: core.Clock;
  readonly memory: memories.MemoryAgent;
  /** Largest number of callers' connections. */
  readonly maxConnections: number;
  readonly onRequest: (request: http.IncomingMessage, response: http.ServerResponse) => void;
}

/** A caller's connection. */
interface Connection {
  readonly socket: net.Socket;
  /** Whether a request on the connection has not been answered. */
  readonly hasOpenRequest: boolean;
  /** Answers whose last byte has not been passed to the operating system yet. */
  readonly openAnswers: Set<http.ServerResponse>;
  /** The last request whose head has arrived; its body may still be incomplete. */
  lastRequest: http.IncomingMessage | undefined;
  /** Whether an answer ends the connection, so that later requests on it get none. */
  hasLastAnswer: boolean;
  /** Whether bytes arrived that cannot be read as a request. */
  hasFailed: boolean;
  /** Bytes received up to the end of the last answer; further ones belong to the next request. */
  answeredBytes: number;
  /** Time since which the connection is idle. */
  idleSince: number;
  /** Time at which this side was closed; the caller may still close the other one. */
  closedAt: number | undefined;
}

/** Limit that the HTTP parser sets on a request head; the configured limit is checked later. */
export const PARSER_MAX_HEADER_BYTES = 64 * 1024;
/** Time limit for receiving a complete request; callers time out long before it. */
const REQUEST_TIMEOUT_MS = 30_000;
/** Time-outs of callers' connections until a configuration is in force. */
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
const DEFAULT_HEADER_TIMEOUT_MS = 3_000;
/**
 * Idle time after which a draining server closes a connection. Many callers send the next request
 * as soon as they have an answer; it would cross the close.
 */
const MIN_IDLE_MS = 500;
/** Longest wait for the caller to close its side of a connection that this server has closed. */
const CALLER_CLOSE_TIMEOUT_MS = 500;
/** Statuses of requests that cannot be read, by the error's code; 400 for all others. */
const STATUS_BY_ERROR = new Map([
  ["HPE_HEADER_OVERFLOW", 431],
  ["HPE_CHUNK_EXTENSIONS_OVERFLOW", 413],
  ["ERR_HTTP_REQUEST_TIMEOUT", 408],
]);

/** Accepts callers' connections and hands their requests over. */
export class FrontServer {
  readonly #clock: core.Clock;
  readonly #memory: memories.MemoryAgent;
  readonly #server: http.Server;
  readonly #connections = new Map<net.Socket, Connection>();
  #maxConnections: number;
  #isDraining = false;

  constructor(options: FrontServerOptions) {
    this.#clock = options.clock;
    this.#memory = options.memory;
    this.#maxConnections = options.maxConnections;
    this.#server = new GracefulServer({
      maxHeaderSize: PARSER_MAX_HEADER_BYTES,
      headersTimeout: DEFAULT_HEADER_TIMEOUT_MS,
      keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
      connectionsCheckingInterval: 1_000,
    });
    this.#server.on("connection", (socket: net.Socket) => this.#addConnection(socket));
    this.#server.on("request", (request, response) => {
      if (this.#recordRequest(request.socket, response)) options.onRequest(request, response);
      else request.resume();
    });
    this.#server.on(
      "clientError",
      (error: NodeJS.ErrnoException, socket: net.Socket) => this.#handleClientError(error, socket),
    );
  }

  /** Number of connections that the server or the caller has not closed. */
  get connectionCount(): number {
    return this.#connections.size;
  }

  listen(address: settingsModule.ListenAddress): Promise<void> {
    return listenAt(this.#server, address);
  }

  /** Sets the time-outs of callers' connections. */
  updateLimits(limits: core.CallerLimits): void {
    this.#server.keepAliveTimeout = limits.idleTimeoutMs;
    this.#server.headersTimeout = limits.headerTimeoutMs;
  }

  /** Sets the largest number of callers' connections. */
  updateMaxConnections(maxConnections: number): void {
    this.#maxConnections = maxConnections;
  }

  /** From now on answers announce that their connection will be closed. */
  startDraining(): void {
    this.#isDraining = true;
    for (const connection of this.#connections.values()) {
      // Answers to pipelined requests are sent in order; only the last one ends the connection.
      const answer = [...connection.openAnswers].at(-1);
      if (answer !== undefined) closeAfterAnswer(connection, answer);
    }
  }

  /** Stops listening; open connections remain. */
  stopAccepting(): void {
    this.#server.close();
  }

  /** Closes connections that have been idle for some time. */
  closeIdleConnections(now: number): void {
    for (const [socket, connection] of this.#connections) {
      if (connection.closedAt !== undefined) {
        if (now - connection.closedAt > CALLER_CLOSE_TIMEOUT_MS) socket.destroy();
        continue;
      }
      if (connection.openAnswers.size > 0) continue;
      if (socket.bytesRead > connection.answeredBytes) continue;
      if (now - connection.idleSince < MIN_IDLE_MS) continue;
      connection.closedAt = now;
      // Only this side is closed, so that the end arrives after all that was sent before.
      socket.end();
    }
  }

  /** Closes all connections, whatever their state. */
  closeAllConnections(): void {
    this.#server.closeAllConnections();
  }

  #addConnection(socket: net.Socket): void {
    socket.setNoDelay(true);
    if (this.#connections.size >= this.#maxConnections) this.#closeOneConnection(socket);
    if (socket.destroyed) return;
    const openAnswers = new Set<http.ServerResponse>();
    this.#connections.set(socket, {
      socket,
      openAnswers,
      lastRequest: undefined,
      get hasOpenRequest() {
        return openAnswers.size > 0;
      },
      hasLastAnswer: false,
      hasFailed: false,
      answeredBytes: 0,
      idleSince: this.#clock.now(),
      closedAt: undefined,
    });
    socket.once("close", () => this.#connections.delete(socket));
  }

  /** Makes room for the connection `socket`, or closes it if all others have an open request. */
  #closeOneConnection(socket: net.Socket): void {
    const chosen = policy.chooseConnectionToClose(this.#connections.values())?.socket ?? socket;
    this.#memory.recordRejection("closed", "too_many_connections", { socket: chosen });
    this.#connections.delete(chosen);
    chosen.destroy();
  }

  /**
   * Answers a request that cannot be read or is not complete in time, and closes its connection.
   * While an earlier request is at work, its caller would take that answer for its own, and 408
   * promises that it does not run; the connection then closes after the answer to the earlier one.
   */
  #handleClientError(error: NodeJS.ErrnoException, socket: net.Socket): void {
    const connection = this.#connections.get(socket);
    const openAnswer = [...connection?.openAnswers ?? []].findLast(({ req }) => req.complete);
    if (connection !== undefined && openAnswer !== undefined && socket.writable) {
      if (connection.hasFailed) return;
      connection.hasFailed = true;
      connection.hasLastAnswer = true;
      closeAfterAnswer(connection, openAnswer);
      openAnswer.once("finish", () => socket.destroySoon());
      return;
    }
    const isHeadSent = [...connection?.openAnswers ?? []].some(({ headersSent }) => headersSent);
    if (!socket.writable || isHeadSent) return void socket.destroy();
    // The unreadable bytes belong to a request that has its answer, for example a 413.
    if (connection?.lastRequest?.complete === false && connection.openAnswers.size === 0) {
      return socket.destroySoon();
    }
    const status = STATUS_BY_ERROR.get(error.code ?? "") ?? 400;
    socket.write(`HTTP/1.1 ${status} ${http.STATUS_CODES[status]}\r\nConnection: close\r\n\r\n`);
    socket.destroySoon();
  }

  /** Records a request; returns false if its connection ends without an answer to it. */
  #recordRequest(socket: net.Socket, response: http.ServerResponse): boolean {
    const connection = this.#connections.get(socket);
    if (connection === undefined || connection.closedAt !== undefined) return false;
    if (connection.hasLastAnswer) return false;
    if (this.#memory.decideAdmission(connection.openAnswers.size) === "closed") {
      this.#memory.recordRejection("closed", "too_many_pipelined", { socket });
      stops.stopParser(socket);
      socket.destroy();
      return false;
    }
    if (this.#isDraining) closeAfterAnswer(connection, response);
    if (!response.shouldKeepAlive) connection.hasLastAnswer = true;
    connection.lastRequest = response.req;
    connection.openAnswers.add(response);
    response.once("close", () => {
      connection.openAnswers.delete(response);
      connection.answeredBytes = socket.bytesRead;
      connection.idleSince = this.#clock.now();
    });
    return true;
  }
}

/** Closes the connection after `answer`, which announces it, unless its head has been sent. */
function closeAfterAnswer(connection: Connection, answer: http.ServerResponse): void {
  if (answer.headersSent) return;
  answer.setHeader("Connection", "close");
  connection.hasLastAnswer = true;
}

/** Unlike its base, leaves connections open whose last answer is still being sent. */
class GracefulServer extends http.Server {
  // The base class calls this when the server stops listening.
  override closeIdleConnections(): void {}
}

/** Listens at `address`; resolves once the port is bound. */
export function listenAt(
  server: http.Server,
  address: settingsModule.ListenAddress,
): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(address.port, address.host, () => resolve());
  });
}
