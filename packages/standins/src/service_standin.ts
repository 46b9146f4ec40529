/** A stand-in for a plain service: a ledger of orders that counts doubles, and reads. */

import type * as http from "node:http";
import * as core from "@peridotvale/core";
import * as plain from "./http_server.ts";

/** Faults that tests ask for. */
export interface ServiceFaults {
  readonly delayMs?: number;
  /** Applies the order and closes the connection without an answer. */
  readonly dropAnswers?: number;
  /** Answers the next requests with each other's ids. */
  readonly crossAnswers?: number;
  /** Cuts the next answers in the middle. */
  readonly truncateAnswers?: number;
  /** Says that it has done nothing. */
  readonly notRun?: number;
}

/** One order that was applied. */
export interface ServiceLedgerEntry {
  readonly attempt: string;
  readonly method: string;
  readonly path: string;
  readonly body: string;
}

/** The service. */
export class ServiceStandin {
  readonly #options: { readonly host: string; readonly port: number };
  readonly #ledger: ServiceLedgerEntry[] = [];
  #faults: ServiceFaults = {};
  #reads = 0;
  #server: plain.PlainServer | undefined;

  constructor(options: { readonly host: string; readonly port: number }) {
    this.#options = options;
  }

  /** Starts to listen; returns the address. */
  async start(): Promise<string> {
    this.#server = await plain.startPlainServer(
      (request, response) => this.#handle(request, response),
      this.#options,
    );
    return this.#server.address;
  }

  /** Stops at once. */
  stop(): void {
    this.#server?.close();
  }

  async #handle(
    request: plain.PlainRequest,
    response: http.ServerResponse,
  ): Promise<void> {
    if (request.path === "/ledger") {
      return plain.sendJson(response, 200, {
        orders: this.#ledger,
        reads: this.#reads,
      });
    }
    if (request.path === "/faults") {
      this.#faults = JSON.parse(request.body);
      return plain.sendJson(response, 200, {});
    }
    const attempt = String(request.headers["x-request-id"] ?? "");
    if (this.#takeFault("notRun")) {
      response.setHeader("x-not-run", "1");
      response.setHeader("x-request-id", attempt);
      return plain.sendJson(response, 503, { message: "busy" });
    }
    const order = this.#applyRequest(request, attempt);
    if (this.#faults.delayMs) await core.waitFor(this.#faults.delayMs);
    if (this.#takeFault("dropAnswers")) {
      response.destroy();
      return;
    }
    const crossed = this.#takeFault("crossAnswers");
    response.setHeader("x-request-id", crossed ? `${attempt}-other` : attempt);
    if (this.#takeFault("truncateAnswers")) {
      response.writeHead(200, {
        "content-type": "application/json",
        "content-length": "1000",
      });
      response.write('{"order":');
      setTimeout(() => response.destroy(), 10);
      return;
    }
    plain.sendJson(response, 200, { order, path: request.path });
  }

  #applyRequest(request: plain.PlainRequest, attempt: string): number {
    if (request.method === "GET") {
      this.#reads += 1;
      return this.#reads;
    }
    const { method, path, body } = request;
    this.#ledger.push({ attempt, method, path, body });
    return this.#ledger.length;
  }

  #takeFault(
    name: "dropAnswers" | "crossAnswers" | "truncateAnswers" | "notRun",
  ): boolean {
    const left = this.#faults[name] ?? 0;
    if (left <= 0) return false;
    this.#faults = { ...this.#faults, [name]: left - 1 };
    return true;
  }
}
