/**
 * Forecasts the memory use of an engine at several horizons from the survival
 * curves of its streams, so that admission leaves room for their growth.
 */

import type * as lengths from "./length_predictor.ts";

/** A distance into the future for which memory use is predicted. */
interface Horizon {
  /** Tokens that each running stream emits from now until the horizon. */
  readonly tokens: number;
  /**
   * Number of standard deviations kept free above the mean; fewer at far horizons, where
   * admission can still react.
   */
  readonly deviations: number;
}

const HORIZONS: readonly Horizon[] = [
  { tokens: 0, deviations: 2 },
  { tokens: 16, deviations: 2 },
  { tokens: 32, deviations: 2 },
  { tokens: 64, deviations: 2 },
  { tokens: 128, deviations: 2 },
  { tokens: 256, deviations: 1.5 },
  { tokens: 512, deviations: 1 },
  { tokens: 1_024, deviations: 0.75 },
  { tokens: 2_048, deviations: 0.5 },
  { tokens: 4_096, deviations: 0.25 },
  { tokens: 16_384, deviations: 0 },
];
/** Value of `maxHorizonTokens` that includes every horizon. */
export const NO_HORIZON_LIMIT = Infinity;

/** Properties of a stream that determine its memory use. */
export interface StreamShape {
  readonly promptTokens: number;
  readonly emittedTokens: number;
  readonly maxTokens: number;
  readonly survival: lengths.SurvivalCurve;
}

/** Mean and variance of an engine's memory at each horizon, in tokens. */
export class MemoryForecast {
  readonly #meanTokens = new Float64Array(HORIZONS.length);
  readonly #variance = new Float64Array(HORIZONS.length);

  addStream(stream: StreamShape): void {
    this.#changeStream(stream, 1);
  }

  /** Removes a stream. If its shape has changed since it was added, the result is inexact. */
  removeStream(stream: StreamShape): void {
    this.#changeStream(stream, -1);
  }

  /**
   * Returns whether memory stays within `limitTokens` at every horizon of at most
   * `maxHorizonTokens` tokens, with `stream` in addition if it is given.
   */
  isWithinLimit(
    limitTokens: number,
    stream: StreamShape | undefined,
    options: { readonly maxHorizonTokens: number },
  ): boolean {
    for (const [index, { tokens: horizon, deviations }] of HORIZONS.entries()) {
      if (horizon > options.maxHorizonTokens) return true;
      let meanTokens = this.#meanTokens[index]!;
      let variance = this.#variance[index]!;
      if (stream !== undefined) {
        const activeProbability = computeActiveProbability(stream, horizon);
        const tokens = stream.promptTokens + stream.emittedTokens + horizon;
        meanTokens += activeProbability * tokens;
        variance += activeProbability * (1 - activeProbability) * tokens * tokens;
      }
      if (meanTokens + deviations * Math.sqrt(variance) > limitTokens) return false;
    }
    return true;
  }

  #changeStream(stream: StreamShape, sign: 1 | -1): void {
    for (const [index, { tokens: horizon }] of HORIZONS.entries()) {
      const activeProbability = computeActiveProbability(stream, horizon);
      const tokens = stream.promptTokens + stream.emittedTokens + horizon;
      const meanTokens = this.#meanTokens[index]! + sign * activeProbability * tokens;
      const variance = this.#variance[index]! +
        sign * activeProbability * (1 - activeProbability) * tokens * tokens;
      this.#meanTokens[index] = Math.max(0, meanTokens);
      this.#variance[index] = Math.max(0, variance);
    }
  }

  /** Returns the estimated memory in use now, in tokens. */
  getCurrentTokens(): number {
    return this.#meanTokens[0]!;
  }
}

/** Returns the probability that a stream still runs after `horizon` more tokens. */
function computeActiveProbability(stream: StreamShape, horizon: number): number {
  if (horizon === 0) return 1;
  if (stream.emittedTokens + horizon > stream.maxTokens) return 0;
  return stream.survival.computeSurvivalProbability(stream.emittedTokens, horizon);
}
