/**
 * Chooses the model engine of a generation by the memory that its runs will
 * need and by the prompts that it still has to read. Answers floods of long
 * generations, engines that differ in speed, and reclaims at short notice.
 */

import type * as core from "@peridotvale/core";
import type * as boards from "./load_board.ts";

/** A generation, as far as placement needs it. */
export interface GenerationSize {
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** The caller's estimate. */
  readonly expectedOutputTokens: number | undefined;
}

/** An engine that may be chosen. */
export interface EngineCandidate {
  readonly record: core.EndpointRecord;
  readonly profile: core.EngineProfile;
}

interface Run {
  readonly size: GenerationSize;
  generatedTokens: number;
  hasStarted: boolean;
}

interface Engine {
  readonly runs: Map<core.RequestId, Run>;
  avoidUntil: number;
  /** Whether it gets no new work; it is forgotten once its runs have ended. */
  hasLeft: boolean;
  hasGenerated: boolean;
  /** Smoothed time of one token of a run. */
  tokenMs: number;
}

/** Share of an engine's memory that is planned with; lengths are estimates. */
const PLANNED_SHARE = 1;
/**
 * Share that a move may plan with: predicted ends do not fall together, and a
 * generation that is not moved is lost. The engine itself refuses what has no room.
 */
const MOVE_SHARE = 1.3;
/** Share that is kept free for the most urgent rank. */
const URGENT_SHARE = 0.08;
const MOST_URGENT_RANK = 0;
/** Further output that is expected of a run beyond its estimate, by its output so far. */
const OVERRUN_SHARE = 0.25;
/** Time that an engine which refused or could not be reached is left alone. */
const AVOID_MS = 400;
/** Prompt tokens that an engine reads in a millisecond, where it is not known: the slowest seen. */
const PROMPT_TOKENS_PER_MS = 14;
/** Weight of a new observation of an engine's speed. */
const SMOOTHING = 0.1;
/** Time of a token assumed of an engine that has not been seen. */
const INITIAL_TOKEN_MS = 9;
/** Waiting for prompts to be read costs as much as this share of memory per second. */
const PREFILL_WEIGHT = 0.6;
/** An engine of another zone is chosen if it is emptier by this share. */
const REMOTE_PENALTY = 0.3;
const REMOTE_MOVE_PENALTY = 0.6;

/** Predicts the tokens that a generation holds at its end. */
export function predictTotalTokens(size: GenerationSize, generatedTokens: number): number {
  const expected = size.expectedOutputTokens ?? size.maxOutputTokens / 2;
  const output = Math.max(expected, generatedTokens * (1 + OVERRUN_SHARE));
  return size.promptTokens + Math.min(size.maxOutputTokens, output);
}

/** Loads of engines as this process knows them. */
export class EnginePlacement {
  readonly #engines = new Map<core.InstanceId, Engine>();
  readonly #board: boards.LoadBoard;

  /** `board` holds what other processes run. */
  constructor(board: boards.LoadBoard) {
    this.#board = board;
  }

