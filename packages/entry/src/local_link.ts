/** The way to a scheduler of this process. */

import type * as core from "@peridotvale/core";
import type * as policy from "@peridotvale/policy";
import type * as client from "./capacity_client.ts";
import type * as hosts from "./capacity_host.ts";

/** {@linkcode client.CapacityLink} without a wire. */
export class LocalLink implements client.CapacityLink, hosts.CapacityOrigin {
  readonly #runtime: core.Runtime;
  readonly #host: hosts.CapacityHost;
  readonly #onEffect: (
    effect: policy.SchedulerEffect,
    link: client.CapacityLink,
  ) => void;

  readonly #onAsk: (() => void) | undefined;

  constructor(
    runtime: core.Runtime,
    options: {
      readonly host: hosts.CapacityHost;
      readonly onEffect: (effect: policy.SchedulerEffect, link: client.CapacityLink) => void;
      /** Called before each request for capacity. */
      readonly onAsk?: () => void;
    },
  ) {
    this.#runtime = runtime;
    this.#host = options.host;
    this.#onEffect = options.onEffect;
    this.#onAsk = options.onAsk;
  }

  isOpen(): boolean {
    return true;
  }

  send(event: policy.SchedulerEvent): void {
    if (event.type === "request_arrived") this.#onAsk?.();
    this.#host.handleRequestEvent(event, this.#runtime.clock.now(), {
      origin: this,
    });
  }

  onEffect(effect: policy.SchedulerEffect): void {
    this.#onEffect(effect, this);
  }
}
