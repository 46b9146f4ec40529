/** Bounds retries to a share of first attempts, so that a failing fleet is not flooded. */

/** Retries allowed per first attempt. */
export const RETRY_RATIO = 0.1;
/** Retries that may be saved up. */
const MAX_SAVED_RETRIES = 10;

/** A token bucket that first attempts fill and retries empty. */
export class RetryBudget {
  #saved = MAX_SAVED_RETRIES;

  /** Records a first attempt. */
  recordRequest(): void {
    this.#saved = Math.min(MAX_SAVED_RETRIES, this.#saved + RETRY_RATIO);
  }

  /** Whether a retry is allowed now. */
  isRetryAllowed(): boolean {
    return this.#saved >= 1;
  }

  /** Takes one retry; returns whether it was allowed. */
  takeRetry(): boolean {
    if (!this.isRetryAllowed()) return false;
    this.#saved -= 1;
    return true;
  }
}
