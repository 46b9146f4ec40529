/**
 * A small model of a continuously batching engine: steps, memory that fills
 * while decoding, preemption, priorities and a prefix cache. Time is an
 * argument, so that it runs on a virtual clock as well as on a real one.
 */

import * as core from "@peridotvale/core";

/** Abilities of one engine. */
export interface EngineParameters {
  /** Time of a step with no stream, in milliseconds. */
  readonly baseMs: number;
  /** Time that each stream adds to a step. */
  readonly perStreamMs: number;
  /** Time that each prompt token adds to the step that processes it. */
  readonly prefillMs: number;
  readonly memoryTokens: number;
  readonly maxBatch: number;
  /** Tokens of cached prefixes that are kept. */
  readonly cacheTokens: number;
}

/** A generation asked of the engine. */
export interface ModelRequest {
  readonly id: string;
  readonly promptTokens: number;
  /** Hashes of the prompt's blocks, shortest prefix first. */
  readonly prefixes: readonly number[];
  /** Tokens that it will generate before it stops by itself. */
  readonly outputTokens: number;
  readonly maxTokens: number;
  /** Lower is more urgent. */
  readonly priority: number;
}

/** What a step has brought about. */
export type ModelEvent =
  | { readonly type: "token"; readonly id: string; readonly index: number }
  | {
    readonly type: "end";
    readonly id: string;
    readonly reason: "stop" | "length";
  }
  | { readonly type: "preempted"; readonly id: string };

/** Result of one step. */
export interface ModelStep {
  readonly durationMs: number;
  readonly events: readonly ModelEvent[];
}

interface Stream {
  readonly request: ModelRequest;
  emitted: number;
  /** Prompt and emitted tokens that are still to be processed. */
  prefillLeft: number;
  held: number;
  running: boolean;
}

/** Prompt tokens that one step processes at most. */
const PREFILL_PER_STEP = 2048;
/** Tokens that one prefix block stands for. */
const BLOCK_TOKENS = 64;

/** One engine. */
export class EngineModel {
  readonly parameters: EngineParameters;
  readonly #waiting: Stream[] = [];
  readonly #running: Stream[] = [];
  readonly #cache = new Map<number, true>();
  #added: number[] = [];
  #removed: number[] = [];
  #memoryUsed = 0;
  #preemptions = 0;
  #tokens = 0;

  constructor(parameters: EngineParameters) {
    this.parameters = parameters;
  }

  get runningCount(): number {
    return this.#running.length;
  }

  get waitingCount(): number {
    return this.#waiting.length;
  }

  get memoryUsed(): number {
    return this.#memoryUsed;
  }

  get preemptions(): number {
    return this.#preemptions;
  }

  /** Tokens generated so far. */
  get tokens(): number {
    return this.#tokens;
  }

  /** Whether a step would do anything. */
  get hasWork(): boolean {
    return this.#running.length > 0 || this.#waiting.length > 0;
  }

  /** Queues a generation; more urgent ones go first. */
  addRequest(request: ModelRequest): void {
    this.#enqueue({ request, emitted: 0, prefillLeft: 0, held: 0, running: false });
  }

