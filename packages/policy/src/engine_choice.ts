/**
 * Chooses the engine for a request among those with free slots. Leaves slots free for more
 * urgent ranks and for workspaces with less demand, so that a flood from one rank or one
 * workspace doesn't delay the others.
 */

import type * as core from "@peridotvale/core";
import type * as engines from "./engine_state.ts";
import type * as lengths from "./length_predictor.ts";
import type * as models from "./model_state.ts";
import * as fastest from "./fastest_engine.ts";
import type * as types from "./scheduler_types.ts";

export interface EngineChoiceInput {
  readonly engines: Iterable<engines.EngineState>;
  readonly model: models.ModelState;
  readonly rank: models.RankQueue;
  readonly capacity: types.CapacityRequest;
  readonly predictor: lengths.LengthModel;
  /** Longest permitted time between tokens. */
  readonly tokenTargetMs: number;
}

/** Slots per engine that a workspace above its share leaves free for the others. */
const SPARE_SLOTS_PER_ENGINE = 1;

/** Returns the engine for a request, or `undefined` while none has capacity for it. */
export function chooseEngine(
  choice: EngineChoiceInput,
  now: number,
): engines.EngineState | undefined {
  const { model, rank, capacity, predictor } = choice;
  const isLowDemand = isLowDemandRequest(model, rank, capacity);
  const candidates = listCandidates(choice, { isLowDemand, now });
  for (const engine of candidates) engine.updateForecast(predictor, now);
  const stream = {
    promptTokens: capacity.promptTokens,
    emittedTokens: 0,
    maxTokens: capacity.maxTokens,
    survival: predictor.getSurvivalCurve(capacity),
  };
  const options = { prefixes: capacity.prefixes, now };
  const preferredEngines = preferUntriedEngines(candidates, capacity.avoid);
  if (isLowDemand && model.lowDemand.hasReservations) {
    const enginesWithRoom = preferredEngines.filter((engine) =>
      model.lowDemand.hasReservedRoom(engine)
    );
    const chosenEngine = fastest.chooseFastestEngine(enginesWithRoom, stream, options);
    if (chosenEngine !== undefined) return chosenEngine;
  }
  return fastest.chooseFastestEngine(preferredEngines, stream, options);
}

/** Whether a request has the most urgent rank and comes from a low-demand workspace. */
export function isLowDemandRequest(
  model: models.ModelState,
  rank: models.RankQueue,
  capacity: types.CapacityRequest,
): boolean {
  return rank === model.ranks[0] && model.lowDemand.isLowDemand(capacity.workspace);
}

/** Whether `engine` accepts new streams of `model`. */
export function isServing(engine: engines.EngineState, model: core.ModelName): boolean {
  return engine.info.accepting && engine.info.models.includes(model);
}

/** Predicts the largest batch for which the time between tokens stays within `tokenTargetMs`. */
export function predictMaxBatch(engine: engines.EngineState, tokenTargetMs: number): number {
  return Math.min(engine.info.maxBatch, engine.speed.predictMaxBatch(tokenTargetMs));
}

/**
 * Lists the engines with free slots. A request must leave a number of slots free for more urgent
 * ranks and other workspaces, and the list is empty if no more slots than these are free. A request
 * of a rank below its floor need not leave any.
 */
function listCandidates(
  choice: EngineChoiceInput,
  options: { readonly isLowDemand: boolean; readonly now: number },
): engines.EngineState[] {
  const { model, rank, capacity, tokenTargetMs } = choice;
  let slotsToLeave = model.countSlotsForUrgentRanks(rank, options.now);
  const spareSlots = rank.workspaceShares.isAboveShare(capacity.workspace)
    ? SPARE_SLOTS_PER_ENGINE
    : 0;
  const isBelowFloor = model.rankCredits.isBelowFloor(rank.name);
  const mayUseReserved = options.isLowDemand || isBelowFloor;
  let freeSlots = 0;
  const candidates: engines.EngineState[] = [];
  for (const engine of choice.engines) {
    if (!isServing(engine, capacity.model)) continue;
    slotsToLeave += spareSlots;
    const maxBatch = predictMaxBatch(engine, tokenTargetMs);
    const slots = model.lowDemand.countFreeSlots(engine, {
      maxBatch,
      mayUseReserved,
    });
    if (slots <= 0) continue;
    freeSlots += slots;
    candidates.push(engine);
  }
  return isBelowFloor || freeSlots > slotsToLeave ? candidates : [];
}

/** Excludes engines that failed this request before, unless there are no others. */
function preferUntriedEngines(
  candidates: engines.EngineState[],
  avoid: readonly core.EndpointId[],
): engines.EngineState[] {
  if (avoid.length === 0) return candidates;
  const untriedEngines = candidates.filter((engine) => !avoid.includes(engine.info.endpoint));
  return untriedEngines.length > 0 ? untriedEngines : candidates;
}
