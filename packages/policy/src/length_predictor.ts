/**
 * Predicts how much longer a generation runs, from the hazard of ending per
 * bucket of length. Running generations count as exposure, so that a shift
 * towards longer outputs shows before the longer outputs have ended.
 */

import * as core from "@peridotvale/core";

/** Buckets per doubling of the length. */
const BUCKETS_PER_OCTAVE = 2;
/** Longest length that has a bucket of its own, in tokens. */
const MAX_LENGTH_TOKENS = 2 ** 18;
const BUCKET_COUNT = Math.log2(MAX_LENGTH_TOKENS) * BUCKETS_PER_OCTAVE;
/** Hazard of ending in the first bucket before anything has been seen. */
const PRIOR_HAZARD = 0.02;
/** Rise of that hazard per bucket. */
const PRIOR_HAZARD_RISE = 0.015;
/** Weight of the coarser estimate, in observations. */
const PRIOR_WEIGHT = 6;
/** Observations per bucket above which older ones are halved. */
const MAX_EXPOSURE = 160;
/** Most workspaces whose lengths are kept apart. */
const MAX_KEYS = 4096;

interface HazardTable {
  readonly exposed: Float32Array;
  readonly ended: Float32Array;
  /** Survival at the start of each bucket; valid unless `dirty`. */
  readonly survival: Float32Array;
  dirty: boolean;
}

/** Identifies whose lengths are alike. */
export interface LengthKey {
  readonly model: core.ModelName;
  readonly workspace: core.WorkspaceName;
}

/** Learns and predicts lengths. */
export interface LengthModel {
  /** Records that a generation went from `from` to `to` tokens without ending. */
  recordProgress(key: LengthKey, from: number, options: { readonly to: number }): void;
  /** Records that a generation ended by itself at `length` tokens. */
  recordEnd(key: LengthKey, length: number): void;
  /** The survival curve of `key`. */
  getSurvival(key: LengthKey): Survival;
}

/** Survival of one key's generations. */
export interface Survival {
  /** Probability that a generation which has `emitted` tokens lasts `more` tokens longer. */
  computeLasting(emitted: number, more: number): number;
  /** Length that a generation with `emitted` tokens exceeds with probability `share`. */
  computeQuantile(emitted: number, share: number): number;
}

/** Learns lengths per workspace and model from what it has seen. */
export class LengthPredictor implements LengthModel {
  readonly #models = new Map<core.ModelName, HazardTable>();
  readonly #workspaces = new Map<string, HazardTable>();

  recordProgress(key: LengthKey, from: number, options: { readonly to: number }): void {
    const first = getBucket(from);
    const last = getBucket(options.to);
    if (first === last) return;
    for (const table of this.#getTables(key)) {
      for (let bucket = first; bucket < last; bucket++) {
        recordExposure(table, bucket, 0);
      }
    }
  }

  recordEnd(key: LengthKey, length: number): void {
    for (const table of this.#getTables(key)) {
      recordExposure(table, getBucket(length), 1);
    }
  }

  getSurvival(key: LengthKey): Survival {
    const [model, workspace] = this.#getTables(key);
    if (model.dirty) updateSurvival(model, undefined);
    if (workspace.dirty) updateSurvival(workspace, model);
    return new BucketSurvival(workspace.survival);
  }

  #getTables(key: LengthKey): readonly [HazardTable, HazardTable] {
    let model = this.#models.get(key.model);
    if (model === undefined) {
      model = createTable();
      this.#models.set(key.model, model);
    }
    const name = `${key.model}\n${key.workspace}`;
    let workspace = this.#workspaces.get(name);
    if (workspace === undefined) {
      workspace = createTable();
      this.#workspaces.set(name, workspace);
      this.#dropOldest();
    }
    return [model, workspace];
  }

  #dropOldest(): void {
    if (this.#workspaces.size <= MAX_KEYS) return;
    for (const name of this.#workspaces.keys()) {
      this.#workspaces.delete(name);
      return;
    }
  }
}

class BucketSurvival implements Survival {
  readonly #survival: Float32Array;

  constructor(survival: Float32Array) {
    this.#survival = survival;
  }

  computeLasting(emitted: number, more: number): number {
    const now = this.#getSurvival(emitted);
    if (now <= 0) return 1;
    return this.#getSurvival(emitted + more) / now;
  }

  computeQuantile(emitted: number, share: number): number {
    const wanted = this.#getSurvival(emitted) * share;
    for (let bucket = getBucket(emitted) + 1; bucket < BUCKET_COUNT; bucket++) {
      if (this.#survival[bucket]! <= wanted) return getBucketStart(bucket);
    }
    return MAX_LENGTH_TOKENS;
  }

  #getSurvival(length: number): number {
    const bucket = getBucket(length);
    const start = getBucketStart(bucket);
    const end = getBucketStart(bucket + 1);
    const left = this.#survival[bucket]!;
    const right = this.#survival[bucket + 1]!;
    return left +
      (right - left) * Math.min(1, (length - start) / (end - start));
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
  if (table.exposed[bucket]! <= MAX_EXPOSURE) return;
  table.exposed[bucket]! /= 2;
  table.ended[bucket]! /= 2;
}

function updateSurvival(
  table: HazardTable,
  coarser: HazardTable | undefined,
): void {
  let survival = 1;
  for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
    table.survival[bucket] = survival;
    const base = PRIOR_HAZARD + PRIOR_HAZARD_RISE * bucket;
    const prior = coarser === undefined ? base : getHazard(coarser, bucket, base);
    survival *= 1 - getHazard(table, bucket, prior);
  }
  table.survival[BUCKET_COUNT] = survival;
  table.dirty = false;
}

function getHazard(table: HazardTable, bucket: number, prior: number): number {
  const ended = table.ended[bucket]! + PRIOR_WEIGHT * prior;
  return ended / (table.exposed[bucket]! + PRIOR_WEIGHT);
}

function getBucket(length: number): number {
  const bucket = Math.floor(
    Math.log2(Math.max(1, length)) * BUCKETS_PER_OCTAVE,
  );
  return Math.min(bucket, BUCKET_COUNT - 1);
}

function getBucketStart(bucket: number): number {
  return 2 ** (bucket / BUCKETS_PER_OCTAVE);
}
