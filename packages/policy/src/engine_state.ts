/** What the scheduler knows of one engine: its streams, speed, memory and cached prefixes. */

import type * as core from "@peridotvale/core";
import type * as lengths from "./length_predictor.ts";
import * as forecasts from "./memory_forecast.ts";
import * as prefixes from "./prefix_belief.ts";
import * as reports from "./report_policy.ts";
import * as speeds from "./speed_model.ts";
import type * as types from "./scheduler_types.ts";

/** A stream that holds capacity of an engine. */
export interface ActiveStream {
  readonly capacity: types.CapacityRequest;
  readonly rankOrder: number;
  readonly grantedAt: number;
  emittedTokens: number;
  lastReportAt: number;
  /** Tokens charged ahead of being generated. */
  prepaidTokens: number;
  /** Whether it is urgent work of a workspace that asks for little. */
  readonly isLight: boolean;
}

/** Age beyond which a forecast is computed anew. */
const FORECAST_MAX_AGE_MS = 200;
/** Share of memory that each preemption adds to the reserve. */
const RESERVE_STEP = 0.02;
/** Share of memory always kept free, for tokens that were not reported yet. */
const MIN_RESERVE = 0.03;
const MAX_RESERVE = 0.4;
/** Time in which a learned reserve halves. */
const RESERVE_HALF_LIFE_MS = 60_000;
/** Time over which own memory is remembered, to compare with lagging reports. */
const OWN_MEMORY_WINDOW_MS = 6_000;
/** Shortest interval that counts as a sample of speed. */
const MIN_SAMPLE_MS = 1;

interface MemorySample {
  readonly at: number;
  readonly tokens: number;
}

/** One engine. */
export class EngineState {
  readonly streams = new Map<core.RequestId, ActiveStream>();
  readonly prefixes = new prefixes.PrefixBelief();
  readonly speed = new speeds.SpeedModel();
  info: types.EngineInfo;
  /** Streams of workspaces that ask for little. */
  lightCount = 0;
  #forecast = new forecasts.MemoryForecast();
  #forecastAt = -Infinity;
  #reserve = 0;
  #reserveAt = 0;
  #preemptions: number | undefined;
  #foreignTokens = 0;
  #ownMemory: MemorySample[] = [];

  constructor(info: types.EngineInfo) {
    this.info = info;
  }

  /** Adds a stream and counts it in the forecast at once. */
  addStream(stream: ActiveStream, survival: lengths.Survival): void {
    this.streams.set(stream.capacity.request, stream);
    if (stream.isLight) this.lightCount += 1;
    this.#forecast.addStream(createShape(stream, survival));
  }

  /** Takes a stream out. */
  removeStream(stream: ActiveStream, survival: lengths.Survival): void {
    if (!this.streams.delete(stream.capacity.request)) return;
    if (stream.isLight) this.lightCount -= 1;
    this.#forecast.removeStream(createShape(stream, survival));
  }

  /** Computes the forecast anew if it is old. */
  updateForecast(predictor: lengths.LengthModel, now: number): void {
    if (now - this.#forecastAt < FORECAST_MAX_AGE_MS) return;
    this.#forecastAt = now;
    this.#forecast = new forecasts.MemoryForecast();
    const tokenMs = this.speed.predictTokenMs(this.streams.size);
    for (const stream of this.streams.values()) {
      const survival = predictor.getSurvival(stream.capacity);
      const unreported = estimateUnreported(stream, tokenMs, now);
      this.#forecast.addStream(createShape(stream, survival, unreported));
    }
    this.#recordOwnMemory(now);
  }

  /** Whether memory stays within its limit at the stated confidence with one more stream. */
  isMemoryLeft(stream: forecasts.StreamShape, now: number): boolean {
    const maxHorizon = forecasts.ALL_HORIZONS;
    return this.#forecast.isWithin(this.#getLimit(now), stream, { maxHorizon });
  }

  /** Whether memory is predicted to fill within `maxHorizon` tokens per stream. */
  isMemoryFilling(maxHorizon: number, now: number): boolean {
    return !this.#forecast.isWithin(this.#getLimit(now), undefined, { maxHorizon });
  }

  /** Whether a stream of this size would fit if it were alone. */
  isEverPossible(tokens: number): boolean {
    return tokens <= this.info.memoryLimitTokens;
  }

  /** Learns from the engine's own report: a reserve from preemptions, and foreign load. */
  recordLoad(report: types.LoadReport, now: number): void {
    const before = this.#preemptions;
    this.#preemptions = report.preemptions;
    if (before !== undefined && report.preemptions > before) {
      const step = RESERVE_STEP * Math.min(3, report.preemptions - before);
      this.#reserve = Math.min(MAX_RESERVE, this.#getReserve(now) + step);
      this.#reserveAt = now;
    }
    let own = 0;
    for (const sample of this.#ownMemory) own = Math.max(own, sample.tokens);
    this.#foreignTokens = Math.max(0, report.memoryUsedTokens - own);
  }

  /** Records tokens of a stream and learns the engine's speed from them. */
  recordTokens(stream: ActiveStream, tokens: number, now: number): void {
    const elapsedMs = now - stream.lastReportAt;
    if (stream.emittedTokens > 0 && elapsedMs >= MIN_SAMPLE_MS) {
      this.speed.recordSample(this.streams.size, elapsedMs / tokens);
    }
    stream.emittedTokens += tokens;
    stream.lastReportAt = now;
  }

  #getLimit(now: number): number {
    const share = 1 - Math.max(MIN_RESERVE, this.#getReserve(now));
    return this.info.memoryLimitTokens * share - this.#foreignTokens;
  }

  #getReserve(now: number): number {
    if (this.#reserve === 0) return 0;
    return this.#reserve *
      0.5 ** ((now - this.#reserveAt) / RESERVE_HALF_LIFE_MS);
  }

  #recordOwnMemory(now: number): void {
    const oldest = now - OWN_MEMORY_WINDOW_MS;
    const kept = this.#ownMemory.filter((sample) => sample.at > oldest);
    kept.push({ at: now, tokens: this.#forecast.getCurrentTokens() });
    this.#ownMemory = kept;
  }
}

function createShape(
  stream: ActiveStream,
  survival: lengths.Survival,
  unreportedTokens = 0,
): forecasts.StreamShape {
  return {
    promptTokens: stream.capacity.promptTokens,
    emittedTokens: stream.emittedTokens + unreportedTokens,
    maxTokens: stream.capacity.maxTokens,
    survival,
  };
}

/** Tokens that a stream has probably generated since its last report. */
function estimateUnreported(stream: ActiveStream, tokenMs: number, now: number): number {
  if (stream.emittedTokens === 0) return 0;
  const expected = (now - stream.lastReportAt) / tokenMs;
  return Math.min(expected, reports.getReportTokens(stream.emittedTokens));
}
