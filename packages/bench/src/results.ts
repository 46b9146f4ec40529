/** Collects the latencies, token counts and refusals of one case and computes its results. */

import type * as core from "@peridotvale/core";
import type * as workload from "./workload.ts";

/** State of one request during a simulation. */
export interface RequestRun {
  readonly request: workload.BenchRequest;
  state: "open" | "ended" | "refused";
  engine: core.EndpointId | undefined;
  /** Tokens generated in the current attempt, including those delivered by earlier attempts. */
  attemptTokens: number;
  /** Tokens delivered to the caller, over all attempts. */
  deliveredTokens: number;
  firstTokenAt: number;
  lastTokenAt: number;
  refusedAt: number;
  /** Tokens delivered between the warm-up and the end of arrivals. */
  windowTokens: number;
}

/**
 * Results of a group of requests: all requests, those of a rank, those of a workspace, or those of
 * a rank in a workspace. A request is accepted unless it is refused before its first token.
 */
export interface GroupResult {
  readonly arrivedCount: number;
  /** Requests refused before their first token. */
  readonly refusedCount: number;
  /** Requests that received a first token. */
  readonly startedCount: number;
  /**
   * Share of the accepted requests whose first token and mean gap between tokens met their rank's
   * targets.
   */
  readonly onTimeShare: number;
  readonly firstTokenP95Ms: number;
  readonly betweenTokensP95Ms: number;
  /** Longest time from arrival to refusal. */
  readonly maxRefusalWaitMs: number;
  /** Tokens delivered to accepted requests. */
  readonly deliveredTokens: number;
  /** Tokens delivered between the warm-up and the end of arrivals. */
  readonly windowTokens: number;
  /** Part of `windowTokens` that belongs to on-time requests. */
  readonly windowUsefulTokens: number;
  /** Tokens delivered to on-time requests. */
  readonly usefulTokens: number;
  /** Total time by which gaps between tokens exceed the rank's target, in seconds. */
  readonly stallSeconds: number;
}

export interface CaseResult {
  readonly total: GroupResult;
  readonly ranks: ReadonlyMap<string, GroupResult>;
  readonly workspaces: ReadonlyMap<string, GroupResult>;
  /** Results by workspace and rank; the keys have the form `workspace rank`. */
  readonly workspaceRanks: ReadonlyMap<string, GroupResult>;
  readonly preemptions: number;
  readonly durationMs: number;
  /** Time between the warm-up and the end of arrivals. */
  readonly windowMs: number;
  /** On-time share of the urgent requests that were not refused, by 10-s interval of arrival. */
  readonly urgentOnTimeShares: readonly number[];
}

const GAP_BUCKET_MS = 0.5;
const GAP_BUCKET_COUNT = 4_000;
const TIMELINE_INTERVAL_MS = 10_000;
/** Maximum mean gap between the tokens of an on-time request, relative to its rank's target. */
const MAX_MEAN_GAP_RATIO = 1.0;

class GroupCollector {
  readonly runs: RequestRun[] = [];
  /** Histogram of the gaps between tokens, in buckets of `GAP_BUCKET_MS`. */
  readonly gapCounts = new Uint32Array(GAP_BUCKET_COUNT);
  stallMs = 0;
  /** Tokens delivered between the warm-up and the end of arrivals. */
  windowTokens = 0;
}

export class ResultCollector {
  readonly #manifest: core.Manifest;
  readonly #warmUpMs: number;
  readonly #durationMs: number;
  readonly #allRequests = new GroupCollector();
  readonly #ranks = new Map<string, GroupCollector>();
  readonly #workspaces = new Map<string, GroupCollector>();
  readonly #workspaceRanks = new Map<string, GroupCollector>();

  constructor(
    manifest: core.Manifest,
    options: { readonly warmUpMs: number; readonly durationMs: number },
  ) {
    this.#manifest = manifest;
    this.#warmUpMs = options.warmUpMs;
    this.#durationMs = options.durationMs;
  }

