/**
 * Pools connections to endpoints. Each connection carries one request at a time, and is reused
 * only after an answer that is complete and that the exchange's listener accepts. Bytes of one
 * answer are therefore never read as part of another.
 */

import * as core from "@peridotvale/core";
import * as undici from "undici";

/** The connection that carries a request. */
export interface ConnectionUse {
  readonly connection: core.ConnectionId;
  /** Number of requests that the connection has carried before. */
  readonly carriedRequests: number;
}

/** Receives the events of one request and its answer. */
export interface ExchangeListener {
  /**
   * Called before the first byte is sent on the connection `use`; from then on the endpoint may run
   * the request.
   */
  onSent(use: ConnectionUse): void;
  onHead(status: number, headers: readonly string[]): void;
  onData(chunk: Buffer): void;
  /** Called when the answer is complete. Returns whether the connection may be reused. */
  onEnd(): boolean;
  /** Called when the exchange ends before its answer is complete. */
  onError(error: Error): void;
}

/** A request with its headers and body as they are sent to the endpoint. */
export interface WireRequest {
  readonly method: string;
  readonly path: string;
  /** Alternating header names and values. */
  readonly headers: string[];
  readonly body: Buffer | undefined;
  /**
   * Connections that have carried the request before and must not carry it again: a late copy of
   * an answer to that attempt names the request too.
   */
  readonly avoidedConnections: ReadonlySet<core.ConnectionId>;
  /**
   * Whether the request may still be sent. Called before the first byte, which may be a second
   * after `send` if a connection is opened for it. Absent: always.
   */
  readonly canStart?: () => boolean;
}

/** Controls a request and its answer: aborts them, or pauses the delivery of the answer. */
export interface Exchange {
  abort(reason: string): void;
  /** Pauses the reading of the answer; what has been read already is still delivered. */
  pause(): void;
  resume(): void;
}

const CONNECT_TIMEOUT_MS = 1_000;
/** Idle connections kept per endpoint; each saves the handshake of a new connection. */
const MAX_IDLE_CONNECTIONS = 8;
/** Time after which an idle connection is closed if the endpoint states no idle time-out. */
const DEFAULT_ENDPOINT_IDLE_TIMEOUT_MS = 20_000;
/**
 * Subtracted from the idle time-out that an endpoint states, so that no request is sent while
 * the endpoint closes the connection.
 */
const IDLE_TIMEOUT_MARGIN_MS = 500;
/** Bytes with a status below this one are no answer in the protocol. */
const FIRST_STATUS = 100;
/** A status below this one announces an answer that is still to come. */
const FIRST_FINAL_STATUS = 200;
/** Interim answers that may precede an answer; further ones do not lead to one. */
const MAX_INTERIM_ANSWERS = 8;
/** Idle time after which TCP probes whether the endpoint still responds. */
const KEEP_ALIVE_PROBE_DELAY_MS = 2_000;

class EndpointConnection {
  readonly endpoint: core.EndpointId;
  readonly id: core.ConnectionId;
  readonly #client: undici.Client;
  readonly #onClose: (connection: EndpointConnection) => void;
  #socket: core.PacedSocket | undefined;
  /** Whether the connection was reset or had an error, instead of closing normally. */
  #isBroken = false;
  #carriedRequests = 0;
  isClosed = false;

