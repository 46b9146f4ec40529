/**
 * Hands running generations over to other engines when their engine leaves. If several gateway
 * processes copied from one engine at the same time, their copies would pause each other's
 * generations. Processes therefore take turns: the one whose next move has the highest value
 * goes first.
 */

import * as core from "@peridotvale/core";
import * as policy from "@peridotvale/policy";
import type * as contexts from "./gateway_context.ts";
import type * as relays from "./generation_relay.ts";

export interface HandOverAgentOptions {
  readonly context: contexts.GatewayContext;
  readonly listRelays: () => ReadonlySet<relays.GenerationRelay>;
  /**
   * Immediately reports to peers this process's load and the value of its next move: the engine
   * work that the move saves per copied token. The values of all processes decide whose turn it
   * is.
   */
  readonly reportNow: () => void;
}

/** Hand-over of the generations on one leaving engine. */
interface HandOverPlan {
  readonly source: core.EndpointRecord;
  readonly profile: core.EngineProfile;
  /** Whether this process is moving one of these generations. */
  isCopying: boolean;
  /** Number of failed moves per generation. */
  readonly failedMoveCounts: Map<core.RequestId, number>;
  /** Engines to which a move has failed, per generation. */
  readonly failedTargets: Map<core.RequestId, Set<core.InstanceId>>;
}

/** Interval at which the process checks whether it is its turn and which generations to move. */
const TURN_POLL_INTERVAL_MS = 10;
/** Time limit of a hand-over; by then the engine has stopped or lets its generations finish. */
const MAX_HAND_OVER_MS = 6_000;
/** Delay before the next search for a target if no engine has room. */
const NO_TARGET_RETRY_MS = 60;
/** Wait for peers' first reports about the generations that they want to move. */
const FIRST_REPORTS_WAIT_MS = 12;
/** Longest wait for this process's turn; a peer's report that its move has ended may be lost. */
const MAX_TURN_WAIT_MS = 2_500;

export class HandOverAgent {
  readonly #options: HandOverAgentOptions;
  readonly #plans = new Map<core.InstanceId, HandOverPlan>();

  constructor(options: HandOverAgentOptions) {
    this.#options = options;
  }

  /**
   * Returns the value of this process's next move of a generation off `instance`: 0 if there is
   * none to move, Infinity during a move.
   */
  getMoveValue(instance: core.InstanceId): number {
    const plan = this.#plans.get(instance);
    if (plan === undefined) return 0;
    // No peer may take the turn during a copy.
    if (plan.isCopying) return Infinity;
    const now = this.#options.context.clock.now();
    const nextRun = policy.chooseNextMove(this.#listRuns(plan), now);
    return nextRun === undefined ? 0 : policy.computeMoveValue(nextRun, now);
  }

  /** Moves the generations off the leaving engine `source`, one at a time. */
  async moveGenerations(source: core.EndpointRecord): Promise<void> {
    const { context } = this.#options;
    const profile = context.getEngineProfile(source.service);
    if (profile === undefined || !profile.canMove) return;
    if (this.#plans.has(source.instance)) return;
    const plan: HandOverPlan = {
      source,
      profile,
      isCopying: false,
      failedMoveCounts: new Map(),
      failedTargets: new Map(),
    };
    this.#plans.set(source.instance, plan);
    this.#options.reportNow();
    await core.waitFor(FIRST_REPORTS_WAIT_MS);
    const endAt = context.clock.now() + MAX_HAND_OVER_MS;
    let waitingForTurnSince = context.clock.now();
    while (context.clock.now() < endAt) {
      const runs = this.#listRuns(plan);
      if (runs.length === 0) break;
      const now = context.clock.now();
      const nextRun = policy.chooseNextMove(runs, now);
      const isMoveDue = nextRun !== undefined && !context.signalAgent.isHeldOff(source) &&
        (this.#isOwnTurn(source, policy.computeMoveValue(nextRun, now)) ||
          now - waitingForTurnSince > MAX_TURN_WAIT_MS);
      if (!isMoveDue) {
        await core.waitFor(TURN_POLL_INTERVAL_MS);
        continue;
      }
      plan.isCopying = true;
      this.#options.reportNow();
      await this.#move(plan, nextRun);
      plan.isCopying = false;
      this.#options.reportNow();
      waitingForTurnSince = context.clock.now();
    }
    this.#plans.delete(source.instance);
    this.#options.reportNow();
  }

  async #move(plan: HandOverPlan, run: policy.LeavingRun): Promise<void> {
    const { context } = this.#options;
    const { source } = plan;
    const relay = this.#findRelay(run.request);
    if (relay === undefined) return;
    const failedTargets = plan.failedTargets.get(run.request) ?? new Set<core.InstanceId>();
    const target = context.enginePlacement.chooseEngine(
      context.listEngines(source.service),
      relay.size,
      {
        now: context.clock.now(),
        zone: source.zone,
        avoid: new Set([source.instance, ...failedTargets]),
        random: context.random,
        rank: relay.routed.rank,
        isMove: true,
      },
    );
    const failureCount = plan.failedMoveCounts.get(run.request) ?? 0;
    if (target === undefined) {
      await core.waitFor(NO_TARGET_RETRY_MS);
      context.logger.write("hand_over", {
        request: run.request,
        outcome: "no_target",
        source: source.instance,
      });
      return;
    }
    context.limitAgent.recordSend(target, context.clock.now());
    if (await relay.moveTo(target)) return;
    plan.failedMoveCounts.set(run.request, failureCount + 1);
    failedTargets.add(target.instance);
    plan.failedTargets.set(run.request, failedTargets);
  }

  #isOwnTurn(source: core.EndpointRecord, value: number): boolean {
    const { context } = this.#options;
    const otherClaims = context.peerLoads.listMoveClaims(source.instance);
    return policy.isOwnTurn(
      { process: context.settings.process, value },
      source.instance,
      otherClaims,
    );
  }

  #findRelay(request: core.RequestId): relays.GenerationRelay | undefined {
    for (const relay of this.#options.listRelays()) {
      if (relay.request.id === request) return relay;
    }
    return undefined;
  }

  #listRuns(plan: HandOverPlan): policy.LeavingRun[] {
    const { source, profile } = plan;
    const runs: policy.LeavingRun[] = [];
    for (const relay of this.#options.listRelays()) {
      if (relay.endpoint.instance !== source.instance) continue;
      const generatedTokens = relay.deliveredEventCount * profile.tokensPerEvent;
      const totalTokens = policy.predictTotalTokens(relay.size, generatedTokens);
      const heldTokens = relay.size.promptTokens + generatedTokens;
      runs.push({
        request: relay.request.id,
        hasStarted: relay.deliveredEventCount > 0,
        heldTokens,
        promptTokens: relay.size.promptTokens,
        tokensLeft: totalTokens - heldTokens,
        tokenMs: this.#options.context.enginePlacement.getTokenMs(source.instance),
        answerBy: relay.request.answerBy,
        failedMoves: plan.failedMoveCounts.get(relay.request.id) ?? 0,
        isMoving: !relay.canHandOver,
      });
    }
    return runs;
  }
}
