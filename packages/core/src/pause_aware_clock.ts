/** A clock that also counts the time during which the machine was suspended. */

import type * as clocks from "./clock.ts";

/**
 * Wall time may run ahead of the monotonic clock by this much between two
 * readings before it counts as a pause; clock slewing stays far below.
 */
const PAUSE_THRESHOLD_MS = 100;

/**
 * Adds to a monotonic clock what wall time advanced beyond it. A suspended
 * machine's monotonic clock stands still while its beliefs age. A step of the
 * wall clock ahead is taken for a pause, which only makes beliefs look older; a
 * step back changes nothing.
 */
export class PauseAwareClock implements clocks.Clock {
  readonly #inner: clocks.Clock;
  #monotonic: number;
  #wall: number;
  #pausedMs = 0;

  constructor(inner: clocks.Clock) {
    this.#inner = inner;
    this.#monotonic = inner.now();
    this.#wall = inner.readWallTime();
  }

  /** Total time that counts as pauses so far. */
  get pausedMs(): number {
    return this.#pausedMs;
  }

  now(): number {
    const monotonic = this.#inner.now();
    const wall = this.#inner.readWallTime();
    const ahead = (wall - this.#wall) - (monotonic - this.#monotonic);
    if (ahead > PAUSE_THRESHOLD_MS) this.#pausedMs += ahead;
    this.#monotonic = monotonic;
    this.#wall = wall;
    return monotonic + this.#pausedMs;
  }

  readWallTime(): number {
    return this.#inner.readWallTime();
  }
}
