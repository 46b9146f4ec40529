/**
 * The caller's side of one request: its deadline, its cancellation and the response to the
 * caller. A request ends with its answer, an error, the end of its stream or the caller's
 * disconnection, whichever comes first.
 */

import type * as http from "node:http";
import * as core from "@peridotvale/core";
import * as senders from "./answer_sender.ts";
import type * as flows from "./caller_flow.ts";
import type * as codec from "./codec.ts";
import type * as pools from "./connection_pool.ts";

/** Route of a request, the service chosen from it and the workspace that sent the request. */
export interface RoutedRequest {
  readonly route: core.Route;
  readonly service: core.ServiceName;
  readonly workspace: core.WorkspaceName | undefined;
  /** Rank of the API key's owner, or of the route if the owner has none; 0 is the most urgent. */
  readonly rank: number;
}

/** How a request ended, for logs and metrics. */
export interface RequestEnd {
  readonly status: number;
  readonly reason: string;
  readonly outcome: core.Outcome;
}

/** Time by which an endpoint's deadline precedes the caller's, to leave time for the answer. */
const ANSWER_MARGIN_MS = 25;

/** One request of a caller, from its arrival to the end of its response. */
export class OpenRequest {
  readonly id: core.RequestId;
  readonly head: codec.RequestHead;
  readonly method: string;
  readonly path: string;
  readonly headers: codec.RawHeaders;
  readonly arrivedAt: number;
  /** The part of the request in the account of callers' memory. */
  readonly flow: flows.CallerFlow;
  body: Buffer | undefined;
  routed: RoutedRequest | undefined;
  /** Time at which the answer is due; a new configuration with a shorter time-out lowers it. */
  answerBy = Infinity;
  end: RequestEnd | undefined;
  /** Endpoint that the request was last sent to. */
  endpoint: core.EndpointRecord | undefined;
  /** Connections to endpoints that have carried the request. */
  readonly usedConnections = new Set<core.ConnectionId>();
  /** Whether the caller closed its connection before the answer was complete. */
  isCallerGone = false;
  readonly #response: http.ServerResponse;
  readonly #encodeAnswer: (headers: codec.RawHeaders) => string[];
  #cancelHandler: ((reason: "caller_gone" | "timeout") => void) | undefined;
  #deadlineTimer: NodeJS.Timeout | undefined;

