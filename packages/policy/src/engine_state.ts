/** The scheduler's state of one engine: its streams, speed, memory and cached prefixes. */

import type * as core from "@peridotvale/core";
import type * as lengths from "./length_predictor.ts";
import * as forecasts from "./memory_forecast.ts";
import * as caches from "./prefix_cache_estimate.ts";
import * as reports from "./report_policy.ts";
import * as speeds from "./speed_model.ts";
import type * as types from "./scheduler_types.ts";

/** A stream that holds a slot and memory of an engine. */
export interface ActiveStream {
  readonly capacity: types.CapacityRequest;
  readonly rankOrder: number;
  readonly grantedAt: number;
  emittedTokens: number;
  lastReportAt: number;
  /** Tokens that are charged already but not yet reported as generated. */
  prepaidTokens: number;
  /** Whether the stream has the most urgent rank and its workspace was low-demand at the grant. */
  readonly isLowDemand: boolean;
}

/** Age from which a forecast is recomputed. */
const FORECAST_MAX_AGE_MS = 200;
/** Share of memory that each reported preemption adds to the reserve. */
const RESERVE_STEP_SHARE = 0.02;
/** Share of memory that is always kept free, for tokens that are not yet reported. */
const MIN_RESERVE_SHARE = 0.03;
const MAX_RESERVE_SHARE = 0.4;
/** Half-life of the reserve learned from preemptions. */
const RESERVE_HALF_LIFE_MS = 60_000;
/**
 * Time for which the memory use of the granted streams is remembered. Load reports lag, so
 * they are compared with the maximum over this window.
 */
const OWN_MEMORY_WINDOW_MS = 6_000;
/** Shortest interval between reports from which the speed is learned. */
const MIN_SAMPLE_INTERVAL_MS = 1;

interface MemorySample {
  readonly recordedAt: number;
  readonly tokens: number;
}

export class EngineState {
  readonly streams = new Map<core.RequestId, ActiveStream>();
  readonly cachedPrefixes = new caches.PrefixCacheEstimate();
  readonly speed = new speeds.SpeedModel();
  info: types.EngineInfo;
  lowDemandStreamCount = 0;
  #notTakenAt = -Infinity;
  #forecast = new forecasts.MemoryForecast();
  #forecastUpdatedAt = -Infinity;
  #reserveShare = 0;
  #reserveUpdatedAt = 0;
  #reportedPreemptions: number | undefined;
  /** Memory in use beyond that of the streams granted by this scheduler. */
  #untrackedTokens = 0;
  #ownMemorySamples: MemorySample[] = [];

  constructor(info: types.EngineInfo) {
    this.info = info;
  }

  /**
   * Replaces the engine's state. A status that was read before the engine last failed to take a
   * request does not show whether it takes requests again.
   */
  updateInfo(info: types.EngineInfo): void {
    const isOutdated = info.statusReadAt <= this.#notTakenAt;
    this.info = isOutdated ? { ...info, accepting: false } : info;
  }

  /**
   * Records that the engine did not take a request. It gets no further grants until a status that
   * is read later shows that it accepts requests.
   */
  recordNotTaken(now: number): void {
    this.#notTakenAt = now;
    this.info = { ...this.info, accepting: false };
  }

  /** Adds a stream and includes it in the forecast at once. */
  addStream(stream: ActiveStream, survival: lengths.SurvivalCurve): void {
    this.streams.set(stream.capacity.request, stream);
    if (stream.isLowDemand) this.lowDemandStreamCount += 1;
    this.#forecast.addStream(createStreamShape(stream, survival));
  }

  removeStream(stream: ActiveStream, survival: lengths.SurvivalCurve): void {
    if (!this.streams.delete(stream.capacity.request)) return;
    if (stream.isLowDemand) this.lowDemandStreamCount -= 1;
    this.#forecast.removeStream(createStreamShape(stream, survival));
  }

