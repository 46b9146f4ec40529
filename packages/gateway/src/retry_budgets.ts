/** Holds the retry budget of each service. */

import type * as core from "@peridotvale/core";
import * as policy from "@peridotvale/policy";

export class RetryBudgets {
  readonly #budgets = new Map<core.ServiceName, policy.SlidingWindowRetryBudget>();
  readonly #getBounds: () => policy.RetryBounds;

  constructor(getBounds: () => policy.RetryBounds) {
    this.#getBounds = getBounds;
  }

  getBudget(service: core.ServiceName): policy.SlidingWindowRetryBudget {
    let budget = this.#budgets.get(service);
    if (budget === undefined) {
      budget = new policy.SlidingWindowRetryBudget(this.#getBounds());
      this.#budgets.set(service, budget);
    }
    return budget;
  }

  /** Drops all budgets; later ones have the bounds that apply then. */
  reset(): void {
    this.#budgets.clear();
  }
}
