/** Hands generations over to other engines when theirs leaves. */

import * as core from "@peridotvale/core";
import * as policy from "@peridotvale/policy";
import type * as contexts from "./gateway_context.ts";
import type * as relays from "./generation_relay.ts";

/** Options of {@linkcode HandOverAgent}. */
export interface HandOverAgentOptions {
  readonly context: contexts.GatewayContext;
  readonly listRelays: () => ReadonlySet<relays.GenerationRelay>;
  /** Tells the other processes at once what is still to move. */
  readonly reportNow: () => void;
}

/** Work on one engine that leaves. */
interface Evacuation {
  readonly source: core.EndpointRecord;
  readonly profile: core.EngineProfile;
  isCopying: boolean;
  readonly failedMoves: Map<core.RequestId, number>;
  readonly fullTargets: Map<core.RequestId, Set<core.InstanceId>>;
}

/** Pause before it is looked again whose turn it is and which runs have started. */
const POLL_MS = 10;
/** An engine that leaves is gone by then, or serves to the end of its runs. */
const MAX_EVACUATION_MS = 6_000;
/** Pause before a target is looked for again where none had room. */
const NO_TARGET_WAIT_MS = 60;
/** First reports of what others want to move arrive within this time. */
const FIRST_REPORTS_MS = 12;
/** Longest wait for other processes; a report of theirs may be lost. */
const MAX_TURN_WAIT_MS = 2_500;

/** Starts hand-overs in the order that the plan gives. */
export class HandOverAgent {
  readonly #options: HandOverAgentOptions;
  readonly #evacuations = new Map<core.InstanceId, Evacuation>();

  constructor(options: HandOverAgentOptions) {
    this.#options = options;
  }

  /** Value of the generation that this process wants to move away from an engine next. */
  getMoveValue(instance: core.InstanceId): number {
    const evacuation = this.#evacuations.get(instance);
    if (evacuation === undefined) return 0;
    // A copy under way keeps its turn.
    if (evacuation.isCopying) return Infinity;
    const now = this.#options.context.clock.now();
    const next = policy.chooseNextMove(this.#listRuns(evacuation), now);
    return next === undefined ? 0 : policy.computeMoveValue(next, now);
  }

  /** Moves the generations of an engine that leaves. */
  async moveRuns(source: core.EndpointRecord): Promise<void> {
    const { context } = this.#options;
    const profile = context.getEngineProfile(source.service);
    if (profile === undefined || !profile.canMove) return;
    if (this.#evacuations.has(source.instance)) return;
    const evacuation: Evacuation = {
      source,
      profile,
      isCopying: false,
      failedMoves: new Map(),
      fullTargets: new Map(),
    };
    this.#evacuations.set(source.instance, evacuation);
    this.#options.reportNow();
    await core.waitFor(FIRST_REPORTS_MS);
    const endAt = context.clock.now() + MAX_EVACUATION_MS;
    let waitingSince = context.clock.now();
    while (context.clock.now() < endAt) {
      const runs = this.#listRuns(evacuation);
      if (runs.length === 0) break;
      const now = context.clock.now();
      const next = policy.chooseNextMove(runs, now);
      const isTurn = next !== undefined &&
        (this.#isOwnTurn(source, policy.computeMoveValue(next, now)) ||
          now - waitingSince > MAX_TURN_WAIT_MS);
      if (!isTurn) {
        await core.waitFor(POLL_MS);
        continue;
      }
      evacuation.isCopying = true;
      this.#options.reportNow();
      await this.#move(evacuation, next);
      evacuation.isCopying = false;
      this.#options.reportNow();
      waitingSince = context.clock.now();
    }
    this.#evacuations.delete(source.instance);
    this.#options.reportNow();
  }

  async #move(evacuation: Evacuation, run: policy.LeavingRun): Promise<void> {
    const { context } = this.#options;
    const { source } = evacuation;
    const relay = this.#findRelay(run.request);
    if (relay === undefined) return;
    const full = evacuation.fullTargets.get(run.request) ?? new Set<core.InstanceId>();
    const target = context.engines.chooseEngine(
      context.listEngines(source.service),
      relay.size,
      {
        now: context.clock.now(),
        zone: source.zone,
        avoid: new Set([source.instance, ...full]),
        random: context.random,
        rank: relay.routed.rank,
        isMove: true,
      },
    );
    const failures = evacuation.failedMoves.get(run.request) ?? 0;
    if (target === undefined) {
      await core.waitFor(NO_TARGET_WAIT_MS);
      context.logger.write("hand_over", {
        request: run.request,
        outcome: "no_target",
        source: source.instance,
      });
      return;
    }
    if (await relay.moveTo(target)) return;
    evacuation.failedMoves.set(run.request, failures + 1);
    full.add(target.instance);
    evacuation.fullTargets.set(run.request, full);
  }

  #isOwnTurn(source: core.EndpointRecord, value: number): boolean {
    const { context } = this.#options;
    const others = context.board.listMoveClaims(source.instance);
    return policy.isOwnTurn({ process: context.settings.process, value }, source.instance, others);
  }

  #findRelay(request: core.RequestId): relays.GenerationRelay | undefined {
    for (const relay of this.#options.listRelays()) {
      if (relay.request.id === request) return relay;
    }
    return undefined;
  }

  #listRuns(evacuation: Evacuation): policy.LeavingRun[] {
    const { source, profile } = evacuation;
    const runs: policy.LeavingRun[] = [];
    for (const relay of this.#options.listRelays()) {
      if (relay.endpoint.instance !== source.instance) continue;
      const generated = relay.deliveredEvents * profile.tokensPerEvent;
      const total = policy.predictTotalTokens(relay.size, generated);
      const heldTokens = relay.size.promptTokens + generated;
      runs.push({
        request: relay.request.id,
        hasStarted: relay.deliveredEvents > 0,
        heldTokens,
        promptTokens: relay.size.promptTokens,
        tokensLeft: total - heldTokens,
        tokenMs: this.#options.context.engines.getTokenMs(source.instance),
        answerBy: relay.request.answerBy,
        failedMoves: evacuation.failedMoves.get(relay.request.id) ?? 0,
        isMoving: !relay.canHandOver,
      });
    }
    return runs;
  }
}
