/** Learns an engine's time per token as an affine function of its batch. */

/** Time per token of an unknown engine that serves one stream, in milliseconds. */
const PRIOR_BASE_MS = 12;
/** Time that each further stream adds, in milliseconds. */
const PRIOR_SLOPE_MS = 0.25;
/** Weight that a sample keeps for each further one. */
const FORGETTING = 0.995;
/** Weight of the prior, in samples. */
const PRIOR_WEIGHT = 4;
/** Batch that an engine gets before anything is known of it. */
const FIRST_BATCH = 8;
/** Most by which the batch exceeds the largest one that was seen. */
const GROWTH = 1.25;
const MIN_BASE_MS = 0.05;
const MIN_SLOPE_MS = 0.001;

/** Recursive least squares over (streams, ms per token) with forgetting. */
export class SpeedModel {
  #weight = 0;
  #largestBatch = 0;
  #sumBatch = 0;
  #sumBatchSquare = 0;
  #sumTime = 0;
  #sumProduct = 0;
  #baseMs = PRIOR_BASE_MS;
  #slopeMs = PRIOR_SLOPE_MS;

  /** Records that with `batch` streams a token took `tokenMs`. */
  recordSample(batch: number, tokenMs: number): void {
    this.#largestBatch = Math.max(this.#largestBatch, batch);
    this.#weight = this.#weight * FORGETTING + 1;
    this.#sumBatch = this.#sumBatch * FORGETTING + batch;
    this.#sumBatchSquare = this.#sumBatchSquare * FORGETTING + batch * batch;
    this.#sumTime = this.#sumTime * FORGETTING + tokenMs;
    this.#sumProduct = this.#sumProduct * FORGETTING + batch * tokenMs;
    this.#updateLine();
  }

  /** Time per token without streams, and what each stream adds. */
  get line(): { readonly baseMs: number; readonly slopeMs: number } {
    return { baseMs: this.#baseMs, slopeMs: this.#slopeMs };
  }

  /** Predicted milliseconds per token with `batch` streams. */
  predictTokenMs(batch: number): number {
    return this.#baseMs + this.#slopeMs * batch;
  }

  /**
   * Largest batch whose predicted time per token stays within `targetMs`; at
   * least 1, and not far beyond the largest batch that was seen.
   */
  predictMaxBatch(targetMs: number): number {
    const byLine = Math.floor((targetMs - this.#baseMs) / this.#slopeMs);
    const bySteps = Math.floor(FIRST_BATCH + this.#largestBatch * GROWTH);
    return Math.max(1, Math.min(byLine, bySteps));
  }

  /** Ridge regression whose prior line has the prior's ratio of slope to base. */
  #updateLine(): void {
    const meanBatch = this.#sumBatch / this.#weight;
    const meanTime = this.#sumTime / this.#weight;
    const variance = this.#sumBatchSquare / this.#weight -
      meanBatch * meanBatch;
    const covariance = this.#sumProduct / this.#weight - meanBatch * meanTime;
    const ratio = PRIOR_SLOPE_MS / (PRIOR_BASE_MS + PRIOR_SLOPE_MS * meanBatch);
    const priorSlope = meanTime * ratio;
    const penalty = PRIOR_WEIGHT * Math.max(1, meanBatch) / this.#weight;
    const slope = (covariance + penalty * priorSlope) / (variance + penalty);
    this.#slopeMs = Math.max(MIN_SLOPE_MS, slope);
    this.#baseMs = Math.max(MIN_BASE_MS, meanTime - this.#slopeMs * meanBatch);
  }
}
