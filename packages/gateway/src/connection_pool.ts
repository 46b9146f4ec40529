/** Connections to endpoints, one request at a time on each. */

import * as net from "node:net";
import type * as core from "@peridotvale/core";
import * as undici from "undici";

/** Receives what becomes of one request on a connection. */
export interface ExchangeListener {
  /** From here on bytes of the request may have reached the endpoint. */
  onSent(): void;
  onHead(status: number, headers: readonly string[]): void;
  onData(chunk: Buffer): void;
  /** The answer is whole. Returns whether the connection may be used again. */
  onEnd(): boolean;
  /** The exchange ended before its answer was whole. */
  onError(error: Error): void;
}

/** A request as it goes over the wire. */
export interface WireRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: string[];
  readonly body: Buffer | undefined;
}

/** Controls an exchange under way. */
export interface Exchange {
  abort(reason: string): void;
  pause(): void;
  resume(): void;
}

/** Time in which a connection is established or given up. */
const CONNECT_TIMEOUT_MS = 1_000;
/** Idle connections kept per endpoint; new ones cost a handshake. */
const MAX_IDLE_CONNECTIONS = 8;
/** Longest time that a connection is kept idle where the endpoint states none. */
const IDLE_TIMEOUT_MS = 20_000;
/** Taken off the idle time that an endpoint states, so that requests do not cross its close. */
const IDLE_MARGIN_MS = 500;
/** Idle time after which the machine's TCP asks whether the other side still answers. */
const KEEP_ALIVE_PROBE_MS = 2_000;

/** One connection to an endpoint. */
class EndpointConnection {
  readonly endpoint: core.EndpointId;
  readonly #client: undici.Client;
  readonly #onClose: (connection: EndpointConnection) => void;
  /** Whether the connection broke with an error in place of an orderly end. */
  #isBroken = false;
  isClosed = false;

  constructor(endpoint: core.EndpointId, onClose: (connection: EndpointConnection) => void) {
    this.endpoint = endpoint;
    this.#client = new undici.Client(`http://${endpoint}`, {
      connect: (options, callback) => this.#connect(options, callback),
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
    });
    this.#onClose = onClose;
    this.#client.on("disconnect", () => this.#close());
  }

  /** Sends a request. */
  send(request: WireRequest, listener: ExchangeListener): Exchange {
    let controller: undici.Dispatcher.DispatchController | undefined;
    let abortReason: string | undefined;
    let isUnframed = false;
    this.#client.dispatch(
      {
        path: request.path,
        method: request.method as undici.Dispatcher.HttpMethod,
        headers: request.headers,
        body: request.body ?? null,
      },
      {
        onRequestStart(started) {
          controller = started;
          if (abortReason !== undefined) return started.abort(new Error(abortReason));
          listener.onSent();
        },
        onResponseStart: (started, status) => {
          controller = started;
          const raw = (started.rawHeaders ?? []) as Buffer[];
          const headers = raw.map((value) => value.toString("latin1"));
          isUnframed = !hasFraming(headers);
          listener.onHead(status, headers);
        },
        onResponseData: (_started, chunk) => listener.onData(chunk),
        onResponseEnd: () => {
          // The client library takes a reset for the end of an answer without length.
          if (!isUnframed || !this.#isBroken) return void listener.onEnd();
          listener.onError(new Error("reset before the end"));
        },
        onResponseError: (_started, error) => listener.onError(error),
      },
    );
    return {
      abort: (reason) => {
        abortReason = reason;
        if (controller === undefined) this.destroy();
        else controller.abort(new Error(reason));
      },
      pause: () => controller?.pause(),
      resume: () => controller?.resume(),
    };
  }

  destroy(): void {
    this.#close();
    this.#client.destroy().catch(() => {});
  }

  /** A connection that was never established closes too, without an event of its client. */
  #close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.#onClose(this);
  }

  #connect(
    options: undici.buildConnector.Options,
    callback: undici.buildConnector.Callback,
  ): void {
    this.#isBroken = false;
    const socket = net.connect({ host: options.hostname, port: Number(options.port) });
    socket.setNoDelay(true);
    socket.setKeepAlive(true, KEEP_ALIVE_PROBE_MS);
    const fail = (error: Error) => {
      clearTimeout(timer);
      callback(error, null);
    };
    const timer = setTimeout(
      () => socket.destroy(new undici.errors.ConnectTimeoutError()),
      CONNECT_TIMEOUT_MS,
    );
    socket.once("error", fail);
    socket.once("connect", () => {
      clearTimeout(timer);
      socket.off("error", fail);
      socket.on("error", () => {
        this.#isBroken = true;
      });
      // libuv reports a reset that arrives together with data as an orderly end; a
      // socket that was reset has no peer any more.
      socket.once("end", () => {
        if (socket.remoteAddress === undefined) this.#isBroken = true;
      });
      callback(null, socket);
    });
  }
}

