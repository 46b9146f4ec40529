/** The decisions of recent requests, logged and kept for `explain`. */

import * as core from "@peridotvale/core";

/** One decision. */
export interface Decision {
  /** Milliseconds since the Unix epoch. */
  readonly at: number;
  readonly event: string;
  readonly fields: core.LogFields;
}

/** Requests whose decisions are kept. */
const MAX_REQUESTS = 2_000;
/** Decisions kept per request. */
const MAX_DECISIONS = 64;

/** Keeps the decisions of the most recent requests. */
export class DecisionLog {
  readonly #requests = new Map<core.RequestId, Decision[]>();
  readonly #logger: core.Logger;
  readonly #clock: core.Clock;

  constructor(
    options: { readonly logger: core.Logger; readonly clock: core.Clock },
  ) {
    this.#logger = options.logger;
    this.#clock = options.clock;
  }

  /** Logs a decision about `request` and keeps it. */
  recordDecision(
    request: core.RequestId,
    event: string,
    fields: core.LogFields = {},
  ): void {
    this.#logger.write(event, { request, ...fields });
    const decision = { at: this.#clock.readWallTime(), event, fields };
    const known = this.#requests.get(request);
    if (known !== undefined) {
      if (known.length < MAX_DECISIONS) known.push(decision);
      return;
    }
    this.#requests.set(request, [decision]);
    for (const oldest of this.#requests.keys()) {
      if (this.#requests.size <= MAX_REQUESTS) return;
      this.#requests.delete(oldest);
    }
  }

  /** The decisions about `request`, oldest first; empty if it is not known. */
  getDecisions(request: core.RequestId): readonly Decision[] {
    return this.#requests.get(request) ?? [];
  }
}
