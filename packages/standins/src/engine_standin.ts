/**
 * Simulates a model engine over HTTP: runs {@link engineModel.EngineModel} in real time, streams
 * its tokens as server-sent events, and accepts engine orders. Its ledger lets a test check which
 * generations and orders reached the engine.
 */

import type * as http from "node:http";
import * as core from "@peridotvale/core";
import * as engineModel from "./engine_model.ts";
import * as httpServer from "./http_server.ts";

export interface EngineStandinOptions {
  readonly host: string;
  readonly port: number;
  readonly parameters: engineModel.EngineParameters;
  readonly loadedModels: readonly {
    readonly model: string;
    readonly version: string;
  }[];
  /** Interval at which the load report in `/status` and the cache events are refreshed. */
  readonly reportLagMs: number;
  /** Whether the engine refuses orders with a lower fencing number than it has seen. */
  readonly checksFencing: boolean;
  readonly modelLoadMs: number;
  /** Appended to the model version in token hashes; different salts yield different tokens. */
  readonly salt: string;
}

/** Faults that a test injects by posting them to `/faults`. */
export interface EngineFaults {
  /** Sends each event twice, until the faults are replaced. */
  readonly duplicate?: boolean;
  /** Sends one additional event, with another generation's id, on the next stream. */
  readonly crossOnce?: boolean;
  /** Omits one event of the next stream. */
  readonly skipOnce?: boolean;
}

/** A generation that the engine has started, kept until the process ends. */
export interface EngineLedgerEntry {
  /** Id of the attempt, from the request header `x-request-id`. */
  readonly attempt: string;
  /** Id of the generation. */
  readonly generation: string;
  /** Count of the tokens generated so far. */
  tokens: number;
  ended: boolean;
  cancelled: boolean;
}

interface Generation {
  readonly id: string;
  readonly ledgerEntry: EngineLedgerEntry;
  readonly kind: "completion" | "chat";
  readonly version: string;
  readonly prompt: string;
  readonly seed: number;
  readonly promptTokens: number;
  readonly tokens: string[];
  finishReason: string | undefined;
  client: StreamClient | undefined;
  /** Time at which the last client disconnected, by `performance.now()`. */
  detachedAt: number;
}

/** The connection to which a generation's events are sent. */
interface StreamClient {
  readonly response: http.ServerResponse;
  nextSequence: number;
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

/** An order that the engine received, whether accepted or refused. */
export interface OrderLedgerEntry {
  /** Time of receipt in milliseconds since the epoch. */
  readonly at: number;
  readonly fencing: number;
  readonly type: string;
  readonly model: string | undefined;
  readonly accepted: boolean;
}

const MAX_BUFFERED_BYTES = 256 * 1024;
const STEP_POLL_INTERVAL_MS = 2;
const MAX_CACHE_EVENTS = 50;

export class EngineStandin {
  readonly #options: EngineStandinOptions;
  readonly #engineModel: engineModel.EngineModel;
  readonly #generations = new Map<string, Generation>();
  readonly #ledger: EngineLedgerEntry[] = [];
  readonly #orders: OrderLedgerEntry[] = [];
  #loadedModels: LoadedModel[];
  #isLeaving = false;
  #cacheEvents: CacheEvent[] = [];
  #cacheSequence = 0;
  #role = "serving";
  #highestFencing = 0;
  #injectedFaults: EngineFaults = {};
  #loadReport: unknown;
  #nextStepAt = performance.now();
  #startedGenerationCount = 0;
  #timers: NodeJS.Timeout[] = [];
  #server: httpServer.RunningServer | undefined;

