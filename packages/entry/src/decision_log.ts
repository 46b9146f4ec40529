/** Logs decisions about requests, and keeps those of recent requests in memory for `explain`. */

import * as core from "@peridotvale/core";

export interface Decision {
  /** Milliseconds since the Unix epoch. */
  readonly at: number;
  readonly event: string;
  readonly fields: core.LogFields;
}

const MAX_KEPT_REQUEST_COUNT = 2_000;
/** Decisions of a request beyond this number are logged but not kept. */
const MAX_DECISIONS_PER_REQUEST = 64;

/** Keeps the decisions of recent requests; evicts those of the oldest request first. */
export class DecisionLog {
  readonly #decisionsByRequest = new Map<core.RequestId, Decision[]>();
  readonly #logger: core.Logger;
  readonly #clock: core.Clock;

  constructor(
    options: { readonly logger: core.Logger; readonly clock: core.Clock },
  ) {
    this.#logger = options.logger;
    this.#clock = options.clock;
  }

  /** Logs a decision about `request` and keeps it for `getDecisions`. */
  recordDecision(
    request: core.RequestId,
    event: string,
    fields: core.LogFields = {},
  ): void {
    this.#logger.write(event, { request, ...fields });
    const decision = { at: this.#clock.readWallTime(), event, fields };
    const keptDecisions = this.#decisionsByRequest.get(request);
    if (keptDecisions !== undefined) {
      if (keptDecisions.length < MAX_DECISIONS_PER_REQUEST) keptDecisions.push(decision);
      return;
    }
    this.#decisionsByRequest.set(request, [decision]);
    for (const oldestRequest of this.#decisionsByRequest.keys()) {
      if (this.#decisionsByRequest.size <= MAX_KEPT_REQUEST_COUNT) return;
      this.#decisionsByRequest.delete(oldestRequest);
    }
  }

  /** Returns the decisions about `request`, oldest first; empty if none are kept. */
  getDecisions(request: core.RequestId): readonly Decision[] {
    return this.#decisionsByRequest.get(request) ?? [];
  }
}
