/** Where a generation's tokens go: to an open SSE response, or into one text. */

import type * as http from "node:http";
import * as core from "@peridotvale/core";
import type * as format from "./answer_format.ts";
import type * as handler from "./request_handler.ts";

/** Bytes that wait for a caller before its stream pauses. */
const MAX_BUFFERED_BYTES = 64 * 1024;

/** Collects a whole answer. */
export class TextSink implements handler.TokenSink {
  #parts: string[] = [];

  writeToken(text: string): void {
    this.#parts.push(text);
  }

  reset(): boolean {
    this.#parts = [];
    return true;
  }

  waitForRoom(): undefined {
    return undefined;
  }

  /** The text so far. */
  getText(): string {
    return this.#parts.join("");
  }
}

/** Writes server-sent events; sends the response's head with the first token. */
export class SseSink implements handler.TokenSink {
  readonly #response: http.ServerResponse;
  readonly #format: format.AnswerFormat;
  readonly #request: core.RequestId;
  readonly #stallTimeoutMs: number;

  constructor(
    response: http.ServerResponse,
    answerFormat: format.AnswerFormat,
    options: {
      readonly request: core.RequestId;
      readonly stallTimeoutMs: number;
    },
  ) {
    this.#response = response;
    this.#format = answerFormat;
    this.#request = options.request;
    this.#stallTimeoutMs = options.stallTimeoutMs;
  }

  writeToken(text: string, cursor: string): void {
    this.#writeHead();
    this.#response.write(this.#format.formatToken(text, cursor));
  }

  reset(): boolean {
    return !this.#response.headersSent;
  }

  /** A caller that reads nothing for too long is cut off. */
  waitForRoom(): Promise<void> | undefined {
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

  /** Writes the end of a whole generation. */
  writeEnd(end: handler.GenerationEnd): void {
    this.#writeHead();
    this.#response.end(this.#format.formatEnd(end));
  }

  /** Writes a problem: as the response itself, or as an event when tokens were written. */
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
