/**
 * Models an engine with continuous batching: decode steps, memory that grows with each generated
 * token, preemption, priorities and a prefix cache. It reads no clock; each step returns its
 * duration, so that the model runs in simulated time as well as in real time.
 */

import * as core from "@peridotvale/core";

/** Speed and capacity of one engine. */
export interface EngineParameters {
  /** Base duration of a step. */
  readonly baseMs: number;
  /** Duration that each running stream adds to a step. */
  readonly perStreamMs: number;
  /** Duration that each prompt token adds to the step that processes it. */
  readonly perPromptTokenMs: number;
  /** Memory for prompt and generated tokens, shared by all running streams. */
  readonly memoryTokens: number;
  readonly maxBatch: number;
  /** Capacity of the prefix cache. */
  readonly cacheTokens: number;
}

/** A generation to run. */
export interface ModelRequest {
  readonly id: string;
  readonly promptTokens: number;
  /** Hashes of the prompt's prefixes, shortest prefix first. */
  readonly prefixes: readonly number[];
  /** Tokens after which the generation ends with the reason `stop`. */
  readonly outputTokens: number;
  readonly maxTokens: number;
  /** Lower is more urgent. */
  readonly priority: number;
}

export type ModelEvent =
  | { readonly type: "token"; readonly id: string; readonly index: number }
  | {
    readonly type: "end";
    readonly id: string;
    readonly reason: "stop" | "length";
  }
  | { readonly type: "preempted"; readonly id: string };

export interface ModelStep {
  readonly durationMs: number;
  readonly events: readonly ModelEvent[];
}

interface Stream {
  readonly request: ModelRequest;
  emittedTokens: number;
  /** Prompt and emitted tokens that still need prefill. */
  remainingPrefillTokens: number;
  /** Tokens for which the stream occupies memory. */
  heldTokens: number;
  isRunning: boolean;
}

const MAX_PREFILL_TOKENS_PER_STEP = 2048;
/** Tokens per block of the prefix cache. */
const BLOCK_TOKENS = 64;

export class EngineModel {
  readonly parameters: EngineParameters;
  readonly #waiting: Stream[] = [];
  readonly #running: Stream[] = [];
  /** Hashes of the cached prefixes, the least recently used first. */
  readonly #cachedPrefixes = new Map<number, true>();
  #addedPrefixes: number[] = [];
  #removedPrefixes: number[] = [];
  #usedMemoryTokens = 0;
  #preemptionCount = 0;
  #generatedTokens = 0;

  constructor(parameters: EngineParameters) {
    this.parameters = parameters;
  }

  get runningCount(): number {
    return this.#running.length;
  }

  get waitingCount(): number {
    return this.#waiting.length;
  }

  get usedMemoryTokens(): number {
    return this.#usedMemoryTokens;
  }

  get preemptions(): number {
    return this.#preemptionCount;
  }

  /** Tokens generated so far. */
  get generatedTokens(): number {
    return this.#generatedTokens;
  }

  /** Whether any generation is running or waiting. */
  get hasWork(): boolean {
    return this.#running.length > 0 || this.#waiting.length > 0;
  }

