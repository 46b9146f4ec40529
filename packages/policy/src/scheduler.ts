/**
 * Decides which request gets capacity of which engine, and when. A state
 * machine without I/O: all input comes as events with the time.
 */

import * as core from "@peridotvale/core";
import * as choices from "./engine_choice.ts";
import * as engines from "./engine_state.ts";
import type * as lanes from "./light_lanes.ts";
import * as lengths from "./length_predictor.ts";
import * as models from "./model_state.ts";
import type * as types from "./scheduler_types.ts";

/** Options of a scheduler. */
export interface SchedulerOptions {
  /** Predicts lengths; by default learned from what is seen. */
  readonly lengths?: lengths.LengthModel;
}

/** Share of the rank's target between tokens that placement may use. */
const TOKEN_TARGET_SHARE = 0.9;
/** Horizon at which filling memory makes undelivered streams move, in tokens. */
const EVICTION_HORIZON_TOKENS = 64;
/** Tokens that a grant is charged ahead when nothing is known of its length. */
const MIN_PREPAID_TOKENS = 16;
/** Share of a prompt token's cost against a generated token. */
const PROMPT_TOKEN_COST = 0.05;
/** Time from a grant to the first token, about. */
const START_MARGIN_MS = 100;
const MIN_RETRY_AFTER_MS = 1_000;
const MAX_IDLE_WORKSPACES = 4_096;
/** Adopted streams that wait for their engine. */
const MAX_ORPHANS = 20_000;

/** The scheduler of the engines that one process owns. */
export class Scheduler implements types.CapacityScheduler {
  readonly #engines = new Map<core.EndpointId, engines.EngineState>();
  readonly #models = new Map<core.ModelName, models.ModelState>();
  readonly #streams = new Map<core.RequestId, engines.EngineState>();
  readonly #queued = new Map<core.RequestId, models.QueuedRequest>();
  /** Adopted streams whose engine is not known yet. */
  readonly #orphans = new Map<core.RequestId, types.AdoptedStream>();
  readonly #predictor: lengths.LengthModel;
  #manifest: core.Manifest | undefined;
  #effects: types.SchedulerEffect[] = [];

  constructor(options: SchedulerOptions = {}) {
    this.#predictor = options.lengths ?? new lengths.LengthPredictor();
  }

  /** Number of requests that wait. */
  get queuedCount(): number {
    return this.#queued.size;
  }

  /** Number of streams that hold capacity. */
  get openCount(): number {
    return this.#streams.size;
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
        return this.#engines.get(event.endpoint)?.prefixes.applyChange(event.change);
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
    this.#grantAll(now);
  }

