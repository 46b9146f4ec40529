/** Keeps capacity free for urgent ranks, from how many of their streams were open lately. */

/** Time in which a remembered peak halves. */
const PEAK_HALF_LIFE_MS = 20_000;

/** Weight that a value keeps with each further one. */
const MEAN_FORGETTING = 0.98;

/** A peak that decays. */
export class DecayingPeak {
  #peak = 0;
  #peakAt = 0;

  /** Records a value. */
  recordValue(value: number, now: number): void {
    if (value < this.getPeak(now)) return;
    this.#peak = value;
    this.#peakAt = now;
  }

  /** The decayed peak. */
  getPeak(now: number): number {
    return this.#peak * 0.5 ** ((now - this.#peakAt) / PEAK_HALF_LIFE_MS);
  }
}

/** A rate per second over a decaying window. */
export class DecayingRate {
  readonly #windowMs: number;
  #sum = 0;
  #updatedAt = 0;

  constructor(windowMs: number) {
    this.#windowMs = windowMs;
  }

  /** Records `amount`. */
  recordAmount(amount: number, now: number): void {
    this.#sum = this.#getSum(now) + amount;
    this.#updatedAt = now;
  }

  /** Amount per second. */
  getRate(now: number): number {
    return this.#getSum(now) / this.#windowMs * 1000;
  }

  #getSum(now: number): number {
    return this.#sum * Math.exp(-(now - this.#updatedAt) / this.#windowMs);
  }
}

/** A mean in which older values fade with each new one. */
export class DecayingMean {
  #sum = 0;
  #weight = 0;

  /** Records a value. */
  recordValue(value: number): void {
    this.#sum = this.#sum * MEAN_FORGETTING + value;
    this.#weight = this.#weight * MEAN_FORGETTING + 1;
  }

  /** The mean; 0 before the first value. */
  getMean(): number {
    return this.#weight === 0 ? 0 : this.#sum / this.#weight;
  }
}