  /** Creates the state of a request and adds it to the groups that it belongs to. */
  createRequestRun(request: workload.BenchRequest): RequestRun {
    const run: RequestRun = {
      request,
      state: "open",
      engine: undefined,
      attemptTokens: 0,
      deliveredTokens: 0,
      firstTokenAt: NaN,
      lastTokenAt: NaN,
      refusedAt: NaN,
      windowTokens: 0,
    };
    for (const group of this.#getGroups(request)) group.runs.push(run);
    return run;
  }

  /** Records a token that the caller has not received in an earlier attempt. */
  recordToken(run: RequestRun, now: number): void {
    run.deliveredTokens += 1;
    if (run.deliveredTokens === 1) {
      run.firstTokenAt = now;
    } else {
      const gapMs = now - run.lastTokenAt;
      const bucketIndex = Math.min(GAP_BUCKET_COUNT - 1, Math.floor(gapMs / GAP_BUCKET_MS));
      const targetMs = this.#manifest.ranks.get(run.request.rank)!.betweenTokensMs;
      for (const group of this.#getGroups(run.request)) {
        group.gapCounts[bucketIndex]! += 1;
        group.stallMs += Math.max(0, gapMs - targetMs);
      }
    }
    if (now >= this.#warmUpMs && now < this.#durationMs) {
      run.windowTokens += 1;
      for (const group of this.#getGroups(run.request)) group.windowTokens += 1;
    }
    run.lastTokenAt = now;
  }

  recordCompletion(run: RequestRun, _now: number): void {
    run.state = "ended";
  }

  recordRefusal(run: RequestRun, now: number): void {
    run.state = "refused";
    run.refusedAt = now;
  }

  /** Computes the results of the case; `preemptions` is the total over all engines. */
  getResult(preemptions: number): CaseResult {
    return {
      total: this.#createGroupResult(this.#allRequests),
      ranks: this.#createGroupResults(this.#ranks),
      workspaces: this.#createGroupResults(this.#workspaces),
      workspaceRanks: this.#createGroupResults(this.#workspaceRanks),
      preemptions,
      durationMs: this.#durationMs,
      windowMs: this.#durationMs - this.#warmUpMs,
      urgentOnTimeShares: this.#computeUrgentOnTimeShares(this.#durationMs),
    };
  }

  #getGroups(request: workload.BenchRequest): GroupCollector[] {
    return [
      this.#allRequests,
      getOrCreateGroup(this.#ranks, request.rank),
      getOrCreateGroup(this.#workspaces, request.workspace),
      getOrCreateGroup(this.#workspaceRanks, `${request.workspace} ${request.rank}`),
    ];
  }

  #createGroupResults(groups: Map<string, GroupCollector>): ReadonlyMap<string, GroupResult> {
    return new Map([...groups].map(([name, group]) => [name, this.#createGroupResult(group)]));
  }

  #createGroupResult(group: GroupCollector): GroupResult {
    const firstTokenWaitsMs: number[] = [];
    let refusedCount = 0;
    let onTimeCount = 0;
    let deliveredTokens = 0;
    let usefulTokens = 0;
    let windowUsefulTokens = 0;
    let maxRefusalWaitMs = 0;
    for (const run of group.runs) {
      if (run.state === "refused" && run.deliveredTokens === 0) {
        refusedCount += 1;
        maxRefusalWaitMs = Math.max(maxRefusalWaitMs, run.refusedAt - run.request.arrivedAt);
        continue;
      }
      const waitMs = run.deliveredTokens > 0 ? run.firstTokenAt - run.request.arrivedAt : Infinity;
      firstTokenWaitsMs.push(waitMs);
      deliveredTokens += run.deliveredTokens;
      if (!this.#isOnTime(run)) continue;
      onTimeCount += 1;
      usefulTokens += run.deliveredTokens;
      windowUsefulTokens += run.windowTokens;
    }
    return {
      arrivedCount: group.runs.length,
      refusedCount,
      startedCount: firstTokenWaitsMs.filter((wait) => wait < Infinity).length,
      onTimeShare: firstTokenWaitsMs.length === 0 ? 1 : onTimeCount / firstTokenWaitsMs.length,
      firstTokenP95Ms: getQuantile(firstTokenWaitsMs, 0.95),
      betweenTokensP95Ms: getGapQuantile(group.gapCounts, 0.95),
      maxRefusalWaitMs,
      deliveredTokens,
      windowTokens: group.windowTokens,
      windowUsefulTokens,
      usefulTokens,
      stallSeconds: group.stallMs / 1000,
    };
  }

  #isOnTime(run: RequestRun): boolean {
    if (run.deliveredTokens === 0 || run.state === "refused") return false;
    const rank = this.#manifest.ranks.get(run.request.rank)!;
    if (run.firstTokenAt - run.request.arrivedAt > rank.firstTokenMs) return false;
    if (run.deliveredTokens === 1) return true;
    const meanGapMs = (run.lastTokenAt - run.firstTokenAt) / (run.deliveredTokens - 1);
    return meanGapMs <= rank.betweenTokensMs * MAX_MEAN_GAP_RATIO;
  }

  #computeUrgentOnTimeShares(durationMs: number): number[] {
    const timeline: number[] = [];
    const urgentRuns = this.#ranks.get("urgent")?.runs ?? [];
    for (let start = 0; start < durationMs; start += TIMELINE_INTERVAL_MS) {
      const arrivals = urgentRuns.filter(({ request, state }) =>
        request.arrivedAt >= start && request.arrivedAt < start + TIMELINE_INTERVAL_MS &&
        state !== "refused"
      );
      const onTimeCount = arrivals.filter((run) => this.#isOnTime(run)).length;
      timeline.push(arrivals.length === 0 ? 1 : onTimeCount / arrivals.length);
    }
    return timeline;
  }
}

/** Computes Jain's fairness index, which is 1 if all values are equal. */
export function computeJainIndex(values: readonly number[]): number {
  const sum = values.reduce((total, value) => total + value, 0);
  const squareSum = values.reduce((total, value) => total + value * value, 0);
  return squareSum === 0 ? 1 : sum * sum / (values.length * squareSum);
}

function getQuantile(values: number[], quantile: number): number {
  if (values.length === 0) return 0;
  values.sort((a, b) => a - b);
  return values[Math.min(values.length - 1, Math.floor(values.length * quantile))]!;
}

function getGapQuantile(gapCounts: Uint32Array, quantile: number): number {
  const total = gapCounts.reduce((sum, count) => sum + count, 0);
  let cumulativeCount = 0;
  for (const [bucket, count] of gapCounts.entries()) {
    cumulativeCount += count;
    if (cumulativeCount >= total * quantile) return (bucket + 1) * GAP_BUCKET_MS;
  }
  return 0;
}

function getOrCreateGroup(groups: Map<string, GroupCollector>, name: string): GroupCollector {
  let group = groups.get(name);
  if (group === undefined) {
    group = new GroupCollector();
    groups.set(name, group);
  }
  return group;
}
