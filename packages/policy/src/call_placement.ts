/**
 * Chooses the endpoint for a call to a plain service from the latency, failures and open
 * attempts that this process has observed at each endpoint. Handles endpoints that fail a
 * part of their requests although their health check passes, that slow down when full or
 * stop answering, and load peaks on services with few slots.
 */

import type * as core from "@peridotvale/core";

/** How an attempt at an endpoint ended. */
export type AttemptReport = "answered" | "failed" | "refused" | "unreachable" | "silent";

interface EndpointStats {
  /** Smoothed time from the start of an attempt to its answer. */
  latencyMs: number;
  /** Smoothed share of attempts that failed. */
  failureShare: number;
  /** Until this time the endpoint is chosen only if there is no other candidate. */
  avoidUntil: number;
  /** Start times of the open attempts, oldest first. */
  readonly openAttemptStarts: number[];
  lastAnswerAt: number;
  lastAttemptEndAt: number;
  /** Time since the last answer after which a trial call disregards the recorded latency. */
  trialDelayMs: number;
}

/** Weight of a new observation; about the last ten attempts determine the average. */
const SMOOTHING_WEIGHT = 0.15;
/** Latency assumed while no endpoint has answered yet: about that of an average call. */
const INITIAL_LATENCY_MS = 60;
/**
 * Time constant with which observations lose their weight, so that an endpoint that was slow
 * or failed is tried again. Most endpoint faults last a few seconds.
 */
const STATS_DECAY_MS = 3_000;
/**
 * Time without an answer after which an endpoint gets a trial call as if it were as fast as the
 * others. By decay alone, an endpoint 15 times as slow is not chosen beside idle ones for 17 s.
 */
const MIN_TRIAL_DELAY_MS = 2_000;
/** The delay doubles up to this value while trials are slow, so that they cost few callers time. */
const MAX_TRIAL_DELAY_MS = 16_000;
/** A trial with less than this share of the recorded latency shows that the endpoint recovered. */
const RECOVERED_LATENCY_SHARE = 0.5;
/** How long an endpoint is avoided after an attempt that did not reach it or got no answer. */
const AVOID_UNREACHABLE_MS = 1_000;
/** How long an endpoint is avoided after it refused an attempt. */
const AVOID_REFUSED_MS = 150;
/** An endpoint is avoided once its oldest attempt has waited for this many mean latencies. */
const SILENCE_LATENCY_COUNT = 6;
const MIN_SILENCE_MS = 400;
/**
 * Share of the mean by which a latency must differ from it to count. The average of a few answers
 * of equal endpoints differs by less; beside idle endpoints such a difference decided every choice.
 */
const LATENCY_TOLERANCE = 0.25;
/** Weight of the failure share in the score; the lowest score is the best. */
const FAILURE_WEIGHT = 8;
/** Score factor of other zones: they are used once the own zone has about twice their load. */
const REMOTE_ZONE_FACTOR = 2;

/** Observed load and health of endpoints, from this process's own attempts. */
export class CallPlacement {
  readonly #statsByInstance = new Map<core.InstanceId, EndpointStats>();

  /** Returns the candidate outside `avoid` with the lowest score; undefined if there is none. */
  chooseEndpoint(
    candidates: readonly core.EndpointRecord[],
    now: number,
    options: {
      readonly zone: core.ZoneName;
      readonly random: core.RandomSource;
      readonly avoid: ReadonlySet<core.InstanceId>;
    },
  ): core.EndpointRecord | undefined {
    let bestCandidate: core.EndpointRecord | undefined;
    let bestScore = Infinity;
    const meanLatencyMs = this.#computeMeanLatencyMs(candidates, now);
    for (const candidate of candidates) {
      if (options.avoid.has(candidate.instance)) continue;
      const score = this.#computeScore(candidate, { now, zone: options.zone, meanLatencyMs }) *
        (1 + 0.05 * options.random.next());
      if (score >= bestScore) continue;
      bestCandidate = candidate;
      bestScore = score;
    }
    return bestCandidate;
  }

  recordStart(instance: core.InstanceId, now: number): void {
    const stats = this.#getStats(instance);
    stats.openAttemptStarts.push(now);
  }

  /** Records the end of an attempt that began at `startedAt`. */
  recordEnd(
    instance: core.InstanceId,
    report: AttemptReport,
    options: { readonly startedAt: number; readonly now: number },
  ): void {
    const stats = this.#statsByInstance.get(instance);
    // The instance was dropped while the attempt was open.
    if (stats === undefined) return;
    const { startedAt, now } = options;
    const index = stats.openAttemptStarts.indexOf(startedAt);
    if (index >= 0) stats.openAttemptStarts.splice(index, 1);
    if (report === "answered" || report === "failed") {
      recordLatency(stats, now - startedAt, { startedAt, now });
    }
    const failureSample = report === "answered" || report === "refused" ? 0 : 1;
    stats.failureShare *= computeDecayWeight(stats.lastAttemptEndAt, now);
    stats.failureShare += SMOOTHING_WEIGHT * (failureSample - stats.failureShare);
    stats.lastAttemptEndAt = now;
    if (report === "unreachable" || report === "silent") {
      stats.avoidUntil = now + AVOID_UNREACHABLE_MS;
    }
    if (report === "refused") stats.avoidUntil = now + AVOID_REFUSED_MS;
  }

