/**
 * Simulates the platform: a subset of the etcd JSON gateway (transactions, leases, watches) and
 * the VM list. The paths below `/test/` inject outages, delays, lost answers and rollbacks.
 */

import type * as http from "node:http";
import * as httpServer from "./http_server.ts";

/** Faults that a test injects by posting them to `/test/faults`. */
export interface PlatformFaults {
  /** Closes every connection without an answer. */
  readonly down?: boolean;
  readonly delayMs?: number;
  /** Count of the next writes that are applied, but whose answers are dropped. */
  readonly dropAnswers?: number;
}

interface StoredValue {
  readonly value: string;
  readonly revision: number;
  readonly lease: string;
}

interface Lease {
  readonly ttlMs: number;
  expiresAt: number;
}

interface Watcher {
  readonly key: string;
  readonly response: http.ServerResponse;
}

interface Compare {
  readonly key: string;
  readonly target: "MOD" | "VALUE";
  readonly mod_revision?: string;
  readonly value?: string;
}

interface Operation {
  readonly request_range?: { readonly key: string };
  readonly request_put?: {
    readonly key: string;
    readonly value: string;
    readonly lease?: string;
  };
  readonly request_delete_range?: { readonly key: string };
}

/** Union of the bodies of all supported etcd calls. */
interface CallBody {
  readonly key?: string;
  readonly ID?: string;
  readonly TTL?: string;
  readonly compare?: readonly Compare[];
  /** Operations of a transaction that run if every comparison holds. */
  readonly success?: readonly Operation[];
  /** Operations of a transaction that run if a comparison does not hold. */
  readonly failure?: readonly Operation[];
  readonly create_request?: { readonly key: string };
}

/** Counts of the calls that the stand-in has received, by kind. */
export interface CallCounts {
  reads: number;
  writes: number;
  watches: number;
  vmReads: number;
}

const LEASE_CHECK_INTERVAL_MS = 50;
const WATCH_PROGRESS_INTERVAL_MS = 5_000;

