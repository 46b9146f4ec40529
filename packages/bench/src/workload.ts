/**
 * Creates the fleets and requests of the policy bench. Equal seeds give equal requests. Times are
 * in milliseconds.
 */

import * as core from "@peridotvale/core";
import * as standins from "@peridotvale/standins";

export interface BenchEngine {
  readonly id: core.EndpointId;
  readonly zone: core.ZoneName;
  readonly parameters: standins.EngineParameters;
}

/** Engines, entry processes and workspaces of a simulated deployment. */
export interface SimulatedFleet {
  readonly name: string;
  readonly engines: readonly BenchEngine[];
  /** Tokens per second that the fleet delivers to on-time requests while it is overloaded. */
  readonly capacityTokensPerSecond: number;
  /** Availability zone of each entry process. */
  readonly frontZones: readonly core.ZoneName[];
  readonly workspaces: readonly core.WorkspaceName[];
}

/** Load of one rank. Output lengths follow a log-normal distribution. */
export interface RankLoad {
  readonly rank: core.RankName;
  /** Requested tokens per second, as a share of the fleet's capacity; may exceed 1. */
  readonly capacityShare: number;
  readonly medianOutputTokens: number;
  /** Standard deviation of the logarithm of the output length. */
  readonly sigma: number;
}

/** Load of one case: request rates and output lengths by rank and workspace. */
export interface BenchLoad {
  readonly durationMs: number;
  readonly ranks: readonly RankLoad[];
  /** Relative request rate of each workspace, in the order of the fleet's workspaces. */
  readonly workspaceRates: readonly number[];
  /** Time from which median output lengths are multiplied by `lengthShiftFactor`. */
  readonly lengthShiftAtMs?: number;
  readonly lengthShiftFactor?: number;
}

export interface BenchRequest {
  readonly id: core.RequestId;
  readonly arrivedAt: number;
  /** Index of the entry process that receives the request. */
  readonly frontIndex: number;
  readonly workspace: core.WorkspaceName;
  readonly rank: core.RankName;
  readonly promptTokens: number;
  /** Identifiers of the prompt's leading blocks, shared by the requests of a workspace. */
  readonly prefixes: readonly number[];
  /** Tokens that the engine generates for the request. */
  readonly outputTokens: number;
}

/** Rank with tight latency targets. */
export const URGENT_RANK = core.createId<core.RankName>("urgent");
/** Rank with loose latency targets. */
export const PATIENT_RANK = core.createId<core.RankName>("patient");
/** Model that all requests use. */
export const MODEL = core.createId<core.ModelName>("layout-7b");
/** Upper limit of the tokens generated for one request. */
export const MAX_OUTPUT_TOKENS = 20_000;

const MEDIAN_PROMPT_TOKENS = 300;
/** Standard deviation of the logarithm of the prompt length. */
const PROMPT_SIGMA = 0.7;
const MAX_PROMPT_TOKENS = 6_000;
const PREFIX_BLOCK_TOKENS = 64;

/** Creates a fleet of 3 zones, 8 engines with relative speeds of 1 to 4, and 7 entry processes. */
export function createKitamuraFleet(): SimulatedFleet {
  const zones = ["asahikawa", "furano", "nayoro"];
  const speeds = [1, 1, 1.5, 2, 2, 3, 4, 4];
  return createFleet("kitamura", zones, { speeds, frontCount: 7, capacityTokensPerSecond: 16_400 });
}

/** Creates a fleet of 4 zones, 6 engines with relative speeds of 1 to 4, and 6 entry processes. */
export function createSparkbankFleet(): SimulatedFleet {
  const zones = ["brisbane", "gold-coast", "townsville", "cairns"];
  return createFleet("sparkbank", zones, {
    speeds: [1, 1.5, 2, 2, 3, 4],
    frontCount: 6,
    capacityTokensPerSecond: 12_400,
  });
}

