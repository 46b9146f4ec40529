/** Sources of the present time. Deciding code takes the time as an argument instead. */

/** A source of time in milliseconds that never runs backwards while the process runs. */
export interface Clock {
  /** Milliseconds since an arbitrary origin, monotonic. */
  now(): number;
  /** Milliseconds since the Unix epoch; may jump. */
  readWallTime(): number;
}

/** The clocks of the machine. */
export class SystemClock implements Clock {
  now(): number {
    return performance.now();
  }

  readWallTime(): number {
    return Date.now();
  }
}
