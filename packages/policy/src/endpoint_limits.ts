/**
 * Tracks the request rates that endpoints in need name in their answers. Such a limit is for all
 * processes together, and holds until an answer to a later request names none.
 */

import type * as core from "@peridotvale/core";

/** Limit that an endpoint began to name, changed or ended. */
export interface LimitChange {
  readonly instance: core.InstanceId;
  /** Undefined if the endpoint names no limit any more. */
  readonly ratePerS: number | undefined;
}

/** What an answer says of its endpoint's limit. */
export interface AnswerLimit {
  /** Requests per second of all processes; undefined if the answer names no limit. */
  readonly ratePerS: number | undefined;
  /** Time at which the answered request was sent. */
  readonly sentAt: number;
}

interface NamedLimit {
  readonly ratePerS: number;
  /** Time of the last answer that named it. */
  namedAt: number;
}

/** Time after which a limit that no answer has named again is dropped. */
const LIMIT_RETENTION_MS = 30_000;

/** Limits in force, by instance. */
export class EndpointLimits {
  readonly #limits = new Map<core.InstanceId, NamedLimit>();

  /** Number of instances with a limit. */
  get size(): number {
    return this.#limits.size;
  }

  /** Records an answer's limit, or that it names none. */
  recordAnswer(
    instance: core.InstanceId,
    answer: AnswerLimit,
    now: number,
  ): LimitChange | undefined {
    const { ratePerS, sentAt } = answer;
    const known = this.#limits.get(instance);
    if (ratePerS === undefined) {
      // An answer to an earlier request may have been created before the limit was.
      if (known === undefined || sentAt < known.namedAt) return undefined;
      this.#limits.delete(instance);
      return { instance, ratePerS };
    }
    this.#limits.set(instance, { ratePerS, namedAt: now });
    return known?.ratePerS === ratePerS ? undefined : { instance, ratePerS };
  }

  dropInstance(instance: core.InstanceId): void {
    this.#limits.delete(instance);
  }

  /** Drops limits that have not been named for a while. */
  expireLimits(now: number): void {
    for (const [instance, { namedAt }] of this.#limits) {
      if (now - namedAt > LIMIT_RETENTION_MS) this.#limits.delete(instance);
    }
  }
}
