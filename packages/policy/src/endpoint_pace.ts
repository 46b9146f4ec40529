/**
 * Slow start of an endpoint that has just started or recovered. Answers many processes that each
 * try such an endpoint at once, endpoints that fail again or crash under their full share, and a
 * zone that returns all at once. The first requests are single trials, for which the processes take
 * turns; after the first sound answer the rate grows until the mode ends.
 */

import type * as core from "@peridotvale/core";
import type * as placements from "./call_placement.ts";
import type * as rates from "./endpoint_limits.ts";
import type * as fleets from "./fleet_estimate.ts";

/** State of an endpoint in slow start, as a process reports it to the others. */
export interface PaceReport {
  readonly instance: core.InstanceId;
  /** Number of events that led to this state; the higher one counts, whatever its time. */
  readonly version: number;
  /** Time since the last event. */
  readonly ageMs: number;
  /** Time since the start of the endpoint, or since it first failed. */
  readonly originAgeMs: number;
  /** Time since the rate began to grow; undefined while no answer was sound. */
  readonly rampAgeMs: number | undefined;
  /** Trials and failed requests since the last sound answer. */
  readonly failures: number;
  /** Time for which nothing more is sent. */
  readonly blockedMs: number;
}

/** Change of an endpoint's slow start that is logged. */
export type PaceChange = "trial" | "ramp" | "full";

interface PaceState {
  /** Time of the start, or of the first known failure, from which turns are counted. */
  originAt: number;
  /** Time from which reports and requests are about this start, or this series of failures. */
  readonly validFrom: number;
  readonly enteredAt: number;
  /** Whether other processes are in the same state, so that all take turns. */
  isShared: boolean;
  /** Time at which the rate began to grow, later if it was set back; undefined during trials. */
  rampFrom: number | undefined;
  failures: number;
  blockedUntil: number;
  /** Number of events that led to this state, here or at peers, and the time of the last one. */
  version: number;
  eventAt: number;
  /** Time at which the last one became known here. */
  learnedAt: number;
  /** Mean time to an answer, smoothed over many answers and over the last few. */
  meanMs: number;
  recentMs: number;
  slowedAt: number;
}

/**
 * Length of a process's turn for a trial; it sends in the first half, so that the others hear of
 * its trial before the next turn. News takes up to 0.4 s through hubs.
 */
const TURN_MS = 800;
/**
 * Factor by which more processes have a turn after one in which none had a request. Each may have
 * requests so rarely that single turns would mostly be unused.
 */
const TURN_GROWTH = 1.6;
/** The same factor after a failure: two processes of one turn may both fail. */
const CAREFUL_TURN_GROWTH = 1.3;
/** Times for which all wait for the result of the first, the second and each further trial. */
const TRIAL_TIMEOUTS_MS = [2_000, 5_000, 8_000];
/** Pauses after the first, the second and each further failure; the last is the floor. */
const BACKOFFS_MS = [2_000, 5_000, 8_000];
/** Rate, over all processes, after the first sound answer, and the time in which it doubles. */
const RAMP_START_PER_S = 6;
const RAMP_DOUBLING_MS = 400;
/** Length of the ramp; the rate is then 32 times that at its start. */
const RAMP_MS = 2_400;
/** Time by which a failure, or an answer that is slow, sets the ramp back. */
const FAILURE_SETBACK_MS = 1_600;
const SLOW_SETBACK_MS = 400;
const SLOW_FACTOR = 2;
const SLOW_MARGIN_MS = 100;
const MEAN_WEIGHT = 0.05;
const RECENT_WEIGHT = 0.3;
/** Time after which the mode ends even if the ramp has not, and the reports of it are dropped. */
const MAX_MODE_MS = 60_000;
/**
 * Failures in a row, without slow start, from which an endpoint counts as failing. An error in an
 * answer may be due to the request; no answer counts twice.
 */
