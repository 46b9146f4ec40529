/** Sinks for a generation's tokens: an SSE response, or a buffer for an unstreamed answer. */

import type * as http from "node:http";
import * as core from "@peridotvale/core";
import type * as format from "./answer_formatter.ts";
import type * as handler from "./request_handler.ts";

/** Unsent bytes per stream above which reading from the engine pauses. */
const MAX_BUFFERED_BYTES = 64 * 1024;

/** Collects the text of an unstreamed answer. */
export class TextSink implements handler.TokenSink {
  #parts: string[] = [];

  writeToken(text: string): void {
    this.#parts.push(text);
  }

  reset(): boolean {
    this.#parts = [];
    return true;
  }

  waitForWritable(): undefined {
    return undefined;
  }

  getText(): string {
    return this.#parts.join("");
  }
}

/**
 * Writes server-sent events. The response's head is sent with the first token, so that a failure
 * before it can still be answered with an error status.
 */
export class SseSink implements handler.TokenSink {
  readonly #response: http.ServerResponse;
  readonly #formatter: format.AnswerFormatter;
  readonly #request: core.RequestId;
  readonly #stallTimeoutMs: number;

  constructor(
    response: http.ServerResponse,
    answerFormatter: format.AnswerFormatter,
    options: {
      readonly request: core.RequestId;
      readonly stallTimeoutMs: number;
    },
  ) {
    this.#response = response;
    this.#formatter = answerFormatter;
    this.#request = options.request;
    this.#stallTimeoutMs = options.stallTimeoutMs;
  }

  writeToken(text: string, cursor: string): void {
    this.#writeHead();
    this.#response.write(this.#formatter.formatToken(text, cursor));
  }

  reset(): boolean {
    return !this.#response.headersSent;
  }

  /**
   * Waits until the response's buffer has drained. Disconnects the caller if that takes longer
   * than the stall timeout.
   */
  waitForWritable(): Promise<void> | undefined {
    if (this.#response.writableLength <= MAX_BUFFERED_BYTES) return undefined;
    return new Promise((resolve) => {
      const timer = setTimeout(
        () => this.#response.destroy(),
        this.#stallTimeoutMs,
      );
      const finish = () => {
        clearTimeout(timer);
        this.#response.off("drain", finish);
        this.#response.off("close", finish);
        resolve();
      };
      this.#response.once("drain", finish);
      this.#response.once("close", finish);
    });
  }

  /** Writes the closing events and ends the response. */
  writeEnd(end: handler.GenerationEnd): void {
    this.#writeHead();
    this.#response.end(this.#formatter.formatEnd(end));
  }

  /**
   * Ends the response with a problem: as an error response, or as an error event if the head
   * has already been sent.
   */
  writeProblem(problem: core.RequestProblem): void {
    const body = core.formatProblemBody(problem, this.#request);
    if (this.#response.headersSent) {
      this.#response.end(`event: error\ndata: ${body}\n\n`);
      return;
    }
    this.#response.writeHead(
      problem.status,
      core.createProblemHeaders(problem, this.#request),
    );
    this.#response.end(body);
  }

  #writeHead(): void {
    if (this.#response.headersSent) return;
    this.#response.writeHead(200, {
      "content-type": "text/event-stream",
      "cache-control": "no-store",
      "x-request-id": this.#request,
    });
  }
}
