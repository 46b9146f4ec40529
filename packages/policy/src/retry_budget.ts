/** Limits retries to a share of first attempts, so that retries do not flood a failing fleet. */

/** Retries allowed per first attempt. */
export const RETRY_RATIO = 0.1;
/** Maximum number of unused retries that accumulate. */
const MAX_SAVED_RETRIES = 10;

/** Token bucket that first attempts fill and retries drain. */
export class RetryBudget {
  #savedRetries = MAX_SAVED_RETRIES;

  /** Records a first attempt. */
  recordRequest(): void {
    this.#savedRetries = Math.min(MAX_SAVED_RETRIES, this.#savedRetries + RETRY_RATIO);
  }

  isRetryAllowed(): boolean {
    return this.#savedRetries >= 1;
  }

  /** Takes one retry from the budget; returns false if none is left. */
  takeRetry(): boolean {
    if (!this.isRetryAllowed()) return false;
    this.#savedRetries -= 1;
    return true;
  }
}
