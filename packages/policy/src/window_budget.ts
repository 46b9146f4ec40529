/**
 * Limits the retries to a service over a sliding window without coordination between processes:
 * each process may retry a fixed share of the requests that it received, and in addition uses an
 * equal part of a fixed allowance. Prevents retry storms when a service fails or many endpoints
 * leave at once.
 */

/** Limits on retries of one service, for all processes together. */
export interface RetryBounds {
  /** Retries allowed per request in the window. */
  readonly ratio: number;
  /** Retries allowed per window in addition, whatever the number of requests. */
  readonly allowance: number;
  readonly windowMs: number;
}

/** Share of the limits that is used. The rest is a margin, as processes count independently. */
const USED_SHARE = 0.8;

/** Counts the requests and retries of one service at this process. */
export class SlidingWindowRetryBudget {
  readonly #bounds: RetryBounds;
  readonly #requestTimes: number[] = [];
  readonly #retryTimes: number[] = [];

  constructor(bounds: RetryBounds) {
    this.#bounds = bounds;
  }

  /** Number of request and retry times held in memory. */
  get recordedCount(): number {
    return this.#requestTimes.length + this.#retryTimes.length;
  }

  recordRequest(now: number): void {
    this.#requestTimes.push(now);
    this.#dropExpiredTimes(now);
  }

  /** Records a retry that needs no permission, such as the move of a running generation. */
  recordRetry(now: number): void {
    this.#retryTimes.push(now);
    this.#dropExpiredTimes(now);
  }

  /**
   * Records one retry and returns true if the limits, divided among `processes` processes, allow
   * it; returns false otherwise.
   */
  takeRetry(now: number, processes: number): boolean {
    if (!this.canRetry(now, processes)) return false;
    this.#retryTimes.push(now);
    return true;
  }

  /** Whether {@linkcode takeRetry} would permit a retry now. */
  canRetry(now: number, processes: number): boolean {
    this.#dropExpiredTimes(now);
    const allowedRetries = this.#bounds.ratio * this.#requestTimes.length +
      this.#bounds.allowance / Math.max(1, processes);
    if (this.#retryTimes.length + 1 > allowedRetries * USED_SHARE) return false;
    return true;
  }

  #dropExpiredTimes(now: number): void {
    const windowStart = now - this.#bounds.windowMs;
    for (const times of [this.#requestTimes, this.#retryTimes]) {
      const firstInWindow = times.findIndex((at) => at > windowStart);
      times.splice(0, firstInWindow < 0 ? times.length : firstInWindow);
    }
  }
}