  constructor(options: {
    readonly endpoint: core.EndpointId;
    readonly id: core.ConnectionId;
    readonly connect: core.PacedConnector;
    readonly onClose: (connection: EndpointConnection) => void;
  }) {
    const { endpoint } = options;
    this.endpoint = endpoint;
    this.id = options.id;
    this.#client = new undici.Client(`http://${endpoint}`, {
      connect: (target, callback) =>
        options.connect(target, (...result) => {
          if (result[1] !== null) this.#attachSocket(result[1]);
          callback(...result);
        }),
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: DEFAULT_ENDPOINT_IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: IDLE_TIMEOUT_MARGIN_MS,
    });
    this.#onClose = options.onClose;
    this.#client.on("disconnect", () => this.#close());
  }

  send(request: WireRequest, listener: ExchangeListener): Exchange {
    let controller: undici.Dispatcher.DispatchController | undefined;
    let abortReason: string | undefined;
    let isUnframed = false;
    let interimAnswers = 0;
    let hasEnded = false;
    const finish = () => {
      hasEnded = true;
      this.#socket?.release();
    };
    const use = { connection: this.id, carriedRequests: this.#carriedRequests };
    this.#carriedRequests += 1;
    this.#client.dispatch(
      {
        path: request.path,
        method: request.method as undici.Dispatcher.HttpMethod,
        headers: request.headers,
        body: request.body ?? null,
      },
      {
        onRequestStart(dispatchController) {
          controller = dispatchController;
          if (request.canStart?.() === false) abortReason ??= "endpoint may not be used any more";
          if (abortReason !== undefined) return dispatchController.abort(new Error(abortReason));
          listener.onSent(use);
        },
        onResponseStart: (dispatchController, status) => {
          controller = dispatchController;
          if (status < FIRST_FINAL_STATUS) {
            interimAnswers += 1;
            if (status >= FIRST_STATUS && interimAnswers <= MAX_INTERIM_ANSWERS) return;
            return dispatchController.abort(new Error(`status ${status} without an answer`));
          }
          const rawHeaders = (dispatchController.rawHeaders ?? []) as Buffer[];
          const headers = rawHeaders.map((value) => value.toString("latin1"));
          isUnframed = !hasBodyFraming(headers);
          listener.onHead(status, headers);
        },
        onResponseData: (_controller, chunk) => listener.onData(chunk),
        onResponseEnd: () => {
          finish();
          // undici treats a reset as the end of an answer that states no length.
          if (!isUnframed || !this.#isBroken) return void listener.onEnd();
          listener.onError(new Error("reset before the end"));
        },
        onResponseError: (_controller, error) => {
          finish();
          listener.onError(error);
        },
      },
    );
    return {
      abort: (reason) => {
        abortReason = reason;
        if (controller === undefined) this.destroy();
        else controller.abort(new Error(reason));
      },
      pause: () => {
        if (!hasEnded) this.#socket?.hold();
      },
      resume: () => {
        if (!hasEnded) this.#socket?.release();
      },
    };
  }

  destroy(): void {
    this.#close();
    this.#client.destroy().catch(() => {});
  }

  /**
   * Marks the connection as closed. `destroy` calls it too, because the client emits no event
   * for a connection that was never established.
   */
  #close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.#onClose(this);
  }

  /** Watches the connection, once it is established, for a reset. */
  #attachSocket(socket: core.PacedSocket): void {
    this.#socket = socket;
    this.#isBroken = false;
    socket.setKeepAlive(true, KEEP_ALIVE_PROBE_DELAY_MS);
    socket.on("error", () => {
      this.#isBroken = true;
    });
    // libuv reports a reset that arrives together with data as a normal end. A socket that
    // was reset has no remote address any more.
    socket.once("end", () => {
      if (socket.remoteAddress === undefined) this.#isBroken = true;
    });
  }
}

/** Sends requests to endpoints and reuses their connections. */
export class ConnectionPool {
  readonly #connect: core.PacedConnector;
  readonly #idleConnections = new Map<core.EndpointId, EndpointConnection[]>();
  /** Number of connections per endpoint, both idle and in use. */
  readonly #connectionCounts = new Map<core.EndpointId, number>();
  /** Number of placed requests per endpoint that have not been sent yet. */
  readonly #reservedCounts = new Map<core.EndpointId, number>();
  /** Number of connections opened since the start, including those that are closed again. */
  openedCount = 0;

  constructor(clock: core.Clock) {
    this.#connect = core.createPacedConnector(clock, CONNECT_TIMEOUT_MS);
  }

  /**
   * Sends a request to `endpoint`. Uses the connection that has been idle longest, because
   * late bytes of an earlier answer are detected while a connection is idle.
   */
  send(
    endpoint: core.EndpointId,
    request: WireRequest,
    listener: ExchangeListener,
  ): Exchange {
    const connection = this.#takeIdle(endpoint, request.avoidedConnections) ??
      this.#openConnection(endpoint);
    return connection.send(request, {
      onSent: (use) => listener.onSent(use),
      onHead: (status, headers) => listener.onHead(status, headers),
      onData: (chunk) => listener.onData(chunk),
      onEnd: () => {
        if (listener.onEnd()) this.#keepIdle(connection);
        else connection.destroy();
        return true;
      },
      onError: (error) => {
        connection.destroy();
        listener.onError(error);
      },
    });
  }

