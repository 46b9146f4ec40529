/** Forecasts an engine's memory at a few horizons from the survival of its streams. */

import type * as lengths from "./length_predictor.ts";

/** Horizons of the forecast, in tokens per stream from now. */
export const HORIZONS_TOKENS = [0, 16, 64, 256, 1024, 4096, 16384] as const;

/** What the forecast needs to know of one stream. */
export interface StreamShape {
  readonly promptTokens: number;
  readonly emittedTokens: number;
  readonly maxTokens: number;
  readonly survival: lengths.Survival;
}

/** Mean and variance of an engine's memory at each horizon, in tokens. */
export class MemoryForecast {
  readonly #mean = new Float64Array(HORIZONS_TOKENS.length);
  readonly #variance = new Float64Array(HORIZONS_TOKENS.length);

  /** Adds a stream. */
  addStream(stream: StreamShape): void {
    for (const [index, horizon] of HORIZONS_TOKENS.entries()) {
      const share = computeShare(stream, horizon);
      const tokens = stream.promptTokens + stream.emittedTokens + horizon;
      this.#mean[index]! += share * tokens;
      this.#variance[index]! += share * (1 - share) * tokens * tokens;
    }
  }

  /** Whether memory stays within `limitTokens` at every horizon when `stream` is added. */
  isWithin(
    limitTokens: number,
    stream: StreamShape | undefined,
    options: { readonly deviations: number; readonly maxHorizon?: number },
  ): boolean {
    const maxHorizon = options.maxHorizon ?? Infinity;
    for (const [index, horizon] of HORIZONS_TOKENS.entries()) {
      if (horizon > maxHorizon) return true;
      let mean = this.#mean[index]!;
      let variance = this.#variance[index]!;
      if (stream !== undefined) {
        const share = computeShare(stream, horizon);
        const tokens = stream.promptTokens + stream.emittedTokens + horizon;
        mean += share * tokens;
        variance += share * (1 - share) * tokens * tokens;
      }
      if (mean + options.deviations * Math.sqrt(variance) > limitTokens) {
        return false;
      }
    }
    return true;
  }

  /** Tokens held now. */
  getCurrentTokens(): number {
    return this.#mean[0]!;
  }
}

function computeShare(stream: StreamShape, horizon: number): number {
  if (horizon === 0) return 1;
  if (stream.emittedTokens + horizon > stream.maxTokens) return 0;
  return stream.survival.computeLasting(stream.emittedTokens, horizon);
}
