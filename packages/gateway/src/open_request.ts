/** A request from its arrival to its answer, and the side of it that faces the caller. */

import type * as http from "node:http";
import * as core from "@peridotvale/core";
import type * as codec from "./codec.ts";

/** What is known of a request once it has been read and its route is found. */
export interface RoutedRequest {
  readonly route: core.Route;
  readonly service: core.ServiceName;
  readonly workspace: core.WorkspaceName | undefined;
  /** The key owner's rank, or the route's; 0 is the most urgent. */
  readonly rank: number;
}

/** Why a request ended, for logs and metrics. */
export interface RequestEnd {
  readonly status: number;
  readonly reason: string;
  readonly outcome: core.Outcome;
}

/** An endpoint is given this much less than is left. */
const ANSWER_MARGIN_MS = 25;

/** One request of a caller. */
export class OpenRequest {
  readonly id: core.RequestId;
  readonly head: codec.RequestHead;
  readonly method: string;
  readonly path: string;
  readonly headers: codec.RawHeaders;
  readonly arrivedAt: number;
  body: Buffer | undefined;
  routed: RoutedRequest | undefined;
  /** When the answer is due; falls if a new configuration asks for it. */
  answerBy = Infinity;
  end: RequestEnd | undefined;
  /** Set when the caller closed its connection before the answer was whole. */
  isCallerGone = false;
  readonly #response: http.ServerResponse;
  readonly #encodeAnswer: (headers: codec.RawHeaders) => string[];
  #cancel: ((reason: "caller_gone" | "timeout") => void) | undefined;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: {
    readonly id: core.RequestId;
    readonly head: codec.RequestHead;
    readonly incoming: http.IncomingMessage;
    readonly response: http.ServerResponse;
    readonly arrivedAt: number;
    readonly encodeAnswer: (headers: codec.RawHeaders) => string[];
  }) {
    this.id = options.id;
    this.head = options.head;
    this.method = options.incoming.method ?? "GET";
    this.path = options.incoming.url ?? "/";
    this.headers = options.incoming.rawHeaders;
    this.arrivedAt = options.arrivedAt;
    this.#response = options.response;
    this.#encodeAnswer = options.encodeAnswer;
    options.response.on("error", () => {});
    options.response.on("close", () => this.#onClose());
  }

  /** Time that is left until the answer is due. */
  getRemainingMs(now: number): number {
    return this.answerBy - now;
  }

  /** Time that an endpoint is given, so that its own answer arrives before ours is due. */
  getForwardedMs(now: number): number {
    return Math.max(1, Math.round(this.getRemainingMs(now) - ANSWER_MARGIN_MS));
  }

  /** Whether the caller has received the head of an answer. */
  get isHeadSent(): boolean {
    return this.#response.headersSent;
  }

  /**
   * Changes when the answer is due; `cancel` is called then, or when the caller
   * has gone.
   */
  updateDueTime(answerBy: number, now: number): void {
    this.answerBy = answerBy;
    clearTimeout(this.#timer);
    if (this.end !== undefined) return;
    this.#timer = setTimeout(() => this.#cancel?.("timeout"), Math.max(0, answerBy - now));
  }

  /** Sets what ends the present work on the request. */
  setCancel(cancel: ((reason: "caller_gone" | "timeout") => void) | undefined): void {
    this.#cancel = cancel;
  }

  /** Passes a whole answer of an endpoint on. */
  answerWhole(
    answer: { readonly status: number; readonly headers: codec.RawHeaders; readonly body: Buffer },
    end: RequestEnd,
  ): void {
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
    this.#response.end(mayHaveBody ? answer.body : undefined);
  }

  /** Passes the head of a stream on. */
  startStream(status: number, headers: codec.RawHeaders): void {
    this.#response.writeHead(status, this.#encodeAnswer(headers));
    this.#response.flushHeaders();
  }

  /** Passes events on; returns false while the caller reads too slowly. */
  writeEvents(bytes: Buffer): boolean {
    return this.#response.write(bytes);
  }

  /** Calls `listener` once the caller has read what is buffered. */
  onDrained(listener: () => void): void {
    this.#response.once("drain", listener);
  }

  /** Ends a stream that is whole. */
  finishStream(end: RequestEnd): void {
    if (this.#finish(end)) this.#response.end();
  }

  /** Ends a stream that is not whole, so that the caller sees it broken off. */
  abortStream(end: RequestEnd): void {
    if (this.#finish(end)) this.#response.destroy();
  }

  /** Answers with an error of our own. */
  answerProblem(problem: core.RequestProblem): void {
    const end = { status: problem.status, reason: problem.code, outcome: problem.outcome };
    if (!this.#finish(end)) return;
    const body = core.formatProblemBody(problem, this.id);
    const headers: Record<string, string> = {
      "content-type": core.PROBLEM_TYPE,
      "x-request-id": this.id,
      "content-length": String(Buffer.byteLength(body)),
    };
    if (problem.retryAfterMs !== undefined) {
      headers["retry-after"] = (problem.retryAfterMs / 1000).toFixed(3);
    }
    this.#response.writeHead(problem.status, headers);
    this.#response.end(body);
  }

  #onClose(): void {
    if (this.end !== undefined) return;
    this.isCallerGone = true;
    this.end = { status: 0, reason: "caller_gone", outcome: "unknown" };
    clearTimeout(this.#timer);
    this.#cancel?.("caller_gone");
  }

  #finish(end: RequestEnd): boolean {
    if (this.end !== undefined) return false;
    this.end = end;
    clearTimeout(this.#timer);
    return true;
  }
}

/** Labels of a request; those of one whose route was not found are empty. */
export function createLabels(routed: RoutedRequest | undefined): core.RequestLabels {
  return {
    workspace: routed?.workspace ?? core.createId<core.WorkspaceName>(""),
    rank: core.createId<core.RankName>(routed === undefined ? "" : String(routed.rank)),
  };
}
