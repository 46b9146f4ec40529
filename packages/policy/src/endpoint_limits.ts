/**
 * Keeps each process to its share of the request rates that endpoints accept: the limits that they
 * name in their answers, and the rates of further sources, such as the one of a cold endpoint. The
 * lowest applies. Answers an endpoint at its limit that many processes send to at once: such a limit
 * is for all of them together. A named limit holds until an answer to a later request names none.
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

/** What a source other than the named limits permits this process now at one endpoint. */
export interface SendPermit {
  /** Time between two requests of this process. */
  readonly intervalMs: number;
  /** Time for which a permitted send may wait for a request. */
  readonly validityMs: number;
  /** Place of this process among those that share the rate. */
  readonly place: FleetPlace;
  /**
   * Time of an event that all processes know, from which they count their turns. If their clocks
   * differ, their turns are random.
   */
  readonly originAt: number;
  /** Whether turns begin at equal distances; otherwise at a random time within each. */
  readonly isExact?: boolean;
}

/** The sends of this process to one endpoint, at equal intervals. */
interface SendSchedule {
  /** Time of this process's next permitted send, unless later cycles apply. */
  nextSendAt: number;
}

interface NamedLimit extends SendSchedule {
  ratePerS: number;
  /** Time of the last answer that named it, here or at a peer. */
  namedAt: number;
  /** Time at which it, or news of it that peers need, became known here. */
  learnedAt: number;
}

interface PermitSchedule extends SendSchedule {
  /** Interval with which the phase was drawn. */
  drawnIntervalMs: number;
  usedAt: number;
  sentAt: number;
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
/**
 * Change of a permit's interval, as a factor, from which its phase is drawn anew. With the old
 * phase, the next send could be too far away or coincide with those of other processes.
 */
const REDRAW_FACTOR = 1.25;
const EXACT_MARGIN = 2.5;

/** Rates in force, by instance, and this process's share of them. */
export class EndpointLimits {
  readonly #limits = new Map<core.InstanceId, NamedLimit>();
  readonly #ended = new Map<core.InstanceId, EndedLimit>();
  readonly #permits = new Map<core.InstanceId, PermitSchedule>();
  readonly #random: core.RandomSource;

  constructor(random: core.RandomSource) {
    this.#random = random;
  }

  /** Number of instances with a limit. */
  get size(): number {
    return this.#limits.size;
  }

  /**
   * Returns the time until this process may send a request to `instance`; 0 if it may now. `permit`
   * is the slowest of the other sources. Of it and the named limit, the slower one applies.
   */
  getWaitMs(
    instance: core.InstanceId,
    fleetSize: number,
    now: number,
    permit?: SendPermit,
  ): number {
    const limit = this.#limits.get(instance);
    if (limit === undefined && permit === undefined) return 0;
    const limitIntervalMs = limit === undefined ? 0 : computeIntervalMs(limit, fleetSize);
    const validityMs = permit?.validityMs ?? SEND_VALIDITY_MS;
    if (permit !== undefined && permit.intervalMs >= limitIntervalMs) {
      const schedule = this.#getPermitSchedule(instance, permit, now);
      return computeWaitMs(schedule, { intervalMs: permit.intervalMs, validityMs, now });
    }
    return computeWaitMs(limit!, { intervalMs: limitIntervalMs, validityMs, now });
  }

  /** Whether this process may send a request to `instance`. */
  canSend(
    instance: core.InstanceId,
    fleetSize: number,
    now: number,
    permit?: SendPermit,
  ): boolean {
    return this.getWaitMs(instance, fleetSize, now, permit) === 0;
  }

  /** Records that this process sends a request to `instance`. */
  recordSend(
    instance: core.InstanceId,
    fleetSize: number,
    now: number,
    permit?: SendPermit,
  ): void {
    const limit = this.#limits.get(instance);
    if (limit !== undefined) {
      const intervalMs = computeIntervalMs(limit, fleetSize);
      shiftSchedule(limit, { intervalMs, validityMs: SEND_VALIDITY_MS, burstMs: BURST_MS, now });
    }
    if (permit === undefined) return;
    const { intervalMs, validityMs } = permit;
    const schedule = this.#getPermitSchedule(instance, permit, now);
    // The send itself is part of what the validity allows at once.
    const burstMs = Math.max(0, validityMs - intervalMs);
    shiftSchedule(schedule, { intervalMs, validityMs, burstMs, now });
    schedule.sentAt = now;
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
    this.#permits.delete(instance);
  }