/** Reuses connections; the one that has been idle longest goes first. */
export class ConnectionPool {
  readonly #idle = new Map<core.EndpointId, EndpointConnection[]>();
  readonly #open = new Map<core.EndpointId, number>();
  /** Connections opened so far. */
  openedCount = 0;

  /**
   * Sends a request to `endpoint`. Bytes that arrive late for an earlier request
   * show on an idle connection, so the one that has been idle longest is used.
   */
  send(
    endpoint: core.EndpointId,
    request: WireRequest,
    listener: ExchangeListener,
  ): Exchange {
    const connection = this.#takeIdle(endpoint) ?? this.#openConnection(endpoint);
    return connection.send(request, {
      onSent: () => listener.onSent(),
      onHead: (status, headers) => listener.onHead(status, headers),
      onData: (chunk) => listener.onData(chunk),
      onEnd: () => {
        if (listener.onEnd()) this.#keep(connection);
        else connection.destroy();
        return true;
      },
      onError: (error) => {
        connection.destroy();
        listener.onError(error);
      },
    });
  }

  /** Whether a request can go out with at most `maxOpen` connections to `endpoint`. */
  canSend(endpoint: core.EndpointId, maxOpen: number): boolean {
    return this.#idle.has(endpoint) || (this.#open.get(endpoint) ?? 0) < maxOpen;
  }

  /** Closes idle connections to `endpoint`. */
  closeIdle(endpoint: core.EndpointId): void {
    for (const connection of this.#idle.get(endpoint) ?? []) connection.destroy();
    this.#idle.delete(endpoint);
  }

  /** Closes all idle connections. */
  destroy(): void {
    for (const endpoint of [...this.#idle.keys()]) this.closeIdle(endpoint);
  }

  #takeIdle(endpoint: core.EndpointId): EndpointConnection | undefined {
    const idle = this.#idle.get(endpoint);
    while (idle !== undefined && idle.length > 0) {
      const connection = idle.shift();
      if (connection === undefined || connection.isClosed) continue;
      if (idle.length === 0) this.#idle.delete(endpoint);
      return connection;
    }
    this.#idle.delete(endpoint);
    return undefined;
  }

  #openConnection(endpoint: core.EndpointId): EndpointConnection {
    this.openedCount += 1;
    this.#open.set(endpoint, (this.#open.get(endpoint) ?? 0) + 1);
    return new EndpointConnection(endpoint, (closed) => this.#drop(closed));
  }

  #keep(connection: EndpointConnection): void {
    if (connection.isClosed) return;
    const idle = this.#idle.get(connection.endpoint) ?? [];
    if (idle.length >= MAX_IDLE_CONNECTIONS) return connection.destroy();
    idle.push(connection);
    this.#idle.set(connection.endpoint, idle);
  }

  #drop(connection: EndpointConnection): void {
    const { endpoint } = connection;
    const open = (this.#open.get(endpoint) ?? 1) - 1;
    if (open > 0) this.#open.set(endpoint, open);
    else this.#open.delete(endpoint);
    const idle = this.#idle.get(endpoint);
    if (idle === undefined) return;
    const kept = idle.filter((other) => other !== connection);
    if (kept.length > 0) this.#idle.set(endpoint, kept);
    else this.#idle.delete(endpoint);
  }
}

function hasFraming(headers: readonly string[]): boolean {
  for (let i = 0; i < headers.length; i += 2) {
    const name = headers[i]!.toLowerCase();
    if (name === "content-length" || name === "transfer-encoding") return true;
  }
  return false;
}
