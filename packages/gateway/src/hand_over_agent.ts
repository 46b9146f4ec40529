/** Hands generations over to other engines when theirs leaves. */

import type * as core from "@peridotvale/core";
import * as policy from "@peridotvale/policy";
import type * as contexts from "./gateway_context.ts";
import type * as relays from "./generation_relay.ts";

/** Hand-overs from one engine that this process has under way at once. */
const CONCURRENT_HAND_OVERS = 1;

/** Starts hand-overs in the order that the plan gives. */
export class HandOverAgent {
  readonly #context: contexts.GatewayContext;
  readonly #relays: () => ReadonlySet<relays.GenerationRelay>;
  readonly #running = new Set<core.InstanceId>();

  constructor(
    context: contexts.GatewayContext,
    listRelays: () => ReadonlySet<relays.GenerationRelay>,
  ) {
    this.#context = context;
    this.#relays = listRelays;
  }

  /** Moves the generations of an engine that leaves. */
  async evacuate(source: core.EndpointRecord): Promise<void> {
    const profile = this.#context.getEngineProfile(source.service);
    if (profile === undefined || !profile.canMove || this.#running.has(source.instance)) return;
    this.#running.add(source.instance);
    const tried = new Set<relays.GenerationRelay>();
    const work: Promise<void>[] = [];
    for (let i = 0; i < CONCURRENT_HAND_OVERS; i++) {
      work.push(this.#evacuateInTurn(source, profile, tried));
    }
    await Promise.all(work);
    this.#running.delete(source.instance);
  }

  async #evacuateInTurn(
    source: core.EndpointRecord,
    profile: core.EngineProfile,
    tried: Set<relays.GenerationRelay>,
  ): Promise<void> {
    for (;;) {
      const relay = this.#chooseRelay(source, profile, tried);
      if (relay === undefined) return;
      tried.add(relay);
      const target = this.#context.engines.chooseEngine(
        this.#context.listEngines(source.service),
        relay.size,
        {
          now: this.#context.clock.now(),
          zone: source.zone,
          avoid: new Set([source.instance]),
          random: this.#context.random,
        },
      );
      if (target === undefined) {
        this.#context.logger.write("hand_over", {
          request: relay.request.id,
          outcome: "no_target",
          source: source.instance,
        });
        continue;
      }
      await relay.handOver(target);
    }
  }

  /** The generation with most left to deliver goes first; what ends soon is not moved. */
  #chooseRelay(
    source: core.EndpointRecord,
    profile: core.EngineProfile,
    tried: ReadonlySet<relays.GenerationRelay>,
  ): relays.GenerationRelay | undefined {
    let best: relays.GenerationRelay | undefined;
    let mostLeft = 0;
    for (const relay of this.#relays()) {
      if (relay.endpoint.instance !== source.instance || tried.has(relay)) continue;
      if (!relay.canHandOver) continue;
      const generated = relay.deliveredEvents * profile.tokensPerEvent;
      const left = policy.predictTotalTokens(relay.size, generated) -
        relay.size.promptTokens - generated;
      if (left <= mostLeft) continue;
      best = relay;
      mostLeft = left;
    }
    return best;
  }
}
