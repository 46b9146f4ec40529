/** Chooses the engine on which a request is predicted to complete first. */

import type * as engines from "./engine_state.ts";
import type * as forecasts from "./memory_forecast.ts";

/** Time to process one prompt token, relative to the time of one generated token. */
const PREFILL_COST = 0.02;
/** Share of survival that sets the length by which engines are compared. */
const TYPICAL_SHARE = 0.5;

/** The engine with the least predicted completion that has memory left, or `undefined`. */
export function choosePlacement(
  candidates: readonly engines.EngineState[],
  stream: forecasts.StreamShape,
  options: { readonly prefixes: readonly number[]; readonly now: number },
): engines.EngineState | undefined {
  const expected = Math.min(
    stream.maxTokens,
    stream.survival.computeQuantile(0, TYPICAL_SHARE),
  );
  let best: engines.EngineState | undefined;
  let bestMs = Infinity;
  for (const engine of candidates) {
    const cached = engine.prefixes.computeCachedShare(options.prefixes);
    const tokenMs = engine.speed.predictTokenMs(engine.streams.size + 1);
    const prefillTokens = stream.promptTokens * (1 - cached) * PREFILL_COST;
    const completionMs = (prefillTokens + expected) * tokenMs;
    if (completionMs >= bestMs) continue;
    if (!engine.isMemoryLeft(stream, options.now)) continue;
    best = engine;
    bestMs = completionMs;
  }
  return best;
}
