/** A monotonic clock that includes the time during which the VM was suspended. */

import type * as clocks from "./clock.ts";

/**
 * If wall time advances beyond monotonic time by more than this between two
 * readings, the difference is a pause. Slewing of the wall clock stays far below.
 */
const PAUSE_THRESHOLD_MS = 100;

/**
 * Adds to a monotonic clock the time by which wall time has advanced beyond it.
 * The monotonic clock stops while the VM is suspended, so that data received before
 * would appear newer than it is. A forward step of the wall clock looks like a pause,
 * which only makes such data appear older; a backward step has no effect.
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
    const aheadMs = (wallMs - this.#lastWallMs) - (monotonicMs - this.#lastMonotonicMs);
    if (aheadMs > PAUSE_THRESHOLD_MS) this.#pausedMs += aheadMs;
    this.#lastMonotonicMs = monotonicMs;
    this.#lastWallMs = wallMs;
    return monotonicMs + this.#pausedMs;
  }

  readWallTime(): number {
    return this.#inner.readWallTime();
  }
}
