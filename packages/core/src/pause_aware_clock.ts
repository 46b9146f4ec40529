/** A monotonic clock that includes the time during which the VM was suspended. */

import type * as clocks from "./clock.ts";

/**
 * Wall time may advance further than monotonic time between two readings. If the
 * difference exceeds this threshold, it is treated as a pause. Slewing of the wall
 * clock causes a far smaller difference.
 */
const PAUSE_THRESHOLD_MS = 100;

/**
 * Adds to a monotonic clock the time by which wall time has advanced beyond it.
 * The monotonic clock stops while the VM is suspended: without the added time, data
 * received before the suspension would appear newer than it is. A forward step of the
 * wall clock looks like a pause, which only makes data received before the step appear
 * older than it is; a backward step has no effect.
 */
export class PauseAwareClock implements clocks.Clock {
  readonly #inner: clocks.Clock;
  #lastMonotonicMs: number;
  #lastWallMs: number;
  #pausedMs = 0;

  constructor(inner: clocks.Clock) {
    this.#inner = inner;
    this.#lastMonotonicMs = inner.now();
    this.#lastWallMs = inner.readWallTime();
  }

  /** Total length of all pauses detected so far. */
  get pausedMs(): number {
    return this.#pausedMs;
  }

  now(): number {
    const monotonicMs = this.#inner.now();
    const wallMs = this.#inner.readWallTime();
    const wallLeadMs = (wallMs - this.#lastWallMs) - (monotonicMs - this.#lastMonotonicMs);
    if (wallLeadMs > PAUSE_THRESHOLD_MS) this.#pausedMs += wallLeadMs;
    this.#lastMonotonicMs = monotonicMs;
    this.#lastWallMs = wallMs;
    return monotonicMs + this.#pausedMs;
  }

  readWallTime(): number {
    return this.#inner.readWallTime();
  }
}
