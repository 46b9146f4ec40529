/** Starts the program as the deploy file does, several processes on loopback addresses. */

import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as http from "node:http";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import * as readline from "node:readline";
import { Store } from "./store.js";

const ROOT = path.resolve(import.meta.dirname, "../..");
/** The command of the role `entry` in deploy/system.toml. */
const COMMAND = ["node", "--max-old-space-size=96", "target/peridotvale.cjs"];
const READY_TIMEOUT_MS = 15_000;
export const HOST = "shop.example";
export const KEY = "key-of-orchard-1";

export function wait(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Finds a port that is free now. */
export async function findPort() {
  const server = net.createServer();
  await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address();
  await new Promise((resolve) => server.close(resolve));
  return port;
}

/** Writes lines to `record.txt` in the folder of the case. */
export class Record {
  #startedAt = Date.now();
  #lines = [];
  #file;

  constructor(folder) {
    this.#file = path.join(folder, "record.txt");
  }

  write(text) {
    this.#lines.push(`${((Date.now() - this.#startedAt) / 1_000).toFixed(3)} ${text}`);
  }

  save() {
    fs.writeFileSync(this.#file, this.#lines.join("\n") + "\n");
  }
}

/** A route of the configuration; `changes` replaces fields. */
export function createRoute(name, kind, service, changes = {}) {
  return {
    Name: name,
    Host: HOST,
    PathPrefix: `/${name}/`,
    Kind: kind,
    TimeoutMs: kind === "streaming" ? 39_000 : 1_500,
    TargetLatencyMs: kind === "streaming" ? 4_000 : 386,
    Priority: 2,
    Service: service,
    MaxAttempts: kind === "idempotent" ? 2 : 1,
    Keyless: false,
    Sticky: kind === "streaming",
    Resumable: false,
    GapAimMs: 180,
    ...changes,
  };
}

export function createConfig(routes) {
  return {
    Version: 7,
    Routes: routes,
    Services: [
      {
        Name: "model",
        HealthPath: "/health",
        MaxConns: 272,
        Engine: {
          Slots: 24,
          KvCapacity: 34_371,
          KvTokenBytes: 35_136,
          LinkMbps: 5_100,
          Moves: true,
          Backups: true,
          Stride: 4,
          HandleS: 5,
        },
      },
      { Name: "desk", HealthPath: "/health", MaxConns: 100 },
    ],
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 4_194_304,
      HeaderTimeoutMs: 3_000,
      IdleTimeoutMs: 15_000,
    },
    Tenants: [{ Name: "orchard", ApiKeys: [KEY], Priority: 1 }],
  };
}

/** A server's entry in the store, as a heartbeat writes it; `changes` replaces fields. */
export function createEntry(address, service, zone, changes) {
  return {
    Service: service,
    Address: address,
    Zone: zone,
    Version: "v1",
    Slots: service === "model" ? 24 : 6,
    State: "ready",
    ColdLeftMs: 0,
    Sequence: 4,
    ...changes,
  };
}

class FrontProcess {
  constructor(name, zone, storeAddress, folder) {
    this.name = name;
    this.zone = zone;
    this.storeAddress = storeAddress;
    this.file = path.join(folder, `${name}.json`);
    this.logFile = path.join(folder, `${name}.log`);
  }

  async start() {
    this.port = await findPort();
    this.readyPort = await findPort();
    this.peerPort = await findPort();
    this.writeSettings({});
    const log = fs.openSync(this.logFile, "a");
    const { PATH, HOME } = process.env;
    this.child = childProcess.spawn(COMMAND[0], COMMAND.slice(1), {
      cwd: ROOT,
      env: { PATH, HOME, LANG: "C.UTF-8", PERIDOTVALE_BOOT: this.file },
      stdio: ["ignore", log, log],
    });
    fs.closeSync(log);
    const endAt = Date.now() + READY_TIMEOUT_MS;
    while (!(await this.isReady())) {
      if (Date.now() > endAt) throw new Error(`${this.name} is not ready`);
      await wait(50);
    }
  }

  /** Writes the settings of a machine of kitamura-nets; `changes` replaces top-level fields. */
  writeSettings(changes) {
    const settings = {
      NodeName: this.name,
      Role: "entry",
      MachineClass: "front",
      Serves: ["front"],
      Ip: "127.0.0.1",
      Zone: this.zone,
      Region: "kamikawa",
      ListenAddrs: {
        Front: `127.0.0.1:${this.port}`,
        Ready: `127.0.0.1:${this.readyPort}`,
        Control: "127.0.0.1:1",
      },
      PortRange: [this.peerPort, this.peerPort],
      Seeds: [],
      Bootstrap: true,
      Limits: { CpuShare: 0.675, Cores: 1, MemoryMb: 200, MaxFds: 4_100, LinkMbps: 1_000 },
      HeartbeatMs: 1_200,
      Bounds: {
        StableWindowMs: 3_000,
        DrainMs: 2_000,
        GraceS: 8,
        ConfigApplyMs: 2_000,
        StrictRevoke: true,
        RevokeMs: 5_000,
        RetryRatio: 0.2,
        RetryWindowS: 10,
        RetrySlack: 54,
      },
      Platform: { Address: this.storeAddress, form: "kv" },
      ...changes,
    };
    fs.writeFileSync(this.file, JSON.stringify(settings));
  }

  isReady() {
    return new Promise((resolve) => {
      const request = http.get({
        host: "127.0.0.1",
        port: this.readyPort,
        path: "/api/readiness",
        agent: false,
      });
      request.on("response", (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      });
      request.on("error", () => resolve(false));
    });
  }

  get isRunning() {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  signal(name) {
    this.child.kill(name);
  }
}

/** The platform's store and the processes of the system, in three zones. */
export class Fleet {
  store = new Store();
  fronts = [];
  /** Ids of the requests that the servers have begun to work on, with the servers' ids. */
  runs = new Map();
  #children = [];
  folder = fs.mkdtempSync(path.join(os.tmpdir(), "peridotvale-review-"));

  /** Starts the store and `count` processes, and waits until all are ready. */
  async start(count, routes) {
    const storeAddress = await this.store.start();
    this.store.write("op/config", createConfig(routes));
    for (let i = 0; i < count; i += 1) {
      const zone = ["asahikawa", "furano", "nayoro"][i % 3];
      this.fronts.push(new FrontProcess(`front-${i + 1}`, zone, storeAddress, this.folder));
    }
    await Promise.all(this.fronts.map((front) => front.start()));
  }

  /** Registers a server, as its first heartbeat does. Returns a function that changes the entry. */
  register(id, address, service, zone) {
    const born = Date.now();
    const write = (changes = {}) => {
      const entry = createEntry(address, service, zone, { born, ...changes });
      this.store.write(`servers/${id}`, entry);
    };
    write();
    return write;
  }

  /**
   * Starts a stand-in of this folder as a process; resolves with the port that it listens at. The
   * stand-in prints its port, and then a line for each request that it runs.
   */
  async spawnStandin(file, ...args) {
    const script = path.join(import.meta.dirname, file);
    const child = childProcess.spawn("node", [script, ...args], {
      stdio: ["ignore", "pipe", "inherit"],
    });
    this.#children.push(child);
    const lines = readline.createInterface({ input: child.stdout });
    const port = await new Promise((resolve) => {
      lines.once("line", (line) => resolve(Number(line)));
    });
    lines.on("line", (line) => {
      const [request, instance] = line.split(" ");
      this.runs.set(request, [...this.runs.get(request) ?? [], instance]);
    });
    return { child, port };
  }

  /** Ends all processes that were started here. */
  stop() {
    this.store.stop();
    for (const front of this.fronts) front.signal("SIGKILL");
    for (const child of this.#children) child.kill("SIGKILL");
    fs.rmSync(this.folder, { recursive: true, force: true });
  }
}

let requestCount = 0;

/**
 * Sends a request as a caller, on a connection of its own unless `agent` keeps one. Resolves with
 * the status (0 if there was no answer), the body, and whether the answer is complete.
 */
export function sendRequest(front, options) {
  requestCount += 1;
  const id = options.id ?? `${Date.now().toString(16)}${requestCount.toString(16)}`;
  const startedAt = Date.now();
  return new Promise((resolve) => {
    let status = 0;
    let stamp;
    const chunks = [];
    let isSettled = false;
    const settle = (isComplete) => {
      if (isSettled) return;
      isSettled = true;
      clearTimeout(timer);
      if (!isComplete) request.destroy();
      const body = Buffer.concat(chunks).toString("latin1");
      const isReused = request.reusedSocket;
      resolve({
        id,
        status,
        stamp,
        body,
        isComplete,
        isReused,
        durationMs: Date.now() - startedAt,
      });
    };
    const request = http.request({
      host: "127.0.0.1",
      port: front.port,
      method: options.method,
      path: options.path,
      agent: options.agent ?? false,
      headers: {
        "Host": HOST,
        "X-Request-Id": id,
        "X-Deadline-Ms": String(options.deadlineMs),
        "Api-Key": KEY,
        ...options.headers,
      },
    });
    // The caller leaves at its deadline.
    const timer = setTimeout(() => settle(false), options.deadlineMs);
    request.on("error", () => settle(false));
    request.on("response", (response) => {
      status = response.statusCode;
      stamp = response.headers["x-server-stamp"];
      options.onHead?.();
      response.on("data", (chunk) => {
        chunks.push(chunk);
        options.onData?.(chunk);
      });
      response.on("error", () => settle(false));
      response.on("end", () => settle(response.complete));
    });
    request.end(options.body);
  });
}

/** Headers of a generation. */
export function createGenerationHeaders(part) {
  return {
    "X-Model": "m",
    "X-Token-Count": "1460,800",
    "X-Prompt-Prefix": `5c1e07a2:800,${part}:660`,
  };
}

/** Runs a case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase(folder, run) {
  const record = new Record(folder);
  const fleet = new Fleet();
  const isTroubled = process.env.TROUBLE !== "0";
  let exitCode = 2;
  try {
    const verdict = await run({ fleet, record, isTroubled });
    exitCode = verdict.isBroken ? 1 : 0;
    record.write(`verdict: ${verdict.isBroken ? "broken" : "held"}: ${verdict.text}`);
    console.log(`${verdict.isBroken ? "broken" : "held"}: ${verdict.text}`);
  } catch (error) {
    record.write(`could not run: ${error.stack}`);
    console.log(`could not run: ${error.message}`);
  } finally {
    record.write(`the servers ran ${fleet.runs.size} requests`);
    fleet.stop();
    record.save();
  }
  process.exit(exitCode);
}