const FAILING_COUNT = 6;
const UNREACHABLE_WEIGHT = 2;
/** Time within which the processes find that an endpoint fails. */
const FAILURE_SPREAD_MS = 10_000;

/** Endpoints in slow start. */
export class EndpointPace {
  readonly #states = new Map<core.InstanceId, PaceState>();
  /** Failures in a row of endpoints that are not in slow start. */
  readonly #failures = new Map<core.InstanceId, number>();
  /** Last sound reports of endpoints whose start is not known here yet. */
  readonly #earlyReports = new Map<core.InstanceId, { report: PaceReport; at: number }>();

  /** Number of endpoints in slow start. */
  get size(): number {
    return this.#states.size;
  }

  /** Begins the slow start of an endpoint that started or recovered at `originAt`. */
  startPace(instance: core.InstanceId, originAt: number, now: number): void {
    this.#states.set(instance, createState(now, originAt));
    const early = this.#earlyReports.get(instance);
    if (early === undefined) return;
    const ageMs = now - early.at;
    this.#earlyReports.delete(instance);
    const { report } = early;
    const rampAgeMs = report.rampAgeMs === undefined ? undefined : report.rampAgeMs + ageMs;
    const originAgeMs = report.originAgeMs + ageMs;
    this.applyNews([{ ...report, ageMs: report.ageMs + ageMs, originAgeMs, rampAgeMs }], now);
  }

  /** Whether `instance` is in slow start. */
  isPaced(instance: core.InstanceId): boolean {
    return this.#states.has(instance);
  }

  /** Returns the time for which nothing is sent to `instance`, because a trial is under way. */
  getBlockedMs(instance: core.InstanceId, now: number): number {
    const state = this.#states.get(instance);
    return state === undefined ? 0 : Math.max(0, state.blockedUntil - now);
  }

  /**
   * Returns the time after which the permits for `instance` have probably changed, by the trials of
   * others; undefined if it is not in slow start.
   */
  getReviewMs(instance: core.InstanceId, now: number): number | undefined {
    const state = this.#states.get(instance);
    if (state === undefined) return undefined;
    if (state.rampFrom !== undefined) return Math.max(1, state.rampFrom + RAMP_MS - now);
    return Math.max(TRIAL_TIMEOUTS_MS[0]!, state.blockedUntil - now);
  }

  /** Returns the permit of one process of `pool`; undefined if the pace permits everything. */
  getPermit(
    instance: core.InstanceId,
    pool: fleets.SendPool,
    now: number,
  ): rates.SendPermit | undefined {
    const state = this.#states.get(instance);
    if (state === undefined || hasEnded(state, now)) return undefined;
    const { originAt, rampFrom } = state;
    const { place } = pool;
    const poolSize = pool.size / pool.share;
    if (rampFrom === undefined && !state.isShared) {
      const alone = { size: 1, rank: 0 };
      return { intervalMs: TURN_MS, validityMs: TURN_MS, place: alone, originAt, isExact: true };
    }
    if (rampFrom === undefined) {
      const growth = state.failures === 0 ? TURN_GROWTH : CAREFUL_TURN_GROWTH;
      const from = Math.max(originAt, state.blockedUntil);
      const idleTurns = Math.max(0, Math.floor((now - from) / TURN_MS));
      const intervalMs = TURN_MS * Math.max(1, poolSize / growth ** idleTurns);
      const validityMs = poolSize < 2 ? intervalMs : TURN_MS / 2;
      return { intervalMs, validityMs, place, originAt, isExact: true };
    }
    const ratePerS = RAMP_START_PER_S * 2 ** Math.floor((now - rampFrom) / RAMP_DOUBLING_MS);
    const intervalMs = 1_000 * poolSize / ratePerS;
    return { intervalMs, validityMs: RAMP_DOUBLING_MS, place, originAt, isExact: true };
  }