  constructor(options: {
    readonly id: core.RequestId;
    readonly head: codec.RequestHead;
    readonly incoming: http.IncomingMessage;
    readonly response: http.ServerResponse;
    readonly arrivedAt: number;
    readonly flow: flows.CallerFlow;
    readonly encodeAnswer: (headers: codec.RawHeaders) => string[];
  }) {
    this.id = options.id;
    this.head = options.head;
    this.method = options.incoming.method ?? "GET";
    this.path = options.incoming.url ?? "/";
    this.headers = options.incoming.rawHeaders;
    this.arrivedAt = options.arrivedAt;
    this.flow = options.flow;
    this.#response = options.response;
    this.#encodeAnswer = options.encodeAnswer;
    options.response.on("error", () => {});
    options.response.on("close", () => this.#onResponseClose());
  }

  /** Instance that the request was last sent to. */
  get instance(): core.InstanceId | undefined {
    return this.endpoint?.instance;
  }

  /** Returns the time left until the answer is due; negative after that time. */
  getRemainingMs(now: number): number {
    return this.answerBy - now;
  }

  /** Returns the endpoint's time limit, so that its answer arrives before the caller's deadline. */
  getEndpointTimeoutMs(now: number): number {
    return Math.max(1, Math.round(this.getRemainingMs(now) - ANSWER_MARGIN_MS));
  }

  /**
   * Creates the request to send to an endpoint, with the headers encoded for it. `canStart` tells
   * before the first byte whether the endpoint may still be used.
   */
  createWireRequest(headers: string[], canStart: () => boolean): pools.WireRequest {
    return {
      method: this.method,
      path: this.path,
      headers,
      body: this.body,
      avoidedConnections: this.usedConnections,
      canStart,
    };
  }

  /** Whether the head of an answer has been sent to the caller. */
  get isHeadSent(): boolean {
    return this.#response.headersSent;
  }

  /**
   * Sets the time at which the answer is due. The cancel handler is called at that time, or when
   * the caller disconnects earlier.
   */
  updateAnswerBy(answerBy: number, now: number): void {
    this.answerBy = answerBy;
    clearTimeout(this.#deadlineTimer);
    // A call that goes on without its caller still needs its deadline.
    if (this.end !== undefined && !this.isCallerGone) return;
    this.#deadlineTimer = setTimeout(
      () => this.#cancelHandler?.("timeout"),
      Math.max(0, answerBy - now),
    );
  }

  /** Sets the function that cancels the current wait or attempt of the request. */
  setCancelHandler(handler: ((reason: "caller_gone" | "timeout") => void) | undefined): void {
    this.#cancelHandler = handler;
    if (handler === undefined && this.end !== undefined) clearTimeout(this.#deadlineTimer);
  }

  /**
   * Sends an endpoint's complete answer to the caller, unless the request has ended. A stream that
   * has started is broken off instead.
   */
  sendAnswer(
    answer: { readonly status: number; readonly headers: codec.RawHeaders; readonly body: Buffer },
    end: RequestEnd,
  ): void {
    if (this.isHeadSent) return this.#abortStarted(end);
    if (!this.#finish(end)) return;
    const headers = this.#encodeAnswer(answer.headers).concat(
      "Content-Length",
      String(answer.body.length),
    );
    const mayHaveBody = this.method !== "HEAD" && answer.status !== 204 && answer.status !== 304;
    this.#response.writeHead(
      answer.status,
      mayHaveBody ? headers : this.#encodeAnswer(answer.headers),
    );
    this.flow.startSending();
    if (!mayHaveBody) return void this.#response.end();
    senders.sendBody(this.#response, answer.body, (bytes) => this.flow.recordSent(bytes));
  }

  /** Sends the status and the headers of a stream to the caller. */
  startStream(status: number, headers: codec.RawHeaders): void {
    this.#response.writeHead(status, this.#encodeAnswer(headers));
    this.#response.flushHeaders();
  }

  /** Sends events to the caller. Returns false if too many bytes wait for the caller to read. */
  writeEvents(bytes: Buffer): boolean {
    this.flow.recordSent(bytes.length);
    if (this.#response.write(bytes)) return true;
    this.flow.recordBlocked(this.#response.writableLength);
    return false;
  }

  /** Calls `listener` once the caller has read the buffered bytes. */
  onDrained(listener: () => void): void {
    this.#response.once("drain", () => {
      this.flow.recordDrained();
      listener();
    });
  }

  /** Ends the response after the last event of a complete stream. */
  finishStream(end: RequestEnd): void {
    if (this.#finish(end)) this.#response.end();
  }

  /** Ends an incomplete stream by closing the connection, so that the caller sees the failure. */
  abortStream(end: RequestEnd): void {
    if (!this.#finish(end)) return;
    // Without chunks, a close after the last bytes would look like the end of a complete stream.
    if (this.isHeadSent && !this.#response.chunkedEncoding) {
      this.#response.socket?.resetAndDestroy();
    }
    this.#response.destroy();
  }

  /**
   * Sends one of the gateway's own errors to the caller, unless the request has ended. A stream that
   * has started is broken off instead.
   */
  sendProblem(problem: core.RequestProblem): void {
    const end = { status: problem.status, reason: problem.code, outcome: problem.outcome };
    if (this.isHeadSent) return this.#abortStarted(end);
    if (!this.#finish(end)) return;
    const body = core.formatProblemBody(problem, this.id);
    const headers: Record<string, string> = {
      "content-type": core.PROBLEM_MEDIA_TYPE,
      "x-request-id": this.id,
      "content-length": String(Buffer.byteLength(body)),
    };
    if (problem.retryAfterMs !== undefined) {
      headers["retry-after"] = (problem.retryAfterMs / 1000).toFixed(3);
    }
    this.flow.startSending();
    this.#response.writeHead(problem.status, headers);
    this.#response.end(body);
  }

  /** From now on the answer announces that the connection closes after it. */
  closeAfterAnswer(): void {
    if (!this.isHeadSent) this.#response.setHeader("Connection", "close");
  }

  /** Breaks off the stream whose failure is `end`; its head has stated the status 200. */
  #abortStarted(end: RequestEnd): void {
    this.abortStream({ ...end, status: 200, outcome: "unknown" });
  }

  #onResponseClose(): void {
    if (this.end !== undefined) return;
    this.isCallerGone = true;
    this.end = { status: 0, reason: "caller_gone", outcome: "unknown" };
    // A call that goes on without its caller still ends at its deadline.
    this.#cancelHandler?.("caller_gone");
  }

  #finish(end: RequestEnd): boolean {
    if (this.end !== undefined) return false;
    this.end = end;
    clearTimeout(this.#deadlineTimer);
    return true;
  }
}

/** Creates the metrics labels of a request; they are empty if no route was found. */
export function createRequestLabels(routed: RoutedRequest | undefined): core.RequestLabels {
  return {
    workspace: routed?.workspace ?? core.createId<core.WorkspaceName>(""),
    rank: core.createId<core.RankName>(routed === undefined ? "" : String(routed.rank)),
  };
}
