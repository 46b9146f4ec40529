/**
 * Decides which request gets capacity of which engine, and when. The scheduler is a state
 * machine without I/O: all input arrives as events with the current time.
 */

import * as core from "@peridotvale/core";
import * as choices from "./engine_choice.ts";
import * as engines from "./engine_state.ts";
import type * as reservations from "./slot_reservations.ts";
import * as lengths from "./length_predictor.ts";
import * as models from "./model_state.ts";
import type * as types from "./scheduler_types.ts";

export interface SchedulerOptions {
  /** Predicts output lengths; the default learns them from the observed streams. */
  readonly lengths?: lengths.LengthModel;
}

/** Engines are filled until the time per token is this share of the ranks' strictest target. */
const TOKEN_TARGET_SHARE = 0.9;
/**
 * Streams without output are evicted if memory is predicted to fill up before each stream
 * generates this many more tokens.
 */
const EVICTION_HORIZON_TOKENS = 64;
/** Minimum number of tokens charged in advance for a grant, unless its `maxTokens` is lower. */
const MIN_PREPAID_TOKENS = 16;
/** Charge for a prompt token, relative to the charge for a generated token. */
const PROMPT_TOKEN_COST_RATIO = 0.05;
/** Approximate time from a grant to the first token. */
const FIRST_TOKEN_MARGIN_MS = 100;
const MIN_RETRY_AFTER_MS = 1_000;
const MAX_IDLE_WORKSPACES = 4_096;
/** Maximum number of adopted streams whose engine has not been reported yet. */
const MAX_PENDING_STREAMS = 20_000;

/** The scheduler of the engines that one process owns. */
export class Scheduler implements types.CapacityScheduler {
  readonly #engines = new Map<core.EndpointId, engines.EngineState>();
  readonly #models = new Map<core.ModelName, models.ModelState>();
  readonly #engineByRequest = new Map<core.RequestId, engines.EngineState>();
  readonly #queuedRequests = new Map<core.RequestId, models.QueuedRequest>();
  /** Adopted streams whose engine is unknown until its first update. */
  readonly #pendingStreams = new Map<core.RequestId, types.AdoptedStream>();
  readonly #predictor: lengths.LengthModel;
  #manifest: core.Manifest | undefined;
  #effects: types.SchedulerEffect[] = [];

  constructor(options: SchedulerOptions = {}) {
    this.#predictor = options.lengths ?? new lengths.LengthPredictor();
  }

  /** Number of requests that wait for capacity. */
  get queuedCount(): number {
    return this.#queuedRequests.size;
  }

  /** Number of streams that hold capacity. */
  get openCount(): number {
    return this.#engineByRequest.size;
  }

  handle(
    event: types.SchedulerEvent,
    now: number,
  ): readonly types.SchedulerEffect[] {
    this.#effects = [];
    this.#applyEvent(event, now);
    return this.#effects;
  }

