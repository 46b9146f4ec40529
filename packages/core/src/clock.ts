/** Sources of the current time. Code that makes decisions receives the time as an argument. */

/** Reads the current time in milliseconds. */
export interface Clock {
  /** Returns milliseconds since an arbitrary origin; never decreases while the process runs. */
  now(): number;
  /** Returns milliseconds since the Unix epoch; may jump forward or back. */
  readWallTime(): number;
}

/** Reads the clocks of the operating system. */
export class SystemClock implements Clock {
  now(): number {
    return performance.now();
  }

  readWallTime(): number {
    return Date.now();
  }
}
