/** Starts stand-ins and entry processes as processes of their own, on loopback. */

import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import * as url from "node:url";
import * as undici from "undici";

export { waitFor } from "@peridotvale/core";

/** A started process. */
export interface Started {
  readonly address: string;
  readonly child: childProcess.ChildProcess;
  /** Lines that it has printed. */
  readonly lines: string[];
  /** Resolves with the exit code. */
  readonly exited: Promise<number | null>;
}

/** A started entry process. */
export interface StartedEntry extends Started {
  readonly process: string;
  readonly zone: string;
  readonly operators: string;
  readonly peers: string;
}

/** A program that has ended. */
export interface FinishedRun {
  readonly code: number | null;
  readonly stdout: string;
  readonly stderr: string;
}

/** A line of the VM list. */
export interface VmLine {
  readonly address: string;
  readonly zone: string;
  readonly role: "entry" | "engine" | "service";
  readonly state: "live" | "leaving";
  readonly service?: string;
  readonly process?: string;
}

const PACKAGES = path.resolve(
  path.dirname(url.fileURLToPath(import.meta.url)),
  "../..",
);
const STANDIN_MAIN = path.join(PACKAGES, "standins/dist/main.js");
const ENTRY_MAIN = path.join(PACKAGES, "entry/bin/peridotvale.js");
const CTL_MAIN = path.join(PACKAGES, "operators/bin/peridotctl.js");
const START_TIMEOUT_MS = 15_000;
const HOST = "127.0.0.1";

/** A manifest for tests. */
export const TEST_MANIFEST = `release: 1
models:
  layout-7b: { version: v1, replicas: 2, max_output_tokens: 20000 }
ranks:
  urgent: { order: 0, first_token_ms: 1000, between_tokens_ms: 35, deadline_ms: 60000 }
  patient: { order: 1, first_token_ms: 20000, between_tokens_ms: 70, deadline_ms: 600000, floor: 0.1 }
default_rank: urgent
workspaces:
  orchard: { weight: 1 }
  melon: { weight: 1 }
services:
  orders:
    operations:
      - { method: POST, path: /orders, idempotent: false, timeout_ms: 1500 }
      - { method: GET, path: "/stock/*", idempotent: true, timeout_ms: 1500 }
`;

/** The processes of one test. */
export class TestBed {
  readonly #started: Started[] = [];
  readonly #folder = fs.mkdtempSync(path.join(os.tmpdir(), "peridotvale-"));
  readonly vms: VmLine[] = [];
  #platform: string | undefined;

  /** Address of the platform stand-in. */
  get platform(): string {
    return this.#platform!;
  }

