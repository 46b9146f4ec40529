/** Connects this process's capacity requests to a scheduler of the same process. */

import type * as core from "@peridotvale/core";
import type * as policy from "@peridotvale/policy";
import type * as client from "./capacity_client.ts";
import type * as hosts from "./capacity_host.ts";

/** A {@linkcode client.CapacityLink} that calls the scheduler directly. */
export class LocalLink implements client.CapacityLink, hosts.CapacityOrigin {
  readonly #runtime: core.Runtime;
  readonly #host: hosts.CapacityHost;
  readonly #onEffect: (
    effect: policy.SchedulerEffect,
    link: client.CapacityLink,
  ) => void;

  readonly #onRequest: (() => void) | undefined;

  constructor(
    runtime: core.Runtime,
    options: {
      readonly host: hosts.CapacityHost;
      readonly onEffect: (effect: policy.SchedulerEffect, link: client.CapacityLink) => void;
      /** Called before each request for capacity. */
      readonly onRequest?: () => void;
    },
  ) {
    this.#runtime = runtime;
    this.#host = options.host;
    this.#onEffect = options.onEffect;
    this.#onRequest = options.onRequest;
  }

  isOpen(): boolean {
    return true;
  }

  send(event: policy.SchedulerEvent): void {
    if (event.type === "request_arrived") this.#onRequest?.();
    this.#host.handleRequestEvent(event, this.#runtime.clock.now(), {
      origin: this,
    });
  }

  onEffect(effect: policy.SchedulerEffect): void {
    this.#onEffect(effect, this);
  }
}
