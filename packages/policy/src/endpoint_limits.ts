/**
 * Keeps each process to its share of the request rates that endpoints in need name in their
 * answers. Answers an endpoint at its limit that many processes send to at once: such a limit is
 * for all of them together, and holds until an answer to a later request names none.
 */

import * as core from "@peridotvale/core";

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

/** A limit, or its end, as processes report it to each other; ages replace times. */
export interface LimitReport extends LimitChange {
  readonly ageMs: number;
}

/** A process's place among those that share a limit, ordered by name. */
export interface FleetPlace {
  /** Number of processes, this one included. */
  readonly size: number;
  /** Number of processes before this one. */
  readonly rank: number;
}

interface NamedLimit {
  ratePerS: number;
  /** Time of the last answer that named it, here or at a peer. */
  namedAt: number;
  /** Time at which it, or news of it that peers need, became known here. */
  learnedAt: number;
  /** Time of this process's next permitted send, unless later cycles apply. */
  nextSendAt: number;
}

interface EndedLimit {
  readonly endedAt: number;
  readonly learnedAt: number;
}

/** Time after which a limit that no answer has named again is dropped. */
const LIMIT_RETENTION_MS = 30_000;
/** Interval at which peers are told that a limit is still named. */
const REFRESH_INTERVAL_MS = 10_000;
/** Time for which the end of a limit outweighs late reports of it. */
const ENDED_RETENTION_MS = 5_000;
/**
 * Time for which a permitted send may wait for a request. Unused ones lapse, since otherwise each
 * process of an idle fleet would keep one, and a burst would use them all at once.
 */
const SEND_VALIDITY_MS = 2_000;
/** Unused time that a process may catch up with when its share is large. */
const BURST_MS = 500;

/** Limits in force, by instance, and this process's share of them. */
export class EndpointLimits {
  readonly #limits = new Map<core.InstanceId, NamedLimit>();
  readonly #ended = new Map<core.InstanceId, EndedLimit>();
  readonly #random: core.RandomSource;

  constructor(random: core.RandomSource) {
    this.#random = random;
  }

  /** Number of instances with a limit. */
  get size(): number {
    return this.#limits.size;
  }

  /** Returns the time until this process may send a request to `instance`; 0 if it may now. */
  getWaitMs(instance: core.InstanceId, fleetSize: number, now: number): number {
    const limit = this.#limits.get(instance);
    if (limit === undefined) return 0;
    const intervalMs = computeIntervalMs(limit, fleetSize);
    const elapsedMs = now - limit.nextSendAt;
    if (elapsedMs < 0) return -elapsedMs;
    if (!Number.isFinite(intervalMs)) return LIMIT_RETENTION_MS;
    const cycleMs = elapsedMs % intervalMs;
    return cycleMs <= SEND_VALIDITY_MS ? 0 : intervalMs - cycleMs;
  }

  /** Whether this process may send a request to `instance`. */
  canSend(instance: core.InstanceId, fleetSize: number, now: number): boolean {
    return this.getWaitMs(instance, fleetSize, now) === 0;
  }

  /** Records that this process sends a request to `instance`. */
  recordSend(instance: core.InstanceId, fleetSize: number, now: number): void {
    const limit = this.#limits.get(instance);
    if (limit === undefined) return;
    const intervalMs = computeIntervalMs(limit, fleetSize);
    if (!Number.isFinite(intervalMs)) return;
    const elapsedMs = Math.max(0, now - limit.nextSendAt);
    const cycleStart = limit.nextSendAt + Math.floor(elapsedMs / intervalMs) * intervalMs;
    const earliestBase = intervalMs > SEND_VALIDITY_MS ? cycleStart : now - BURST_MS;
    limit.nextSendAt = Math.max(limit.nextSendAt, earliestBase) + intervalMs;
  }

