/** Starts stand-ins and entry processes as child processes on the loopback address. */

import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import * as url from "node:url";
import * as undici from "undici";
import * as cleanup from "./child_cleanup.ts";

export { waitFor } from "@peridotvale/core";

export interface StartedProcess {
  /** Address for callers, as `host:port`. */
  readonly address: string;
  readonly child: childProcess.ChildProcess;
  /** Lines printed so far to stdout and stderr. */
  readonly lines: string[];
  /** Resolves with the exit code, or with null if a signal ended the process. */
  readonly exited: Promise<number | null>;
}

export interface StartedEntry extends StartedProcess {
  readonly process: string;
  readonly zone: string;
  /** Address for operators. */
  readonly operators: string;
  /** Address at which the process listens for peers. */
  readonly peers: string;
}

/** Exit code and output of a program that has ended. */
export interface FinishedProgram {
  readonly code: number | null;
  readonly stdout: string;
  readonly stderr: string;
}

/** An entry of the platform's VM list. */
export interface ListedVm {
  readonly address: string;
  readonly zone: string;
  readonly role: "entry" | "engine" | "service";
  readonly state: "live" | "leaving";
  readonly service?: string;
  readonly process?: string;
}

const PACKAGES_FOLDER = path.resolve(
  path.dirname(url.fileURLToPath(import.meta.url)),
  "../..",
);
const STANDIN_PROGRAM = path.join(PACKAGES_FOLDER, "standins/dist/main.js");
const ENTRY_PROGRAM = path.join(PACKAGES_FOLDER, "entry/bin/peridotvale.js");
const CTL_PROGRAM = path.join(PACKAGES_FOLDER, "operators/bin/peridotctl.js");
const START_TIMEOUT_MS = 15_000;
const HOST = "127.0.0.1";

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

/** Owns the processes, files and VM list of one test. */
export class TestHarness {
  readonly #startedProcesses: StartedProcess[] = [];
  readonly #filesFolder = fs.mkdtempSync(path.join(os.tmpdir(), "peridotvale-"));
  readonly vms: ListedVm[] = [];
  #platform: string | undefined;

  /** Address of the platform stand-in. */
  get platform(): string {
    return this.#platform!;
  }