  /** Recomputes the memory forecast if it is outdated. */
  updateForecast(predictor: lengths.LengthModel, now: number): void {
    if (now - this.#forecastUpdatedAt < FORECAST_MAX_AGE_MS) return;
    this.#forecastUpdatedAt = now;
    this.#forecast = new forecasts.MemoryForecast();
    const tokenMs = this.speed.predictTokenMs(this.streams.size);
    for (const stream of this.streams.values()) {
      const survival = predictor.getSurvivalCurve(stream.capacity);
      const unreportedTokens = estimateUnreportedTokens(stream, tokenMs, now);
      this.#forecast.addStream(createStreamShape(stream, survival, unreportedTokens));
    }
    this.#recordOwnMemory(now);
  }

  /** Whether the forecast memory use and its margin stay within the limit if `stream` is added. */
  hasMemoryFor(stream: forecasts.StreamShape, now: number): boolean {
    const maxHorizonTokens = forecasts.NO_HORIZON_LIMIT;
    return this.#forecast.isWithinLimit(this.#computeMemoryLimit(now), stream, {
      maxHorizonTokens,
    });
  }

  /**
   * Whether memory is predicted to fill up before each stream generates `maxHorizonTokens`
   * more tokens.
   */
  isMemoryFilling(maxHorizonTokens: number, now: number): boolean {
    return !this.#forecast.isWithinLimit(this.#computeMemoryLimit(now), undefined, {
      maxHorizonTokens,
    });
  }

  /** Whether a stream of `tokens` tokens fits into the memory of the otherwise idle engine. */
  canFitAlone(tokens: number): boolean {
    return tokens <= this.info.memoryLimitTokens;
  }

  /**
   * Updates the memory reserve from the reported preemptions, and the memory used by other
   * streams from the reported memory use.
   */
  recordLoad(report: types.LoadReport, now: number): void {
    const previousPreemptions = this.#reportedPreemptions;
    this.#reportedPreemptions = report.preemptions;
    if (previousPreemptions !== undefined && report.preemptions > previousPreemptions) {
      const increaseShare = RESERVE_STEP_SHARE *
        Math.min(3, report.preemptions - previousPreemptions);
      this.#reserveShare = Math.min(
        MAX_RESERVE_SHARE,
        this.#computeReserveShare(now) + increaseShare,
      );
      this.#reserveUpdatedAt = now;
    }
    let ownTokens = 0;
    for (const sample of this.#ownMemorySamples) ownTokens = Math.max(ownTokens, sample.tokens);
    this.#untrackedTokens = Math.max(0, report.memoryUsedTokens - ownTokens);
  }

  /** Records newly reported tokens of a stream and updates the engine's speed model. */
  recordTokens(stream: ActiveStream, tokens: number, now: number): void {
    const elapsedMs = now - stream.lastReportAt;
    if (stream.emittedTokens > 0 && elapsedMs >= MIN_SAMPLE_INTERVAL_MS) {
      this.speed.recordSample(this.streams.size, elapsedMs / tokens);
    }
    stream.emittedTokens += tokens;
    stream.lastReportAt = now;
  }

  #computeMemoryLimit(now: number): number {
    const share = 1 - Math.max(MIN_RESERVE_SHARE, this.#computeReserveShare(now));
    return this.info.memoryLimitTokens * share - this.#untrackedTokens;
  }

  #computeReserveShare(now: number): number {
    if (this.#reserveShare === 0) return 0;
    return this.#reserveShare *
      0.5 ** ((now - this.#reserveUpdatedAt) / RESERVE_HALF_LIFE_MS);
  }

  #recordOwnMemory(now: number): void {
    const oldestAt = now - OWN_MEMORY_WINDOW_MS;
    const recentSamples = this.#ownMemorySamples.filter((sample) => sample.recordedAt > oldestAt);
    recentSamples.push({ recordedAt: now, tokens: this.#forecast.getCurrentTokens() });
    this.#ownMemorySamples = recentSamples;
  }
}

function createStreamShape(
  stream: ActiveStream,
  survival: lengths.SurvivalCurve,
  unreportedTokens = 0,
): forecasts.StreamShape {
  return {
    promptTokens: stream.capacity.promptTokens,
    emittedTokens: stream.emittedTokens + unreportedTokens,
    maxTokens: stream.capacity.maxTokens,
    survival,
  };
}

/** Estimates how many tokens a stream has generated since its last report. */
function estimateUnreportedTokens(stream: ActiveStream, tokenMs: number, now: number): number {
  if (stream.emittedTokens === 0) return 0;
  const expectedTokens = (now - stream.lastReportAt) / tokenMs;
  return Math.min(expectedTokens, reports.getReportIntervalTokens(stream.emittedTokens));
}
