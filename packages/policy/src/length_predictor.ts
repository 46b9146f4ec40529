/**
 * Predicts the remaining length of a generation from the hazard of ending, which
 * is estimated per bucket of length. Running generations contribute exposure, so
 * that a shift towards longer outputs shows before the longer outputs end.
 */

import * as core from "@peridotvale/core";

/** Buckets per doubling of the length. */
const BUCKETS_PER_OCTAVE = 2;
/** End of the last bucket, which also holds longer generations. */
const MAX_LENGTH_TOKENS = 2 ** 18;
const BUCKET_COUNT = Math.log2(MAX_LENGTH_TOKENS) * BUCKETS_PER_OCTAVE;
/** Hazard of the first bucket without observations. */
const PRIOR_HAZARD = 0.02;
/** Increase of the prior hazard per bucket. */
const PRIOR_HAZARD_RISE = 0.015;
/** Weight of a bucket's prior hazard, expressed as a number of observations. */
const PRIOR_OBSERVATION_COUNT = 6;
/** A bucket with more observations than this has its counts halved, to favor newer ones. */
const MAX_BUCKET_EXPOSURE = 160;
/** Maximum number of pairs of workspace and model; beyond it, the oldest pair is dropped. */
const MAX_WORKSPACE_TABLES = 4096;

interface HazardTable {
  /** Generations per bucket that ended in it or grew beyond it. */
  readonly exposed: Float32Array;
  /** Generations per bucket that ended in it. */
  readonly ended: Float32Array;
  /** Probability of reaching the start of each bucket; valid unless `dirty`. */
  readonly survival: Float32Array;
  dirty: boolean;
}

/** Model and workspace whose generations share a length distribution. */
export interface LengthKey {
  readonly model: core.ModelName;
  readonly workspace: core.WorkspaceName;
}

/** Learns the lengths of generations and predicts them. */
export interface LengthModel {
  /** Records that a generation grew from `from` to `options.to` tokens without ending. */
  recordProgress(key: LengthKey, from: number, options: { readonly to: number }): void;
  /** Records that a generation ended on its own at `length` tokens. */
  recordEnd(key: LengthKey, length: number): void;
  getSurvivalCurve(key: LengthKey): SurvivalCurve;
}

/** Survival curve of the generations of one {@linkcode LengthKey}. */
export interface SurvivalCurve {
  /**
   * Returns the probability that a generation that has emitted `emittedTokens`
   * emits at least `additionalTokens` more.
   */
  computeSurvivalProbability(emittedTokens: number, additionalTokens: number): number;
  /**
   * Returns the length in tokens that a generation that has emitted `emittedTokens`
   * exceeds with the given probability.
   */
  computeQuantile(emittedTokens: number, probability: number): number;
}

/**
 * Learns lengths per workspace and model from observed generations. The curve of
 * the model across all workspaces is the prior of each workspace's curve.
 */
export class LengthPredictor implements LengthModel {
  readonly #modelTables = new Map<core.ModelName, HazardTable>();
  readonly #workspaceTables = new Map<string, HazardTable>();

  recordProgress(key: LengthKey, from: number, options: { readonly to: number }): void {
    const firstBucket = getBucketIndex(from);
    const lastBucket = getBucketIndex(options.to);
    if (firstBucket === lastBucket) return;
    for (const table of this.#getTables(key)) {
      for (let bucket = firstBucket; bucket < lastBucket; bucket++) {
        recordExposure(table, bucket, 0);
      }
    }
  }

  recordEnd(key: LengthKey, length: number): void {
    for (const table of this.#getTables(key)) {
      recordExposure(table, getBucketIndex(length), 1);
    }
  }

  getSurvivalCurve(key: LengthKey): SurvivalCurve {
    const [modelTable, workspaceTable] = this.#getTables(key);
    if (modelTable.dirty) updateSurvival(modelTable, undefined);
    if (workspaceTable.dirty) updateSurvival(workspaceTable, modelTable);
    return new BucketSurvival(workspaceTable.survival);
  }

