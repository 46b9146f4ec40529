/**
 * Chooses the model engine for a generation by the memory that the engine's runs will need and
 * by the prompt tokens that the engine still has to process. Handles load peaks of long
 * generations, engines of different speed, and engines that are reclaimed at short notice.
 */

import type * as core from "@peridotvale/core";
import type * as peers from "./peer_loads.ts";
import * as spreads from "./placement_spread.ts";

/** Token counts from which the memory use of a generation is predicted. */
export interface GenerationSize {
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** The caller's estimate of the output length. */
  readonly expectedOutputTokens: number | undefined;
}

export interface EngineCandidate {
  readonly record: core.EndpointRecord;
  readonly profile: core.EngineProfile;
}

/** A generation of this process at an engine. */
interface Run {
  readonly size: GenerationSize;
  generatedTokens: number;
  hasStarted: boolean;
}

interface TrackedEngine {
  readonly runs: Map<core.RequestId, Run>;
  avoidUntil: number;
  /** Failed connections since the engine last answered. */
  failedConnections: number;
  /** Whether the engine gets no new work; its entry is removed once its runs have ended. */
  hasLeft: boolean;
  hasGenerated: boolean;
  /** Smoothed time per output token of a run. */
  tokenMs: number;
}

/** Share of an engine's memory that the runs' estimated lengths may fill. */
const PLANNED_MEMORY_SHARE = 1;
/**
 * Share of the target engine's memory that may be planned for a move. It exceeds 1 because runs
 * do not reach their predicted lengths at the same time, and a generation that is not moved is
 * lost. The engine itself refuses a run for which it has no memory.
 */
const MOVE_MEMORY_SHARE = 1.3;
/** Share of memory that is reserved for the most urgent rank. */
const URGENT_RESERVE_SHARE = 0.08;
const MOST_URGENT_RANK = 0;
/** Minimum further output predicted for a run, as a share of its output so far. */
const OVERRUN_SHARE = 0.25;
/** How long an engine is avoided after it refused a generation. */
const REFUSAL_AVOID_MS = 400;
/** How long an engine is avoided after a failed connection; doubles with each further one. */
const MIN_UNREACHABLE_AVOID_MS = 400;
/** Short enough for an engine that restarts under the same id to be found again. */
const MAX_UNREACHABLE_AVOID_MS = 3_200;
/** Prefill speed assumed for every engine: that of the slowest. */
const PROMPT_TOKENS_PER_MS = 14;
const SPEED_SMOOTHING_WEIGHT = 0.1;
/** Time per output token assumed for an engine without observations. */
const INITIAL_TOKEN_MS = 9;
/** Share of memory in use that weighs as much as one second of waiting for prefill. */
const PREFILL_SHARE_PER_S = 0.6;
/** An engine in another zone is chosen only if its share of memory in use is this much lower. */
const REMOTE_ZONE_PENALTY_SHARE = 0.3;
const REMOTE_ZONE_MOVE_PENALTY_SHARE = 0.6;

/** Predicts the tokens, prompt included, that a generation holds in memory at its end. */
export function predictTotalTokens(size: GenerationSize, generatedTokens: number): number {
  const expectedTokens = size.expectedOutputTokens ?? size.maxOutputTokens / 2;
  const outputTokens = Math.max(expectedTokens, generatedTokens * (1 + OVERRUN_SHARE));
  return size.promptTokens + Math.min(size.maxOutputTokens, outputTokens);
}

/** Creates the candidate for an engine without a profile, which is limited by its slots only. */
export function createUnprofiledEngine(record: core.EndpointRecord): EngineCandidate {
  return {
    record,
    profile: {
      slots: record.slots,
      memoryTokens: Infinity,
      tokensPerEvent: 1,
      canMove: false,
    },
  };
}

/** An engine with room for a generation. */
interface ScoredEngine extends spreads.SpreadCandidate {
  readonly record: core.EndpointRecord;
}

/** Returns the longest time that an engine takes to process a prompt of `tokens`. */
export function estimatePrefillMs(tokens: number): number {
  return tokens / PROMPT_TOKENS_PER_MS;
}

/** Computes the score of prompt tokens that an engine has yet to process. */
function computePrefillShare(tokens: number): number {
  return PREFILL_SHARE_PER_S * estimatePrefillMs(tokens) / 1000;
}

