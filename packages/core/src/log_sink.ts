/**
 * Writes log lines to a stream without waiting for its reader. Lines beyond a
 * fixed rate or buffer size are dropped and counted, so that a burst of lines or
 * a reader that stops neither blocks the process nor fills its memory.
 */

import type * as stream from "node:stream";

/** Bound on the text that waits for the reader; lines that would exceed it are dropped. */
const MAX_BUFFERED_BYTES = 256 * 1024;
/** Lines beyond this rate are dropped; a busy process can log about ten lines per request. */
const MAX_LINES_PER_SECOND = 1_000;
const RATE_WINDOW_MS = 1_000;

/** Limits the rate and the buffered size of log lines; writes once per event loop iteration. */
export class LogSink {
  readonly #stream: stream.Writable;
  readonly #readMonotonicMs: () => number;
  #pendingText = "";
  #droppedCount = 0;
  #windowStartedAt = -Infinity;
  #windowLineCount = 0;

  constructor(target: stream.Writable, readMonotonicMs: () => number) {
    this.#stream = target;
    this.#readMonotonicMs = readMonotonicMs;
    target.on("error", () => {});
  }

  /** Count of dropped lines that no `log_lines_dropped` event has reported yet. */
  get droppedLineCount(): number {
    return this.#droppedCount;
  }

  /** Buffers `line`, which must end with a line break; beyond a limit, drops and counts it. */
  write(line: string): void {
    const now = this.#readMonotonicMs();
    if (now - this.#windowStartedAt >= RATE_WINDOW_MS) {
      this.#windowStartedAt = now;
      this.#windowLineCount = 0;
    }
    this.#windowLineCount += 1;
    const bufferedLength = this.#stream.writableLength + this.#pendingText.length;
    const isDropped = this.#windowLineCount > MAX_LINES_PER_SECOND ||
      bufferedLength + line.length > MAX_BUFFERED_BYTES;
    if (isDropped) {
      this.#droppedCount += 1;
      return;
    }
    if (this.#pendingText === "") setImmediate(() => this.#flush());
    if (this.#droppedCount > 0) {
      this.#pendingText += `event=log_lines_dropped count=${this.#droppedCount}\n`;
      this.#droppedCount = 0;
    }
    this.#pendingText += line;
  }

  /** Passes buffered lines to the stream at once, for example before the process exits. */
  flush(): void {
    this.#flush();
  }

  #flush(): void {
    if (this.#pendingText === "") return;
    this.#stream.write(this.#pendingText);
    this.#pendingText = "";
  }
}
