/** Applies the limits that endpoints name in their answers, and logs them. */

import type * as core from "@peridotvale/core";
import * as policy from "@peridotvale/policy";

export interface LimitAgentOptions {
  readonly clock: core.Clock;
  readonly logger: core.Logger;
}

export class LimitAgent {
  readonly #options: LimitAgentOptions;
  readonly #limits = new policy.EndpointLimits();

  constructor(options: LimitAgentOptions) {
    this.#options = options;
  }

  /** Number of endpoints that name a limit. */
  get limitedCount(): number {
    return this.#limits.size;
  }

  /** Records the limit that an answer names, or that it names none. */
  recordAnswer(instance: core.InstanceId, answer: policy.AnswerLimit): void {
    const change = this.#limits.recordAnswer(instance, answer, this.#options.clock.now());
    if (change !== undefined) this.#writeChange(change);
  }

  dropInstance(instance: core.InstanceId): void {
    this.#limits.dropInstance(instance);
  }

  expireLimits(now: number): void {
    this.#limits.expireLimits(now);
  }

  #writeChange(change: policy.LimitChange): void {
    const event = change.ratePerS === undefined ? "limit_ended" : "limit_named";
    this.#options.logger.write(event, { instance: change.instance, per_s: change.ratePerS });
  }
}