  recordSend(instance: core.InstanceId, now: number): void {
    const state = this.#states.get(instance);
    if (state === undefined || state.rampFrom !== undefined) return;
    state.failures += 1;
    state.blockedUntil = Math.max(state.blockedUntil, now + getPause(TRIAL_TIMEOUTS_MS, state));
    recordEvent(state, now);
  }

  /** Records how a request that was sent at `startedAt` ended, or its first event. */
  recordEnd(
    instance: core.InstanceId,
    report: placements.AttemptReport,
    timing: { readonly startedAt: number; readonly now: number },
  ): PaceChange | undefined {
    const { startedAt, now } = timing;
    const state = this.#states.get(instance);
    if (state === undefined) return this.#recordUnpaced(instance, report, now);
    if (startedAt < state.validFrom || hasEnded(state, now)) return undefined;
    if (report === "answered") return this.#recordSound(state, now - startedAt, now);
    if (report !== "refused") return this.#recordFailure(state, now);
    if (state.rampFrom === undefined) {
      state.blockedUntil = now + BACKOFFS_MS[0]!;
      recordEvent(state, now);
      return undefined;
    }
    state.rampFrom = Math.min(now, state.rampFrom + SLOW_SETBACK_MS);
    return undefined;
  }

  /**
   * Applies what a peer reports; only the latest event of an endpoint counts. Returns the endpoints
   * whose phase has changed.
   */
  applyNews(
    reports: readonly PaceReport[],
    now: number,
  ): { readonly instance: core.InstanceId; readonly phase: PaceChange }[] {
    const changes: { readonly instance: core.InstanceId; readonly phase: PaceChange }[] = [];
    for (const report of reports) {
      const { version, rampAgeMs, failures, blockedMs } = report;
      const state = this.#states.get(report.instance);
      if (state === undefined) {
        if (rampAgeMs !== undefined) this.#earlyReports.set(report.instance, { report, at: now });
        continue;
      }
      if (now - report.ageMs < state.validFrom) continue;
      state.isShared = true;
      const originAt = now - report.originAgeMs;
      if (originAt >= state.validFrom) state.originAt = Math.min(state.originAt, originAt);
      // Of two concurrent events, a sound answer counts.
      const isLater = version > state.version ||
        (version === state.version && rampAgeMs !== undefined && state.rampFrom === undefined);
      if (!isLater) continue;
      state.version = version;
      state.eventAt = now - report.ageMs;
      state.learnedAt = now;
      const wasTrial = state.rampFrom === undefined;
      const isTrial = rampAgeMs === undefined;
      if (isTrial !== wasTrial) {
        changes.push({ instance: report.instance, phase: isTrial ? "trial" : "ramp" });
      }
      state.failures = isTrial && wasTrial ? Math.max(state.failures, failures) : failures;
      state.rampFrom = rampAgeMs === undefined ? undefined : now - rampAgeMs;
      state.blockedUntil = now + blockedMs;
    }
    return changes;
  }

  /** Lists what became known here after `since`, for reports to peers. */
  listNews(since: number, now: number): PaceReport[] {
    const reports: PaceReport[] = [];
    for (const [instance, state] of this.#states) {
      if (state.learnedAt <= since) continue;
      reports.push({
        instance,
        version: state.version,
        ageMs: now - state.eventAt,
        originAgeMs: now - state.originAt,
        rampAgeMs: state.rampFrom === undefined ? undefined : now - state.rampFrom,
        failures: state.failures,
        blockedMs: Math.max(0, state.blockedUntil - now),
      });
    }
    return reports;
  }

  dropInstance(instance: core.InstanceId): void {
    this.#states.delete(instance);
    this.#failures.delete(instance);
  }