  #getTables(key: LengthKey): readonly [HazardTable, HazardTable] {
    let modelTable = this.#modelTables.get(key.model);
    if (modelTable === undefined) {
      modelTable = createTable();
      this.#modelTables.set(key.model, modelTable);
    }
    const tableKey = `${key.model}\n${key.workspace}`;
    let workspaceTable = this.#workspaceTables.get(tableKey);
    if (workspaceTable === undefined) {
      workspaceTable = createTable();
      this.#workspaceTables.set(tableKey, workspaceTable);
      this.#dropOldest();
    }
    return [modelTable, workspaceTable];
  }

  #dropOldest(): void {
    if (this.#workspaceTables.size <= MAX_WORKSPACE_TABLES) return;
    for (const tableKey of this.#workspaceTables.keys()) {
      this.#workspaceTables.delete(tableKey);
      return;
    }
  }
}

class BucketSurvival implements SurvivalCurve {
  readonly #survival: Float32Array;

  constructor(survival: Float32Array) {
    this.#survival = survival;
  }

  computeSurvivalProbability(emittedTokens: number, additionalTokens: number): number {
    const currentSurvival = this.#estimateSurvival(emittedTokens);
    if (currentSurvival <= 0) return 1;
    return this.#estimateSurvival(emittedTokens + additionalTokens) / currentSurvival;
  }

  computeQuantile(emittedTokens: number, probability: number): number {
    const targetSurvival = this.#estimateSurvival(emittedTokens) * probability;
    for (let bucket = getBucketIndex(emittedTokens) + 1; bucket < BUCKET_COUNT; bucket++) {
      if (this.#survival[bucket]! <= targetSurvival) return getBucketStartTokens(bucket);
    }
    return MAX_LENGTH_TOKENS;
  }

  #estimateSurvival(length: number): number {
    const bucket = getBucketIndex(length);
    const start = getBucketStartTokens(bucket);
    const end = getBucketStartTokens(bucket + 1);
    const startSurvival = this.#survival[bucket]!;
    const endSurvival = this.#survival[bucket + 1]!;
    return startSurvival +
      (endSurvival - startSurvival) * Math.min(1, (length - start) / (end - start));
  }
}

function createTable(): HazardTable {
  return {
    exposed: new Float32Array(BUCKET_COUNT),
    ended: new Float32Array(BUCKET_COUNT),
    survival: new Float32Array(BUCKET_COUNT + 1),
    dirty: true,
  };
}

function recordExposure(
  table: HazardTable,
  bucket: number,
  ended: number,
): void {
  table.exposed[bucket]! += 1;
  table.ended[bucket]! += ended;
  table.dirty = true;
  if (table.exposed[bucket]! <= MAX_BUCKET_EXPOSURE) return;
  table.exposed[bucket]! /= 2;
  table.ended[bucket]! /= 2;
}

function updateSurvival(
  table: HazardTable,
  priorTable: HazardTable | undefined,
): void {
  let survival = 1;
  for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
    table.survival[bucket] = survival;
    const defaultHazard = PRIOR_HAZARD + PRIOR_HAZARD_RISE * bucket;
    const priorHazard = priorTable === undefined
      ? defaultHazard
      : estimateHazard(priorTable, bucket, defaultHazard);
    survival *= 1 - estimateHazard(table, bucket, priorHazard);
  }
  table.survival[BUCKET_COUNT] = survival;
  table.dirty = false;
}

function estimateHazard(table: HazardTable, bucket: number, priorHazard: number): number {
  const ended = table.ended[bucket]! + PRIOR_OBSERVATION_COUNT * priorHazard;
  return ended / (table.exposed[bucket]! + PRIOR_OBSERVATION_COUNT);
}

function getBucketIndex(length: number): number {
  const bucket = Math.floor(
    Math.log2(Math.max(1, length)) * BUCKETS_PER_OCTAVE,
  );
  return Math.min(bucket, BUCKET_COUNT - 1);
}

function getBucketStartTokens(bucket: number): number {
  return 2 ** (bucket / BUCKETS_PER_OCTAVE);
}