  /** Removes the observations of an instance that has left. */
  dropInstance(instance: core.InstanceId): void {
    this.#statsByInstance.delete(instance);
  }

  #computeScore(
    candidate: core.EndpointRecord,
    options: {
      readonly now: number;
      readonly zone: core.ZoneName;
      readonly meanLatencyMs: number;
    },
  ): number {
    const { now, zone, meanLatencyMs } = options;
    const stats = this.#getStats(candidate.instance);
    const slots = Math.max(1, candidate.slots);
    const load = (stats.openAttemptStarts.length + 1) / slots;
    const isTrialDue = stats.openAttemptStarts.length === 0 && isStale(stats, now);
    const differenceMs = computeDecayWeight(stats.lastAnswerAt, now) *
      (stats.latencyMs - meanLatencyMs);
    const isEqual = Math.abs(differenceMs) <= LATENCY_TOLERANCE * meanLatencyMs;
    const latencyMs = isTrialDue || isEqual ? meanLatencyMs : meanLatencyMs + differenceMs;
    const failureShare = stats.failureShare * computeDecayWeight(stats.lastAttemptEndAt, now);
    let score = latencyMs * load * (1 + FAILURE_WEIGHT * failureShare);
    if (candidate.zone !== zone) score *= REMOTE_ZONE_FACTOR;
    if (now < stats.avoidUntil || this.#isSilent(stats, now)) score += 1e6;
    return score;
  }

  /**
   * Computes the mean latency of the candidates; recent observations have more weight. Those that a
   * trial is to replace have none: the mean that stands for them would contain them.
   */
  #computeMeanLatencyMs(candidates: readonly core.EndpointRecord[], now: number): number {
    let weightedSumMs = 0;
    let weightSum = 0;
    for (const { instance } of candidates) {
      const stats = this.#statsByInstance.get(instance);
      if (stats === undefined || isStale(stats, now)) continue;
      const weight = computeDecayWeight(stats.lastAnswerAt, now);
      weightedSumMs += weight * stats.latencyMs;
      weightSum += weight;
    }
    return weightSum === 0 ? INITIAL_LATENCY_MS : weightedSumMs / weightSum;
  }

  #isSilent(stats: EndpointStats, now: number): boolean {
    const oldestStart = stats.openAttemptStarts[0];
    if (oldestStart === undefined || oldestStart < stats.lastAnswerAt) return false;
    return now - oldestStart > Math.max(MIN_SILENCE_MS, SILENCE_LATENCY_COUNT * stats.latencyMs);
  }

  #getStats(instance: core.InstanceId): EndpointStats {
    let stats = this.#statsByInstance.get(instance);
    if (stats === undefined) {
      stats = {
        latencyMs: 0,
        failureShare: 0,
        avoidUntil: -Infinity,
        openAttemptStarts: [],
        lastAnswerAt: -Infinity,
        lastAttemptEndAt: -Infinity,
        trialDelayMs: MIN_TRIAL_DELAY_MS,
      };
      this.#statsByInstance.set(instance, stats);
    }
    return stats;
  }
}

function isStale(stats: EndpointStats, now: number): boolean {
  return now - stats.lastAnswerAt >= stats.trialDelayMs;
}

/** Records the latency of an attempt that began at `startedAt`. */
function recordLatency(
  stats: EndpointStats,
  latencyMs: number,
  options: { readonly startedAt: number; readonly now: number },
): void {
  const { startedAt, now } = options;
  const isTrial = Number.isFinite(stats.lastAnswerAt) && isStale(stats, startedAt);
  const hasRecovered = isTrial && latencyMs < stats.latencyMs * RECOVERED_LATENCY_SHARE;
  // The older the previous observation is, the more weight the new observation gets.
  const weight = hasRecovered
    ? 1
    : Math.max(SMOOTHING_WEIGHT, 1 - computeDecayWeight(stats.lastAnswerAt, now));
  stats.latencyMs += weight * (latencyMs - stats.latencyMs);
  stats.trialDelayMs = isTrial && !hasRecovered
    ? Math.min(MAX_TRIAL_DELAY_MS, stats.trialDelayMs * 2)
    : MIN_TRIAL_DELAY_MS;
  stats.lastAnswerAt = now;
}

/** Returns the weight of an observation: 1 at `observedAt`, then decaying towards 0. */
function computeDecayWeight(observedAt: number, now: number): number {
  return Math.exp(-(now - observedAt) / STATS_DECAY_MS);
}