  /**
   * Whether a request to `endpoint` can be sent without exceeding `maxConnections` to it. Closes
   * idle connections beyond that number, which may have become smaller.
   */
  canSend(endpoint: core.EndpointId, maxConnections: number): boolean {
    const countConnections = () => this.#connectionCounts.get(endpoint) ?? 0;
    for (const connection of this.#idleConnections.get(endpoint) ?? []) {
      if (countConnections() <= maxConnections) break;
      connection.destroy();
    }
    const idleCount = this.#idleConnections.get(endpoint)?.length ?? 0;
    const unusedCount = idleCount + Math.max(0, maxConnections - countConnections());
    return unusedCount > (this.#reservedCounts.get(endpoint) ?? 0);
  }

  /** Reserves a connection for a request that is placed at `endpoint` and sent a moment later. */
  holdConnection(endpoint: core.EndpointId): void {
    this.#reservedCounts.set(endpoint, (this.#reservedCounts.get(endpoint) ?? 0) + 1);
  }

  /** Gives a reservation back, when its request is sent or has ended. */
  releaseReservation(endpoint: core.EndpointId): void {
    const reservedCount = (this.#reservedCounts.get(endpoint) ?? 1) - 1;
    if (reservedCount > 0) this.#reservedCounts.set(endpoint, reservedCount);
    else this.#reservedCounts.delete(endpoint);
  }

  closeIdle(endpoint: core.EndpointId): void {
    for (const connection of this.#idleConnections.get(endpoint) ?? []) connection.destroy();
    this.#idleConnections.delete(endpoint);
  }

  /** Closes all idle connections. */
  destroy(): void {
    for (const endpoint of [...this.#idleConnections.keys()]) this.closeIdle(endpoint);
  }

  #takeIdle(
    endpoint: core.EndpointId,
    avoidedConnections: ReadonlySet<core.ConnectionId>,
  ): EndpointConnection | undefined {
    const idleConnections = (this.#idleConnections.get(endpoint) ?? [])
      .filter((connection) => !connection.isClosed);
    const index = idleConnections.findIndex(({ id }) => !avoidedConnections.has(id));
    const [connection] = index < 0 ? [] : idleConnections.splice(index, 1);
    if (idleConnections.length === 0) this.#idleConnections.delete(endpoint);
    else this.#idleConnections.set(endpoint, idleConnections);
    return connection;
  }

  #openConnection(endpoint: core.EndpointId): EndpointConnection {
    this.openedCount += 1;
    this.#connectionCounts.set(endpoint, (this.#connectionCounts.get(endpoint) ?? 0) + 1);
    const id = core.createId<core.ConnectionId>(`${this.openedCount}`);
    const onClose = (closed: EndpointConnection) => this.#removeConnection(closed);
    return new EndpointConnection({ endpoint, id, connect: this.#connect, onClose });
  }

  #keepIdle(connection: EndpointConnection): void {
    if (connection.isClosed) return;
    const idleConnections = this.#idleConnections.get(connection.endpoint) ?? [];
    if (idleConnections.length >= MAX_IDLE_CONNECTIONS) return connection.destroy();
    idleConnections.push(connection);
    this.#idleConnections.set(connection.endpoint, idleConnections);
  }

  #removeConnection(connection: EndpointConnection): void {
    const { endpoint } = connection;
    const connectionCount = (this.#connectionCounts.get(endpoint) ?? 1) - 1;
    if (connectionCount > 0) this.#connectionCounts.set(endpoint, connectionCount);
    else this.#connectionCounts.delete(endpoint);
    const idleConnections = this.#idleConnections.get(endpoint);
    if (idleConnections === undefined) return;
    const remainingConnections = idleConnections.filter((other) => other !== connection);
    if (remainingConnections.length > 0) this.#idleConnections.set(endpoint, remainingConnections);
    else this.#idleConnections.delete(endpoint);
  }
}

/** Whether the headers delimit the body; otherwise the body ends when the connection closes. */
export function hasBodyFraming(headers: readonly string[]): boolean {
  for (let i = 0; i < headers.length; i += 2) {
    const name = headers[i]!.toLowerCase();
    if (name === "content-length" || name === "transfer-encoding") return true;
  }
  return false;
}
