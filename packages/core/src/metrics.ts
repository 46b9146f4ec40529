/** Prometheus metrics of a process; request metrics are labelled by workspace and rank. */

import type * as ids from "./ids.ts";
import type * as outcomes from "./outcome.ts";
import * as prometheus from "prom-client";

/** Labels of all metrics that concern one request. */
export interface RequestLabels {
  readonly workspace: ids.WorkspaceName;
  readonly rank: ids.RankName;
}

/** Limits the number of time series; workspaces beyond this count share one label. */
const MAX_WORKSPACE_LABEL_COUNT = 64;
const OTHER_WORKSPACES_LABEL = "other";
const DURATION_BUCKETS_SECONDS = [
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
const REQUEST_LABEL_NAMES = ["workspace", "rank"] as const;

/** Records the metrics of one process. */
export class Metrics {
  readonly #registry = new prometheus.Registry();
  readonly #labelledWorkspaces = new Set<string>();
  readonly #firstTokenSeconds = this.#createHistogram(
    "first_token",
    "From arrival to the first token.",
  );
  readonly #betweenTokensSeconds = this.#createHistogram(
    "between_tokens",
    "Between two tokens.",
  );
  readonly #durationSeconds = this.#createHistogram(
    "request_duration",
    "From arrival to the end of the answer.",
  );
  readonly #stallSeconds = this.#createHistogram(
    "stall",
    "Time beyond the rank's target per request.",
  );
  readonly #queueWaitSeconds = this.#createHistogram(
    "queue_wait",
    "Wait for capacity.",
  );
  readonly #outcomes = this.#createCounter("requests", "Requests by outcome.", [
    ...REQUEST_LABEL_NAMES,
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
  readonly #droppedAnswers = this.#createCounter(
    "dropped_answers",
    "Answers dropped by reason.",
    [
      "reason",
    ],
  );
  readonly #callerRejections = this.#createCounter(
    "caller_rejections",
    "Callers refused, or closed, by reason.",
    ["action", "reason"],
  );
  readonly #brokenGenerations = this.#createCounter(
    "broken_generations",
    "Generations whose stream broke off, by whether they had produced output.",
    ["progress"],
  );
  readonly #openRequests = new prometheus.Gauge({
    name: "peridotvale_open_requests",
    help: "Requests in progress.",
    registers: [this.#registry],
  });

  /** Records the time from arrival to the first token. */
  recordFirstToken(labels: RequestLabels, durationMs: number): void {
    this.#firstTokenSeconds.observe(this.#createLabels(labels), durationMs / 1000);
  }

  /** Records the time from arrival to the end of the answer. */
  recordRequestDuration(labels: RequestLabels, durationMs: number): void {
    this.#durationSeconds.observe(this.#createLabels(labels), durationMs / 1000);
  }

  /** Records the time between two consecutive tokens. */
  recordTokenInterval(labels: RequestLabels, durationMs: number): void {
    this.#betweenTokensSeconds.observe(this.#createLabels(labels), durationMs / 1000);
  }

  /** Records the total time by which a request's tokens exceeded the target of its rank. */
  recordStall(labels: RequestLabels, durationMs: number): void {
    this.#stallSeconds.observe(this.#createLabels(labels), durationMs / 1000);
  }

  /** Records the time that a request waited for capacity. */
  recordQueueWait(labels: RequestLabels, durationMs: number): void {
    this.#queueWaitSeconds.observe(this.#createLabels(labels), durationMs / 1000);
  }

  /** Counts a finished request by outcome and by problem code. */
  recordOutcome(
    labels: RequestLabels,
    outcome: outcomes.Outcome,
    code: string,
  ): void {
    this.#outcomes.inc({ ...this.#createLabels(labels), outcome, code });
  }

  /** Counts a further attempt for a request, by kind of retry. */
  recordRetry(kind: string): void {
    this.#retries.inc({ kind });
  }

  /** Adds `count` preemptions that an engine has reported. */
  recordPreemptions(endpoint: ids.EndpointId, count: number): void {
    if (count > 0) this.#preemptions.inc({ endpoint }, count);
  }

  /** Counts an answer that was discarded instead of relayed to the caller. */
  recordDroppedAnswer(reason: string): void {
    this.#droppedAnswers.inc({ reason });
  }

  /** Counts a caller that was refused, or whose connection was closed, to protect the process. */
  recordCallerRejection(action: "refused" | "closed", reason: string): void {
    this.#callerRejections.inc({ action, reason });
  }

  /** Counts a generation whose engine's stream broke off. */
  recordBrokenGeneration(progress: "before_output" | "during_output"): void {
    this.#brokenGenerations.inc({ progress });
  }

  setOpenRequests(count: number): void {
    this.#openRequests.set(count);
  }

  /** Registers a gauge whose value is read each time the metrics are collected. */
  registerGauge(name: string, help: string, options: { readonly read: () => number }): void {
    new prometheus.Gauge({
      name: `peridotvale_${name}`,
      help,
      registers: [this.#registry],
      collect() {
        this.set(options.read());
      },
    });
  }

  /** Registers a gauge with one value per label value, read each time metrics are collected. */
  registerLabelledGauge(
    name: string,
    help: string,
    options: {
      readonly labelName: string;
      readonly read: () => Iterable<readonly [labelValue: string, value: number]>;
    },
  ): void {
    const { labelName, read } = options;
    new prometheus.Gauge({
      name: `peridotvale_${name}`,
      help,
      labelNames: [labelName],
      registers: [this.#registry],
      collect() {
        this.reset();
        for (const [labelValue, value] of read()) this.set({ [labelName]: labelValue }, value);
      },
    });
  }

  /** Returns all metrics in the Prometheus text format. */
  formatText(): Promise<string> {
    return this.#registry.metrics();
  }

  #createHistogram(
    name: string,
    help: string,
  ): prometheus.Histogram<(typeof REQUEST_LABEL_NAMES)[number]> {
    return new prometheus.Histogram({
      name: `peridotvale_${name}_seconds`,
      help,
      labelNames: REQUEST_LABEL_NAMES,
      buckets: DURATION_BUCKETS_SECONDS,
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
    const hadLabel = this.#labelledWorkspaces.has(labels.workspace);
    if (!hadLabel && this.#labelledWorkspaces.size < MAX_WORKSPACE_LABEL_COUNT) {
      this.#labelledWorkspaces.add(labels.workspace);
    }
    const hasLabel = this.#labelledWorkspaces.has(labels.workspace);
    return {
      workspace: hasLabel ? labels.workspace : OTHER_WORKSPACES_LABEL,
      rank: labels.rank,
    };
  }
}