  /** Queues a generation behind all waiting ones of the same or a more urgent priority. */
  addRequest(request: ModelRequest): void {
    this.#enqueue({
      request,
      emittedTokens: 0,
      remainingPrefillTokens: 0,
      heldTokens: 0,
      isRunning: false,
    });
  }

  /** Returns the changes of the prefix cache since the last call, and clears them. */
  takeCacheChanges(): { readonly added: number[]; readonly removed: number[] } {
    const changes = { added: this.#addedPrefixes, removed: this.#removedPrefixes };
    this.#addedPrefixes = [];
    this.#removedPrefixes = [];
    return changes;
  }

  /** Removes a generation, running or waiting, and frees its memory. */
  cancelRequest(id: string): void {
    for (const list of [this.#waiting, this.#running]) {
      const index = list.findIndex((stream) => stream.request.id === id);
      if (index < 0) continue;
      const [stream] = list.splice(index, 1);
      this.#usedMemoryTokens -= stream!.heldTokens;
    }
  }

  /** Runs one step: admits waiting streams, prefills prompts and generates a token per stream. */
  runStep(): ModelStep {
    const events: ModelEvent[] = [];
    this.#admit();
    const prefilledTokens = this.#processPromptTokens();
    for (const stream of [...this.#running]) {
      if (stream.remainingPrefillTokens > 0 || !stream.isRunning) continue;
      if (!this.#releaseMemory(stream, events)) continue;
      this.#generateToken(stream, events);
    }
    const { baseMs, perStreamMs, perPromptTokenMs } = this.parameters;
    const durationMs = baseMs + perStreamMs * this.#running.length +
      perPromptTokenMs * prefilledTokens;
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
      const neededTokens = stream.request.promptTokens + stream.emittedTokens;
      if (this.#usedMemoryTokens + neededTokens > this.parameters.memoryTokens) return;
      this.#waiting.shift();
      stream.heldTokens = neededTokens;
      this.#usedMemoryTokens += neededTokens;
      stream.remainingPrefillTokens = neededTokens - this.#countCachedTokens(stream.request);
      stream.isRunning = true;
      this.#running.push(stream);
    }
  }

  #processPromptTokens(): number {
    let remainingTokens = MAX_PREFILL_TOKENS_PER_STEP;
    for (const stream of this.#running) {
      if (remainingTokens === 0) break;
      if (stream.remainingPrefillTokens <= 0) continue;
      const processedTokens = Math.min(remainingTokens, stream.remainingPrefillTokens);
      stream.remainingPrefillTokens -= processedTokens;
      remainingTokens -= processedTokens;
      if (stream.remainingPrefillTokens === 0) this.#recordPrefixes(stream.request);
    }
    return MAX_PREFILL_TOKENS_PER_STEP - remainingTokens;
  }

  /**
   * Preempts the least urgent streams, the newest first among equals, until memory has room for
   * one more token. Returns false if `stream` itself was preempted.
   */
  #releaseMemory(stream: Stream, events: ModelEvent[]): boolean {
    while (this.#usedMemoryTokens + 1 > this.parameters.memoryTokens) {
      let victim = this.#running[0]!;
      for (const other of this.#running) {
        if (other.request.priority >= victim.request.priority) victim = other;
      }
      this.#running.splice(this.#running.indexOf(victim), 1);
      this.#usedMemoryTokens -= victim.heldTokens;
      victim.heldTokens = 0;
      victim.isRunning = false;
      this.#preemptionCount += 1;
      this.#enqueue(victim);
      events.push({ type: "preempted", id: victim.request.id });
      if (victim === stream) return false;
    }
    return true;
  }

  #generateToken(stream: Stream, events: ModelEvent[]): void {
    const { id, outputTokens, maxTokens } = stream.request;
    events.push({ type: "token", id, index: stream.emittedTokens });
    stream.emittedTokens += 1;
    stream.heldTokens += 1;
    this.#usedMemoryTokens += 1;
    this.#generatedTokens += 1;
    const isStopped = stream.emittedTokens >= outputTokens;
    if (!isStopped && stream.emittedTokens < maxTokens) return;
    events.push({ type: "end", id, reason: isStopped ? "stop" : "length" });
    this.#running.splice(this.#running.indexOf(stream), 1);
    this.#usedMemoryTokens -= stream.heldTokens;
  }

  #countCachedTokens(request: ModelRequest): number {
    for (let index = request.prefixes.length - 1; index >= 0; index--) {
      if (!this.#cachedPrefixes.has(request.prefixes[index]!)) continue;
      return Math.min(request.promptTokens - 1, (index + 1) * BLOCK_TOKENS);
    }
    return 0;
  }

  #recordPrefixes(request: ModelRequest): void {
    for (const prefix of request.prefixes) {
      if (!this.#cachedPrefixes.delete(prefix)) this.#addedPrefixes.push(prefix);
      this.#cachedPrefixes.set(prefix, true);
    }
    for (const oldest of this.#cachedPrefixes.keys()) {
      if (this.#cachedPrefixes.size * BLOCK_TOKENS <= this.parameters.cacheTokens) {
        return;
      }
      this.#cachedPrefixes.delete(oldest);
      this.#removedPrefixes.push(oldest);
    }
  }
}

/** Creates the text of a token; equal arguments yield equal texts on every engine. */
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

/** Returns N if the prompt contains `[len=N]`, else a length drawn by {@link drawLogNormal}. */
export function computeOutputTokens(prompt: string, seed: number): number {
  const requestedLength = /\[len=(\d+)\]/.exec(prompt);
  if (requestedLength !== null) return Number(requestedLength[1]);
  const random = new core.SeededRandom(core.computeHash32(`${prompt}|${seed}`));
  return drawLogNormal(random, { median: 60, sigma: 1.2 });
}

/** Draws an integer of at least 1 from a log-normal distribution. */
export function drawLogNormal(
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
