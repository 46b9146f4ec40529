/** A stand-in for a model engine, on a real clock. */

import type * as http from "node:http";
import * as core from "@peridotvale/core";
import * as models from "./engine_model.ts";
import * as plain from "./http_server.ts";

/** Options of an engine stand-in. */
export interface EngineStandinOptions {
  readonly host: string;
  readonly port: number;
  readonly parameters: models.EngineParameters;
  readonly loaded: readonly {
    readonly model: string;
    readonly version: string;
  }[];
  /** Lag of the load report. */
  readonly reportLagMs: number;
  /** Whether orders with an old fencing number are refused. */
  readonly fencing: boolean;
  /** Time that loading a model takes. */
  readonly loadMs: number;
  /** Text that makes this engine's tokens differ from others'. */
  readonly salt: string;
}

/** Faults that tests ask for. */
export interface EngineFaults {
  /** Sends each event twice. */
  readonly duplicate?: boolean;
  /** Sends one event of another generation into the next stream. */
  readonly crossOnce?: boolean;
  /** Leaves out one event of the next stream. */
  readonly skipOnce?: boolean;
}

/** One generation ever started. */
export interface EngineLedgerEntry {
  readonly attempt: string;
  readonly generation: string;
  tokens: number;
  ended: boolean;
  cancelled: boolean;
}

interface Generation {
  readonly id: string;
  readonly entry: EngineLedgerEntry;
  readonly kind: "completion" | "chat";
  readonly version: string;
  readonly prompt: string;
  readonly seed: number;
  readonly promptTokens: number;
  readonly tokens: string[];
  finish: string | undefined;
  reader: Reader | undefined;
  detachedAt: number;
}

interface Reader {
  readonly response: http.ServerResponse;
  next: number;
}

interface GenerationBody {
  readonly model: string;
  readonly prompt?: string;
  readonly messages?: readonly {
    readonly role: string;
    readonly content: string;
  }[];
  readonly seed?: number;
  readonly max_tokens?: number;
  readonly priority?: number;
}

interface LoadedModel {
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
  state: "loading" | "ready";
}

interface CacheEvent {
  readonly sequence: number;
  readonly added: readonly number[];
  readonly removed: readonly number[];
}

interface OrderBody {
  readonly fencing: number;
  readonly order: {
    readonly type: string;
    readonly model?: string;
    readonly version?: string;
    readonly adapters?: readonly string[];
    readonly role?: string;
  };
}

/** An order that was carried out. */
export interface OrderLedgerEntry {
  readonly at: number;
  readonly fencing: number;
  readonly type: string;
  readonly model: string | undefined;
  readonly accepted: boolean;
}

const MAX_BUFFERED_BYTES = 256 * 1024;
const IDLE_POLL_MS = 2;
const MAX_CACHE_EVENTS = 50;

/** The engine. */
export class EngineStandin {
  readonly #options: EngineStandinOptions;
  readonly #model: models.EngineModel;
  readonly #generations = new Map<string, Generation>();
  readonly #ledger: EngineLedgerEntry[] = [];
  readonly #orders: OrderLedgerEntry[] = [];
  #loaded: LoadedModel[];
  #isLeaving = false;
  #cacheEvents: CacheEvent[] = [];
  #cacheSequence = 0;
  #role = "serving";
  #fencing = 0;
  #faults: EngineFaults = {};
  #report: unknown;
  #nextStepAt = performance.now();
  #nextId = 0;
  #timers: NodeJS.Timeout[] = [];
  #server: plain.PlainServer | undefined;

