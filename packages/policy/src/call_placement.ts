/**
 * Chooses the endpoint of a call to a plain service, and keeps what is learnt of
 * each. Answers endpoints that fail a part of their requests while their health
 * check is good, that slow down when full, hang or fall silent, and floods on
 * few slots.
 */

import type * as core from "@peridotvale/core";

/** How a send to an endpoint ended. */
export type SendReport = "answered" | "failed" | "refused" | "unreachable" | "silent";

interface Learnt {
  /** Smoothed time to an answer. */
  latencyMs: number;
  /** Smoothed share of sends that failed. */
  failureShare: number;
  /** Until then it is tried only if nothing else is left. */
  avoidUntil: number;
  /** When the sends that are open now began, oldest first. */
  readonly openSince: number[];
  lastHeardAt: number;
  lastEndAt: number;
}

/** Weight of a new observation; about the last ten sends count. */
const SMOOTHING = 0.15;
/** Latency assumed where no endpoint has been heard of: about a mean call's work. */
const INITIAL_LATENCY_MS = 60;
/**
 * What was learnt of an endpoint loses its weight with this time constant, so that one
 * that was slow or failed is tried again; most faults of endpoints last some seconds.
 */
const MEMORY_MS = 3_000;
/** Least sends between which a failing endpoint is left alone. */
const AVOID_UNREACHABLE_MS = 1_000;
const AVOID_REFUSING_MS = 150;
/** No answer for this many usual latencies makes an endpoint suspect. */
const SILENT_LATENCIES = 6;
const MIN_SILENT_MS = 400;
/** How much a share of failures weighs against load. */
const FAILURE_WEIGHT = 8;
/** Preference for the own zone; moves with a call in flight more elsewhere. */
const REMOTE_PENALTY = 2;

/** Loads and health of endpoints as this process sees them. */
export class CallPlacement {
  readonly #learnt = new Map<core.InstanceId, Learnt>();

  /** Chooses among `candidates`; undefined if there is none. */
  chooseEndpoint(
    candidates: readonly core.EndpointRecord[],
    now: number,
    options: {
      readonly zone: core.ZoneName;
      readonly random: core.RandomSource;
      readonly avoid: ReadonlySet<core.InstanceId>;
    },
  ): core.EndpointRecord | undefined {
    let best: core.EndpointRecord | undefined;
    let bestScore = Infinity;
    const usualMs = this.#computeUsualLatency(candidates, now);
    for (const candidate of candidates) {
      if (options.avoid.has(candidate.instance)) continue;
      const score = this.#computeScore(candidate, { now, zone: options.zone, usualMs }) *
        (1 + 0.05 * options.random.next());
      if (score >= bestScore) continue;
      best = candidate;
      bestScore = score;
    }
    return best;
  }

  /** Records the start of a send. */
  recordStart(instance: core.InstanceId, now: number): void {
    const learnt = this.#getLearnt(instance);
    learnt.openSince.push(now);
  }

  /** Records the end of a send that began at `startedAt`. */
  recordEnd(
    instance: core.InstanceId,
    report: SendReport,
    options: { readonly startedAt: number; readonly now: number },
  ): void {
    const learnt = this.#learnt.get(instance);
    // The instance has left meanwhile.
    if (learnt === undefined) return;
    const { startedAt, now } = options;
    const index = learnt.openSince.indexOf(startedAt);
    if (index >= 0) learnt.openSince.splice(index, 1);
    if (report === "answered" || report === "failed") {
      // The older the last observation, the more the new one counts.
      const weight = Math.max(SMOOTHING, 1 - computeWeight(learnt.lastHeardAt, now));
      learnt.latencyMs += weight * (now - startedAt - learnt.latencyMs);
      learnt.lastHeardAt = now;
    }
    const hasFailed = report === "answered" || report === "refused" ? 0 : 1;
    learnt.failureShare *= computeWeight(learnt.lastEndAt, now);
    learnt.failureShare += SMOOTHING * (hasFailed - learnt.failureShare);
    learnt.lastEndAt = now;
    if (report === "unreachable" || report === "silent") {
      learnt.avoidUntil = now + AVOID_UNREACHABLE_MS;
    }
    if (report === "refused") learnt.avoidUntil = now + AVOID_REFUSING_MS;
  }

  /** Forgets an instance that has left. */
  dropInstance(instance: core.InstanceId): void {
    this.#learnt.delete(instance);
  }

  #computeScore(
    candidate: core.EndpointRecord,
    options: { readonly now: number; readonly zone: core.ZoneName; readonly usualMs: number },
  ): number {
    const { now, zone, usualMs } = options;
    const learnt = this.#getLearnt(candidate.instance);
    const slots = Math.max(1, candidate.slots);
    const load = (learnt.openSince.length + 1) / slots;
    const latencyMs = usualMs +
      computeWeight(learnt.lastHeardAt, now) * (learnt.latencyMs - usualMs);
    const failureShare = learnt.failureShare * computeWeight(learnt.lastEndAt, now);
    let score = latencyMs * load * (1 + FAILURE_WEIGHT * failureShare);
    if (candidate.zone !== zone) score *= REMOTE_PENALTY;
    if (now < learnt.avoidUntil || this.#isSilent(learnt, now)) score += 1e6;
    return score;
  }

  /** Mean latency of the endpoints, the more recent the more it weighs. */
  #computeUsualLatency(candidates: readonly core.EndpointRecord[], now: number): number {
    let sumMs = 0;
    let weights = 0;
    for (const { instance } of candidates) {
      const learnt = this.#learnt.get(instance);
      if (learnt === undefined) continue;
      const weight = computeWeight(learnt.lastHeardAt, now);
      sumMs += weight * learnt.latencyMs;
      weights += weight;
    }
    return weights === 0 ? INITIAL_LATENCY_MS : sumMs / weights;
  }

  #isSilent(learnt: Learnt, now: number): boolean {
    const oldest = learnt.openSince[0];
    if (oldest === undefined || oldest < learnt.lastHeardAt) return false;
    return now - oldest > Math.max(MIN_SILENT_MS, SILENT_LATENCIES * learnt.latencyMs);
  }

  #getLearnt(instance: core.InstanceId): Learnt {
    let learnt = this.#learnt.get(instance);
    if (learnt === undefined) {
      learnt = {
        latencyMs: 0,
        failureShare: 0,
        avoidUntil: -Infinity,
        openSince: [],
        lastHeardAt: -Infinity,
        lastEndAt: -Infinity,
      };
      this.#learnt.set(instance, learnt);
    }
    return learnt;
  }
}

/** Weight of what was learnt at `learntAt`, from 1 down to 0. */
function computeWeight(learntAt: number, now: number): number {
  return Math.exp(-(now - learntAt) / MEMORY_MS);
}