/** Generates Poisson arrivals of each rank; returns the requests in order of arrival. */
export function createRequests(
  fleet: SimulatedFleet,
  load: BenchLoad,
  options: { readonly seed: number },
): BenchRequest[] {
  const random = new core.SeededRandom(options.seed);
  const requests: BenchRequest[] = [];
  for (const rankLoad of load.ranks) {
    const meanOutputTokens = computeLogNormalMean(rankLoad.medianOutputTokens, rankLoad.sigma);
    const ratePerMs = fleet.capacityTokensPerSecond * rankLoad.capacityShare / meanOutputTokens /
      1000;
    if (ratePerMs <= 0) continue;
    let arrivedAt = 0;
    while (true) {
      arrivedAt += -Math.log(1 - random.next()) / ratePerMs;
      if (arrivedAt >= load.durationMs) break;
      requests.push(
        createRequest(fleet, load, {
          rankLoad,
          arrivedAt,
          random,
          index: requests.length,
        }),
      );
    }
  }
  return requests.sort((a, b) => a.arrivedAt - b.arrivedAt);
}

function createRequest(
  fleet: SimulatedFleet,
  load: BenchLoad,
  options: {
    readonly rankLoad: RankLoad;
    readonly arrivedAt: number;
    readonly random: core.RandomSource;
    readonly index: number;
  },
): BenchRequest {
  const { rankLoad, arrivedAt, random } = options;
  const workspaceIndex = chooseWeightedIndex(load.workspaceRates, random);
  const isAfterLengthShift = load.lengthShiftAtMs !== undefined &&
    arrivedAt >= load.lengthShiftAtMs;
  const medianOutputTokens = rankLoad.medianOutputTokens *
    (isAfterLengthShift ? load.lengthShiftFactor ?? 1 : 1);
  const promptTokens = Math.min(
    MAX_PROMPT_TOKENS,
    32 + standins.drawLogNormal(random, { median: MEDIAN_PROMPT_TOKENS, sigma: PROMPT_SIGMA }),
  );
  const blockCount = Math.min(4, Math.floor(promptTokens / PREFIX_BLOCK_TOKENS));
  return {
    id: core.createId<core.RequestId>(`r${options.index}`),
    arrivedAt,
    frontIndex: Math.floor(random.next() * fleet.frontZones.length),
    workspace: fleet.workspaces[workspaceIndex]!,
    rank: rankLoad.rank,
    promptTokens,
    prefixes: Array.from({ length: blockCount }, (_, block) => workspaceIndex * 100 + block),
    outputTokens: Math.min(
      MAX_OUTPUT_TOKENS,
      standins.drawLogNormal(random, { median: medianOutputTokens, sigma: rankLoad.sigma }),
    ),
  };
}

function createFleet(
  name: string,
  zones: readonly string[],
  options: {
    readonly speeds: readonly number[];
    readonly frontCount: number;
    readonly capacityTokensPerSecond: number;
  },
): SimulatedFleet {
  const zoneNames = zones.map((zone) => core.createId<core.ZoneName>(zone));
  const engines = options.speeds.map((speed, index) => ({
    id: core.createId<core.EndpointId>(`e${index}`),
    zone: zoneNames[index % zoneNames.length]!,
    parameters: {
      baseMs: 14 / speed,
      perStreamMs: 1 / speed,
      perPromptTokenMs: 0.04 / speed,
      memoryTokens: 12_000 + 8_000 * speed,
      maxBatch: 48,
      cacheTokens: 8_000,
    },
  }));
  return {
    name,
    engines,
    capacityTokensPerSecond: options.capacityTokensPerSecond,
    frontZones: Array.from(
      { length: options.frontCount },
      (_, index) => zoneNames[index % zoneNames.length]!,
    ),
    workspaces: Array.from(
      { length: 10 },
      (_, index) => core.createId<core.WorkspaceName>(`w${index}`),
    ),
  };
}

function chooseWeightedIndex(weights: readonly number[], random: core.RandomSource): number {
  let remaining = random.next() * weights.reduce((sum, weight) => sum + weight, 0);
  for (const [index, weight] of weights.entries()) {
    remaining -= weight;
    if (remaining <= 0) return index;
  }
  return weights.length - 1;
}

function computeLogNormalMean(median: number, sigma: number): number {
  return median * Math.exp(sigma * sigma / 2);
}
