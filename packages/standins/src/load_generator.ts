/** Load generator: sends generations and orders at given rates and reports latency percentiles. */

import * as core from "@peridotvale/core";
import * as hdr from "hdr-histogram-js";
import * as caller from "./caller.ts";

export interface LoadOptions {
  /** Addresses of the entry processes, used in rotation. */
  readonly addresses: readonly string[];
  readonly durationMs: number;
  /** Mean requests per second of each rank. */
  readonly rates: readonly { readonly rank: string; readonly perSecond: number }[];
  readonly workspaces: readonly string[];
  readonly seed: number;
  /** Mean orders per second to the service `orders`. */
  readonly ordersPerSecond: number;
}

/** Counts and latency percentiles of the requests of one rank or workspace. */
export interface LoadGroup {
  readonly name: string;
  readonly requests: number;
  readonly completed: number;
  /** Count of requests refused with the outcome `not_run`. */
  readonly refused: number;
  readonly failed: number;
  readonly firstTokenP50Ms: number;
  readonly firstTokenP95Ms: number;
  readonly betweenTokensP95Ms: number;
}

export interface LoadResult {
  readonly ranks: readonly LoadGroup[];
  readonly workspaces: readonly LoadGroup[];
  readonly orders: { readonly placed: number; readonly refused: number; readonly unknown: number };
  /** Count of errors by problem code; `connection` where no problem was received. */
  readonly problems: ReadonlyMap<string, number>;
}

class GroupRecorder {
  readonly #name: string;
  readonly #firstTokenMs = hdr.build();
  readonly #betweenTokensMs = hdr.build();
  #requests = 0;
  #completed = 0;
  #refused = 0;

  constructor(name: string) {
    this.#name = name;
  }

  recordTranscript(transcript: caller.Transcript, sentAt: number): void {
    this.#requests += 1;
    if (transcript.done) this.#completed += 1;
    else if (transcript.problem?.outcome === "not_run") this.#refused += 1;
    let previousTokenAt: number | undefined;
    for (const tokenAt of transcript.tokenTimes) {
      if (previousTokenAt === undefined) {
        this.#firstTokenMs.recordValue(Math.max(0, Math.round(tokenAt - sentAt)));
      } else {
        this.#betweenTokensMs.recordValue(Math.max(0, Math.round(tokenAt - previousTokenAt)));
      }
      previousTokenAt = tokenAt;
    }
  }

  createGroup(): LoadGroup {
    return {
      name: this.#name,
      requests: this.#requests,
      completed: this.#completed,
      refused: this.#refused,
      failed: this.#requests - this.#completed - this.#refused,
      firstTokenP50Ms: this.#firstTokenMs.getValueAtPercentile(50),
      firstTokenP95Ms: this.#firstTokenMs.getValueAtPercentile(95),
      betweenTokensP95Ms: this.#betweenTokensMs.getValueAtPercentile(95),
    };
  }
}

/** Sends requests for `durationMs` and returns once all are answered. */
export async function runLoad(options: LoadOptions): Promise<LoadResult> {
  const generator = new LoadGenerator(options);
  return await generator.run();
}

class LoadGenerator {
  readonly #options: LoadOptions;
  readonly #random: core.SeededRandom;
  readonly #rankRecorders = new Map<string, GroupRecorder>();
  readonly #workspaceRecorders = new Map<string, GroupRecorder>();
  readonly #problemCounts = new Map<string, number>();
  readonly #orderCounts = { placed: 0, refused: 0, unknown: 0 };
  readonly #openRequests: Promise<void>[] = [];
  #startedRequestCount = 0;

  constructor(options: LoadOptions) {
    this.#options = options;
    this.#random = new core.SeededRandom(options.seed);
  }