  /** Drops limits that have not been named for a while. */
  expireLimits(now: number): void {
    for (const [instance, { namedAt }] of this.#limits) {
      if (now - namedAt > LIMIT_RETENTION_MS) this.#limits.delete(instance);
    }
    for (const [instance, { learnedAt }] of this.#ended) {
      if (now - learnedAt > ENDED_RETENTION_MS) this.#ended.delete(instance);
    }
    for (const [instance, { usedAt, drawnIntervalMs }] of this.#permits) {
      const retentionMs = Math.max(LIMIT_RETENTION_MS, drawnIntervalMs);
      if (now - usedAt > retentionMs) this.#permits.delete(instance);
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

  #getPermitSchedule(
    instance: core.InstanceId,
    permit: SendPermit,
    now: number,
  ): PermitSchedule {
    const { intervalMs, place } = permit;
    const known = this.#permits.get(instance);
    if (known !== undefined) {
      known.usedAt = now;
      const factor = intervalMs / known.drawnIntervalMs;
      if (factor < REDRAW_FACTOR && factor > 1 / REDRAW_FACTOR) return known;
    }
    // Views that lack some processes give similar phases, which turns modulo the size would not.
    const offset = core.computeHash32(instance) / 2 ** 32;
    const delay = permit.isExact === true ? 0 : this.#random.next();
    const phase = ((place.rank + delay) / place.size + offset) % 1;
    const remainderMs = (permit.originAt + phase * intervalMs - now) % intervalMs;
    const leadMs = remainderMs < 0 ? remainderMs + intervalMs : remainderMs;
    const sentAt = known?.sentAt ?? -Infinity;
    // An exact turn may have begun: a process with few requests would mostly ask too late.
    const turnAt = now + leadMs - intervalMs;
    const nextSendAt = permit.isExact === true && turnAt > sentAt ? turnAt : now + leadMs;
    const schedule = { nextSendAt, drawnIntervalMs: intervalMs, usedAt: now, sentAt };
    this.#permits.set(instance, schedule);
    return schedule;
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

/**
 * Returns the slower of two permits, `paced` only if it is slower by `EXACT_MARGIN`: processes with
 * exact turns send up to twice as fast while their turns are drawn anew.
 */
export function chooseSlowerPermit(cold: SendPermit, paced: SendPermit | undefined): SendPermit {
  if (paced === undefined || paced.intervalMs < EXACT_MARGIN * cold.intervalMs) return cold;
  return paced;
}

function computeWaitMs(
  schedule: SendSchedule,
  options: { readonly intervalMs: number; readonly validityMs: number; readonly now: number },
): number {
  const { intervalMs, validityMs, now } = options;
  const elapsedMs = now - schedule.nextSendAt;
  if (elapsedMs < 0) return -elapsedMs;
  if (!Number.isFinite(intervalMs)) return LIMIT_RETENTION_MS;
  const cycleMs = elapsedMs % intervalMs;
  return cycleMs <= validityMs ? 0 : intervalMs - cycleMs;
}

/** Moves the next permitted send by one interval. */
function shiftSchedule(
  schedule: SendSchedule,
  options: {
    readonly intervalMs: number;
    readonly validityMs: number;
    /** Unused time that may be caught up with if the interval is at most `validityMs`. */
    readonly burstMs: number;
    readonly now: number;
  },
): void {
  const { intervalMs, validityMs, burstMs, now } = options;
  if (!Number.isFinite(intervalMs)) return;
  const elapsedMs = Math.max(0, now - schedule.nextSendAt);
  const cycleStart = schedule.nextSendAt + Math.floor(elapsedMs / intervalMs) * intervalMs;
  const earliestBase = intervalMs > validityMs ? cycleStart : now - burstMs;
  schedule.nextSendAt = Math.max(schedule.nextSendAt, earliestBase) + intervalMs;
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
