/**
 * Statistics in which older values lose weight. The scheduler derives from them how much
 * capacity stays free for urgent ranks and how long requests are likely to wait.
 */

/** Half-life of a remembered peak. */
const PEAK_HALF_LIFE_MS = 20_000;

/** Factor by which each new value reduces the weight of the older ones. */
const MEAN_DECAY_FACTOR = 0.98;

/** The largest recent value; it decays exponentially with time. */
export class DecayingPeak {
  #peak = 0;
  #peakAt = 0;

  recordValue(value: number, now: number): void {
    if (value < this.getPeak(now)) return;
    this.#peak = value;
    this.#peakAt = now;
  }

  getPeak(now: number): number {
    return this.#peak * 0.5 ** ((now - this.#peakAt) / PEAK_HALF_LIFE_MS);
  }
}

/** A rate per second over an exponentially decaying window. */
export class DecayingRate {
  readonly #windowMs: number;
  #sum = 0;
  #updatedAt = 0;

  constructor(windowMs: number) {
    this.#windowMs = windowMs;
  }

  recordAmount(amount: number, now: number): void {
    this.#sum = this.#getDecayedSum(now) + amount;
    this.#updatedAt = now;
  }

  /** Returns the amount per second. */
  getRate(now: number): number {
    return this.#getDecayedSum(now) / this.#windowMs * 1000;
  }

  #getDecayedSum(now: number): number {
    return this.#sum * Math.exp(-(now - this.#updatedAt) / this.#windowMs);
  }
}

/** A mean in which each new value reduces the weight of the older ones. */
export class DecayingMean {
  #weightedSum = 0;
  #weightSum = 0;

  recordValue(value: number): void {
    this.#weightedSum = this.#weightedSum * MEAN_DECAY_FACTOR + value;
    this.#weightSum = this.#weightSum * MEAN_DECAY_FACTOR + 1;
  }

  /** Returns the mean, or 0 before the first value. */
  getMean(): number {
    return this.#weightSum === 0 ? 0 : this.#weightedSum / this.#weightSum;
  }
}