/** Tracks this process's runs at engines and chooses engines for new runs. */
export class EnginePlacement {
  readonly #engines = new Map<core.InstanceId, TrackedEngine>();
  readonly #peerLoads: peers.PeerLoads;

  /** `peerLoads` holds the loads that other processes place on engines. */
  constructor(peerLoads: peers.PeerLoads) {
    this.#peerLoads = peerLoads;
  }

  /**
   * Chooses the engine with the lowest score for a generation; undefined if none has room.
   * Engines in `avoid` are skipped.
   */
  chooseEngine(
    candidates: readonly EngineCandidate[],
    size: GenerationSize,
    options: {
      readonly now: number;
      readonly zone: core.ZoneName;
      readonly avoid: ReadonlySet<core.InstanceId>;
      readonly random: core.RandomSource;
      /** 0 is the most urgent. */
      readonly rank: number;
      /** Whether a running generation is moved; a copy across zones takes twice as long. */
      readonly isMove?: boolean;
      /** Age of the loads of other processes when they arrive; 0 if it does not matter. */
      readonly reportLagMs?: number;
    },
  ): core.EndpointRecord | undefined {
    const scoredEngines: ScoredEngine[] = [];
    const zones = new Set<core.ZoneName>();
    for (const candidate of candidates) {
      zones.add(candidate.record.zone);
      const { record, profile } = candidate;
      const engine = this.#getEngine(record.instance);
      if (options.avoid.has(record.instance) || options.now < engine.avoidUntil) continue;
      const load = this.#getLoad(record.instance);
      const memoryShare = chooseMemoryShare(options);
      if (!hasRoom(load, profile, { size, memoryShare })) continue;
      const ownPrefillShare = computePrefillShare(size.promptTokens);
      let score = load.reservedTokens / profile.memoryTokens;
      score += computePrefillShare(load.unreadPromptTokens) + ownPrefillShare;
      score *= engine.tokenMs / INITIAL_TOKEN_MS;
      if (record.zone !== options.zone) {
        score += options.isMove ? REMOTE_ZONE_MOVE_PENALTY_SHARE : REMOTE_ZONE_PENALTY_SHARE;
      }
      score += 0.01 * options.random.next();
      // Score by which the engine would be worse after an equal placement by another process.
      const increment = predictTotalTokens(size, 0) / profile.memoryTokens + ownPrefillShare;
      scoredEngines.push({ record, score, increment });
    }
    const unseenStarts = this.#peerLoads.getStartRate(options.now) *
      (options.reportLagMs ?? 0) / 1000 / Math.max(1, zones.size);
    return spreads.chooseSpread(scoredEngines, unseenStarts, options.random)?.record;
  }

  /**
   * Lists the loads of this process by engine. `getMoveValue` returns the value of the
   * generation that this process wants to move away from the engine next, 0 if there is none.
   */
  listOwnLoads(
    getMoveValue: (instance: core.InstanceId) => number,
  ): peers.EngineLoad[] {
    const loads: peers.EngineLoad[] = [];
    for (const [instance, engine] of this.#engines) {
      const moveValue = getMoveValue(instance);
      if (engine.runs.size === 0 && moveValue === 0) continue;
      loads.push({ instance, ...computeRunSums(engine.runs.values()), moveValue });
    }
    return loads;
  }

  recordStart(instance: core.InstanceId, request: core.RequestId, size: GenerationSize): void {
    const engine = this.#getEngine(instance);
    engine.hasLeft = false;
    engine.runs.set(request, { size, generatedTokens: 0, hasStarted: false });
  }

  /** Records the output of a run so far; `tokenMs` is the time per token, if known. */
  recordProgress(
    instance: core.InstanceId,
    request: core.RequestId,
    progress: { readonly generatedTokens: number; readonly tokenMs: number | undefined },
  ): void {
    const engine = this.#getEngine(instance);
    const run = engine.runs.get(request);
    if (run === undefined) return;
    run.generatedTokens = progress.generatedTokens;
    run.hasStarted = true;
    engine.failedConnections = 0;
    if (progress.tokenMs === undefined) return;
    engine.hasGenerated = true;
    engine.tokenMs += SPEED_SMOOTHING_WEIGHT * (progress.tokenMs - engine.tokenMs);
  }

