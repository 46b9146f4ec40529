/** Metrics of a process, by rank and by workspace. */

import type * as ids from "./ids.ts";
import type * as outcomes from "./outcome.ts";
import * as prometheus from "prom-client";

/** Labels that every request has. */
export interface RequestLabels {
  readonly workspace: ids.WorkspaceName;
  readonly rank: ids.RankName;
}

/** Workspaces with a label of their own; further ones share one. */
const MAX_WORKSPACE_LABELS = 64;
const OTHER_WORKSPACES = "other";
const SECONDS_BUCKETS = [
  0.001,
  0.005,
  0.01,
  0.02,
  0.035,
  0.05,
  0.1,
  0.25,
  0.5,
  1,
  2.5,
  5,
  10,
  30,
  60,
];
const LABELS = ["workspace", "rank"] as const;

/** The registry with its collectors. */
export class Metrics {
  readonly #registry = new prometheus.Registry();
  readonly #workspaces = new Set<string>();
  readonly #firstToken = this.#createHistogram(
    "first_token",
    "From arrival to the first token.",
  );
  readonly #betweenTokens = this.#createHistogram(
    "between_tokens",
    "Between two tokens.",
  );
  readonly #duration = this.#createHistogram(
    "request_duration",
    "From arrival to the end of the answer.",
  );
  readonly #stall = this.#createHistogram(
    "stall",
    "Time beyond the rank's target per request.",
  );
  readonly #queueWait = this.#createHistogram(
    "queue_wait",
    "Wait for capacity.",
  );
  readonly #outcomes = this.#createCounter("requests", "Requests by outcome.", [
    ...LABELS,
    "outcome",
    "code",
  ]);
  readonly #retries = this.#createCounter(
    "retries",
    "Further attempts by kind.",
    ["kind"],
  );
  readonly #preemptions = this.#createCounter(
    "preemptions",
    "Preemptions engines report.",
    [
      "endpoint",
    ],
  );
  readonly #dropped = this.#createCounter(
    "dropped_answers",
    "Answers dropped by reason.",
    [
      "reason",
    ],
  );
  readonly #openRequests = new prometheus.Gauge({
    name: "peridotvale_open_requests",
    help: "Requests in progress.",
    registers: [this.#registry],
  });

  /** Records the wait for the first token. */
  recordFirstToken(labels: RequestLabels, durationMs: number): void {
    this.#firstToken.observe(this.#createLabels(labels), durationMs / 1000);
  }

  /** Records the time from arrival to the end of the answer. */
  recordDuration(labels: RequestLabels, durationMs: number): void {
    this.#duration.observe(this.#createLabels(labels), durationMs / 1000);
  }

  /** Records the time between two tokens. */
  recordBetweenTokens(labels: RequestLabels, durationMs: number): void {
    this.#betweenTokens.observe(this.#createLabels(labels), durationMs / 1000);
  }

  /** Records the time that a request's tokens came later than its rank allows. */
  recordStall(labels: RequestLabels, durationMs: number): void {
    this.#stall.observe(this.#createLabels(labels), durationMs / 1000);
  }

  /** Records the wait for capacity. */
  recordQueueWait(labels: RequestLabels, durationMs: number): void {
    this.#queueWait.observe(this.#createLabels(labels), durationMs / 1000);
  }

  /** Records the end of a request. */
  recordOutcome(
    labels: RequestLabels,
    outcome: outcomes.Outcome,
    code: string,
  ): void {
    this.#outcomes.inc({ ...this.#createLabels(labels), outcome, code });
  }

  /** Records a further attempt. */
  recordRetry(kind: string): void {
    this.#retries.inc({ kind });
  }

  /** Records preemptions that an engine has reported. */
  recordPreemptions(endpoint: ids.EndpointId, count: number): void {
    if (count > 0) this.#preemptions.inc({ endpoint }, count);
  }

  /** Records an answer that was not passed on. */
  recordDropped(reason: string): void {
    this.#dropped.inc({ reason });
  }

  /** Changes the number of requests in progress. */
  updateOpenRequests(count: number): void {
    this.#openRequests.set(count);
  }

  /** Registers a value that is read whenever metrics are. */
  registerValue(name: string, help: string, options: { readonly read: () => number }): void {
    new prometheus.Gauge({
      name: `peridotvale_${name}`,
      help,
      registers: [this.#registry],
      collect() {
        this.set(options.read());
      },
    });
  }

  /** All metrics in the Prometheus text format. */
  readText(): Promise<string> {
    return this.#registry.metrics();
  }

  #createHistogram(
    name: string,
    help: string,
  ): prometheus.Histogram<(typeof LABELS)[number]> {
    return new prometheus.Histogram({
      name: `peridotvale_${name}_seconds`,
      help,
      labelNames: LABELS,
      buckets: SECONDS_BUCKETS,
      registers: [this.#registry],
    });
  }

  #createCounter(
    name: string,
    help: string,
    labelNames: readonly string[],
  ): prometheus.Counter<string> {
    return new prometheus.Counter({
      name: `peridotvale_${name}_total`,
      help,
      labelNames,
      registers: [this.#registry],
    });
  }

  #createLabels(labels: RequestLabels): { workspace: string; rank: string } {
    const isKnown = this.#workspaces.has(labels.workspace);
    if (!isKnown && this.#workspaces.size < MAX_WORKSPACE_LABELS) {
      this.#workspaces.add(labels.workspace);
    }
    const hasLabel = this.#workspaces.has(labels.workspace);
    return {
      workspace: hasLabel ? labels.workspace : OTHER_WORKSPACES,
      rank: labels.rank,
    };
  }
}
