/** A stand-in for the platform: an etcd-like JSON gateway and the VM list. */

import type * as http from "node:http";
import * as plain from "./http_server.ts";

/** Faults that tests ask for. */
export interface PlatformFaults {
  /** Nothing answers. */
  readonly down?: boolean;
  readonly delayMs?: number;
  /** Applies the next writes and loses the answers. */
  readonly dropAnswers?: number;
}

interface StoredValue {
  readonly value: string;
  readonly revision: number;
  readonly lease: string;
}

interface LeaseState {
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

interface Body {
  readonly key?: string;
  readonly ID?: string;
  readonly TTL?: string;
  readonly compare?: readonly Compare[];
  readonly success?: readonly Operation[];
  readonly failure?: readonly Operation[];
  readonly create_request?: { readonly key: string };
}

/** Calls of each kind that the stand-in has taken. */
export interface CallCounts {
  reads: number;
  writes: number;
  watches: number;
  vmReads: number;
}

const EXPIRY_INTERVAL_MS = 50;
const PROGRESS_INTERVAL_MS = 5_000;

/** The platform. */
export class PlatformStandin {
  readonly #options: { readonly host: string; readonly port: number };
  #values = new Map<string, StoredValue>();
  readonly #leases = new Map<string, LeaseState>();
  readonly #watchers = new Set<Watcher>();
  readonly #counts: CallCounts = {
    reads: 0,
    writes: 0,
    watches: 0,
    vmReads: 0,
  };
  #snapshot = new Map<string, StoredValue>();
  #vms: unknown[] = [];
  #faults: PlatformFaults = {};
  #revision = 1;
  #nextLease = 1;
  #timers: NodeJS.Timeout[] = [];
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
    this.#timers = [
      setInterval(() => this.#expireLeases(), EXPIRY_INTERVAL_MS),
      setInterval(() => this.#sendProgress(), PROGRESS_INTERVAL_MS),
    ];
    return this.#server.address;
  }

  /** Stops at once. */
  stop(): void {
    for (const timer of this.#timers) clearInterval(timer);
    this.#server?.close();
  }

  async #handle(
    request: plain.PlainRequest,
    response: http.ServerResponse,
  ): Promise<void> {
    if (request.path.startsWith("/test/")) {
      return this.#handleTest(request, response);
    }
    if (this.#faults.down) {
      response.destroy();
      return;
    }
    if (this.#faults.delayMs) {
      await new Promise((resolve) => setTimeout(resolve, this.#faults.delayMs));
    }
    if (request.path === "/vms") {
      this.#counts.vmReads += 1;
      return plain.sendJson(response, 200, { vms: this.#vms });
    }
    const body = JSON.parse(request.body || "{}") as Body;
    if (request.path === "/v3/watch") return this.#addWatcher(body, response);
    const answer = this.#apply(request.path, body);
    if (answer === undefined) {
      return plain.sendJson(response, 404, { message: "no such path" });
    }
    const isWrite = request.path !== "/v3/kv/range" &&
      (body.success ?? []).some(isChange);
    if (isWrite && (this.#faults.dropAnswers ?? 0) > 0) {
      this.#faults = {
        ...this.#faults,
        dropAnswers: this.#faults.dropAnswers! - 1,
      };
      response.destroy();
      return;
    }
    plain.sendJson(response, 200, answer);
  }

  /** Paths by which tests set the scene. */
  #handleTest(
    request: plain.PlainRequest,
    response: http.ServerResponse,
  ): void {
    switch (request.path) {
      case "/test/faults":
        this.#faults = JSON.parse(request.body);
        if (this.#faults.down) this.#dropWatchers();
        break;
      case "/test/vms":
        this.#vms = JSON.parse(request.body);
        break;
      case "/test/snapshot":
        this.#snapshot = new Map(this.#values);
        break;
      case "/test/rollback":
        this.#values = new Map(this.#snapshot);
        break;
      case "/test/counts":
        return plain.sendJson(response, 200, this.#counts);
      case "/test/values":
        return plain.sendJson(response, 200, { values: this.#listValues() });
    }
    plain.sendJson(response, 200, {});
  }

  #apply(path: string, body: Body): unknown {
    switch (path) {
      case "/v3/kv/range":
        this.#counts.reads += 1;
        return {
          header: this.#createHeader(),
          kvs: this.#readRange(body.key ?? ""),
        };
      case "/v3/kv/txn":
        return this.#applyTransaction(body);
      case "/v3/lease/grant":
        return this.#grantLease(body);
      case "/v3/lease/keepalive":
        return this.#keepLease(body);
      case "/v3/lease/revoke":
        this.#counts.writes += 1;
        this.#removeLease(body.ID ?? "");
        return { header: this.#createHeader() };
    }
    return undefined;
  }

  #applyTransaction(body: Body): unknown {
    const succeeded = (body.compare ?? []).every((compare) => this.#isMet(compare));
    const operations = (succeeded ? body.success : body.failure) ?? [];
    const isWrite = (body.success ?? []).some(isChange);
    if (isWrite) this.#counts.writes += 1;
    else this.#counts.reads += 1;
    if (operations.some(isChange)) this.#revision += 1;
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
      this.#values.set(key, {
        value,
        revision: this.#revision,
        lease: lease ?? "0",
      });
      this.#notify(key);
      return { response_put: {} };
    }
    this.#values.delete(operation.request_delete_range?.key ?? "");
    return { response_delete_range: {} };
  }

  #isMet(compare: Compare): boolean {
    const stored = this.#values.get(compare.key);
    if (compare.target === "VALUE") return stored?.value === compare.value;
    return (stored?.revision ?? 0) === Number(compare.mod_revision ?? 0);
  }

  #readRange(key: string): unknown[] {
    const stored = this.#values.get(key);
    if (stored === undefined) return [];
    return [{
      key,
      value: stored.value,
      mod_revision: String(stored.revision),
    }];
  }

  #grantLease(body: Body): unknown {
    this.#counts.writes += 1;
    const ttlMs = Number(body.TTL) * 1000;
    const id = String(this.#nextLease++);
    this.#leases.set(id, { ttlMs, expiresAt: Date.now() + ttlMs });
    return { header: this.#createHeader(), ID: id, TTL: body.TTL };
  }

  #keepLease(body: Body): unknown {
    this.#counts.writes += 1;
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
    for (const [key, stored] of this.#values) {
      if (stored.lease === id) this.#values.delete(key);
    }
  }

  #addWatcher(body: Body, response: http.ServerResponse): void {
    this.#counts.watches += 1;
    const watcher = { key: body.create_request?.key ?? "", response };
    this.#watchers.add(watcher);
    response.on("close", () => this.#watchers.delete(watcher));
    response.writeHead(200, { "content-type": "application/json" });
    response.write(`${JSON.stringify({ result: { created: true } })}\n`);
  }

  #notify(key: string): void {
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

  #dropWatchers(): void {
    for (const watcher of this.#watchers) watcher.response.destroy();
  }

  #listValues(): unknown[] {
    return [...this.#values].map(([key, stored]) => ({
      key: Buffer.from(key, "base64").toString(),
      value: Buffer.from(stored.value, "base64").toString(),
      revision: stored.revision,
    }));
  }

  #createHeader() {
    return { revision: String(this.#revision) };
  }
}

function isChange(operation: Operation): boolean {
  return operation.request_range === undefined;
}