  async startPlatform(port = 0): Promise<StartedProcess> {
    const started = await this.#startStandin([
      "platform",
      "--port",
      String(port),
    ]);
    this.#platform = started.address;
    return started;
  }

  /** Starts a Node program and waits until it prints `listening ADDRESS`. */
  startProgram(args: readonly string[]): Promise<StartedProcess> {
    return this.#startProcess(args, /listening (\S+)/);
  }

  /** Starts an engine stand-in and adds it to the VM list. */
  async startEngine(
    zone: string,
    options: readonly string[] = [],
  ): Promise<StartedProcess> {
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

  /** Starts a stand-in for a plain service and adds it to the VM list. */
  async startService(zone: string, service = "orders"): Promise<StartedProcess> {
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

  /** Starts an entry process and adds it to the VM list unless its name is listed already. */
  async startEntry(
    name: string,
    zone: string,
    options: {
      /** Address of the platform, if it differs from the stand-in's, such as a relay's. */
      readonly platform?: string;
      /** YAML that is appended to the settings. */
      readonly extraSettings?: string;
      /** Address at which the process listens for peers; by default, a free port. */
      readonly peers?: string;
      readonly cores?: number;
      /** Value of the setting `peers.seeds`. */
      readonly seeds?: readonly string[];
      /** Flags of Node; with them, the process runs without the hooks of the test runner. */
      readonly nodeFlags?: readonly string[];
      /** Address that peers connect to, if it differs from `peers`, such as a relay's. */
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
${options.extraSettings ?? ""}`;
    const file = path.join(this.#filesFolder, `${name.replaceAll("/", "-")}.yaml`);
    fs.writeFileSync(file, settings);
    if (!this.vms.some((vm) => vm.process === name)) {
      this.vms.push({
        address: options.advertised ?? peers,
        zone,
        role: "entry",
        state: "live",
        process: name,
      });
      await this.sendVms();
    }
    const entryArgs = [ENTRY_PROGRAM, "--settings", file];
    const started = options.nodeFlags === undefined
      ? await this.#startProcess(entryArgs, /event=process_started/)
      : await this.#startProcess(
        ["-u", "NODE_OPTIONS", process.execPath, ...options.nodeFlags, ...entryArgs],
        /event=process_started/,
        "env",
      );
    const line = started.lines.find((text) => text.includes("event=process_started"))!;
    const operators = /operators=(\S+)/.exec(line)![1]!;
    return { ...started, process: name, zone, operators, peers };
  }

  /** Runs `peridotctl` and waits until it exits. */
  runCtl(args: readonly string[]): Promise<FinishedProgram> {
    return runToEnd([CTL_PROGRAM, ...args]);
  }

  /** Runs the entry program `peridotvale` and waits until it exits. */
  runEntry(args: readonly string[]): Promise<FinishedProgram> {
    return runToEnd([ENTRY_PROGRAM, ...args]);
  }

  /** Writes `text` to a temporary file of this test and returns its path. */
  writeFile(name: string, text: string): string {
    const file = path.join(this.#filesFolder, name);
    fs.writeFileSync(file, text);
    return file;
  }

  /**
   * Submits the manifest `text` through `entry`, with the release number before its own as the
   * base. Throws if the manifest is refused.
   */
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

  /** Sends the current VM list to the platform stand-in. */
  async sendVms(): Promise<void> {
    await this.postToPlatform("vms", this.vms);
  }

  /** Posts `value` to `/test/NAME` of the platform stand-in. */
  async postToPlatform(name: string, value: unknown): Promise<unknown> {
    const answer = await undici.request(
      `http://${this.#platform}/test/${name}`,
      {
        method: "POST",
        body: JSON.stringify(value),
      },
    );
    return await answer.body.json();
  }

  /** Waits until the readiness check (`/readyz`) of `entry` succeeds. */
  async waitReady(entry: StartedEntry): Promise<void> {
    await waitUntil(async () => {
      const answer = await undici.request(`http://${entry.address}/readyz`);
      await answer.body.dump();
      return answer.statusCode === 200;
    }, "entry process is ready");
  }

  /** Kills every process, including paused ones, and removes the temporary files. */
  async stop(): Promise<void> {
    for (const { child } of this.#startedProcesses) {
      child.kill("SIGCONT");
      child.kill("SIGKILL");
    }
    await Promise.all(this.#startedProcesses.map((started) => started.exited));
    fs.rmSync(this.#filesFolder, { recursive: true, force: true });
  }

  async #startStandin(args: readonly string[]): Promise<StartedProcess> {
    return await this.#startProcess([STANDIN_PROGRAM, ...args], /listening (\S+)/);
  }

  #startProcess(
    args: readonly string[],
    pattern: RegExp,
    program: string = process.execPath,
  ): Promise<StartedProcess> {
    const child = childProcess.spawn(program, [...args], {
      stdio: ["ignore", "pipe", "pipe"],
    });
    cleanup.registerChild(child);
    const lines: string[] = [];
    const exited = new Promise<number | null>((resolve) => child.once("exit", resolve));
    return new Promise((resolve, reject) => {
      const timer = setTimeout(
        () =>
          reject(
            new Error(
              `process did not report its start in time: ${args.join(" ")}\n${lines.join("\n")}`,
            ),
          ),
        START_TIMEOUT_MS,
      );
      let incompleteLine = "";
      const readOutput = (data: Uint8Array) => {
        const completeLines = (incompleteLine + data).split("\n");
        incompleteLine = completeLines.pop() ?? "";
        for (const line of completeLines) {
          lines.push(line);
          if (!pattern.test(line)) continue;
          clearTimeout(timer);
          const address = /(?:listening |callers=)(\S+)/.exec(line)![1]!;
          const started = { address, child, lines, exited };
          this.#startedProcesses.push(started);
          resolve(started);
        }
      };
      child.stdout.on("data", readOutput);
      child.stderr.on("data", readOutput);
      child.once("exit", (code) => {
        clearTimeout(timer);
        reject(new Error(`process exited with code ${code}: ${lines.join("\n")}`));
      });
    });
  }
}

/**
 * Polls until `condition` returns true, and throws after `timeoutMs`. If `condition` throws, it is
 * polled again.
 */
export async function waitUntil(
  condition: () => boolean | Promise<boolean>,
  description: string,
  timeoutMs = 15_000,
): Promise<void> {
  const deadlineAt = performance.now() + timeoutMs;
  while (true) {
    try {
      if (await condition()) return;
    } catch {
      // A process that is not reachable yet does not meet the condition.
    }
    if (performance.now() > deadlineAt) {
      throw new Error(`condition was not met in time: ${description}`);
    }
    await new Promise((resolve) => setTimeout(resolve, 25));
  }
}

/** Returns a TCP port that is free at the time of the call. */
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

async function runToEnd(args: readonly string[]): Promise<FinishedProgram> {
  const child = childProcess.spawn(process.execPath, [...args]);
  let stdout = "";
  let stderr = "";
  child.stdout.on("data", (data) => stdout += data);
  child.stderr.on("data", (data) => stderr += data);
  const code = await new Promise<number | null>((resolve) => child.once("close", resolve));
  return { code, stdout, stderr };
}