  /** Records an answer's limit, or that it names none. */
  recordAnswer(
    instance: core.InstanceId,
    answer: AnswerLimit,
    options: { readonly place: FleetPlace; readonly now: number },
  ): LimitChange | undefined {
    const { ratePerS, sentAt } = answer;
    const { place, now } = options;
    // An answer to an earlier request may have been created before the limit was.
    if (ratePerS === undefined) return this.#applyEnd(instance, sentAt, now);
    return this.#applyLimit(instance, { ratePerS, namedAt: now }, {
      place,
      now,
      refreshMs: REFRESH_INTERVAL_MS,
    });
  }

  /** Applies the limits that a peer reports. */
  applyNews(
    reports: readonly LimitReport[],
    options: { readonly place: FleetPlace; readonly now: number },
  ): LimitChange[] {
    const changes: LimitChange[] = [];
    const { place, now } = options;
    for (const { instance, ratePerS, ageMs } of reports) {
      const at = now - ageMs;
      const change = ratePerS === undefined
        ? this.#applyEnd(instance, at, now)
        : this.#applyLimit(instance, { ratePerS, namedAt: at }, {
          place,
          now,
          refreshMs: REFRESH_INTERVAL_MS / 2,
        });
      if (change !== undefined) changes.push(change);
    }
    return changes;
  }

  /** Lists the limits and ends that became known here after `since`, for reports to peers. */
  listNews(since: number, now: number): LimitReport[] {
    const reports: LimitReport[] = [];
    for (const [instance, { ratePerS, namedAt, learnedAt }] of this.#limits) {
      if (learnedAt > since) reports.push({ instance, ratePerS, ageMs: now - namedAt });
    }
    for (const [instance, { endedAt, learnedAt }] of this.#ended) {
      if (learnedAt <= since) continue;
      reports.push({ instance, ratePerS: undefined, ageMs: now - endedAt });
    }
    return reports;
  }

  dropInstance(instance: core.InstanceId): void {
    this.#limits.delete(instance);
    this.#ended.delete(instance);
  }

  /** Drops limits that have not been named for a while. */
  expireLimits(now: number): void {
    for (const [instance, { namedAt }] of this.#limits) {
      if (now - namedAt > LIMIT_RETENTION_MS) this.#limits.delete(instance);
    }
    for (const [instance, { learnedAt }] of this.#ended) {
      if (now - learnedAt > ENDED_RETENTION_MS) this.#ended.delete(instance);
    }
  }

  #applyEnd(instance: core.InstanceId, endedAt: number, now: number): LimitChange | undefined {
    const known = this.#limits.get(instance);
    if (known === undefined || endedAt < known.namedAt) return undefined;
    this.#limits.delete(instance);
    this.#ended.set(instance, { endedAt, learnedAt: now });
    return { instance, ratePerS: undefined };
  }

  /** `refreshMs`: age of the last known naming from which a further one is news for peers. */
  #applyLimit(
    instance: core.InstanceId,
    limit: { readonly ratePerS: number; readonly namedAt: number },
    options: { readonly place: FleetPlace; readonly now: number; readonly refreshMs: number },
  ): LimitChange | undefined {
    const { ratePerS, namedAt } = limit;
    const { place, now, refreshMs } = options;
    if (namedAt < (this.#ended.get(instance)?.endedAt ?? -Infinity)) return undefined;
    const known = this.#limits.get(instance);
    if (known === undefined) {
      const phase = this.#drawPhase(instance, place);
      const nextSendAt = computeSendTime(ratePerS, { phase, fleetSize: place.size, now });
      this.#limits.set(instance, { ratePerS, namedAt, learnedAt: now, nextSendAt });
      return { instance, ratePerS };
    }
    if (namedAt <= known.namedAt) return undefined;
    const hasChanged = known.ratePerS !== ratePerS;
    if (hasChanged) {
      // What is left of the old interval is scaled to the new one, so that phases stay spread.
      const leftShare = (known.nextSendAt - now) / computeIntervalMs(known, place.size);
      const phase = leftShare > 0 ? Math.min(1, leftShare) : this.#drawPhase(instance, place);
      known.nextSendAt = computeSendTime(ratePerS, { phase, fleetSize: place.size, now });
    }
    if (hasChanged || namedAt - known.learnedAt >= refreshMs) known.learnedAt = now;
    known.namedAt = namedAt;
    known.ratePerS = ratePerS;
    return hasChanged ? { instance, ratePerS } : undefined;
  }

  /**
   * Draws the share of an interval that this process waits before its first send. The processes
   * take turns, in another order for each instance, since all hear of a limit at about the same
   * time.
   */
  #drawPhase(instance: core.InstanceId, place: FleetPlace): number {
    const turn = (place.rank + core.computeHash32(instance)) % place.size;
    return (turn + this.#random.next()) / place.size;
  }
}

/** Computes the time between two requests of one process; Infinity if none is permitted. */
function computeIntervalMs(limit: { readonly ratePerS: number }, fleetSize: number): number {
  return 1_000 * fleetSize / limit.ratePerS;
}

/** Computes the time at which `phase`, a share of an interval that begins now, ends. */
function computeSendTime(
  ratePerS: number,
  options: { readonly phase: number; readonly fleetSize: number; readonly now: number },
): number {
  const intervalMs = computeIntervalMs({ ratePerS }, options.fleetSize);
  return Number.isFinite(intervalMs) ? options.now + options.phase * intervalMs : options.now;
}