  /**
   * Chooses the engine for a generation, undefined where none has room. `avoid`
   * holds engines that are left out.
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
      /** Whether memory moves there; it takes twice as long into another zone. */
      readonly isMove?: boolean;
    },
  ): core.EndpointRecord | undefined {
    let best: core.EndpointRecord | undefined;
    let bestScore = Infinity;
    for (const candidate of candidates) {
      const { record, profile } = candidate;
      const engine = this.#getEngine(record.instance);
      if (options.avoid.has(record.instance) || options.now < engine.avoidUntil) continue;
      const load = this.#getLoad(record.instance);
      const share = choosePlannedShare(options);
      if (!hasRoom(load, profile, { size, share })) continue;
      let score = load.reservedTokens / profile.memoryTokens;
      const unreadTokens = load.unreadPromptTokens + size.promptTokens;
      score += PREFILL_WEIGHT * unreadTokens / PROMPT_TOKENS_PER_MS / 1000;
      score *= engine.tokenMs / INITIAL_TOKEN_MS;
      if (record.zone !== options.zone) {
        score += options.isMove ? REMOTE_MOVE_PENALTY : REMOTE_PENALTY;
      }
      score += 0.01 * options.random.next();
      if (score >= bestScore) continue;
      best = record;
      bestScore = score;
    }
    return best;
  }

  /** What this process itself runs, by engine; `getMoveValue` gives what it moves away next. */
  listOwnLoads(
    getMoveValue: (instance: core.InstanceId) => number,
  ): boards.EngineLoad[] {
    const loads: boards.EngineLoad[] = [];
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

  /** Records tokens of a run; `tokenMs` is the time that each took, if known. */
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
    if (progress.tokenMs === undefined) return;
    engine.hasGenerated = true;
    engine.tokenMs += SMOOTHING * (progress.tokenMs - engine.tokenMs);
  }

  recordEnd(instance: core.InstanceId, request: core.RequestId): void {
    const engine = this.#engines.get(instance);
    engine?.runs.delete(request);
    if (engine !== undefined && engine.hasLeft) this.dropInstance(instance);
  }

  /** Time of one token of a run at `instance`. */
  getTokenMs(instance: core.InstanceId): number {
    return this.#engines.get(instance)?.tokenMs ?? INITIAL_TOKEN_MS;
  }

  /** Time of one token at the quickest engine that has been seen to generate; 0 if none has. */
  getFastestTokenMs(): number {
    let fastest = Infinity;
    for (const engine of this.#engines.values()) {
      if (engine.hasGenerated && !engine.hasLeft) fastest = Math.min(fastest, engine.tokenMs);
    }
    return Number.isFinite(fastest) ? fastest : 0;
  }

  /** Records that an engine refused a generation or could not be reached. */
  recordRefusal(instance: core.InstanceId, now: number): void {
    this.#getEngine(instance).avoidUntil = now + AVOID_MS;
  }

  /** Forgets an instance that gets no new work, as soon as its runs have ended. */
  dropInstance(instance: core.InstanceId): void {
    const engine = this.#engines.get(instance);
    if (engine === undefined) return;
    engine.hasLeft = true;
    if (engine.runs.size === 0) this.#engines.delete(instance);
  }

  #getLoad(instance: core.InstanceId): boards.LoadSum {
    const own = computeRunSums(this.#getEngine(instance).runs.values());
    const others = this.#board.getSum(instance);
    return {
      runs: own.runs + others.runs,
      reservedTokens: own.reservedTokens + others.reservedTokens,
      unreadPromptTokens: own.unreadPromptTokens + others.unreadPromptTokens,
    };
  }

  #getEngine(instance: core.InstanceId): Engine {
    let engine = this.#engines.get(instance);
    if (engine === undefined) {
      engine = {
        runs: new Map(),
        avoidUntil: -Infinity,
        hasLeft: false,
        hasGenerated: false,
        tokenMs: INITIAL_TOKEN_MS,
      };
      this.#engines.set(instance, engine);
    }
    return engine;
  }
}

function choosePlannedShare(
  options: { readonly rank: number; readonly isMove?: boolean },
): number {
  if (options.isMove === true) return MOVE_SHARE;
  if (options.rank === MOST_URGENT_RANK) return PLANNED_SHARE;
  return PLANNED_SHARE - URGENT_SHARE;
}

function hasRoom(
  load: boards.LoadSum,
  profile: core.EngineProfile,
  wanted: { readonly size: GenerationSize; readonly share: number },
): boolean {
  if (load.runs >= profile.slots) return false;
  const needed = load.reservedTokens + predictTotalTokens(wanted.size, 0);
  return needed <= profile.memoryTokens * wanted.share;
}

function computeRunSums(runs: Iterable<Run>): boards.LoadSum {
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
