/** Stand-in for the platform's metadata store, with the calls that the program makes. */

import * as http from "node:http";

const WATCH_POLL_MS = 20;

/** Key-value store with revisions and watches, served over HTTP on a loopback port. */
export class Store {
  #items = new Map();
  #history = [];
  #revision = 100;
  #lease = 7_000;
  #server = http.createServer((request, response) => this.#handle(request, response));

  /** Listens on a free port; resolves with the address as HOST:PORT. */
  async start() {
    this.#server.keepAliveTimeout = 60_000;
    await new Promise((resolve) => this.#server.listen(0, "127.0.0.1", resolve));
    return `127.0.0.1:${this.#server.address().port}`;
  }

  stop() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes `value` as JSON, or removes the key if `value` is undefined. */
  write(key, value) {
    const text = value === undefined ? undefined : JSON.stringify(value);
    this.#put(key, text === undefined ? undefined : Buffer.from(text).toString("base64"), 0);
  }

  #put(key, value, lease) {
    this.#revision += 1;
    const revision = this.#revision;
    if (value === undefined) {
      this.#items.delete(key);
      this.#history.push({ Key: key, Revision: revision, Tombstone: true });
      return;
    }
    const created = this.#items.get(key)?.CreateRevision ?? revision;
    const item = { Key: key, Value: value, Revision: revision, CreateRevision: created };
    this.#items.set(key, { ...item, Lease: lease });
    this.#history.push({ ...item, Lease: lease });
  }

  async #handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const url = new URL(request.url, "http://store");
    const text = Buffer.concat(chunks).toString();
    const body = text === "" ? {} : JSON.parse(text);
    const [status, answer] = await this.#answer(url, body);
    if (response.destroyed) return;
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify(answer));
  }

  async #answer(url, body) {
    const query = url.searchParams;
    switch (url.pathname) {
      case "/api/kv-key": {
        const item = this.#items.get(query.get("Key"));
        if (item === undefined) return [404, { AsOf: this.#revision }];
        return [200, { ...item, AsOf: this.#revision }];
      }
      case "/api/kv-range": {
        const prefix = query.get("PathPrefix");
        const entries = [...this.#items.values()]
          .filter(({ Key }) => Key.startsWith(prefix) && Key > (query.get("After") ?? ""))
          .sort((a, b) => a.Key < b.Key ? -1 : 1);
        return [200, { Entries: entries, Truncated: false, AsOf: this.#revision }];
      }
      case "/api/kv-watch":
        return [200, await this.#watch(query)];
      case "/api/kv-lease":
        this.#lease += 1;
        return [200, { Lease: this.#lease, TtlMs: body.TtlMs }];
      case "/api/kv-txn":
        return this.#write(body);
      default:
        if (url.pathname.startsWith("/api/kv-keep/")) return [200, { TtlMs: 45_000 }];
        return [404, {}];
    }
  }

  async #watch(query) {
    const after = Number(query.get("After"));
    const endAt = Date.now() + Number(query.get("WaitMs"));
    const prefix = query.get("PathPrefix");
    for (;;) {
      const events = this.#history
        .filter(({ Key, Revision }) => Revision > after && Key.startsWith(prefix));
      if (events.length > 0 || Date.now() >= endAt) return { events, AsOf: this.#revision };
      await new Promise((resolve) => setTimeout(resolve, WATCH_POLL_MS));
    }
  }

  #write(body) {
    const unmet = (body.ExpectedRev ?? [])
      .filter(({ Key, Revision }) => (this.#items.get(Key)?.Revision ?? 0) !== Revision);
    if (unmet.length > 0) return [412, { Entries: [] }];
    for (const { Key, Value, Lease } of body.Puts ?? []) this.#put(Key, Value, Lease ?? 0);
    for (const key of body.Remove ?? []) this.#put(key, undefined, 0);
    return [200, { Revision: this.#revision }];
  }
}
