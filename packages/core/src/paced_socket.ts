/**
 * Client connections whose bytes are processed in limited portions, so that what one server sends
 * does not keep the event loop from other work.
 */

import * as net from "node:net";
import type * as clocks from "./clock.ts";

/** Largest number of bytes that are processed before the time is read again. */
const MAX_SLICE_BYTES = 4 * 1024;
/** Time for which the bytes of one connection are processed in one turn of the event loop. */
const MAX_READ_MS = 0.5;
/** Time in one turn for all connections whose bytes took longer than that before. */
const MAX_WAITING_READS_MS = 5;

/** Connections that wait for a later turn of the event loop, in the order of their last reads. */
class ReadQueue {
  readonly #waiting: PacedSocket[] = [];
  #isScheduled = false;
  /** Number of the current turn. */
  turn = 0;

  get size(): number {
    return this.#waiting.length;
  }

  add(socket: PacedSocket): void {
    this.#waiting.push(socket);
  }

  /** Has the waiting connections read from in the next turn. */
  scheduleTurn(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    setImmediate(() => this.#runTurn());
  }

  #runTurn(): void {
    this.#isScheduled = false;
    this.turn += 1;
    let startedAt: number | undefined;
    // Those that have to wait again are added at the end, for a later turn.
    for (let left = this.#waiting.length; left > 0; left -= 1) {
      const socket = this.#waiting[0]!;
      const now = socket.clock.now();
      startedAt ??= now;
      if (now - startedAt >= MAX_WAITING_READS_MS) break;
      this.#waiting.shift();
      socket.resumeReading();
    }
    if (this.#waiting.length > 0) this.scheduleTurn();
  }
}

const readQueue = new ReadQueue();

/** Returns the number of connections whose bytes wait for a later turn of the event loop. */
export function countWaitingReads(): number {
  return readQueue.size;
}

/**
 * A socket that returns its bytes in slices. After `MAX_READ_MS` it returns none until its turn in
 * the queue of connections, and none while it is held. A parser that reads from it is therefore
 * never paused itself; undici's parser fails an assertion, which ends the process, if it is paused
 * when its connection ends.
 */
export class PacedSocket extends net.Socket {
  readonly clock: clocks.Clock;
  #isHeld = false;
  #isWaiting = false;
  /** Turn in which bytes were returned last, and when it began to. */
  #turn = -1;
  #turnStartedAt = 0;

  constructor(clock: clocks.Clock) {
    super();
    this.clock = clock;
  }

  /** Returns no more data until `release` is called; what was returned before is not affected. */
  hold(): void {
    this.#isHeld = true;
  }

  release(): void {
    if (!this.#isHeld) return;
    this.#isHeld = false;
    // The reader may be in the middle of what it was given last.
    queueMicrotask(() => this.emit("readable"));
  }

  /** Ends the wait for a later turn. */
  resumeReading(): void {
    this.#isWaiting = false;
    this.emit("readable");
  }

  // With a size of 0, Node itself starts to read from the connection, or notices its end.
  override read(size?: number): Buffer | null {
    if (size === 0) return super.read(0);
    if (this.#isHeld || this.#isWaiting) return null;
    if (this.readableLength === 0) return super.read();
    if (!this.#hasTime(this.clock.now())) {
      this.#isWaiting = true;
      readQueue.add(this);
      return null;
    }
    return super.read(Math.min(size ?? MAX_SLICE_BYTES, MAX_SLICE_BYTES, this.readableLength));
  }

  #hasTime(now: number): boolean {
    readQueue.scheduleTurn();
    if (this.#turn !== readQueue.turn) {
      this.#turn = readQueue.turn;
      this.#turnStartedAt = now;
    }
    return now - this.#turnStartedAt < MAX_READ_MS;
  }
}

/** Where a connection leads, as undici states it. */
export interface ConnectOptions {
  readonly hostname: string;
  readonly port: string;
}

/** Idle time after which TCP probes whether the other side still responds. */
const KEEP_ALIVE_PROBE_DELAY_MS = 60_000;

/** Opens a connection, and passes it on once it is established. */
export type PacedConnector = (
  options: ConnectOptions,
  callback: (...result: [Error, null] | [null, PacedSocket]) => void,
) => void;

/** No byte of a request was sent. The code is that of undici's own error. */
class ConnectTimeoutError extends Error {
  override readonly name = "ConnectTimeoutError";
  readonly code = "UND_ERR_CONNECT_TIMEOUT";
}

/**
 * Creates a function that opens paced connections, for undici's option `connect`. One that is not
 * established within `timeoutMs` fails.
 */
export function createPacedConnector(clock: clocks.Clock, timeoutMs: number): PacedConnector {
  return (options, callback) => {
    const socket = new PacedSocket(clock);
    const timer = setTimeout(
      () => socket.destroy(new ConnectTimeoutError(`no connection within ${timeoutMs} ms`)),
      timeoutMs,
    );
    const fail = (error: Error) => {
      clearTimeout(timer);
      callback(error, null);
    };
    socket.once("error", fail);
    socket.once("connect", () => {
      clearTimeout(timer);
      socket.off("error", fail);
      callback(null, socket);
    });
    socket.setNoDelay(true);
    socket.setKeepAlive(true, KEEP_ALIVE_PROBE_DELAY_MS);
    socket.connect({ host: options.hostname, port: Number(options.port) });
  };
}