export class PlatformStandin {
  readonly #options: { readonly host: string; readonly port: number };
  #storedValues = new Map<string, StoredValue>();
  readonly #leases = new Map<string, Lease>();
  readonly #watchers = new Set<Watcher>();
  readonly #callCounts: CallCounts = {
    reads: 0,
    writes: 0,
    watches: 0,
    vmReads: 0,
  };
  #snapshot = new Map<string, StoredValue>();
  #vms: unknown[] = [];
  #injectedFaults: PlatformFaults = {};
  #revision = 1;
  #nextLeaseId = 1;
  #timers: NodeJS.Timeout[] = [];
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
    this.#timers = [
      setInterval(() => this.#expireLeases(), LEASE_CHECK_INTERVAL_MS),
      setInterval(() => this.#sendProgress(), WATCH_PROGRESS_INTERVAL_MS),
    ];
    return this.#server.address;
  }

  /** Closes the server and its connections without waiting for open requests. */
  stop(): void {
    for (const timer of this.#timers) clearInterval(timer);
    this.#server?.close();
  }

  async #handle(
    request: httpServer.StandinRequest,
    response: http.ServerResponse,
  ): Promise<void> {
    if (request.path.startsWith("/test/")) {
      return this.#handleTestCall(request, response);
    }
    if (this.#injectedFaults.down) {
      response.destroy();
      return;
    }
    if (this.#injectedFaults.delayMs) {
      await new Promise((resolve) => setTimeout(resolve, this.#injectedFaults.delayMs));
    }
    if (request.path === "/vms") {
      this.#callCounts.vmReads += 1;
      return httpServer.sendJson(response, 200, { vms: this.#vms });
    }
    const body = JSON.parse(request.body || "{}") as CallBody;
    if (request.path === "/v3/watch") return this.#addWatcher(body, response);
    const answer = this.#applyCall(request.path, body);
    if (answer === undefined) {
      return httpServer.sendJson(response, 404, { message: "no such path" });
    }
    const isWrite = request.path !== "/v3/kv/range" &&
      (body.success ?? []).some(isWriteOperation);
    if (isWrite && (this.#injectedFaults.dropAnswers ?? 0) > 0) {
      this.#injectedFaults = {
        ...this.#injectedFaults,
        dropAnswers: this.#injectedFaults.dropAnswers! - 1,
      };
      response.destroy();
      return;
    }
    httpServer.sendJson(response, 200, answer);
  }

  /** Handles the control calls that tests send to paths below `/test/`. */
  #handleTestCall(
    request: httpServer.StandinRequest,
    response: http.ServerResponse,
  ): void {
    switch (request.path) {
      case "/test/faults":
        this.#injectedFaults = JSON.parse(request.body);
        if (this.#injectedFaults.down) this.#closeWatchers();
        break;
      case "/test/vms":
        this.#vms = JSON.parse(request.body);
        break;
      case "/test/snapshot":
        this.#snapshot = new Map(this.#storedValues);
        break;
      case "/test/rollback":
        this.#storedValues = new Map(this.#snapshot);
        break;
      case "/test/counts":
        return httpServer.sendJson(response, 200, this.#callCounts);
      case "/test/values":
        return httpServer.sendJson(response, 200, { values: this.#listValues() });
    }
    httpServer.sendJson(response, 200, {});
  }

  #applyCall(path: string, body: CallBody): unknown {
    switch (path) {
      case "/v3/kv/range":
        this.#callCounts.reads += 1;
        return {
          header: this.#createHeader(),
          kvs: this.#readRange(body.key ?? ""),
        };
      case "/v3/kv/txn":
        return this.#applyTransaction(body);
      case "/v3/lease/grant":
        return this.#grantLease(body);
      case "/v3/lease/keepalive":
        return this.#renewLease(body);
      case "/v3/lease/revoke":
        this.#callCounts.writes += 1;
        this.#removeLease(body.ID ?? "");
        return { header: this.#createHeader() };
    }
    return undefined;
  }

  #applyTransaction(body: CallBody): unknown {
    const succeeded = (body.compare ?? []).every((compare) => this.#isSatisfied(compare));
    const operations = (succeeded ? body.success : body.failure) ?? [];
    const isWrite = (body.success ?? []).some(isWriteOperation);
    if (isWrite) this.#callCounts.writes += 1;
    else this.#callCounts.reads += 1;
    if (operations.some(isWriteOperation)) this.#revision += 1;
    const responses = operations.map((operation) => this.#applyOperation(operation));
    return { header: this.#createHeader(), succeeded, responses };
  }

  #applyOperation(operation: Operation): unknown {
    if (operation.request_range !== undefined) {
      return {
        response_range: { kvs: this.#readRange(operation.request_range.key) },
      };
    }
    if (operation.request_put !== undefined) {
      const { key, value, lease } = operation.request_put;
      this.#storedValues.set(key, {
        value,
        revision: this.#revision,
        lease: lease ?? "0",
      });
      this.#notifyWatchers(key);
      return { response_put: {} };
    }
    this.#storedValues.delete(operation.request_delete_range?.key ?? "");
    return { response_delete_range: {} };
  }

  #isSatisfied(compare: Compare): boolean {
    const stored = this.#storedValues.get(compare.key);
    if (compare.target === "VALUE") return stored?.value === compare.value;
    return (stored?.revision ?? 0) === Number(compare.mod_revision ?? 0);
  }

  #readRange(key: string): unknown[] {
    const stored = this.#storedValues.get(key);
    if (stored === undefined) return [];
    return [{
      key,
      value: stored.value,
      mod_revision: String(stored.revision),
    }];
  }

  #grantLease(body: CallBody): unknown {
    this.#callCounts.writes += 1;
    const ttlMs = Number(body.TTL) * 1000;
    const id = String(this.#nextLeaseId++);
    this.#leases.set(id, { ttlMs, expiresAt: Date.now() + ttlMs });
    return { header: this.#createHeader(), ID: id, TTL: body.TTL };
  }

  #renewLease(body: CallBody): unknown {
    this.#callCounts.writes += 1;
    const lease = this.#leases.get(body.ID ?? "");
    if (lease === undefined) return { result: { ID: body.ID, TTL: "0" } };
    lease.expiresAt = Date.now() + lease.ttlMs;
    return { result: { ID: body.ID, TTL: String(lease.ttlMs / 1000) } };
  }

  #expireLeases(): void {
    const now = Date.now();
    for (const [id, lease] of this.#leases) {
      if (lease.expiresAt <= now) this.#removeLease(id);
    }
  }

  #removeLease(id: string): void {
    if (!this.#leases.delete(id)) return;
    for (const [key, stored] of this.#storedValues) {
      if (stored.lease === id) this.#storedValues.delete(key);
    }
  }

  #addWatcher(body: CallBody, response: http.ServerResponse): void {
    this.#callCounts.watches += 1;
    const watcher = { key: body.create_request?.key ?? "", response };
    this.#watchers.add(watcher);
    response.on("close", () => this.#watchers.delete(watcher));
    response.writeHead(200, { "content-type": "application/json" });
    response.write(`${JSON.stringify({ result: { created: true } })}\n`);
  }

  #notifyWatchers(key: string): void {
    const events = this.#readRange(key).map((kv) => ({ kv }));
    for (const watcher of this.#watchers) {
      if (watcher.key !== key) continue;
      watcher.response.write(`${JSON.stringify({ result: { events } })}\n`);
    }
  }

  #sendProgress(): void {
    for (const watcher of this.#watchers) {
      watcher.response.write(
        `${JSON.stringify({ result: { header: this.#createHeader() } })}\n`,
      );
    }
  }

  #closeWatchers(): void {
    for (const watcher of this.#watchers) watcher.response.destroy();
  }

  #listValues(): unknown[] {
    return [...this.#storedValues].map(([key, stored]) => ({
      key: Buffer.from(key, "base64").toString(),
      value: Buffer.from(stored.value, "base64").toString(),
      revision: stored.revision,
    }));
  }

  #createHeader() {
    return { revision: String(this.#revision) };
  }
}

function isWriteOperation(operation: Operation): boolean {
  return operation.request_range === undefined;
}