  constructor(options: EngineStandinOptions) {
    this.#options = options;
    this.#engineModel = new engineModel.EngineModel(options.parameters);
    this.#loadedModels = options.loadedModels.map((entry) => ({
      ...entry,
      adapters: [],
      state: "ready",
    }));
  }

  /** Starts listening and returns the address as `host:port`. */
  async start(): Promise<string> {
    this.#loadReport = this.#createLoadReport();
    this.#server = await httpServer.startServer(
      (request, response) => this.#handle(request, response),
      this.#options,
    );
    this.#timers = [
      setInterval(() => this.#runDueSteps(), STEP_POLL_INTERVAL_MS),
      setInterval(() => {
        this.#loadReport = this.#createLoadReport();
        this.#recordCacheEvents();
      }, this.#options.reportLagMs),
    ];
    return this.#server.address;
  }

  /** Closes the server and its connections without waiting for open streams. */
  stop(): void {
    for (const timer of this.#timers) clearInterval(timer);
    this.#server?.close();
  }

  /** Refuses new generations from now on and reports this in `/status`. */
  startLeaving(): void {
    this.#isLeaving = true;
  }

  /** Count of running and waiting generations. */
  get activeGenerationCount(): number {
    return this.#engineModel.runningCount + this.#engineModel.waitingCount;
  }

  #handle(request: httpServer.StandinRequest, response: http.ServerResponse): void {
    const { method, path } = request;
    if (method === "POST" && path === "/v1/completions") {
      return this.#startGeneration(request, response, "completion");
    }
    if (method === "POST" && path === "/v1/chat/completions") {
      return this.#startGeneration(request, response, "chat");
    }
    if (path === "/v1/generations") {
      return httpServer.sendJson(response, 200, {
        generations: this.#listGenerations(),
      });
    }
    if (path.startsWith("/v1/generations/")) {
      return this.#handleGeneration(request, response);
    }
    if (path === "/status") {
      return httpServer.sendJson(response, 200, {
        ...this.#loadReport as object,
        accepting: this.#isAccepting(),
        role: this.#role,
      });
    }
    if (path === "/cache-events") {
      return this.#sendCacheEvents(Number(request.query.get("after") ?? 0), response);
    }
    if (path === "/orders") return this.#applyOrder(request, response);
    if (path === "/ledger") {
      return httpServer.sendJson(response, 200, {
        generations: this.#ledger,
        orders: this.#orders,
        preemptions: this.#engineModel.preemptions,
        tokens: this.#engineModel.generatedTokens,
      });
    }
    if (path === "/faults") {
      this.#injectedFaults = JSON.parse(request.body);
      return httpServer.sendJson(response, 200, {});
    }
    httpServer.sendJson(response, 404, { message: "no such path" });
  }

  #startGeneration(
    request: httpServer.StandinRequest,
    response: http.ServerResponse,
    kind: "completion" | "chat",
  ): void {
    const body = JSON.parse(request.body) as GenerationBody;
    const loadedModel = this.#loadedModels.find((entry) => entry.model === body.model);
    if (!this.#isAccepting() || loadedModel?.state !== "ready") {
      const message = this.#isAccepting() ? "model is not loaded" : "not accepting";
      return httpServer.sendJson(response, 503, { message });
    }
    const messageLines = (body.messages ?? []).map((line) => `${line.role}: ${line.content}`);
    const prompt = body.prompt ?? messageLines.join("\n");
    this.#startedGenerationCount += 1;
    const id = `g${this.#startedGenerationCount}-${this.#options.port}-${
      Math.floor(performance.timeOrigin) % 1e6
    }`;
    const attempt = String(request.headers["x-request-id"] ?? "");
    const ledgerEntry = {
      attempt,
      generation: id,
      tokens: 0,
      ended: false,
      cancelled: false,
    };
    this.#ledger.push(ledgerEntry);
    const promptTokens = Math.ceil(prompt.length / 4);
    const generation: Generation = {
      id,
      ledgerEntry,
      kind,
      version: loadedModel.version,
      prompt,
      seed: body.seed ?? 0,
      promptTokens,
      tokens: [],
      finishReason: undefined,
      client: undefined,
      detachedAt: performance.now(),
    };
    this.#generations.set(id, generation);
    this.#engineModel.addRequest({
      id,
      promptTokens,
      prefixes: core.computePrefixHashes(prompt),
      outputTokens: engineModel.computeOutputTokens(prompt, generation.seed),
      maxTokens: body.max_tokens ?? Infinity,
      priority: body.priority ?? 0,
    });
    this.#attach(generation, response, { attempt, nextSequence: 0 });
  }

  #handleGeneration(
    request: httpServer.StandinRequest,
    response: http.ServerResponse,
  ): void {
    const id = decodeURIComponent(
      request.path.slice("/v1/generations/".length),
    );
    const generation = this.#generations.get(id);
    if (generation === undefined) {
      return httpServer.sendJson(response, 404, { message: "no such generation" });
    }
    if (request.method === "DELETE") {
      if (generation.finishReason === undefined) generation.ledgerEntry.cancelled = true;
      this.#engineModel.cancelRequest(id);
      this.#generations.delete(id);
      generation.client?.response.end(
        `event: error\ndata: {"message":"cancelled"}\n\n`,
      );
      return httpServer.sendJson(response, 200, {});
    }
    const lastEventId = request.headers["last-event-id"];
    const nextSequence = lastEventId === undefined
      ? 0
      : Number(String(lastEventId).split(":")[1]) + 1;
    const attempt = String(request.headers["x-request-id"] ?? "");
    generation.client?.response.destroy();
    this.#attach(generation, response, { attempt, nextSequence });
  }

  #attach(
    generation: Generation,
    response: http.ServerResponse,
    options: { readonly attempt: string; readonly nextSequence: number },
  ): void {
    response.writeHead(200, {
      "content-type": "text/event-stream",
      "x-request-id": options.attempt,
      "x-generation-id": generation.id,
      "x-model-version": generation.version,
    });
    response.flushHeaders();
    const client = { response, nextSequence: options.nextSequence };
    generation.client = client;
    response.on("close", () => {
      if (generation.client !== client) return;
      generation.client = undefined;
      generation.detachedAt = performance.now();
    });
    response.on("drain", () => this.#sendEvents(generation));
    this.#sendEvents(generation);
  }

  #runDueSteps(): void {
    const now = performance.now();
    if (!this.#engineModel.hasWork) {
      this.#nextStepAt = now;
      return;
    }
    while (this.#engineModel.hasWork && this.#nextStepAt <= now) {
      const step = this.#engineModel.runStep();
      // After a pause, at most 1 s of missed steps is run.
      this.#nextStepAt = Math.max(this.#nextStepAt, now - 1_000) +
        step.durationMs;
      for (const event of step.events) this.#applyEvent(event);
    }
  }

  #applyEvent(event: engineModel.ModelEvent): void {
    const generation = this.#generations.get(event.id);
    if (generation === undefined || event.type === "preempted") return;
    if (event.type === "token") {
      const tokenSource = {
        ...generation,
        version: generation.version + this.#options.salt,
      };
      generation.tokens.push(engineModel.createTokenText(tokenSource, event.index));
      generation.ledgerEntry.tokens += 1;
    } else {
      generation.finishReason = event.reason;
      generation.ledgerEntry.ended = true;
    }
    this.#sendEvents(generation);
  }

  #sendEvents(generation: Generation): void {
    const client = generation.client;
    if (client === undefined || client.response.writableEnded) return;
    while (client.nextSequence < generation.tokens.length) {
      if (client.response.writableLength > MAX_BUFFERED_BYTES) return;
      this.#sendToken(generation, client);
    }
    if (generation.finishReason === undefined) return;
    const usage = { prompt_tokens: generation.promptTokens };
    const endEvent = this.#formatEvent(generation, generation.tokens.length, "", {
      usage,
    });
    client.response.end(`${endEvent}data: [DONE]\n\n`);
  }

  #sendToken(generation: Generation, client: StreamClient): void {
    const sequence = client.nextSequence;
    const text = generation.tokens[sequence]!;
    const event = this.#formatEvent(generation, sequence, text, {});
    client.nextSequence += 1;
    if (this.#injectedFaults.skipOnce && sequence > 0) {
      this.#injectedFaults = { ...this.#injectedFaults, skipOnce: false };
      return;
    }
    if (this.#injectedFaults.crossOnce && sequence > 0) {
      this.#injectedFaults = { ...this.#injectedFaults, crossOnce: false };
      client.response.write(
        this.#formatEvent({ ...generation, id: "other" }, sequence, "x", {}),
      );
    }
    client.response.write(event);
    if (this.#injectedFaults.duplicate) client.response.write(event);
  }

  #formatEvent(
    generation: Generation,
    sequence: number,
    text: string,
    options: { readonly usage?: { readonly prompt_tokens: number } },
  ): string {
    const finish_reason = options.usage === undefined ? null : generation.finishReason;
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
    const generations = [];
    for (const generation of this.#generations.values()) {
      if (generation.finishReason !== undefined) continue;
      generations.push({
        generation: generation.id,
        attempt: generation.ledgerEntry.attempt,
        tokens: generation.tokens.length,
        attached: generation.client !== undefined,
        detachedMs: generation.client ? 0 : performance.now() - generation.detachedAt,
      });
    }
    return generations;
  }

  #applyOrder(
    request: httpServer.StandinRequest,
    response: http.ServerResponse,
  ): void {
    const { fencing, order } = JSON.parse(request.body) as OrderBody;
    const accepted = !this.#options.checksFencing || fencing >= this.#highestFencing;
    this.#highestFencing = Math.max(this.#highestFencing, fencing);
    this.#orders.push({
      at: Date.now(),
      fencing,
      type: order.type,
      model: order.model,
      accepted,
    });
    if (!accepted) {
      return httpServer.sendJson(response, 409, { message: "old fencing number" });
    }
    if (order.type === "unload_model" || order.type === "load_model") {
      this.#loadedModels = this.#loadedModels.filter((entry) => entry.model !== order.model);
    }
    if (order.type === "load_model") {
      const loadedModel: LoadedModel = {
        model: order.model!,
        version: order.version!,
        adapters: order.adapters ?? [],
        state: "loading",
      };
      this.#loadedModels.push(loadedModel);
      setTimeout(() => loadedModel.state = "ready", this.#options.modelLoadMs);
    }
    if (order.type === "set_role") this.#role = order.role!;
    httpServer.sendJson(response, 200, {});
  }

  /**
   * Sends the events after the sequence number `after`. Only the last {@link MAX_CACHE_EVENTS}
   * events are kept, so a client that polls too rarely sees a gap in the sequence numbers.
   */
  #sendCacheEvents(after: number, response: http.ServerResponse): void {
    const events = this.#cacheEvents.filter((event) => event.sequence > after);
    httpServer.sendJson(response, 200, { last: this.#cacheSequence, events });
  }

  #recordCacheEvents(): void {
    const { added, removed } = this.#engineModel.takeCacheChanges();
    if (added.length === 0 && removed.length === 0) return;
    this.#cacheSequence += 1;
    this.#cacheEvents.push({ sequence: this.#cacheSequence, added, removed });
    this.#cacheEvents = this.#cacheEvents.slice(-MAX_CACHE_EVENTS);
  }

  #isAccepting(): boolean {
    return !this.#isLeaving && this.#role === "serving";
  }

  #createLoadReport() {
    return {
      models: this.#loadedModels.map((entry) => ({ ...entry })),
      runningStreams: this.#engineModel.runningCount,
      memoryUsedTokens: this.#engineModel.usedMemoryTokens,
      memoryLimitTokens: this.#options.parameters.memoryTokens,
      maxBatch: this.#options.parameters.maxBatch,
      preemptions: this.#engineModel.preemptions,
      fencing: this.#highestFencing,
    };
  }
}