  constructor(options: EngineStandinOptions) {
    this.#options = options;
    this.#model = new models.EngineModel(options.parameters);
    this.#loaded = options.loaded.map((entry) => ({
      ...entry,
      adapters: [],
      state: "ready",
    }));
  }

  /** Starts to listen; returns the address. */
  async start(): Promise<string> {
    this.#report = this.#createReport();
    this.#server = await plain.startPlainServer(
      (request, response) => this.#handle(request, response),
      this.#options,
    );
    this.#timers = [
      setInterval(() => this.#runDueSteps(), IDLE_POLL_MS),
      setInterval(() => {
        this.#report = this.#createReport();
        this.#recordCacheEvents();
      }, this.#options.reportLagMs),
    ];
    return this.#server.address;
  }

  /** Stops at once. */
  stop(): void {
    for (const timer of this.#timers) clearInterval(timer);
    this.#server?.close();
  }

  /** Announces that the engine leaves: no new work. */
  startLeaving(): void {
    this.#isLeaving = true;
  }

  /** Generations that are not finished. */
  get runningCount(): number {
    return this.#model.runningCount + this.#model.waitingCount;
  }

  #handle(request: plain.PlainRequest, response: http.ServerResponse): void {
    const { method, path } = request;
    if (method === "POST" && path === "/v1/completions") {
      return this.#startGeneration(request, response, "completion");
    }
    if (method === "POST" && path === "/v1/chat/completions") {
      return this.#startGeneration(request, response, "chat");
    }
    if (path === "/v1/generations") {
      return plain.sendJson(response, 200, {
        generations: this.#listGenerations(),
      });
    }
    if (path.startsWith("/v1/generations/")) {
      return this.#handleGeneration(request, response);
    }
    if (path === "/status") {
      return plain.sendJson(response, 200, {
        ...this.#report as object,
        accepting: this.#isAccepting(),
        role: this.#role,
      });
    }
    if (path === "/cache-events") {
      return this.#sendCacheEvents(Number(request.query.get("after") ?? 0), response);
    }
    if (path === "/orders") return this.#applyOrder(request, response);
    if (path === "/ledger") {
      return plain.sendJson(response, 200, {
        generations: this.#ledger,
        orders: this.#orders,
        preemptions: this.#model.preemptions,
        tokens: this.#model.tokens,
      });
    }
    if (path === "/faults") {
      this.#faults = JSON.parse(request.body);
      return plain.sendJson(response, 200, {});
    }
    plain.sendJson(response, 404, { message: "no such path" });
  }

  #startGeneration(
    request: plain.PlainRequest,
    response: http.ServerResponse,
    kind: "completion" | "chat",
  ): void {
    const body = JSON.parse(request.body) as GenerationBody;
    const loaded = this.#loaded.find((entry) => entry.model === body.model);
    if (!this.#isAccepting() || loaded?.state !== "ready") {
      const message = this.#isAccepting() ? "model is not loaded" : "not accepting";
      return plain.sendJson(response, 503, { message });
    }
    const lines = (body.messages ?? []).map((line) => `${line.role}: ${line.content}`);
    const prompt = body.prompt ?? lines.join("\n");
    this.#nextId += 1;
    const id = `g${this.#nextId}-${this.#options.port}-${Math.floor(performance.timeOrigin) % 1e6}`;
    const attempt = String(request.headers["x-request-id"] ?? "");
    const entry = {
      attempt,
      generation: id,
      tokens: 0,
      ended: false,
      cancelled: false,
    };
    this.#ledger.push(entry);
    const promptTokens = Math.ceil(prompt.length / 4);
    const generation: Generation = {
      id,
      entry,
      kind,
      version: loaded.version,
      prompt,
      seed: body.seed ?? 0,
      promptTokens,
      tokens: [],
      finish: undefined,
      reader: undefined,
      detachedAt: performance.now(),
    };
    this.#generations.set(id, generation);
    this.#model.addRequest({
      id,
      promptTokens,
      prefixes: core.computePrefixHashes(prompt),
      outputTokens: models.computeOutputTokens(prompt, generation.seed),
      maxTokens: body.max_tokens ?? Infinity,
      priority: body.priority ?? 0,
    });
    this.#attach(generation, response, { attempt, next: 0 });
  }

  #handleGeneration(
    request: plain.PlainRequest,
    response: http.ServerResponse,
  ): void {
    const id = decodeURIComponent(
      request.path.slice("/v1/generations/".length),
    );
    const generation = this.#generations.get(id);
    if (generation === undefined) {
      return plain.sendJson(response, 404, { message: "no such generation" });
    }
    if (request.method === "DELETE") {
      if (generation.finish === undefined) generation.entry.cancelled = true;
      this.#model.cancelRequest(id);
      this.#generations.delete(id);
      generation.reader?.response.end(
        `event: error\ndata: {"message":"cancelled"}\n\n`,
      );
      return plain.sendJson(response, 200, {});
    }
    const last = request.headers["last-event-id"];
    const next = last === undefined ? 0 : Number(String(last).split(":")[1]) + 1;
    const attempt = String(request.headers["x-request-id"] ?? "");
    generation.reader?.response.destroy();
    this.#attach(generation, response, { attempt, next });
  }

  #attach(
    generation: Generation,
    response: http.ServerResponse,
    options: { readonly attempt: string; readonly next: number },
  ): void {
    response.writeHead(200, {
      "content-type": "text/event-stream",
      "x-request-id": options.attempt,
      "x-generation-id": generation.id,
      "x-model-version": generation.version,
    });
    response.flushHeaders();
    const reader = { response, next: options.next };
    generation.reader = reader;
    response.on("close", () => {
      if (generation.reader !== reader) return;
      generation.reader = undefined;
      generation.detachedAt = performance.now();
    });
    response.on("drain", () => this.#sendEvents(generation));
    this.#sendEvents(generation);
  }

  #runDueSteps(): void {
    const now = performance.now();
    if (!this.#model.hasWork) {
      this.#nextStepAt = now;
      return;
    }
    while (this.#model.hasWork && this.#nextStepAt <= now) {
      const step = this.#model.runStep();
      this.#nextStepAt = Math.max(this.#nextStepAt, now - 1_000) +
        step.durationMs;
      for (const event of step.events) this.#applyEvent(event);
    }
  }

  #applyEvent(event: models.ModelEvent): void {
    const generation = this.#generations.get(event.id);
    if (generation === undefined || event.type === "preempted") return;
    if (event.type === "token") {
      const source = {
        ...generation,
        version: generation.version + this.#options.salt,
      };
      generation.tokens.push(models.createTokenText(source, event.index));
      generation.entry.tokens += 1;
    } else {
      generation.finish = event.reason;
      generation.entry.ended = true;
    }
    this.#sendEvents(generation);
  }

  #sendEvents(generation: Generation): void {
    const reader = generation.reader;
    if (reader === undefined || reader.response.writableEnded) return;
    while (reader.next < generation.tokens.length) {
      if (reader.response.writableLength > MAX_BUFFERED_BYTES) return;
      this.#sendToken(generation, reader);
    }
    if (generation.finish === undefined) return;
    const usage = { prompt_tokens: generation.promptTokens };
    const end = this.#formatEvent(generation, generation.tokens.length, "", {
      usage,
    });
    reader.response.end(`${end}data: [DONE]\n\n`);
  }

  #sendToken(generation: Generation, reader: Reader): void {
    const sequence = reader.next;
    const text = generation.tokens[sequence]!;
    const event = this.#formatEvent(generation, sequence, text, {});
    reader.next += 1;
    if (this.#faults.skipOnce && sequence > 0) {
      this.#faults = { ...this.#faults, skipOnce: false };
      return;
    }
    if (this.#faults.crossOnce && sequence > 0) {
      this.#faults = { ...this.#faults, crossOnce: false };
      reader.response.write(
        this.#formatEvent({ ...generation, id: "other" }, sequence, "x", {}),
      );
    }
    reader.response.write(event);
    if (this.#faults.duplicate) reader.response.write(event);
  }

  #formatEvent(
    generation: Generation,
    sequence: number,
    text: string,
    options: { readonly usage?: { readonly prompt_tokens: number } },
  ): string {
    const finish_reason = options.usage === undefined ? null : generation.finish;
    const content = generation.kind === "chat" ? { delta: { content: text } } : { text };
    const choices = [{ index: 0, ...content, finish_reason }];
    const data = JSON.stringify({
      id: generation.id,
      choices,
      usage: options.usage,
    });
    return `id: ${generation.id}:${sequence}\ndata: ${data}\n\n`;
  }

  #listGenerations() {
    const listed = [];
    for (const generation of this.#generations.values()) {
      if (generation.finish !== undefined) continue;
      listed.push({
        generation: generation.id,
        attempt: generation.entry.attempt,
        tokens: generation.tokens.length,
        attached: generation.reader !== undefined,
        detachedMs: generation.reader ? 0 : performance.now() - generation.detachedAt,
      });
    }
    return listed;
  }

  #applyOrder(
    request: plain.PlainRequest,
    response: http.ServerResponse,
  ): void {
    const { fencing, order } = JSON.parse(request.body) as OrderBody;
    const accepted = !this.#options.fencing || fencing >= this.#fencing;
    this.#fencing = Math.max(this.#fencing, fencing);
    this.#orders.push({
      at: Date.now(),
      fencing,
      type: order.type,
      model: order.model,
      accepted,
    });
    if (!accepted) {
      return plain.sendJson(response, 409, { message: "old fencing number" });
    }
    if (order.type === "unload_model" || order.type === "load_model") {
      this.#loaded = this.#loaded.filter((entry) => entry.model !== order.model);
    }
    if (order.type === "load_model") {
      const entry: LoadedModel = {
        model: order.model!,
        version: order.version!,
        adapters: order.adapters ?? [],
        state: "loading",
      };
      this.#loaded.push(entry);
      setTimeout(() => entry.state = "ready", this.#options.loadMs);
    }
    if (order.type === "set_role") this.#role = order.role!;
    plain.sendJson(response, 200, {});
  }

  /** Only events of the last reports are kept, so that a slow reader sees a gap. */
  #sendCacheEvents(after: number, response: http.ServerResponse): void {
    const events = this.#cacheEvents.filter((event) => event.sequence > after);
    plain.sendJson(response, 200, { last: this.#cacheSequence, events });
  }

  #recordCacheEvents(): void {
    const { added, removed } = this.#model.takeCacheChanges();
    if (added.length === 0 && removed.length === 0) return;
    this.#cacheSequence += 1;
    this.#cacheEvents.push({ sequence: this.#cacheSequence, added, removed });
    this.#cacheEvents = this.#cacheEvents.slice(-MAX_CACHE_EVENTS);
  }

  #isAccepting(): boolean {
    return !this.#isLeaving && this.#role === "serving";
  }

  #createReport() {
    return {
      models: this.#loaded.map((entry) => ({ ...entry })),
      runningStreams: this.#model.runningCount,
      memoryUsedTokens: this.#model.memoryUsed,
      memoryLimitTokens: this.#options.parameters.memoryTokens,
      maxBatch: this.#options.parameters.maxBatch,
      preemptions: this.#model.preemptions,
      fencing: this.#fencing,
    };
  }
}