  /** Takes the changes of the prompt cache since the last call. */
  takeCacheChanges(): { readonly added: number[]; readonly removed: number[] } {
    const changes = { added: this.#added, removed: this.#removed };
    this.#added = [];
    this.#removed = [];
    return changes;
  }

  /** Drops a generation. */
  cancelRequest(id: string): void {
    for (const list of [this.#waiting, this.#running]) {
      const index = list.findIndex((stream) => stream.request.id === id);
      if (index < 0) continue;
      const [stream] = list.splice(index, 1);
      this.#memoryUsed -= stream!.held;
    }
  }

  /** Runs one step: admits, processes prompts, and generates one token per stream. */
  runStep(): ModelStep {
    const events: ModelEvent[] = [];
    this.#admit();
    const prefilled = this.#processPrompts();
    for (const stream of [...this.#running]) {
      if (stream.prefillLeft > 0 || !stream.running) continue;
      if (!this.#makeRoom(stream, events)) continue;
      this.#generateToken(stream, events);
    }
    const { baseMs, perStreamMs, prefillMs } = this.parameters;
    const durationMs = baseMs + perStreamMs * this.#running.length +
      prefillMs * prefilled;
    return { durationMs, events };
  }

  #enqueue(stream: Stream): void {
    let index = this.#waiting.length;
    while (
      index > 0 &&
      this.#waiting[index - 1]!.request.priority > stream.request.priority
    ) {
      index -= 1;
    }
    this.#waiting.splice(index, 0, stream);
  }

  #admit(): void {
    while (
      this.#waiting.length > 0 &&
      this.#running.length < this.parameters.maxBatch
    ) {
      const stream = this.#waiting[0]!;
      const needed = stream.request.promptTokens + stream.emitted;
      if (this.#memoryUsed + needed > this.parameters.memoryTokens) return;
      this.#waiting.shift();
      stream.held = needed;
      this.#memoryUsed += needed;
      stream.prefillLeft = needed - this.#countCached(stream.request);
      stream.running = true;
      this.#running.push(stream);
    }
  }

  #processPrompts(): number {
    let left = PREFILL_PER_STEP;
    for (const stream of this.#running) {
      if (left === 0) break;
      if (stream.prefillLeft <= 0) continue;
      const processed = Math.min(left, stream.prefillLeft);
      stream.prefillLeft -= processed;
      left -= processed;
      if (stream.prefillLeft === 0) this.#recordCached(stream.request);
    }
    return PREFILL_PER_STEP - left;
  }

  /** Preempts the least urgent, newest stream until one more token fits. */
  #makeRoom(stream: Stream, events: ModelEvent[]): boolean {
    while (this.#memoryUsed + 1 > this.parameters.memoryTokens) {
      let victim = this.#running[0]!;
      for (const other of this.#running) {
        if (other.request.priority >= victim.request.priority) victim = other;
      }
      this.#running.splice(this.#running.indexOf(victim), 1);
      this.#memoryUsed -= victim.held;
      victim.held = 0;
      victim.running = false;
      this.#preemptions += 1;
      this.#enqueue(victim);
      events.push({ type: "preempted", id: victim.request.id });
      if (victim === stream) return false;
    }
    return true;
  }

  #generateToken(stream: Stream, events: ModelEvent[]): void {
    const { id, outputTokens, maxTokens } = stream.request;
    events.push({ type: "token", id, index: stream.emitted });
    stream.emitted += 1;
    stream.held += 1;
    this.#memoryUsed += 1;
    this.#tokens += 1;
    const isStopped = stream.emitted >= outputTokens;
    if (!isStopped && stream.emitted < maxTokens) return;
    events.push({ type: "end", id, reason: isStopped ? "stop" : "length" });
    this.#running.splice(this.#running.indexOf(stream), 1);
    this.#memoryUsed -= stream.held;
  }

  #countCached(request: ModelRequest): number {
    for (let index = request.prefixes.length - 1; index >= 0; index--) {
      if (!this.#cache.has(request.prefixes[index]!)) continue;
      return Math.min(request.promptTokens - 1, (index + 1) * BLOCK_TOKENS);
    }
    return 0;
  }

  #recordCached(request: ModelRequest): void {
    for (const prefix of request.prefixes) {
      if (!this.#cache.delete(prefix)) this.#added.push(prefix);
      this.#cache.set(prefix, true);
    }
    for (const oldest of this.#cache.keys()) {
      if (this.#cache.size * BLOCK_TOKENS <= this.parameters.cacheTokens) {
        return;
      }
      this.#cache.delete(oldest);
      this.#removed.push(oldest);
    }
  }
}

/** Creates the text of one token; the same wherever the same request is run. */
export function createTokenText(
  request: {
    readonly prompt: string;
    readonly seed: number;
    readonly version: string;
  },
  index: number,
): string {
  const hash = core.computeHash32(
    `${request.prompt}|${request.seed}|${request.version}|${index}`,
  );
  return ` ${hash.toString(36)}`;
}

/** Length of a generation: what `[len=N]` in the prompt says, else drawn with a heavy tail. */
export function computeOutputTokens(prompt: string, seed: number): number {
  const asked = /\[len=(\d+)\]/.exec(prompt);
  if (asked !== null) return Number(asked[1]);
  const random = new core.SeededRandom(core.computeHash32(`${prompt}|${seed}`));
  return drawHeavyTail(random, { median: 60, sigma: 1.2 });
}

/** Draws a log-normal length. */
export function drawHeavyTail(
  random: core.RandomSource,
  options: { readonly median: number; readonly sigma: number },
): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  const normal = radius * Math.cos(2 * Math.PI * random.next());
  return Math.max(
    1,
    Math.round(options.median * Math.exp(options.sigma * normal)),
  );
}