  recordEnd(instance: core.InstanceId, request: core.RequestId): void {
    const engine = this.#engines.get(instance);
    engine?.runs.delete(request);
    if (engine !== undefined && engine.hasLeft) this.dropInstance(instance);
  }

  /** Returns the time per output token of a run at `instance`. */
  getTokenMs(instance: core.InstanceId): number {
    return this.#engines.get(instance)?.tokenMs ?? INITIAL_TOKEN_MS;
  }

  /** Returns the time per output token of the fastest engine observed; 0 if there is none. */
  getFastestTokenMs(): number {
    let fastestTokenMs = Infinity;
    for (const engine of this.#engines.values()) {
      if (engine.hasGenerated && !engine.hasLeft) {
        fastestTokenMs = Math.min(fastestTokenMs, engine.tokenMs);
      }
    }
    return Number.isFinite(fastestTokenMs) ? fastestTokenMs : 0;
  }

  /** Records that an engine refused a generation. */
  recordRefusal(instance: core.InstanceId, now: number): void {
    const engine = this.#getEngine(instance);
    engine.failedConnections = 0;
    engine.avoidUntil = now + REFUSAL_AVOID_MS;
  }

  /**
   * Records that an engine accepts no connections, as after a crash. Its entry remains until it
   * expires, and without load it would look like the best engine.
   */
  recordUnreachable(instance: core.InstanceId, now: number): void {
    const engine = this.#getEngine(instance);
    const avoidMs = MIN_UNREACHABLE_AVOID_MS * 2 ** engine.failedConnections;
    engine.failedConnections += 1;
    engine.avoidUntil = now + Math.min(avoidMs, MAX_UNREACHABLE_AVOID_MS);
  }

  /** Records that an engine has crashed; it takes some seconds to start again. */
  recordCrash(instance: core.InstanceId, now: number): void {
    this.#getEngine(instance).avoidUntil = now + MAX_UNREACHABLE_AVOID_MS;
  }

  /** Records that an instance gets no new work, and removes it once its runs have ended. */
  dropInstance(instance: core.InstanceId): void {
    const engine = this.#engines.get(instance);
    if (engine === undefined) return;
    engine.hasLeft = true;
    if (engine.runs.size === 0) this.#engines.delete(instance);
  }

  #getLoad(instance: core.InstanceId): peers.LoadSum {
    const ownLoad = computeRunSums(this.#getEngine(instance).runs.values());
    const peerLoad = this.#peerLoads.getTotalLoad(instance);
    return {
      runs: ownLoad.runs + peerLoad.runs,
      reservedTokens: ownLoad.reservedTokens + peerLoad.reservedTokens,
      unreadPromptTokens: ownLoad.unreadPromptTokens + peerLoad.unreadPromptTokens,
    };
  }

  #getEngine(instance: core.InstanceId): TrackedEngine {
    let engine = this.#engines.get(instance);
    if (engine === undefined) {
      engine = {
        runs: new Map(),
        avoidUntil: -Infinity,
        failedConnections: 0,
        hasLeft: false,
        hasGenerated: false,
        tokenMs: INITIAL_TOKEN_MS,
      };
      this.#engines.set(instance, engine);
    }
    return engine;
  }
}

function chooseMemoryShare(
  options: { readonly rank: number; readonly isMove?: boolean },
): number {
  if (options.isMove === true) return MOVE_MEMORY_SHARE;
  if (options.rank === MOST_URGENT_RANK) return PLANNED_MEMORY_SHARE;
  return PLANNED_MEMORY_SHARE - URGENT_RESERVE_SHARE;
}

function hasRoom(
  load: peers.LoadSum,
  profile: core.EngineProfile,
  wanted: { readonly size: GenerationSize; readonly memoryShare: number },
): boolean {
  if (load.runs >= profile.slots) return false;
  const neededTokens = load.reservedTokens + predictTotalTokens(wanted.size, 0);
  return neededTokens <= profile.memoryTokens * wanted.memoryShare;
}

function computeRunSums(runs: Iterable<Run>): peers.LoadSum {
  let count = 0;
  let reservedTokens = 0;
  let unreadPromptTokens = 0;
  for (const run of runs) {
    count += 1;
    reservedTokens += predictTotalTokens(run.size, run.generatedTokens);
    if (!run.hasStarted) unreadPromptTokens += run.size.promptTokens;
  }
  return { runs: count, reservedTokens, unreadPromptTokens };
}
