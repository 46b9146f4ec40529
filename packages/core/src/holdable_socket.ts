/** A connection whose reader can pause it without losing the end of the connection. */

import * as net from "node:net";

/**
 * A socket that returns no data while it is held. undici's parser fails an assertion, which ends
 * the process, if it is paused itself when its connection ends; it may be kept waiting for data.
 */
export class HoldableSocket extends net.Socket {
  #isHeld = false;

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

  // With a size of 0, Node itself starts to read from the connection, or notices its end.
  override read(size?: number): Buffer | null {
    if (this.#isHeld && size !== 0) return null;
    return super.read(size);
  }
}
