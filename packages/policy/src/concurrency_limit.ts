/** Adapts how many calls may be in flight to one endpoint, from its latency. */

/** Latency over the endpoint's own best at which it counts as crowded. */
const CROWDED_RATIO = 2;
const DECREASE_FACTOR = 0.9;
/** Share by which the remembered best latency rises with each call. */
const BASELINE_DRIFT = 0.002;
const MIN_LIMIT = 2;
/** Shortest latency that is told apart from none. */
const MIN_LATENCY_MS = 1;

/** Additive increase, multiplicative decrease. */
export class ConcurrencyLimit {
  #maxLimit: number;
  #limit: number;
  #baselineMs = Infinity;

  constructor(maxLimit: number) {
    this.#maxLimit = maxLimit;
    this.#limit = maxLimit;
  }

  /** Calls that may be in flight now. */
  get limit(): number {
    return Math.floor(this.#limit);
  }

  /** Changes the bound that the manifest declares. */
  updateMax(maxLimit: number): void {
    this.#maxLimit = maxLimit;
    this.#limit = Math.min(this.#limit, maxLimit);
  }

  /** Records an answered call. */
  recordLatency(latencyMs: number): void {
    const latency = Math.max(MIN_LATENCY_MS, latencyMs);
    this.#baselineMs = Math.min(
      latency,
      this.#baselineMs * (1 + BASELINE_DRIFT),
    );
    if (latency > this.#baselineMs * CROWDED_RATIO) return this.#decrease();
    this.#limit = Math.min(this.#maxLimit, this.#limit + 1 / this.#limit);
  }

  /** Records a call without an answer. */
  recordTimeout(): void {
    this.#decrease();
  }

  #decrease(): void {
    this.#limit = Math.max(
      Math.min(MIN_LIMIT, this.#maxLimit),
      this.#limit * DECREASE_FACTOR,
    );
  }
}
