/**
 * Load of uncontrolled clients on a process: raw connections that send large or endless
 * bodies, stop before the end of a request, do not read their answers, or send nothing.
 */

import * as fs from "node:fs";
import * as net from "node:net";
import * as core from "@peridotvale/core";

/** Body size limit of the test configuration, in bytes. */
export const MAX_BODY_BYTES = 4 * 1024 * 1024;
const MIB = 1024 * 1024;
const PIECE = Buffer.alloc(64 * 1024, "x");
const CHUNK_OF_64_KIB = Buffer.concat([
  Buffer.from("10000\r\n"),
  Buffer.alloc(0x10000, "x"),
  Buffer.from("\r\n"),
]);
const SINGLE_BYTE_CHUNKS = Buffer.from("1\r\nx\r\n".repeat(10_000));
/** Time limit of a load; the clients that are still sending then stop where they are. */
const LOAD_TIMEOUT_MS = 6_000;
const SLOW_SEND_INTERVAL_MS = 25;
/** Time for which the connections stay as they are after the last byte was written. */
const HOLD_MS = 1_500;

/** What one client sends. */
export interface ClientScript {
  readonly head: string;
  /** Sent `repeatCount` times after the head. */
  readonly piece?: Buffer;
  readonly repeatCount?: number;
  /** Sent after the pieces. */
  readonly tail?: Buffer;
  readonly isSlow?: boolean;
  readonly isNotReading?: boolean;
}

/** The connections of one load, which stay open until `close` is called. */
export class CallerLoad {
  readonly #sockets: net.Socket[] = [];

  /**
   * Opens `count` connections at once. Resolves some time after all have sent their bytes or were
   * closed; those that are still open stay open.
   */
  async run(port: number, count: number, createScript: (i: number) => ClientScript): Promise<void> {
    const isOver = { value: false };
    const clients = Array.from(
      { length: count },
      (_, i) => this.#runClient(port, createScript(i), isOver),
    );
    await core.waitAtMost(Promise.all(clients), LOAD_TIMEOUT_MS);
    isOver.value = true;
    await core.waitFor(HOLD_MS);
  }

  close(): void {
    for (const socket of this.#sockets) socket.destroy();
  }

  async #runClient(
    port: number,
    script: ClientScript,
    isOver: { readonly value: boolean },
  ): Promise<void> {
    const socket = net.connect({ host: "127.0.0.1", port });
    this.#sockets.push(socket);
    socket.on("error", () => {});
    if (script.isNotReading) socket.pause();
    else socket.resume();
    const closed = new Promise<void>((resolve) => socket.once("close", () => resolve()));
    const write = async (bytes: Buffer) => {
      if (socket.destroyed || isOver.value || socket.write(bytes)) return;
      let onDrain = () => {};
      const drained = new Promise<void>((resolve) => {
        onDrain = resolve;
        socket.once("drain", onDrain);
      });
      await Promise.race([drained, closed]);
      socket.off("drain", onDrain);
    };
    const connected = new Promise<void>((resolve) => socket.once("connect", () => resolve()));
    await Promise.race([connected, closed]);
    await write(Buffer.from(script.head));
    for (let i = 0; i < (script.repeatCount ?? 0); i += 1) {
      if (socket.destroyed || isOver.value) return;
      await write(script.piece!);
      if (script.isSlow) await core.waitFor(SLOW_SEND_INTERVAL_MS);
    }
    if (script.tail !== undefined) await write(script.tail);
  }
}

/** What a request asks for; a slow endpoint answers after some seconds. */
export type RequestKind = "order" | "slow_order" | "large_answer" | "large_stream";

/** Creates the head of the request of client `id`; `framing` are header lines about its body. */
export type HeadFactory = (id: number, kind: RequestKind, framing: string) => string;

/** Creates the script of client `id`. */
export type ScriptFactory = (id: number) => ClientScript;

/** Creates the loads, by name, and one that is a mix of them. */
export function createLoads(createHead: HeadFactory): Readonly<Record<string, ScriptFactory>> {
  const loads: Record<string, ScriptFactory> = {
    "announced bodies that stop 100 bytes short": (id) => ({
      head: createHead(id, "order", `Content-Length: ${MAX_BODY_BYTES}`),
      piece: PIECE,
      repeatCount: MAX_BODY_BYTES / PIECE.length - 1,
      tail: PIECE.subarray(100),
    }),
    "bodies in chunks of 64 KiB that stop short": (id) => ({
      head: createHead(id, "order", "Transfer-Encoding: chunked"),
      piece: CHUNK_OF_64_KIB,
      repeatCount: MAX_BODY_BYTES / 0x10000 - 1,
    }),
    "bodies in chunks of one byte that stop short": (id) => ({
      head: createHead(id, "order", "Transfer-Encoding: chunked"),
      piece: SINGLE_BYTE_CHUNKS,
      repeatCount: 100,
    }),
    "announced bodies far over the limit": (id) => ({
      head: createHead(id, "order", `Content-Length: ${40 * MIB}`),
      piece: PIECE,
      repeatCount: 40 * MIB / PIECE.length,
    }),
    "chunked bodies far over the limit": (id) => ({
      head: createHead(id, "order", "Transfer-Encoding: chunked"),
      piece: CHUNK_OF_64_KIB,
      repeatCount: 40 * MIB / 0x10000,
    }),
    "announced bodies that are sent slowly": (id) => ({
      head: createHead(id, "order", `Content-Length: ${MAX_BODY_BYTES}`),
      piece: PIECE,
      repeatCount: MAX_BODY_BYTES / PIECE.length - 1,
      isSlow: true,
    }),
    "complete bodies for a slow endpoint": (id) => ({
      head: createHead(id, "slow_order", `Content-Length: ${MAX_BODY_BYTES}`),
      piece: PIECE,
      repeatCount: MAX_BODY_BYTES / PIECE.length,
    }),
    "request heads that stop short": (id) => ({
      head: createHead(id, "order", `X-Note: ${"n".repeat(15_000)}`).slice(0, -2),
    }),
    "heads with many headers that stop short": (id) => ({
      head: createHead(id, "order", "n: 1\r\n".repeat(9_000)).slice(0, -4),
    }),
    "connections without a request": () => ({ head: "" }),
    "large answers that are not read": (id) => ({
      head: createHead(id, "large_answer", "Content-Length: 0"),
      isNotReading: true,
    }),
    "streams that are not read": (id) => ({
      head: createHead(id, "large_stream", "Content-Length: 0"),
      isNotReading: true,
    }),
    "pipelined requests for a slow endpoint": (id) => ({
      head: createHead(id, "slow_order", "Content-Length: 0"),
      piece: Buffer.from(createHead(id, "slow_order", "Content-Length: 0").repeat(400)),
      repeatCount: 10,
      isNotReading: true,
    }),
  };
  const scripts = Object.values(loads);
  return { ...loads, "a mix of all": (id) => scripts[id % scripts.length]!(id) };
}

/** Sets the peak resident memory of a process to its present one; the start has a peak of its own. */
export function resetPeakMemory(pid: number): void {
  fs.writeFileSync(`/proc/${pid}/clear_refs`, "5");
}

/** Reads the peak resident memory of a process (VmHWM), in MB of 2^20 bytes. */
export function readPeakMemoryMb(pid: number): number {
  const status = fs.readFileSync(`/proc/${pid}/status`, "utf8");
  return Math.round(Number(/VmHWM:\s+(\d+) kB/.exec(status)?.[1] ?? NaN) / 1024);
}

export function countDescriptors(pid: number): number {
  return fs.readdirSync(`/proc/${pid}/fd`).length;
}
