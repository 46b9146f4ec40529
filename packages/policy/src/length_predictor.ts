/**
 * Predicts the remaining length of a generation from the hazard of ending, which
 * is estimated per bucket of length. Running generations count in each bucket that they outgrow, so
 * that a shift towards longer outputs shows before the longer outputs end.
 */

import * as core from "@peridotvale/core";

/** Buckets per doubling of the length. */
const BUCKETS_PER_OCTAVE = 2;
/** End of the last bucket, which also holds longer generations. */
const MAX_LENGTH_TOKENS = 2 ** 18;
const BUCKET_COUNT = Math.log2(MAX_LENGTH_TOKENS) * BUCKETS_PER_OCTAVE;
/** Hazard assumed for the first bucket before any observation. */
const PRIOR_HAZARD = 0.02;
/** Increase of the assumed hazard from one bucket to the next. */
const PRIOR_HAZARD_RISE = 0.015;
/** Weight of a bucket's prior hazard, expressed as a number of observations. */
const PRIOR_OBSERVATION_COUNT = 6;
/** A bucket with more observations than this has its counts halved, to favor newer ones. */
const MAX_BUCKET_EXPOSURE = 160;
/** Maximum number of pairs of workspace and model; above it, the oldest pair is dropped. */
const MAX_WORKSPACE_TABLES = 4096;

interface HazardTable {
  /** For each bucket, the number of generations that ended in it or grew beyond it. */
  readonly exposedCounts: Float32Array;
  /** For each bucket, the number of generations that ended in it. */
  readonly endedCounts: Float32Array;
  /** Probability of reaching the start of each bucket; outdated if `isSurvivalOutdated`. */
  readonly survival: Float32Array;
  isSurvivalOutdated: boolean;
}

/** Model and workspace whose generations share a length distribution. */
export interface LengthKey {
  readonly model: core.ModelName;
  readonly workspace: core.WorkspaceName;
}

/** Learns the lengths of generations and predicts them. */
export interface LengthModel {
  /** Records that a generation grew from `fromTokens` to `options.toTokens` without ending. */
  recordProgress(key: LengthKey, fromTokens: number, options: { readonly toTokens: number }): void;
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

  recordProgress(key: LengthKey, fromTokens: number, options: { readonly toTokens: number }): void {
    const firstBucket = getBucketIndex(fromTokens);
    const lastBucket = getBucketIndex(options.toTokens);
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
    if (modelTable.isSurvivalOutdated) updateSurvival(modelTable, undefined);
    if (workspaceTable.isSurvivalOutdated) updateSurvival(workspaceTable, modelTable);
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
      this.#dropOldestWorkspaceTable();
    }
    return [modelTable, workspaceTable];
  }

  #dropOldestWorkspaceTable(): void {
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
    const startTokens = getBucketStartTokens(bucket);
    const endTokens = getBucketStartTokens(bucket + 1);
    const startSurvival = this.#survival[bucket]!;
    const endSurvival = this.#survival[bucket + 1]!;
    return startSurvival +
      (endSurvival - startSurvival) *
        Math.min(1, (length - startTokens) / (endTokens - startTokens));
  }
}

function createTable(): HazardTable {
  return {
    exposedCounts: new Float32Array(BUCKET_COUNT),
    endedCounts: new Float32Array(BUCKET_COUNT),
    survival: new Float32Array(BUCKET_COUNT + 1),
    isSurvivalOutdated: true,
  };
}

function recordExposure(
  table: HazardTable,
  bucket: number,
  ended: number,
): void {
  table.exposedCounts[bucket]! += 1;
  table.endedCounts[bucket]! += ended;
  table.isSurvivalOutdated = true;
  if (table.exposedCounts[bucket]! <= MAX_BUCKET_EXPOSURE) return;
  table.exposedCounts[bucket]! /= 2;
  table.endedCounts[bucket]! /= 2;
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
  table.isSurvivalOutdated = false;
}

function estimateHazard(table: HazardTable, bucket: number, priorHazard: number): number {
  const endedCount = table.endedCounts[bucket]! + PRIOR_OBSERVATION_COUNT * priorHazard;
  return endedCount / (table.exposedCounts[bucket]! + PRIOR_OBSERVATION_COUNT);
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