  async run(): Promise<LoadResult> {
    const arrivals = this.#options.rates.map(({ rank, perSecond }) =>
      this.#runArrivals(perSecond, () => this.#sendGeneration(rank))
    );
    arrivals.push(this.#runArrivals(this.#options.ordersPerSecond, () => this.#sendOrder()));
    await Promise.all(arrivals);
    await Promise.all(this.#openRequests);
    return {
      ranks: [...this.#rankRecorders.values()].map((group) => group.createGroup()),
      workspaces: [...this.#workspaceRecorders.values()].map((group) => group.createGroup()),
      orders: this.#orderCounts,
      problems: this.#problemCounts,
    };
  }

  async #runArrivals(perSecond: number, sendRequest: () => Promise<void>): Promise<void> {
    const endAt = performance.now() + this.#options.durationMs;
    while (perSecond > 0) {
      const intervalMs = -Math.log(1 - this.#random.next()) / perSecond * 1000;
      if (performance.now() + intervalMs >= endAt) return;
      await new Promise((resolve) => setTimeout(resolve, intervalMs));
      this.#openRequests.push(sendRequest());
    }
  }

  async #sendGeneration(rank: string): Promise<void> {
    const { workspaces } = this.#options;
    const workspace = workspaces[Math.floor(this.#random.next() * workspaces.length)]!;
    const address = this.#chooseAddress();
    const sentAt = performance.now();
    const prompt = `request ${this.#startedRequestCount} of ${workspace}`;
    const transcript = await caller.streamCompletion(address, { prompt, rank, workspace });
    getRecorder(this.#rankRecorders, rank).recordTranscript(transcript, sentAt);
    getRecorder(this.#workspaceRecorders, workspace).recordTranscript(transcript, sentAt);
    if (!transcript.done) this.#recordProblem(transcript.problem?.code ?? "connection");
  }

  async #sendOrder(): Promise<void> {
    const key = `order-${this.#options.seed}-${this.#startedRequestCount}`;
    try {
      const answer = await caller.callService(this.#chooseAddress(), {
        method: "POST",
        path: "orders/orders",
        body: { key },
        headers: { "idempotency-key": key },
      });
      const { outcome } = answer.body as { readonly outcome?: string };
      if (answer.status === 200) this.#orderCounts.placed += 1;
      else if (outcome === "not_run") this.#orderCounts.refused += 1;
      else this.#orderCounts.unknown += 1;
    } catch {
      this.#orderCounts.unknown += 1;
    }
  }

  #chooseAddress(): string {
    this.#startedRequestCount += 1;
    const { addresses } = this.#options;
    return addresses[this.#startedRequestCount % addresses.length]!;
  }

  #recordProblem(code: string): void {
    this.#problemCounts.set(code, (this.#problemCounts.get(code) ?? 0) + 1);
  }
}

export function formatLoadResult(result: LoadResult): string {
  const header =
    "group            requests  completed  refused  failed  first p50  first p95  between p95";
  const lines = [...result.ranks, ...result.workspaces].map((group) =>
    [
      group.name.padEnd(16),
      String(group.requests).padStart(8),
      String(group.completed).padStart(10),
      String(group.refused).padStart(8),
      String(group.failed).padStart(7),
      `${group.firstTokenP50Ms} ms`.padStart(10),
      `${group.firstTokenP95Ms} ms`.padStart(10),
      `${group.betweenTokensP95Ms} ms`.padStart(12),
    ].join(" ")
  );
  const { placed, refused, unknown } = result.orders;
  const problems = [...result.problems].map(([code, count]) => `${code} ${count}`).join(", ");
  return [
    header,
    ...lines,
    `orders: ${placed} placed, ${refused} refused, ${unknown} unknown`,
    `problems: ${problems === "" ? "none" : problems}`,
  ].join("\n");
}

function getRecorder(groups: Map<string, GroupRecorder>, name: string): GroupRecorder {
  let group = groups.get(name);
  if (group === undefined) {
    group = new GroupRecorder(name);
    groups.set(name, group);
  }
  return group;
}