  #applyEvent(event: types.SchedulerEvent, now: number): void {
    switch (event.type) {
      case "manifest_changed":
        return this.#applyManifest(event.manifest, now);
      case "engine_updated":
        return this.#updateEngine(event.engine, now);
      case "engine_removed":
        return this.#removeEngine(event.endpoint);
      case "load_reported":
        return this.#engines.get(event.report.endpoint)?.recordLoad(
          event.report,
          now,
        );
      case "cache_changed":
        return this.#engines.get(event.endpoint)?.cachedPrefixes.applyChange(event.change);
      case "request_arrived":
        return this.#addRequest(event.capacity, now);
      case "stream_adopted":
        return this.#adoptStream(event.stream, now);
      case "tokens_generated":
        return this.#recordTokens(event.request, event.tokens, now);
      case "request_ended":
        return this.#endRequest(event.request, event.end, now);
      case "ticked":
        return this.#runTick(now);
    }
  }

  #applyManifest(manifest: core.Manifest, now: number): void {
    this.#manifest = manifest;
    for (const model of this.#models.values()) this.#updateRanks(model, manifest);
    this.#grantQueuedRequests(now);
  }

  #updateRanks(model: models.ModelState, manifest: core.Manifest): void {
    for (const item of model.updateRanks(manifest)) {
      this.#queuedRequests.delete(item.capacity.request);
      this.#refuseRequest(item.capacity, "unknown_rank");
    }
  }

  #updateEngine(info: types.EngineInfo, now: number): void {
    const engine = this.#engines.get(info.endpoint);
    if (engine === undefined) this.#addEngine(info, now);
    else engine.updateInfo(info);
    this.#grantQueuedRequests(now);
  }

  #addEngine(info: types.EngineInfo, now: number): void {
    this.#engines.set(info.endpoint, new engines.EngineState(info));
    for (const stream of this.#pendingStreams.values()) {
      if (stream.endpoint === info.endpoint) this.#adoptStream(stream, now);
    }
  }

  /** Removes the engine and its streams. The fronts that serve the streams end or move them. */
  #removeEngine(endpoint: core.EndpointId): void {
    const engine = this.#engines.get(endpoint);
    if (engine === undefined) return;
    this.#engines.delete(endpoint);
    for (const stream of engine.streams.values()) {
      this.#engineByRequest.delete(stream.capacity.request);
      this.#recordClosedStream(stream);
    }
  }

  #addRequest(capacity: types.CapacityRequest, now: number): void {
    if (this.#queuedRequests.has(capacity.request)) return;
    const engine = this.#engineByRequest.get(capacity.request);
    if (engine !== undefined) return this.#repeatGrant(capacity.request, engine);
    const reason = this.#findRefusalReason(capacity);
    if (reason !== undefined) return this.#refuseRequest(capacity, reason);
    const model = this.#getModel(capacity.model);
    const rank = model.getRank(capacity.rank);
    const item = {
      workspace: capacity.workspace,
      startBy: capacity.startBy - FIRST_TOKEN_MARGIN_MS,
      arrivedAt: now,
      capacity,
    };
    this.#enqueue(rank, item);
    this.#grantModelRequests(model, now);
    if (!this.#queuedRequests.has(capacity.request)) return;
    rank.demandPeak.recordValue(rank.openStreams + rank.queue.size, now);
    if (!capacity.mayQueue) {
      this.#unqueue(rank, item);
      return this.#refuseRequest(capacity, "busy");
    }
    const weight = this.#getWeight(capacity.workspace);
    const waitMs = model.predictWaitMs(rank, capacity.workspace, { weight, now });
    if (now + waitMs <= item.startBy) return;
    this.#unqueue(rank, item);
    this.#refuseRequest(capacity, "queue_too_long", waitMs);
  }

  /** Answers a repeated request with the same grant, since the first answer may have been lost. */
  #repeatGrant(request: core.RequestId, engine: engines.EngineState): void {
    const { endpoint } = engine.info;
    this.#effects.push({ type: "granted", request, endpoint, queuedMs: 0 });
  }

  #findRefusalReason(
    capacity: types.CapacityRequest,
  ): types.RefusalReason | undefined {
    if (this.#manifest === undefined) return "no_endpoint";
    if (!this.#manifest.workspaces.has(capacity.workspace)) {
      return "unknown_workspace";
    }
    if (!this.#manifest.ranks.has(capacity.rank)) return "unknown_rank";
    if (!this.#manifest.models.has(capacity.model)) return "unknown_model";
    let engineCount = 0;
    for (const engine of this.#engines.values()) {
      if (!engine.info.models.includes(capacity.model)) continue;
      engineCount += 1;
      if (engine.canFitAlone(capacity.promptTokens + 1)) return undefined;
    }
    return engineCount === 0 ? "no_endpoint" : "too_large";
  }

  #adoptStream(adoptedStream: types.AdoptedStream, now: number): void {
    const engine = this.#engines.get(adoptedStream.endpoint);
    const request = adoptedStream.capacity.request;
    if (this.#engineByRequest.has(request)) return;
    if (engine === undefined) {
      if (this.#pendingStreams.size < MAX_PENDING_STREAMS) {
        this.#pendingStreams.set(request, adoptedStream);
      }
      return;
    }
    this.#pendingStreams.delete(request);
    this.#openStream(engine, adoptedStream.capacity, now);
    engine.streams.get(request)!.emittedTokens = adoptedStream.emittedTokens;
  }

  #recordTokens(request: core.RequestId, tokens: number, now: number): void {
    const engine = this.#engineByRequest.get(request);
    if (engine === undefined || tokens <= 0) return;
    const stream = engine.streams.get(request)!;
    const previousTokens = stream.emittedTokens;
    engine.recordTokens(stream, tokens, now);
    this.#predictor.recordProgress(stream.capacity, previousTokens, {
      toTokens: stream.emittedTokens,
    });
    const coveredTokens = Math.min(stream.prepaidTokens, tokens);
    stream.prepaidTokens -= coveredTokens;
    this.#chargeTokens(stream.capacity, tokens - coveredTokens);
  }

  #endRequest(request: core.RequestId, end: types.StreamEnd, now: number): void {
    this.#pendingStreams.delete(request);
    const item = this.#queuedRequests.get(request);
    if (item !== undefined) {
      const model = this.#getModel(item.capacity.model);
      this.#unqueue(model.getRank(item.capacity.rank), item);
      return;
    }
    const engine = this.#engineByRequest.get(request);
    if (engine === undefined) return;
    const stream = engine.streams.get(request)!;
    if (end === "completed" && stream.emittedTokens < stream.capacity.maxTokens) {
      this.#predictor.recordEnd(stream.capacity, stream.emittedTokens);
    }
    if (stream.emittedTokens > 0) {
      this.#getModel(stream.capacity.model).recordHoldTime(now - stream.grantedAt);
    }
    this.#closeStream(engine, stream);
    if (end === "not_taken") engine.recordNotTaken(now);
    this.#grantModelRequests(this.#getModel(stream.capacity.model), now);
  }

  #runTick(now: number): void {
    for (const [name, model] of this.#models) {
      this.#updateReservations(model, name, now);
      for (const rank of model.ranks) {
        for (const item of rank.queue.removeExpiredItems(now)) {
          this.#queuedRequests.delete(item.capacity.request);
          this.#refuseRequest(item.capacity, "deadline_exceeded");
        }
        rank.queue.dropIdleWorkspaces(MAX_IDLE_WORKSPACES);
      }
    }
    for (const engine of this.#engines.values()) {
      this.#evictStreamsWithoutOutput(engine, now);
    }
    this.#grantQueuedRequests(now);
  }

  /** Evicts streams without output, least urgent and newest first, before memory fills up. */
  #evictStreamsWithoutOutput(engine: engines.EngineState, now: number): void {
    engine.updateForecast(this.#predictor, now);
    while (engine.isMemoryFilling(EVICTION_HORIZON_TOKENS, now)) {
      const stream = findEvictableStream(engine);
      if (stream === undefined) return;
      const capacity = stream.capacity;
      this.#closeStream(engine, stream);
      engine.updateForecast(this.#predictor, now);
      this.#effects.push({
        type: "evicted",
        request: capacity.request,
        endpoint: engine.info.endpoint,
      });
    }
  }

  #grantQueuedRequests(now: number): void {
    for (const model of this.#models.values()) this.#grantModelRequests(model, now);
  }

  #grantModelRequests(model: models.ModelState, now: number): void {
    while (true) {
      const hasGranted = this.#grantNextRequest(model, now);
      if (!hasGranted) return;
    }
  }

  /** Grants the next request. Ranks below their floor go first, then the more urgent ranks. */
  #grantNextRequest(model: models.ModelState, now: number): boolean {
    for (const isBelowFloorPass of [true, false]) {
      for (const rank of model.ranks) {
        if (rank.queue.size === 0) continue;
        if (model.rankCredits.isBelowFloor(rank.name) !== isBelowFloorPass) continue;
        const item = rank.queue.getNextItem(now);
        if (item === undefined) continue;
        const engine = this.#chooseEngine(model, rank, item.capacity, now);
        if (engine === undefined && this.#grantLowDemandRequest(model, rank, now)) return true;
        if (engine === undefined) {
          model.recordSaturation(now);
          if (isBelowFloorPass) continue;
          return false;
        }
        this.#grantRequest(rank, item, engine, now);
        return true;
      }
    }
    return false;
  }

  /** Grants a low-demand request queued behind a request that may not use the reserved slots. */
  #grantLowDemandRequest(model: models.ModelState, rank: models.RankQueue, now: number): boolean {
    if (rank !== model.ranks[0] || !model.lowDemand.hasReservations) return false;
    const item = rank.queue.getNextAcceptedItem(
      (workspace) => model.lowDemand.isLowDemand(workspace),
      now,
    );
    if (item === undefined) return false;
    const engine = this.#chooseEngine(model, rank, item.capacity, now);
    if (engine === undefined) return false;
    this.#grantRequest(rank, item, engine, now);
    return true;
  }

  #grantRequest(
    rank: models.RankQueue,
    item: models.QueuedRequest,
    engine: engines.EngineState,
    now: number,
  ): void {
    this.#unqueue(rank, item);
    this.#openStream(engine, item.capacity, now);
    rank.grantRate.recordAmount(1, now);
    this.#effects.push({
      type: "granted",
      request: item.capacity.request,
      endpoint: engine.info.endpoint,
      queuedMs: now - item.arrivedAt,
    });
  }

  #chooseEngine(
    model: models.ModelState,
    rank: models.RankQueue,
    capacity: types.CapacityRequest,
    now: number,
  ): engines.EngineState | undefined {
    const tokenTargetMs = this.#getTokenTargetMs();
    const choice = { model, rank, capacity, predictor: this.#predictor, tokenTargetMs };
    return choices.chooseEngine({ engines: this.#engines.values(), ...choice }, now);
  }

  #updateReservations(model: models.ModelState, name: core.ModelName, now: number): void {
    const rank = model.ranks[0];
    if (rank === undefined) return;
    const tokenTargetMs = this.#getTokenTargetMs();
    const servingEngines: reservations.ReservableEngine[] = [];
    for (const engine of this.#engines.values()) {
      if (!choices.isServing(engine, name)) continue;
      const { endpoint } = engine.info;
      const maxBatch = choices.predictMaxBatch(engine, tokenTargetMs);
      servingEngines.push({ endpoint, maxBatch, ...engine.speed.coefficients });
    }
    model.lowDemand.updateReservations(rank, servingEngines, now);
  }

  /** Returns the shortest target time between tokens of all ranks, less a margin. */
  #getTokenTargetMs(): number {
    let targetMs = Infinity;
    for (const rank of this.#manifest?.ranks.values() ?? []) {
      targetMs = Math.min(targetMs, rank.betweenTokensMs);
    }
    return targetMs * TOKEN_TARGET_SHARE;
  }

  #openStream(
    engine: engines.EngineState,
    capacity: types.CapacityRequest,
    now: number,
  ): void {
    const survival = this.#predictor.getSurvivalCurve(capacity);
    const model = this.#getModel(capacity.model);
    const rank = model.getRank(capacity.rank);
    const expectedTokens = survival.computeQuantile(0, 0.5);
    const stream = {
      capacity,
      rankOrder: rank.order,
      grantedAt: now,
      emittedTokens: 0,
      lastReportAt: now,
      prepaidTokens: Math.min(
        capacity.maxTokens,
        Math.max(MIN_PREPAID_TOKENS, expectedTokens),
      ),
      isLowDemand: choices.isLowDemandRequest(model, rank, capacity),
    };
    engine.addStream(stream, survival);
    engine.cachedPrefixes.recordPrompt(capacity.prefixes);
    this.#engineByRequest.set(capacity.request, engine);
    rank.openStreams += 1;
    rank.workspaceShares.recordOpened(capacity.workspace, this.#getWeight(capacity.workspace));
    rank.demandPeak.recordValue(rank.openStreams, now);
    const promptCost = capacity.promptTokens * PROMPT_TOKEN_COST_RATIO;
    this.#chargeTokens(capacity, stream.prepaidTokens + promptCost);
  }

  #closeStream(
    engine: engines.EngineState,
    stream: engines.ActiveStream,
  ): void {
    engine.removeStream(stream, this.#predictor.getSurvivalCurve(stream.capacity));
    this.#engineByRequest.delete(stream.capacity.request);
    this.#recordClosedStream(stream);
  }

  #recordClosedStream(stream: engines.ActiveStream): void {
    const rank = this.#getModel(stream.capacity.model).getRank(stream.capacity.rank);
    rank.openStreams -= 1;
    rank.workspaceShares.recordClosed(stream.capacity.workspace);
    this.#chargeTokens(stream.capacity, -stream.prepaidTokens);
  }

  #chargeTokens(capacity: types.CapacityRequest, tokens: number): void {
    if (tokens === 0) return;
    const model = this.#getModel(capacity.model);
    const rank = model.getRank(capacity.rank);
    rank.queue.chargeTokens(
      capacity.workspace,
      tokens,
      this.#getWeight(capacity.workspace),
    );
    model.recordServed(rank, tokens);
  }

  #getWeight(workspace: core.WorkspaceName): number {
    return this.#manifest?.workspaces.get(workspace)?.weight ?? 1;
  }

  #enqueue(rank: models.RankQueue, item: models.QueuedRequest): void {
    this.#queuedRequests.set(item.capacity.request, item);
    rank.queue.addItem(item, this.#getWeight(item.workspace));
  }

  #unqueue(rank: models.RankQueue, item: models.QueuedRequest): void {
    this.#queuedRequests.delete(item.capacity.request);
    rank.queue.removeItem(item);
  }

  #refuseRequest(
    capacity: types.CapacityRequest,
    reason: types.RefusalReason,
    waitMs = 0,
  ): void {
    this.#effects.push({
      type: "refused",
      request: capacity.request,
      reason,
      retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, Math.ceil(waitMs)),
    });
  }

  #getModel(name: core.ModelName): models.ModelState {
    let model = this.#models.get(name);
    if (model === undefined) {
      model = new models.ModelState();
      this.#models.set(name, model);
      if (this.#manifest !== undefined) this.#updateRanks(model, this.#manifest);
    }
    return model;
  }
}

function findEvictableStream(
  engine: engines.EngineState,
): engines.ActiveStream | undefined {
  let evictableStream: engines.ActiveStream | undefined;
  for (const stream of engine.streams.values()) {
    if (stream.emittedTokens > 0) continue;
    if (evictableStream !== undefined && stream.rankOrder < evictableStream.rankOrder) continue;
    evictableStream = stream;
  }
  return evictableStream;
}
