/** Chooses the engine on which a request is predicted to complete first. */

import type * as engines from "./engine_state.ts";
import type * as forecasts from "./memory_forecast.ts";

/** Ratio of the time to process a prompt token to the time to generate a token. */
const PREFILL_TOKEN_COST_RATIO = 0.02;
/** Engines are compared by the time to generate the median of the predicted length. */
const MEDIAN_PROBABILITY = 0.5;

/**
 * Returns the candidate with the earliest predicted completion among those with memory for
 * the stream, or `undefined` if none has.
 */
export function chooseFastestEngine(
  candidates: readonly engines.EngineState[],
  stream: forecasts.StreamShape,
  options: { readonly prefixes: readonly number[]; readonly now: number },
): engines.EngineState | undefined {
  const expectedTokens = Math.min(
    stream.maxTokens,
    stream.survival.computeQuantile(0, MEDIAN_PROBABILITY),
  );
  let fastestEngine: engines.EngineState | undefined;
  let fastestMs = Infinity;
  for (const engine of candidates) {
    const cachedShare = engine.cachedPrefixes.computeCachedShare(options.prefixes);
    const tokenMs = engine.speed.predictTokenMs(engine.streams.size + 1);
    const prefillTokens = stream.promptTokens * (1 - cachedShare) * PREFILL_TOKEN_COST_RATIO;
    const completionMs = (prefillTokens + expectedTokens) * tokenMs;
    if (completionMs >= fastestMs) continue;
    if (!engine.hasMemoryFor(stream, options.now)) continue;
    fastestEngine = engine;
    fastestMs = completionMs;
  }
  return fastestEngine;
}