  #updateRanks(model: models.ModelState, manifest: core.Manifest): void {
    for (const item of model.updateRanks(manifest)) {
      this.#queued.delete(item.capacity.request);
      this.#refuse(item.capacity, "unknown_rank");
    }
  }

  #updateEngine(info: types.EngineInfo, now: number): void {
    const known = this.#engines.get(info.endpoint);
    if (known === undefined) this.#addEngine(info, now);
    else known.info = info;
    this.#grantAll(now);
  }

  #addEngine(info: types.EngineInfo, now: number): void {
    this.#engines.set(info.endpoint, new engines.EngineState(info));
    for (const stream of this.#orphans.values()) {
      if (stream.endpoint === info.endpoint) this.#adoptStream(stream, now);
    }
  }

  /** Streams of the engine stay known to their fronts, which end or move them. */
  #removeEngine(endpoint: core.EndpointId): void {
    const engine = this.#engines.get(endpoint);
    if (engine === undefined) return;
    this.#engines.delete(endpoint);
    for (const stream of engine.streams.values()) {
      this.#streams.delete(stream.capacity.request);
      this.#recordClosed(stream);
    }
  }

  #addRequest(capacity: types.CapacityRequest, now: number): void {
    if (this.#queued.has(capacity.request)) return;
    const granted = this.#streams.get(capacity.request);
    if (granted !== undefined) return this.#repeatGrant(capacity.request, granted);
    const refusal = this.#getRefusal(capacity);
    if (refusal !== undefined) return this.#refuse(capacity, refusal);
    const model = this.#getModel(capacity.model);
    const rank = model.getRank(capacity.rank);
    const item = {
      workspace: capacity.workspace,
      startBy: capacity.startBy - START_MARGIN_MS,
      arrivedAt: now,
      capacity,
    };
    this.#queue(rank, item);
    this.#grantModel(model, now);
    if (!this.#queued.has(capacity.request)) return;
    rank.openPeak.recordValue(rank.openStreams + rank.queue.size, now);
    if (!capacity.mayQueue) {
      this.#unqueue(rank, item);
      return this.#refuse(capacity, "busy");
    }
    const weight = this.#getWeight(capacity.workspace);
    const waitMs = model.predictWaitMs(rank, capacity.workspace, { weight, now });
    if (now + waitMs <= item.startBy) return;
    this.#unqueue(rank, item);
    this.#refuse(capacity, "queue_too_long", waitMs);
  }

  /** The first answer may have been lost. */
  #repeatGrant(request: core.RequestId, engine: engines.EngineState): void {
    const { endpoint } = engine.info;
    this.#effects.push({ type: "granted", request, endpoint, queuedMs: 0 });
  }

  #getRefusal(
    capacity: types.CapacityRequest,
  ): types.RefusalReason | undefined {
    if (this.#manifest === undefined) return "no_endpoint";
    if (!this.#manifest.workspaces.has(capacity.workspace)) {
      return "unknown_workspace";
    }
    if (!this.#manifest.ranks.has(capacity.rank)) return "unknown_rank";
    if (!this.#manifest.models.has(capacity.model)) return "unknown_model";
    let known = 0;
    for (const engine of this.#engines.values()) {
      if (!engine.info.models.includes(capacity.model)) continue;
      known += 1;
      if (engine.isEverPossible(capacity.promptTokens + 1)) return undefined;
    }
    return known === 0 ? "no_endpoint" : "too_large";
  }

  #adoptStream(adopted: types.AdoptedStream, now: number): void {
    const engine = this.#engines.get(adopted.endpoint);
    const request = adopted.capacity.request;
    if (this.#streams.has(request)) return;
    if (engine === undefined) {
      if (this.#orphans.size < MAX_ORPHANS) this.#orphans.set(request, adopted);
      return;
    }
    this.#orphans.delete(request);
    this.#openStream(engine, adopted.capacity, now);
    engine.streams.get(request)!.emittedTokens = adopted.emittedTokens;
  }

  #recordTokens(request: core.RequestId, tokens: number, now: number): void {
    const engine = this.#streams.get(request);
    if (engine === undefined || tokens <= 0) return;
    const stream = engine.streams.get(request)!;
    const before = stream.emittedTokens;
    engine.recordTokens(stream, tokens, now);
    this.#predictor.recordProgress(stream.capacity, before, {
      to: stream.emittedTokens,
    });
    const prepaid = Math.min(stream.prepaidTokens, tokens);
    stream.prepaidTokens -= prepaid;
    this.#chargeTokens(stream.capacity, tokens - prepaid);
  }

  #endRequest(request: core.RequestId, end: types.StreamEnd, now: number): void {
    this.#orphans.delete(request);
    const queued = this.#queued.get(request);
    if (queued !== undefined) {
      const model = this.#getModel(queued.capacity.model);
      this.#unqueue(model.getRank(queued.capacity.rank), queued);
      return;
    }
    const engine = this.#streams.get(request);
    if (engine === undefined) return;
    const stream = engine.streams.get(request)!;
    if (end === "completed" && stream.emittedTokens < stream.capacity.maxTokens) {
      this.#predictor.recordEnd(stream.capacity, stream.emittedTokens);
    }
    if (stream.emittedTokens > 0) {
      this.#getModel(stream.capacity.model).recordResidence(now - stream.grantedAt);
    }
    this.#closeStream(engine, stream);
    // Until the engine's state is read again, no request should try it.
    if (end === "not_taken") engine.info = { ...engine.info, accepting: false };
    this.#grantModel(this.#getModel(stream.capacity.model), now);
  }

  #runTick(now: number): void {
    for (const [name, model] of this.#models) {
      this.#updateLanes(model, name, now);
      for (const rank of model.ranks) {
        for (const item of rank.queue.removeExpired(now)) {
          this.#queued.delete(item.capacity.request);
          this.#refuse(item.capacity, "deadline_exceeded");
        }
        rank.queue.dropIdle(MAX_IDLE_WORKSPACES);
      }
    }
    for (const engine of this.#engines.values()) {
      this.#evictUndelivered(engine, now);
    }
    this.#grantAll(now);
  }

  /** Moves what has delivered nothing, least urgent and newest first, before memory fills. */
  #evictUndelivered(engine: engines.EngineState, now: number): void {
    engine.updateForecast(this.#predictor, now);
    while (engine.isMemoryFilling(EVICTION_HORIZON_TOKENS, now)) {
      const stream = getEvictable(engine);
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

  #grantAll(now: number): void {
    for (const model of this.#models.values()) this.#grantModel(model, now);
  }

  #grantModel(model: models.ModelState, now: number): void {
    while (true) {
      const granted = this.#grantNext(model, now);
      if (!granted) return;
    }
  }

  /** Grants the next request in the order of ranks; ranks that are owed their floor go first. */
  #grantNext(model: models.ModelState, now: number): boolean {
    for (const isOwedPass of [true, false]) {
      for (const rank of model.ranks) {
        if (rank.queue.size === 0) continue;
        if (model.shares.isOwed(rank.name) !== isOwedPass) continue;
        const item = rank.queue.getNext(now);
        if (item === undefined) continue;
        const engine = this.#chooseEngine(model, rank, item.capacity, now);
        if (engine === undefined && this.#grantLight(model, rank, now)) return true;
        if (engine === undefined) {
          model.recordSaturation(now);
          if (isOwedPass) continue;
          return false;
        }
        this.#grant(rank, item, engine, now);
        return true;
      }
    }
    return false;
  }

  /** Grants a light request that waits behind one which may not have the lanes. */
  #grantLight(model: models.ModelState, rank: models.RankQueue, now: number): boolean {
    if (rank !== model.ranks[0] || !model.light.hasLanes) return false;
    const item = rank.queue.getNextOf((workspace) => model.light.isLight(workspace), now);
    if (item === undefined) return false;
    const engine = this.#chooseEngine(model, rank, item.capacity, now);
    if (engine === undefined) return false;
    this.#grant(rank, item, engine, now);
    return true;
  }

  #grant(
    rank: models.RankQueue,
    item: models.QueuedRequest,
    engine: engines.EngineState,
    now: number,
  ): void {
    this.#unqueue(rank, item);
    this.#openStream(engine, item.capacity, now);
    rank.grants.recordAmount(1, now);
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

  #updateLanes(model: models.ModelState, name: core.ModelName, now: number): void {
    const rank = model.ranks[0];
    if (rank === undefined) return;
    const tokenTargetMs = this.#getTokenTargetMs();
    const list: lanes.LaneEngine[] = [];
    for (const engine of this.#engines.values()) {
      if (!choices.isServing(engine, name)) continue;
      const { endpoint } = engine.info;
      const maxBatch = choices.predictMaxBatch(engine, tokenTargetMs);
      list.push({ endpoint, maxBatch, ...engine.speed.line });
    }
    model.light.updateLanes(rank, list, now);
  }

  /** The strictest target between tokens, less what placement leaves of it. */
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
    const survival = this.#predictor.getSurvival(capacity);
    const model = this.#getModel(capacity.model);
    const rank = model.getRank(capacity.rank);
    const expected = survival.computeQuantile(0, 0.5);
    const stream = {
      capacity,
      rankOrder: rank.order,
      grantedAt: now,
      emittedTokens: 0,
      lastReportAt: now,
      prepaidTokens: Math.min(
        capacity.maxTokens,
        Math.max(MIN_PREPAID_TOKENS, expected),
      ),
      isLight: choices.isLightRequest(model, rank, capacity),
    };
    engine.addStream(stream, survival);
    engine.prefixes.recordPrompt(capacity.prefixes);
    this.#streams.set(capacity.request, engine);
    rank.openStreams += 1;
    rank.workspaces.recordOpened(capacity.workspace, this.#getWeight(capacity.workspace));
    rank.openPeak.recordValue(rank.openStreams, now);
    const promptCost = capacity.promptTokens * PROMPT_TOKEN_COST;
    this.#chargeTokens(capacity, stream.prepaidTokens + promptCost);
  }

  #closeStream(
    engine: engines.EngineState,
    stream: engines.ActiveStream,
  ): void {
    engine.removeStream(stream, this.#predictor.getSurvival(stream.capacity));
    this.#streams.delete(stream.capacity.request);
    this.#recordClosed(stream);
  }

  #recordClosed(stream: engines.ActiveStream): void {
    const rank = this.#getModel(stream.capacity.model).getRank(stream.capacity.rank);
    rank.openStreams -= 1;
    rank.workspaces.recordClosed(stream.capacity.workspace);
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

  #queue(rank: models.RankQueue, item: models.QueuedRequest): void {
    this.#queued.set(item.capacity.request, item);
    rank.queue.addItem(item, this.#getWeight(item.workspace));
  }

  #unqueue(rank: models.RankQueue, item: models.QueuedRequest): void {
    this.#queued.delete(item.capacity.request);
    rank.queue.removeItem(item);
  }

  #refuse(
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

function getEvictable(
  engine: engines.EngineState,
): engines.ActiveStream | undefined {
  let chosen: engines.ActiveStream | undefined;
  for (const stream of engine.streams.values()) {
    if (stream.emittedTokens > 0) continue;
    if (chosen !== undefined && stream.rankOrder < chosen.rankOrder) continue;
    chosen = stream;
  }
  return chosen;
}
