/**
 * Stand-ins of the platform, its servers and its consumers for the scripts of the review, and the
 * starter of the project's own program. Node's library only. All addresses are on the loopback.
 */

import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as http from "node:http";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";

const REPOSITORY = path.resolve(import.meta.dirname, "../..");
const HOST = "127.0.0.1";

/** Whether the script plays its disruption; `TROUBLE=0` plays all else without it. */
export const hasTrouble = process.env.TROUBLE !== "0";

export function wait(durationMs) {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

/** Writes what was sent, answered and run to `record.txt`, with the time since the start. */
export class Recorder {
  #file;
  #startedAt = performance.now();

  constructor(folder) {
    this.#file = fs.openSync(path.join(folder, "record.txt"), "w");
  }

  write(text) {
    const seconds = ((performance.now() - this.#startedAt) / 1000).toFixed(3);
    fs.writeSync(this.#file, `${seconds.padStart(8)} ${text}\n`);
  }
}

export async function findFreePort() {
  const server = net.createServer();
  await new Promise((resolve) => server.listen(0, HOST, resolve));
  const { port } = server.address();
  await new Promise((resolve) => server.close(resolve));
  return port;
}

async function listen(server) {
  await new Promise((resolve) => server.listen(0, HOST, resolve));
  return `${HOST}:${server.address().port}`;
}

/** The platform's metadata store, as PROTOCOL.md describes it. */
export class Store {
  #items = new Map();
  #history = [];
  #watches = new Set();
  #leases = new Map();
  #nextLease = 1;
  #revision = 10;
  /** While true, every call gets 503. */
  isDown = false;
  #server = http.createServer((request, response) => this.#handle(request, response));
  address = "";

  async start() {
    this.#server.keepAliveTimeout = 60_000;
    this.address = await listen(this.#server);
  }

  stop() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** While down, the store refuses all calls and cuts the watches that wait. */
  setDown(isDown) {
    this.isDown = isDown;
    if (isDown) { for (const watch of [...this.#watches]) watch(); }
  }

  /** A write by the operator or by a server. */
  write(key, value) {
    this.#put(key, Buffer.from(JSON.stringify(value)).toString("base64"), 0);
  }

  remove(key) {
    this.#revision += 1;
    const Revision = this.#revision;
    this.#items.delete(key);
    this.#publish({ Key: key, Revision, Tombstone: true });
  }

  #put(Key, Value, Lease) {
    this.#revision += 1;
    const CreateRevision = this.#items.get(Key)?.CreateRevision ?? this.#revision;
    const item = { Key, Value, Revision: this.#revision, CreateRevision, Lease };
    this.#items.set(Key, item);
    this.#publish(item);
  }

  #publish(event) {
    this.#history.push(event);
    for (const watch of [...this.#watches]) watch();
  }

  async #handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const send = (status, body) => {
      response.writeHead(status, { "content-type": "application/json" });
      response.end(JSON.stringify(body));
    };
    if (this.isDown) return send(503, { Error: "down" });
    const url = new URL(request.url, "http://store");
    const body = chunks.length > 0 ? JSON.parse(Buffer.concat(chunks).toString()) : {};
    const prefix = url.searchParams.get("PathPrefix") ?? "";
    const after = url.searchParams.get("After") ?? "";
    if (url.pathname === "/api/kv-key") {
      const item = this.#items.get(url.searchParams.get("Key"));
      const AsOf = this.#revision;
      return item === undefined ? send(404, { AsOf }) : send(200, { ...item, AsOf });
    }
    if (url.pathname === "/api/kv-range") {
      const Entries = [...this.#items.values()]
        .filter((item) => item.Key.startsWith(prefix) && item.Key > after)
        .sort((a, b) => a.Key < b.Key ? -1 : 1);
      return send(200, { Entries, Truncated: false, AsOf: this.#revision });
    }
    if (url.pathname === "/api/kv-watch") {
      const waitMs = Number(url.searchParams.get("WaitMs") ?? 0);
      return await this.#watch(send, response, { prefix, after: Number(after), waitMs });
    }
    if (url.pathname === "/api/kv-lease") {
      const Lease = this.#nextLease++;
      this.#leases.set(String(Lease), body.TtlMs);
      this.#armLease(Lease);
      return send(200, { Lease, TtlMs: body.TtlMs });
    }
    if (url.pathname.startsWith("/api/kv-keep/")) {
      const lease = url.pathname.slice("/api/kv-keep/".length);
      if (!this.#leases.has(lease)) return send(404, {});
      return send(200, { TtlMs: this.#leases.get(lease) });
    }
    if (url.pathname === "/api/kv-txn") return this.#commit(send, body);
    send(404, {});
  }

  /** Scripts are shorter than the leases of the system's processes, so none of them ends. */
  #armLease(_lease) {}

  #commit(send, { ExpectedRev = [], Puts = [], Remove = [] }) {
    const isMet = ExpectedRev.every(({ Key, Revision }) =>
      (this.#items.get(Key)?.Revision ?? 0) === Revision
    );
    if (!isMet) {
      const Entries = ExpectedRev.map(({ Key }) => this.#items.get(Key)).filter(Boolean);
      return send(412, { Entries });
    }
    for (const { Key, Value, Lease } of Puts) this.#put(Key, Value, Lease);
    for (const key of Remove) this.remove(key);
    send(200, { Revision: this.#revision });
  }

  async #watch(send, response, { prefix, after, waitMs }) {
    const list = () =>
      this.#history.filter((event) => event.Revision > after && event.Key.startsWith(prefix));
    if (list().length === 0) {
      await new Promise((resolve) => {
        const notify = () => {
          if (list().length === 0 && !this.isDown) return;
          finish();
        };
        const finish = () => {
          clearTimeout(timer);
          this.#watches.delete(notify);
          resolve();
        };
        const timer = setTimeout(finish, waitMs);
        this.#watches.add(notify);
        response.on("close", finish);
      });
    }
    if (response.destroyed) return;
    if (this.isDown) return send(503, { Error: "down" });
    send(200, { events: list(), AsOf: this.#revision });
  }
}

/** One machine of the system: its settings file and its process, started as the deploy file says. */
export class Front {
  name;
  port = 0;
  readyPort = 0;
  exitCode;
  isEnded = false;
  #child;
  #folder;
  #logFile;

  constructor(name, folder) {
    this.name = name;
    this.#folder = folder;
  }

  async start(store, bounds = {}) {
    this.port = await findFreePort();
    this.readyPort = await findFreePort();
    const peerPort = await findFreePort();
    const settings = {
      NodeName: this.name,
      Role: "entry",
      MachineClass: "front",
      Serves: ["front"],
      Ip: HOST,
      Zone: "a",
      Region: "r",
      Zones: { a: "r" },
      ListenAddrs: { Front: `${HOST}:${this.port}`, Ready: `${HOST}:${this.readyPort}` },
      PortRange: [peerPort, peerPort],
      Seeds: [],
      Bootstrap: true,
      Limits: { CpuShare: 0.675, Cores: 1, MemoryMb: 200, MaxFds: 4100, LinkMbps: 1000 },
      HeartbeatMs: 1200,
      Bounds: {
        StableWindowMs: 3000,
        DrainMs: 2000,
        GraceS: 8,
        LossSlackMs: 200,
        ConfigApplyMs: 2000,
        StrictRevoke: true,
        RevokeMs: 5000,
        RetryRatio: 0.2,
        RetryWindowS: 10,
        RetrySlack: 54,
        ...bounds,
      },
      Platform: { Address: store.address, form: "kv", WritesPerS: 400, ReadsPerS: 2000 },
    };
    const file = path.join(this.#folder, `${this.name}.json`);
    fs.writeFileSync(file, JSON.stringify(settings));
    this.#logFile = path.join(this.#folder, `${this.name}.log`);
    const log = fs.openSync(this.#logFile, "a");
    const program = ["--max-old-space-size=96", "target/peridotvale.cjs"];
    this.#child = childProcess.spawn(process.execPath, program, {
      cwd: REPOSITORY,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, PERIDOTVALE_BOOT: file },
      stdio: ["ignore", log, log],
    });
    this.#child.on("exit", (code, signal) => {
      this.isEnded = true;
      this.exitCode = code ?? signal;
    });
    await waitUntil(async () => this.isEnded || await this.isReady(), 10_000, "a ready process");
    if (this.isEnded) throw new CannotRun(`${this.name} ended: ${this.readLog().slice(-400)}`);
  }

  readLog() {
    return fs.readFileSync(this.#logFile, "utf8");
  }

  async isReady() {
    const answer = await send(this.readyPort, { path: "/api/readiness", timeoutMs: 500 });
    return answer.status === 200;
  }

  signal(name) {
    this.#child?.kill(name);
  }
}

/** Raised where a case cannot run; the script then exits with 2. */
export class CannotRun extends Error {}

export async function waitUntil(check, timeoutMs, what) {
  const endAt = performance.now() + timeoutMs;
  while (!(await check())) {
    if (performance.now() > endAt) throw new CannotRun(`no ${what} within ${timeoutMs} ms`);
    await wait(10);
  }
}

/**
 * Sends one request as a consumer, on a new connection or with `agent`. Resolves with the status,
 * or with the status 0 and how the connection ended if there is no complete answer.
 */
export function send(port, options) {
  const { path: target, method = "GET", headers = {}, body, agent = false, timeoutMs } = options;
  return new Promise((resolve) => {
    const request = http.request({ host: HOST, port, path: target, method, headers, agent });
    let received = "";
    let status = 0;
    let isDone = false;
    const finish = (result) => {
      if (isDone) return;
      isDone = true;
      clearTimeout(timer);
      resolve({ headers: {}, body: received, headStatus: status, ...result });
    };
    const timer = timeoutMs === undefined ? undefined : setTimeout(() => {
      finish({ status: 0, end: "the consumer left" });
      request.destroy();
    }, timeoutMs);
    request.on("error", (error) => finish({ status: 0, end: error.code ?? error.message }));
    request.on("response", (response) => {
      status = response.statusCode;
      response.on("data", (chunk) => {
        received += chunk.toString("latin1");
        options.onData?.(chunk, response);
      });
      response.on("error", (error) => finish({ status: 0, end: error.code ?? error.message }));
      response.on("end", () => {
        if (!response.complete) return finish({ status: 0, end: "cut in the answer" });
        finish({ status, headers: response.headers, body: received, end: "complete" });
      });
    });
    request.end(body);
  });
}

/** A server's entry in the store. */
export function createEntry(address, service, changes = {}) {
  return {
    Service: service,
    Address: address,
    Zone: "a",
    Version: "v1",
    Slots: 6,
    State: "ready",
    ColdLeftMs: 0,
    Sequence: 1,
    born: Date.now(),
    ...changes,
  };
}

export function createRoute(name, kind, changes = {}) {
  return {
    Name: name,
    Host: "a.example",
    PathPrefix: `/${name}/`,
    Kind: kind,
    TimeoutMs: 800,
    TargetLatencyMs: 300,
    Priority: 2,
    Service: "desk",
    MaxAttempts: kind === "idempotent" ? 2 : 1,
    Keyless: true,
    ...changes,
  };
}

/** The operator's configuration: a plain service `desk` and model servers `model`. */
export function createConfig(routes) {
  return {
    Version: 1,
    Routes: routes,
    Services: [
      { Name: "desk", HealthPath: "/health", MaxConns: 100, Protocol: "h1", Tls: false },
      {
        Name: "model",
        HealthPath: "/health",
        MaxConns: 272,
        Protocol: "h1",
        Tls: false,
        Engine: {
          Slots: 24,
          KvCapacity: 34371,
          KvTokenBytes: 35136,
          LinkMbps: 5100,
          Moves: true,
          Backups: true,
          Stride: 4,
          HandleS: 5,
          Models: [{ Name: "m" }],
        },
      },
    ],
    Limits: {
      MaxHeaderBytes: 16384,
      MaxBodyBytes: 4194304,
      HeaderTimeoutMs: 3000,
      IdleTimeoutMs: 15000,
    },
  };
}

/**
 * Runs a case in a temporary folder. `play` returns whether the rule was broken. Exits with 1 if
 * it was, with 0 if it held and with 2 if the case could not run; ends all processes.
 */
export async function runCase(folder, play) {
  const recorder = new Recorder(folder);
  const temporary = fs.mkdtempSync(path.join(os.tmpdir(), "peridotvale-review-"));
  const stops = [];
  const context = {
    recorder,
    /** Starts a machine of the system. */
    startFront: async (name, store, bounds) => {
      const front = new Front(name, temporary);
      stops.push(() => front.signal("SIGKILL"));
      await front.start(store, bounds);
      return front;
    },
    startStore: async () => {
      const store = new Store();
      await store.start();
      stops.push(() => store.stop());
      return store;
    },
    onStop: (stop) => stops.push(stop),
  };
  let code = 2;
  try {
    const isBroken = await play(context);
    recorder.write(isBroken ? "RESULT: the rule was broken" : "RESULT: the rule held");
    code = isBroken ? 1 : 0;
  } catch (error) {
    recorder.write(`RESULT: the case could not run: ${error.stack}`);
  }
  for (const stop of stops.reverse()) stop();
  await wait(100);
  fs.rmSync(temporary, { recursive: true, force: true });
  process.exit(code);
}
