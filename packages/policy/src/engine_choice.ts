/**
 * Chooses the engine of a request among those with slots: what more urgent ranks and
 * lighter workspaces need stays free. Answers floods of one rank or one workspace.
 */

import type * as core from "@peridotvale/core";
import type * as engines from "./engine_state.ts";
import type * as lengths from "./length_predictor.ts";
import type * as models from "./model_state.ts";
import * as placement from "./placement.ts";
import type * as types from "./scheduler_types.ts";

/** What a choice is made from. */
export interface EngineChoice {
  readonly engines: Iterable<engines.EngineState>;
  readonly model: models.ModelState;
  readonly rank: models.RankQueue;
  readonly capacity: types.CapacityRequest;
  readonly predictor: lengths.LengthModel;
  /** Most time between tokens, in milliseconds. */
  readonly tokenTargetMs: number;
}

/** Slots that workspaces with more than their share leave to the others. */
const LIGHT_SLOTS_PER_ENGINE = 1;

/** The engine for a request, or `undefined` while none has room for it. */
export function chooseEngine(choice: EngineChoice, now: number): engines.EngineState | undefined {
  const { model, rank, capacity, predictor } = choice;
  const isLight = isLightRequest(model, rank, capacity);
  const candidates = listCandidates(choice, { isLight, now });
  for (const engine of candidates) engine.updateForecast(predictor, now);
  const stream = {
    promptTokens: capacity.promptTokens,
    emittedTokens: 0,
    maxTokens: capacity.maxTokens,
    survival: predictor.getSurvival(capacity),
  };
  const options = { prefixes: capacity.prefixes, now };
  const fresh = preferFresh(candidates, capacity.avoid);
  if (isLight && model.light.hasLanes) {
    const laned = fresh.filter((engine) => model.light.hasLaneRoom(engine));
    const chosen = placement.choosePlacement(laned, stream, options);
    if (chosen !== undefined) return chosen;
  }
  return placement.choosePlacement(fresh, stream, options);
}

/** Whether a request is urgent and its workspace wants no more than its share. */
export function isLightRequest(
  model: models.ModelState,
  rank: models.RankQueue,
  capacity: types.CapacityRequest,
): boolean {
  return rank === model.ranks[0] && model.light.isLight(capacity.workspace);
}

/** Whether `engine` takes new streams of `model`. */
export function isServing(engine: engines.EngineState, model: core.ModelName): boolean {
  return engine.info.accepting && engine.info.models.includes(model);
}

/** Largest batch of `engine` that keeps the time between tokens within its target. */
export function predictMaxBatch(engine: engines.EngineState, tokenTargetMs: number): number {
  return Math.min(engine.info.maxBatch, engine.speed.predictMaxBatch(tokenTargetMs));
}

/** Engines with slots, if there are more than have to stay free. */
function listCandidates(
  choice: EngineChoice,
  options: { readonly isLight: boolean; readonly now: number },
): engines.EngineState[] {
  const { model, rank, capacity, tokenTargetMs } = choice;
  let keepFree = model.countReserved(rank, options.now);
  const lightSlots = rank.workspaces.isAboveShare(capacity.workspace) ? LIGHT_SLOTS_PER_ENGINE : 0;
  const isOwed = model.shares.isOwed(rank.name);
  const mayUseLanes = options.isLight || isOwed;
  let openSlots = 0;
  const candidates: engines.EngineState[] = [];
  for (const engine of choice.engines) {
    if (!isServing(engine, capacity.model)) continue;
    keepFree += lightSlots;
    const maxBatch = predictMaxBatch(engine, tokenTargetMs);
    const slots = model.light.countSlots(engine, { maxBatch, mayUseLanes });
    if (slots <= 0) continue;
    openSlots += slots;
    candidates.push(engine);
  }
  return isOwed || openSlots > keepFree ? candidates : [];
}

/** Leaves out engines that failed the request, unless there are no others. */
function preferFresh(
  candidates: engines.EngineState[],
  avoid: readonly core.EndpointId[],
): engines.EngineState[] {
  if (avoid.length === 0) return candidates;
  const fresh = candidates.filter((engine) => !avoid.includes(engine.info.endpoint));
  return fresh.length > 0 ? fresh : candidates;
}
