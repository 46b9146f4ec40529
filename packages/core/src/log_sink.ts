/** Writes log lines to a stream without waiting for its reader; what does not fit is counted. */

import type * as stream from "node:stream";

/** Bytes that wait for the reader before lines are dropped. */
const MAX_BUFFERED_BYTES = 256 * 1024;
/** Lines a second beyond which lines are dropped; about ten for each request of a busy process. */
const MAX_LINES_PER_SECOND = 1_000;
const SECOND_MS = 1_000;

/** Bounds log lines in rate and in memory; writes once per turn of the loop. */
export class LogSink {
  readonly #stream: stream.Writable;
  readonly #readTime: () => number;
  #pending = "";
  #dropped = 0;
  #secondBegan = -Infinity;
  #linesThisSecond = 0;

  /** `readTime` gives monotonic milliseconds. */
  constructor(target: stream.Writable, readTime: () => number) {
    this.#stream = target;
    this.#readTime = readTime;
    target.on("error", () => {});
  }

  /** Lines that were not written and not yet reported. */
  get droppedLines(): number {
    return this.#dropped;
  }

  /** Writes a line with its line end, or counts it as dropped. */
  write(line: string): void {
    const now = this.#readTime();
    if (now - this.#secondBegan >= SECOND_MS) {
      this.#secondBegan = now;
      this.#linesThisSecond = 0;
    }
    this.#linesThisSecond += 1;
    const buffered = this.#stream.writableLength + this.#pending.length;
    const isDropped = this.#linesThisSecond > MAX_LINES_PER_SECOND ||
      buffered + line.length > MAX_BUFFERED_BYTES;
    if (isDropped) {
      this.#dropped += 1;
      return;
    }
    if (this.#pending === "") setImmediate(() => this.#flush());
    if (this.#dropped > 0) {
      this.#pending += `event=log_lines_dropped count=${this.#dropped}\n`;
      this.#dropped = 0;
    }
    this.#pending += line;
  }

  /** Hands over what is pending, such as before the process ends. */
  flush(): void {
    this.#flush();
  }

  #flush(): void {
    if (this.#pending === "") return;
    this.#stream.write(this.#pending);
    this.#pending = "";
  }
}