  /** Drops what has ended. Returns the instances whose slow start is over. */
  expireStates(now: number): core.InstanceId[] {
    const ended: core.InstanceId[] = [];
    for (const [instance, state] of this.#states) {
      // Others may still need the news of a ramp that has just ended.
      if (!hasEnded(state, now) || now - state.learnedAt < RAMP_MS) continue;
      this.#states.delete(instance);
      ended.push(instance);
    }
    for (const [instance, { at }] of this.#earlyReports) {
      if (now - at > MAX_MODE_MS) this.#earlyReports.delete(instance);
    }
    return ended;
  }

  #recordUnpaced(
    instance: core.InstanceId,
    report: placements.AttemptReport,
    now: number,
  ): PaceChange | undefined {
    if (report === "answered") this.#failures.delete(instance);
    if (report === "answered" || report === "refused") return undefined;
    const weight = report === "failed" ? 1 : UNREACHABLE_WEIGHT;
    const failures = (this.#failures.get(instance) ?? 0) + weight;
    this.#failures.set(instance, failures);
    if (failures < FAILING_COUNT) return undefined;
    this.#failures.delete(instance);
    const state = createState(now, now - FAILURE_SPREAD_MS);
    state.originAt = now;
    // Only this process may be cut off from the endpoint; then it has all turns.
    state.isShared = false;
    state.failures = 1;
    recordEvent(state, now);
    state.blockedUntil = now + BACKOFFS_MS[0]!;
    this.#states.set(instance, state);
    return "trial";
  }

  #recordSound(state: PaceState, durationMs: number, now: number): PaceChange | undefined {
    const isFirst = state.rampFrom === undefined;
    state.meanMs += MEAN_WEIGHT * (durationMs - state.meanMs);
    state.recentMs += RECENT_WEIGHT * (durationMs - state.recentMs);
    const isSlow = state.recentMs > SLOW_FACTOR * state.meanMs + SLOW_MARGIN_MS;
    state.failures = 0;
    if (isFirst) {
      state.meanMs = durationMs;
      state.recentMs = durationMs;
      state.rampFrom = now;
      state.blockedUntil = -Infinity;
      recordEvent(state, now);
      return "ramp";
    }
    if (!isSlow || now - state.slowedAt < 2 * SLOW_SETBACK_MS) return undefined;
    state.slowedAt = now;
    // Peers are not told: some requests take longer than others, and each process sees for itself.
    state.rampFrom = Math.min(now, state.rampFrom! + SLOW_SETBACK_MS);
    return undefined;
  }

  #recordFailure(state: PaceState, now: number): PaceChange | undefined {
    recordEvent(state, now);
    const isRamp = state.rampFrom !== undefined;
    // The send of a trial has counted already.
    if (isRamp) state.failures += 1;
    if (isRamp && state.failures === 1) {
      state.rampFrom = Math.min(now, state.rampFrom! + FAILURE_SETBACK_MS);
      return undefined;
    }
    state.rampFrom = undefined;
    state.blockedUntil = now + getPause(BACKOFFS_MS, state);
    return isRamp ? "trial" : undefined;
  }
}

function createState(now: number, originAt: number): PaceState {
  return {
    originAt,
    validFrom: originAt,
    enteredAt: now,
    isShared: true,
    rampFrom: undefined,
    failures: 0,
    blockedUntil: -Infinity,
    version: 0,
    eventAt: originAt,
    learnedAt: -Infinity,
    meanMs: 0,
    recentMs: 0,
    slowedAt: -Infinity,
  };
}

/** Returns the pause of `pauses` after the present number of failures. */
function getPause(pauses: readonly number[], state: PaceState): number {
  return pauses[Math.max(0, Math.min(state.failures, pauses.length) - 1)]!;
}

function recordEvent(state: PaceState, now: number): void {
  state.version += 1;
  state.eventAt = now;
  state.learnedAt = now;
}

function hasEnded(state: PaceState, now: number): boolean {
  if (state.rampFrom === undefined) return false;
  return now - state.rampFrom >= RAMP_MS || now - state.enteredAt >= MAX_MODE_MS;
}