  /** Starts the platform stand-in. */
  async startPlatform(port = 0): Promise<Started> {
    const started = await this.#startStandin([
      "platform",
      "--port",
      String(port),
    ]);
    this.#platform = started.address;
    return started;
  }

  /** Starts a program that prints `listening ADDRESS`. */
  startProgram(args: readonly string[]): Promise<Started> {
    return this.#start(args, /listening (\S+)/);
  }

  /** Starts an engine and lists it. */
  async startEngine(
    zone: string,
    options: readonly string[] = [],
  ): Promise<Started> {
    const models = options.includes("--models") ? [] : ["--models", "layout-7b@v1"];
    const started = await this.#startStandin(["engine", ...models, ...options]);
    this.vms.push({
      address: started.address,
      zone,
      role: "engine",
      state: "live",
    });
    await this.sendVms();
    return started;
  }

  /** Starts a plain service and lists it. */
  async startService(zone: string, service = "orders"): Promise<Started> {
    const started = await this.#startStandin(["service"]);
    this.vms.push({
      address: started.address,
      zone,
      role: "service",
      state: "live",
      service,
    });
    await this.sendVms();
    return started;
  }

  /** Starts an entry process and lists it; `extra` is appended to its settings. */
  async startEntry(
    name: string,
    zone: string,
    options: {
      readonly platform?: string;
      readonly extra?: string;
      readonly peers?: string;
      readonly cores?: number;
      readonly seeds?: readonly string[];
      /** Address at which peers reach it, when it is not its own. */
      readonly advertised?: string;
    } = {},
  ): Promise<StartedEntry> {
    const peers = options.peers ?? `${HOST}:${await getFreePort()}`;
    const advertise = options.advertised ? `advertise: "${options.advertised}", ` : "";
    const seeds = JSON.stringify(options.seeds ?? []);
    const port = peers.split(":")[1];
    const settings = `process: ${name}
zone: ${zone}
cores: ${options.cores ?? 1}
callers: { host: ${HOST}, port: 0 }
operators: { host: ${HOST}, port: 0 }
peers: { host: ${HOST}, port: ${port}, ${advertise}seeds: ${seeds} }
platform: { url: "http://${options.platform ?? this.#platform}", timeout_ms: 500 }
cursor_secret: a-secret-for-tests-only
${options.extra ?? ""}`;
    const file = path.join(this.#folder, `${name.replaceAll("/", "-")}.yaml`);
    fs.writeFileSync(file, settings);
    if (!this.vms.some((line) => line.process === name)) {
      this.vms.push({
        address: options.advertised ?? peers,
        zone,
        role: "entry",
        state: "live",
        process: name,
      });
      await this.sendVms();
    }
    const started = await this.#start(
      [ENTRY_MAIN, "--settings", file],
      /event=process_started/,
    );
    const line = started.lines.find((text) => text.includes("event=process_started"))!;
    const operators = /operators=(\S+)/.exec(line)![1]!;
    return { ...started, process: name, zone, operators, peers };
  }

  /** Runs `peridotctl` to its end. */
  runCtl(args: readonly string[]): Promise<FinishedRun> {
    return runToEnd([CTL_MAIN, ...args]);
  }

  /** Runs `peridotvale` to its end. */
  runEntry(args: readonly string[]): Promise<FinishedRun> {
    return runToEnd([ENTRY_MAIN, ...args]);
  }

  /** Writes `text` to a file of the test; returns its path. */
  writeFile(name: string, text: string): string {
    const file = path.join(this.#folder, name);
    fs.writeFileSync(file, text);
    return file;
  }

  /** Submits a manifest through `entry`. */
  async submitManifest(
    entry: StartedEntry,
    text = TEST_MANIFEST,
  ): Promise<void> {
    const release = Number(/^release: (\d+)/m.exec(text)![1]);
    const answer = await undici.request(
      `http://${entry.operators}/manifest?base=${release - 1}&submission=test-${release}`,
      { method: "POST", body: text },
    );
    const body = await answer.body.text();
    if (answer.statusCode !== 200) {
      throw new Error(`manifest was not accepted: ${body}`);
    }
  }

  /** Sends the present VM list to the platform stand-in. */
  async sendVms(): Promise<void> {
    await this.postPlatform("vms", this.vms);
  }

  /** Posts to one of the platform stand-in's test paths. */
  async postPlatform(name: string, value: unknown): Promise<unknown> {
    const answer = await undici.request(
      `http://${this.#platform}/test/${name}`,
      {
        method: "POST",
        body: JSON.stringify(value),
      },
    );
    return await answer.body.json();
  }

  /** Waits until `entry` is ready and sees accepting engines, if any are listed in its zone. */
  async waitReady(entry: StartedEntry): Promise<void> {
    await waitUntil(async () => {
      const answer = await undici.request(`http://${entry.address}/readyz`);
      await answer.body.dump();
      return answer.statusCode === 200;
    }, "entry process is ready");
  }

  /** Ends every process and removes the files. */
  async stop(): Promise<void> {
    for (const { child } of this.#started) {
      child.kill("SIGCONT");
      child.kill("SIGKILL");
    }
    await Promise.all(this.#started.map((started) => started.exited));
    fs.rmSync(this.#folder, { recursive: true, force: true });
  }

  async #startStandin(args: readonly string[]): Promise<Started> {
    return await this.#start([STANDIN_MAIN, ...args], /listening (\S+)/);
  }

  #start(args: readonly string[], pattern: RegExp): Promise<Started> {
    const child = childProcess.spawn(process.execPath, [...args], {
      stdio: ["ignore", "pipe", "pipe"],
    });
    const lines: string[] = [];
    const exited = new Promise<number | null>((resolve) => child.once("exit", resolve));
    return new Promise((resolve, reject) => {
      const timer = setTimeout(
        () =>
          reject(
            new Error(`not started: ${args.join(" ")}\n${lines.join("\n")}`),
          ),
        START_TIMEOUT_MS,
      );
      let rest = "";
      const read = (data: Uint8Array) => {
        const parts = (rest + data).split("\n");
        rest = parts.pop() ?? "";
        for (const line of parts) {
          lines.push(line);
          if (!pattern.test(line)) continue;
          clearTimeout(timer);
          const address = /(?:listening |callers=)(\S+)/.exec(line)![1]!;
          const started = { address, child, lines, exited };
          this.#started.push(started);
          resolve(started);
        }
      };
      child.stdout.on("data", read);
      child.stderr.on("data", read);
      child.once("exit", (code) => {
        clearTimeout(timer);
        reject(new Error(`exited with ${code}: ${lines.join("\n")}`));
      });
    });
  }
}

/** Waits until `condition` holds; throws after `timeoutMs`. */
export async function waitUntil(
  condition: () => boolean | Promise<boolean>,
  what: string,
  timeoutMs = 15_000,
): Promise<void> {
  const giveUpAt = performance.now() + timeoutMs;
  while (true) {
    try {
      if (await condition()) return;
    } catch {
      // Not reachable yet counts as not true yet.
    }
    if (performance.now() > giveUpAt) {
      throw new Error(`not true in time: ${what}`);
    }
    await new Promise((resolve) => setTimeout(resolve, 25));
  }
}

/** A TCP port that is free now. */
export function getFreePort(): Promise<number> {
  return new Promise((resolve, reject) => {
    const server = net.createServer();
    server.once("error", reject);
    server.listen(0, HOST, () => {
      const { port } = server.address() as net.AddressInfo;
      server.close(() => resolve(port));
    });
  });
}

async function runToEnd(args: readonly string[]): Promise<FinishedRun> {
  const child = childProcess.spawn(process.execPath, [...args]);
  let stdout = "";
  let stderr = "";
  child.stdout.on("data", (data) => stdout += data);
  child.stderr.on("data", (data) => stderr += data);
  const code = await new Promise<number | null>((resolve) => child.once("close", resolve));
  return { code, stdout, stderr };
}
