/**
 * Simulates a plain service that applies orders and answers reads. Its ledger holds each applied
 * order, so that a test can detect orders that were lost or applied twice.
 */

import type * as http from "node:http";
import * as core from "@peridotvale/core";
import * as httpServer from "./http_server.ts";

/**
 * Faults that a test injects by posting them to `/faults`. Each count is the number of
 * upcoming requests that the fault affects.
 */
export interface ServiceFaults {
  readonly delayMs?: number;
  /** Count of requests that are applied, but whose connection is closed without an answer. */
  readonly dropAnswers?: number;
  /** Count of requests that are answered with the id of another request. */
  readonly crossAnswers?: number;
  /** Count of requests whose answer ends before the announced content length. */
  readonly truncateAnswers?: number;
  /** Count of requests that are refused with 503 and `x-not-run`, without any effect. */
  readonly notRun?: number;
}

/** An order that the service has applied. */
export interface ServiceLedgerEntry {
  readonly attempt: string;
  readonly method: string;
  readonly path: string;
  readonly body: string;
}

export class ServiceStandin {
  readonly #options: { readonly host: string; readonly port: number };
  readonly #ledger: ServiceLedgerEntry[] = [];
  #injectedFaults: ServiceFaults = {};
  #readCount = 0;
  #server: httpServer.RunningServer | undefined;

  constructor(options: { readonly host: string; readonly port: number }) {
    this.#options = options;
  }

  /** Starts listening and returns the address as `host:port`. */
  async start(): Promise<string> {
    this.#server = await httpServer.startServer(
      (request, response) => this.#handle(request, response),
      this.#options,
    );
    return this.#server.address;
  }

  /** Closes the server and its connections without waiting for open requests. */
  stop(): void {
    this.#server?.close();
  }

  async #handle(
    request: httpServer.StandinRequest,
    response: http.ServerResponse,
  ): Promise<void> {
    if (request.path === "/ledger") {
      return httpServer.sendJson(response, 200, {
        orders: this.#ledger,
        reads: this.#readCount,
      });
    }
    if (request.path === "/faults") {
      this.#injectedFaults = JSON.parse(request.body);
      return httpServer.sendJson(response, 200, {});
    }
    const attempt = String(request.headers["x-request-id"] ?? "");
    if (this.#takeFault("notRun")) {
      response.setHeader("x-not-run", "1");
      response.setHeader("x-request-id", attempt);
      return httpServer.sendJson(response, 503, { message: "busy" });
    }
    const orderNumber = this.#applyRequest(request, attempt);
    if (this.#injectedFaults.delayMs) await core.waitFor(this.#injectedFaults.delayMs);
    if (this.#takeFault("dropAnswers")) {
      response.destroy();
      return;
    }
    const hasForeignId = this.#takeFault("crossAnswers");
    response.setHeader("x-request-id", hasForeignId ? `${attempt}-other` : attempt);
    if (this.#takeFault("truncateAnswers")) {
      response.writeHead(200, {
        "content-type": "application/json",
        "content-length": "1000",
      });
      response.write('{"order":');
      setTimeout(() => response.destroy(), 10);
      return;
    }
    httpServer.sendJson(response, 200, { order: orderNumber, path: request.path });
  }

  #applyRequest(request: httpServer.StandinRequest, attempt: string): number {
    if (request.method === "GET") {
      this.#readCount += 1;
      return this.#readCount;
    }
    const { method, path, body } = request;
    this.#ledger.push({ attempt, method, path, body });
    return this.#ledger.length;
  }

  #takeFault(
    name: "dropAnswers" | "crossAnswers" | "truncateAnswers" | "notRun",
  ): boolean {
    const remainingCount = this.#injectedFaults[name] ?? 0;
    if (remainingCount <= 0) return false;
    this.#injectedFaults = { ...this.#injectedFaults, [name]: remainingCount - 1 };
    return true;
  }
}
