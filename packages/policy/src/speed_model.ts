/** Learns an engine's time per token as an affine function of its batch size in streams. */

/** Constant part of the time per token, assumed before the first sample. */
const PRIOR_BASE_MS = 12;
/** Time per token that each stream adds to a batch, assumed before the first sample. */
const PRIOR_SLOPE_MS = 0.25;
/** Factor by which each new sample reduces the weight of the earlier ones. */
const SAMPLE_DECAY_FACTOR = 0.995;
const PRIOR_WEIGHT_SAMPLES = 4;
/** Maximum batch size before the first sample. */
const INITIAL_MAX_BATCH = 8;
/** The maximum batch size may exceed the initial one by this multiple of the largest batch. */
const MAX_BATCH_GROWTH_FACTOR = 1.25;
const MIN_BASE_MS = 0.05;
const MIN_SLOPE_MS = 0.001;

/** Fits a line to samples of batch size and time per token; older samples have less weight. */
export class SpeedModel {
  #sampleWeight = 0;
  #largestBatch = 0;
  #sumBatch = 0;
  #sumBatchSquare = 0;
  #sumTokenMs = 0;
  #sumProduct = 0;
  #baseMs = PRIOR_BASE_MS;
  #slopeMs = PRIOR_SLOPE_MS;

  /** Records that a token took `tokenMs` in a batch of `batchSize` streams. */
  recordSample(batchSize: number, tokenMs: number): void {
    this.#largestBatch = Math.max(this.#largestBatch, batchSize);
    this.#sampleWeight = this.#sampleWeight * SAMPLE_DECAY_FACTOR + 1;
    this.#sumBatch = this.#sumBatch * SAMPLE_DECAY_FACTOR + batchSize;
    this.#sumBatchSquare = this.#sumBatchSquare * SAMPLE_DECAY_FACTOR + batchSize * batchSize;
    this.#sumTokenMs = this.#sumTokenMs * SAMPLE_DECAY_FACTOR + tokenMs;
    this.#sumProduct = this.#sumProduct * SAMPLE_DECAY_FACTOR + batchSize * tokenMs;
    this.#updateLine();
  }

  /** The fitted constant part of the time per token, and the time that each stream adds. */
  get coefficients(): { readonly baseMs: number; readonly slopeMs: number } {
    return { baseMs: this.#baseMs, slopeMs: this.#slopeMs };
  }

  /** Returns the predicted time per token in a batch of `batchSize` streams. */
  predictTokenMs(batchSize: number): number {
    return this.#baseMs + this.#slopeMs * batchSize;
  }

  /**
   * Returns the largest batch size whose predicted time per token stays within
   * `targetMs`: at least 1, and not far beyond the largest observed batch size.
   */
  predictMaxBatch(targetMs: number): number {
    const batchByFit = Math.floor((targetMs - this.#baseMs) / this.#slopeMs);
    const batchByGrowth = Math.floor(
      INITIAL_MAX_BATCH + this.#largestBatch * MAX_BATCH_GROWTH_FACTOR,
    );
    return Math.max(1, Math.min(batchByFit, batchByGrowth));
  }

  /**
   * Fits the line by ridge regression. The prior slope is scaled to the mean time,
   * so that slope and base keep the ratio that they have before the first sample.
   */
  #updateLine(): void {
    const meanBatch = this.#sumBatch / this.#sampleWeight;
    const meanTokenMs = this.#sumTokenMs / this.#sampleWeight;
    const variance = this.#sumBatchSquare / this.#sampleWeight -
      meanBatch * meanBatch;
    const covariance = this.#sumProduct / this.#sampleWeight - meanBatch * meanTokenMs;
    const priorSlopeRatio = PRIOR_SLOPE_MS / (PRIOR_BASE_MS + PRIOR_SLOPE_MS * meanBatch);
    const priorSlope = meanTokenMs * priorSlopeRatio;
    const ridgePenalty = PRIOR_WEIGHT_SAMPLES * Math.max(1, meanBatch) / this.#sampleWeight;
    const slope = (covariance + ridgePenalty * priorSlope) / (variance + ridgePenalty);
    this.#slopeMs = Math.max(MIN_SLOPE_MS, slope);
    this.#baseMs = Math.max(MIN_BASE_MS, meanTokenMs - this.#slopeMs * meanBatch);
  }
}
