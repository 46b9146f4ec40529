/**
 * Keeps this process to its share of the limits that endpoints name in their answers, and exchanges
 * these limits with the other processes.
 */

import type * as core from "@peridotvale/core";
import * as policy from "@peridotvale/policy";

export interface LimitAgentOptions {
  readonly clock: core.Clock;
  readonly logger: core.Logger;
  readonly random: core.RandomSource;
  /** Returns the number of processes that share a limit, including this one. */
  readonly getFleetSize: () => number;
  /** Returns the number of known processes whose names precede this one's. */
  readonly countPrecedingPeers: () => number;
}

/** Time for which reports contain news, since a single report may be lost. */
const NEWS_REPORT_MS = 1_500;

export class LimitAgent {
  readonly #options: LimitAgentOptions;
  readonly #limits: policy.EndpointLimits;

  constructor(options: LimitAgentOptions) {
    this.#options = options;
    this.#limits = new policy.EndpointLimits(options.random);
  }

  /** Number of endpoints that name a limit. */
  get limitedCount(): number {
    return this.#limits.size;
  }

  /** Records the limit that an answer names, or that it names none. */
  recordAnswer(instance: core.InstanceId, answer: policy.AnswerLimit): void {
    // Most answers name no limit, and no limit is known.
    if (answer.ratePerS === undefined && this.#limits.size === 0) return;
    const options = { place: this.#getPlace(), now: this.#options.clock.now() };
    const change = this.#limits.recordAnswer(instance, answer, options);
    if (change !== undefined) this.#writeChange(change);
  }

  /** Whether this process may send a request to `instance`. */
  canSend(instance: core.InstanceId, now: number): boolean {
    return this.#limits.canSend(instance, this.#options.getFleetSize(), now);
  }

  /** Records that this process sends a request to `instance`. */
  recordSend(instance: core.InstanceId, now: number): void {
    this.#limits.recordSend(instance, this.#options.getFleetSize(), now);
  }

  /**
   * Returns the time until this process may send to the first of `endpoints`; 0 if it may send to
   * one now or there is none.
   */
  getWaitMs(endpoints: readonly core.EndpointRecord[], now: number): number {
    const fleetSize = this.#options.getFleetSize();
    const waits = endpoints.map(({ instance }) => this.#limits.getWaitMs(instance, fleetSize, now));
    return waits.length === 0 ? 0 : Math.min(...waits);
  }

  /** Lists the limits for a report to a peer; a peer on a new link gets all of them. */
  listNews(scope: "recent" | "all", now: number): policy.LimitReport[] {
    return this.#limits.listNews(scope === "all" ? -Infinity : now - NEWS_REPORT_MS, now);
  }

  applyNews(reports: readonly policy.LimitReport[], now: number): void {
    if (reports.length === 0) return;
    const options = { place: this.#getPlace(), now };
    for (const change of this.#limits.applyNews(reports, options)) this.#writeChange(change);
  }

  dropInstance(instance: core.InstanceId): void {
    this.#limits.dropInstance(instance);
  }

  expireLimits(now: number): void {
    this.#limits.expireLimits(now);
  }

  #getPlace(): policy.FleetPlace {
    const { getFleetSize, countPrecedingPeers } = this.#options;
    return { size: getFleetSize(), rank: countPrecedingPeers() };
  }

  #writeChange(change: policy.LimitChange): void {
    const event = change.ratePerS === undefined ? "limit_ended" : "limit_named";
    this.#options.logger.write(event, { instance: change.instance, per_s: change.ratePerS });
  }
}
