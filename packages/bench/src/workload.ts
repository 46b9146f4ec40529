/** Seeded work for the policy bench: who asks for what, when. Times are in milliseconds. */

import * as core from "@peridotvale/core";
import * as standins from "@peridotvale/standins";

/** An engine of a shape. */
export interface BenchEngine {
  readonly id: core.EndpointId;
  readonly zone: core.ZoneName;
  readonly parameters: standins.EngineParameters;
}

/** Engines and entry processes of one user. */
export interface BenchShape {
  readonly name: string;
  readonly engines: readonly BenchEngine[];
  /** Tokens a second that the engines serve in time when more is asked for. */
  readonly capacity: number;
  /** Availability zone of each entry process. */
  readonly fronts: readonly core.ZoneName[];
  readonly workspaces: readonly core.WorkspaceName[];
}

/** Work of one rank. */
export interface RankLoad {
  readonly rank: core.RankName;
  /** Share of the shape's capacity that the rank asks for, in tokens. */
  readonly load: number;
  readonly median: number;
  readonly sigma: number;
}

/** Work of one case. */
export interface BenchLoad {
  readonly durationMs: number;
  readonly ranks: readonly RankLoad[];
  /** Relative rate of each workspace, in the order of the shape. */
  readonly workspaceRates: readonly number[];
  /** When lengths are multiplied by `shiftFactor`. */
  readonly shiftAtMs?: number;
  readonly shiftFactor?: number;
}

/** One request. */
export interface BenchRequest {
  readonly id: core.RequestId;
  readonly arrivedAt: number;
  readonly front: number;
  readonly workspace: core.WorkspaceName;
  readonly rank: core.RankName;
  readonly promptTokens: number;
  readonly prefixes: readonly number[];
  readonly outputTokens: number;
}

/** Ranks of every case. */
export const URGENT = core.createId<core.RankName>("urgent");
/** The rank that can wait. */
export const PATIENT = core.createId<core.RankName>("patient");
/** The one model of every case. */
export const MODEL = core.createId<core.ModelName>("layout-7b");
/** Most tokens of one answer. */
export const MAX_TOKENS = 20_000;

const PROMPT_MEDIAN = 300;
const PROMPT_SIGMA = 0.7;
const MAX_PROMPT = 6_000;
const PREFIX_BLOCK_TOKENS = 64;

/** Kitamura: three zones, eight engines of 1 to 4 times speed, seven entry processes. */
export function createKitamura(): BenchShape {
  const zones = ["asahikawa", "furano", "nayoro"];
  const speeds = [1, 1, 1.5, 2, 2, 3, 4, 4];
  return createShape("kitamura", zones, { speeds, fronts: 7, capacity: 16_400 });
}

/** Sparkbank: four zones, six engines. */
export function createSparkbank(): BenchShape {
  const zones = ["brisbane", "gold-coast", "townsville", "cairns"];
  return createShape("sparkbank", zones, {
    speeds: [1, 1.5, 2, 2, 3, 4],
    fronts: 6,
    capacity: 12_400,
  });
}

/** Creates the requests of a case. */
export function createRequests(
  shape: BenchShape,
  load: BenchLoad,
  options: { readonly seed: number },
): BenchRequest[] {
  const random = new core.SeededRandom(options.seed);
  const requests: BenchRequest[] = [];
  for (const rank of load.ranks) {
    const meanTokens = computeMean(rank.median, rank.sigma);
    const ratePerMs = shape.capacity * rank.load / meanTokens / 1000;
    if (ratePerMs <= 0) continue;
    let at = 0;
    while (true) {
      at += -Math.log(1 - random.next()) / ratePerMs;
      if (at >= load.durationMs) break;
      requests.push(createRequest(shape, load, { rank, at, random, index: requests.length }));
    }
  }
  return requests.sort((a, b) => a.arrivedAt - b.arrivedAt);
}

function createRequest(
  shape: BenchShape,
  load: BenchLoad,
  options: {
    readonly rank: RankLoad;
    readonly at: number;
    readonly random: core.RandomSource;
    readonly index: number;
  },
): BenchRequest {
  const { rank, at, random } = options;
  const workspace = chooseWeighted(load.workspaceRates, random);
  const isShifted = load.shiftAtMs !== undefined && at >= load.shiftAtMs;
  const median = rank.median * (isShifted ? load.shiftFactor ?? 1 : 1);
  const promptTokens = Math.min(
    MAX_PROMPT,
    32 + standins.drawHeavyTail(random, { median: PROMPT_MEDIAN, sigma: PROMPT_SIGMA }),
  );
  const blocks = Math.min(4, Math.floor(promptTokens / PREFIX_BLOCK_TOKENS));
  return {
    id: core.createId<core.RequestId>(`r${options.index}`),
    arrivedAt: at,
    front: Math.floor(random.next() * shape.fronts.length),
    workspace: shape.workspaces[workspace]!,
    rank: rank.rank,
    promptTokens,
    prefixes: Array.from({ length: blocks }, (_, block) => workspace * 100 + block),
    outputTokens: Math.min(
      MAX_TOKENS,
      standins.drawHeavyTail(random, { median, sigma: rank.sigma }),
    ),
  };
}

function createShape(
  name: string,
  zones: readonly string[],
  options: {
    readonly speeds: readonly number[];
    readonly fronts: number;
    readonly capacity: number;
  },
): BenchShape {
  const zoneNames = zones.map((zone) => core.createId<core.ZoneName>(zone));
  const engines = options.speeds.map((speed, index) => ({
    id: core.createId<core.EndpointId>(`e${index}`),
    zone: zoneNames[index % zoneNames.length]!,
    parameters: {
      baseMs: 14 / speed,
      perStreamMs: 1 / speed,
      prefillMs: 0.04 / speed,
      memoryTokens: 12_000 + 8_000 * speed,
      maxBatch: 48,
      cacheTokens: 8_000,
    },
  }));
  return {
    name,
    engines,
    capacity: options.capacity,
    fronts: Array.from(
      { length: options.fronts },
      (_, index) => zoneNames[index % zoneNames.length]!,
    ),
    workspaces: Array.from(
      { length: 10 },
      (_, index) => core.createId<core.WorkspaceName>(`w${index}`),
    ),
  };
}

function chooseWeighted(weights: readonly number[], random: core.RandomSource): number {
  let left = random.next() * weights.reduce((sum, weight) => sum + weight, 0);
  for (const [index, weight] of weights.entries()) {
    left -= weight;
    if (left <= 0) return index;
  }
  return weights.length - 1;
}

function computeMean(median: number, sigma: number): number {
  return median * Math.exp(sigma * sigma / 2);
}
