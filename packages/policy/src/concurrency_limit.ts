/**
 * Adapts the number of concurrent calls to one endpoint. The limit rises while
 * the latency stays near its baseline and falls when the latency rises or calls
 * get no answer, so that a slow endpoint is not flooded.
 */

/** Ratio of latency to baseline above which the endpoint is considered congested. */
const CONGESTED_LATENCY_RATIO = 2;
const DECREASE_FACTOR = 0.9;
/** Share by which the baseline rises with each call, so that it follows a lasting slowdown. */
const BASELINE_DRIFT_SHARE = 0.002;
const MIN_CONCURRENCY = 2;
/** Shorter latencies are rounded up to this value, so that the baseline is never zero. */
const MIN_LATENCY_MS = 1;

/** Concurrency limit with additive increase and multiplicative decrease. */
export class ConcurrencyLimit {
  #maxLimit: number;
  #fractionalLimit: number;
  /** Lowest latency of recent calls. */
  #baselineMs = Infinity;

  constructor(maxLimit: number) {
    this.#maxLimit = maxLimit;
    this.#fractionalLimit = maxLimit;
  }

  /** Number of calls that may be in flight at the same time. */
  get limit(): number {
    return Math.floor(this.#fractionalLimit);
  }

  /** Changes the upper bound, which the manifest declares. */
  updateMaxLimit(maxLimit: number): void {
    this.#maxLimit = maxLimit;
    this.#fractionalLimit = Math.min(this.#fractionalLimit, maxLimit);
  }

  /** Raises or lowers the limit by the latency of an answered call. */
  recordLatency(latencyMs: number): void {
    const roundedLatencyMs = Math.max(MIN_LATENCY_MS, latencyMs);
    this.#baselineMs = Math.min(
      roundedLatencyMs,
      this.#baselineMs * (1 + BASELINE_DRIFT_SHARE),
    );
    if (roundedLatencyMs > this.#baselineMs * CONGESTED_LATENCY_RATIO) return this.#decrease();
    this.#fractionalLimit = Math.min(
      this.#maxLimit,
      this.#fractionalLimit + 1 / this.#fractionalLimit,
    );
  }

  /** Lowers the limit after a call without an answer. */
  recordTimeout(): void {
    this.#decrease();
  }

  #decrease(): void {
    this.#fractionalLimit = Math.max(
      Math.min(MIN_CONCURRENCY, this.#maxLimit),
      this.#fractionalLimit * DECREASE_FACTOR,
    );
  }
}
