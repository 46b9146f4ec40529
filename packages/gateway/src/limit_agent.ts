/**
 * Keeps this process to its share of the rates that endpoints accept: the limits that they name in
 * their answers, which it exchanges with the other processes, and the rates of cold endpoints.
 */

import type * as core from "@peridotvale/core";
import * as policy from "@peridotvale/policy";

export interface LimitAgentOptions {
  readonly clock: core.Clock;
  readonly logger: core.Logger;
  readonly random: core.RandomSource;
  readonly self: policy.FleetMember;
  /** Returns the number of processes that share a limit, including this one. */
  readonly getFleetSize: () => number;
  /** Returns the number of known processes whose names precede this one's. */
  readonly countPrecedingPeers: () => number;
  readonly listKnownPeers: () => readonly policy.FleetMember[];
  readonly getBounds: () => { readonly cold?: policy.ColdBounds };
  /** Returns the time of the first listing of the store; undefined before it. */
  readonly getListedAt: () => number | undefined;
  /** Whether endpoints start slowly. */
  readonly isPaceEnabled: () => boolean;
  readonly getService: (service: core.ServiceName) => core.RoutedService | undefined;
}

/** Time for which reports contain news, since a single report may be lost. */
const NEWS_REPORT_MS = 1_500;
/** Time from the first listing within which its entries are observed. */
const FIRST_LISTING_MS = 500;

export class LimitAgent {
  readonly #options: LimitAgentOptions;
  readonly #limits: policy.EndpointLimits;
  readonly #coldLimits = new policy.ColdLimits();
  readonly #pace = new policy.EndpointPace();
  readonly #fleet: policy.FleetEstimate;
  /** Endpoints that were found cold at the last update. */
  readonly #coldInstances = new Set<core.InstanceId>();

  constructor(options: LimitAgentOptions) {
    this.#options = options;
    this.#limits = new policy.EndpointLimits(options.random);
    this.#fleet = new policy.FleetEstimate(options.self);
  }

  /** Number of endpoints that name a limit. */
  get limitedCount(): number {
    return this.#limits.size;
  }

  /** Number of endpoints in slow start. */
  get pacedCount(): number {
    return this.#pace.size;
  }

  /** Number of cold endpoints. */
  get coldCount(): number {
    return this.#coldInstances.size;
  }

  /** Records the limit that an answer names, or that it names none. */
  recordAnswer(instance: core.InstanceId, answer: policy.AnswerLimit): void {
    // Most answers name no limit, and no limit is known.
    if (answer.ratePerS === undefined && this.#limits.size === 0) return;
    const options = { place: this.#getPlace(), now: this.#options.clock.now() };
    const change = this.#limits.recordAnswer(instance, answer, options);
    if (change !== undefined) this.#writeChange(change);
  }

  /** Whether this process may send a request to `endpoint`. */
  canSend(endpoint: core.EndpointRecord, now: number): boolean {
    return this.#getWaitMs(endpoint, now) === 0;
  }

  /** Records that this process sends a request to `endpoint`. */
  recordSend(endpoint: core.EndpointRecord, now: number): void {
    const permit = this.#getPermit(endpoint, now);
    this.#pace.recordSend(endpoint.instance, now);
    this.#limits.recordSend(endpoint.instance, this.#options.getFleetSize(), now, permit);
  }

  /** Records how a request that was sent at `startedAt` ended, or that its first event arrived. */
  recordEnd(
    endpoint: core.EndpointRecord,
    report: policy.AttemptReport,
    startedAt: number,
  ): void {
    if (!this.#options.isPaceEnabled()) return;
    const now = this.#options.clock.now();
    const change = this.#pace.recordEnd(endpoint.instance, report, { startedAt, now });
    if (change !== undefined) this.#writePace(endpoint.instance, change);
  }

  /**
   * Returns the time until this process may send to the first of `endpoints`; 0 if it may send to
   * one now or there is none.
   */
  getWaitMs(endpoints: readonly core.EndpointRecord[], now: number): number {
    // The permits of a process that has just started grow when the others know it.
    const unsettledMs = this.#fleet.getUnsettledMs(now) || Infinity;
    const waits = endpoints.map((endpoint) => {
      const waitMs = this.#getWaitMs(endpoint, now);
      const coldMs = this.#getColdMs(endpoint, now);
      const reviewMs = this.#pace.getReviewMs(endpoint.instance, now);
      if (coldMs > 0) return Math.min(waitMs, unsettledMs, coldMs);
      return reviewMs === undefined ? waitMs : Math.min(waitMs, unsettledMs, reviewMs);
    });
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

  /** Lists what is known of endpoints in slow start, with the same scopes. */
  listPaceNews(scope: "recent" | "all", now: number): policy.PaceReport[] {
    return this.#pace.listNews(scope === "all" ? -Infinity : now - NEWS_REPORT_MS, now);
  }

  applyPaceNews(reports: readonly policy.PaceReport[] | undefined, now: number): void {
    if (reports === undefined) return;
    for (const { instance, phase } of this.#pace.applyNews(reports, now)) {
      this.#writePace(instance, phase);
    }
  }

  /** Records the time for which a health answer says that its endpoint stays cold. */
  recordColdStatement(instance: core.InstanceId, coldLeftMs: number, now: number): void {
    this.#coldLimits.recordStatement(instance, coldLeftMs, now);
  }

  /**
   * Counts the endpoints of `zone` as cold from now on, as after the end of an evacuation. Entries
   * above `revision`, the store revision of its end, may state another time.
   */
  recordZoneRestored(zone: core.ZoneName, now: number, revision?: number): void {
    for (const endpoint of this.#coldLimits.recordZoneRestored(zone, now, revision)) {
      this.#startPace(endpoint, now);
    }
  }

  /** Records that the store has acknowledged the announcement of this process. */
  recordAnnouncement(now: number): void {
    this.#fleet.recordAnnouncement(now);
  }

  dropInstance(instance: core.InstanceId): void {
    this.#limits.dropInstance(instance);
    this.#pace.dropInstance(instance);
    this.#coldLimits.recordLeft(instance, this.#options.clock.now());
  }

  /** Observes the known processes and endpoints, and drops what has expired. */
  update(endpoints: Iterable<core.EndpointRecord>, now: number): void {
    this.#fleet.recordPeers(this.#options.listKnownPeers(), now);
    const coldBefore = new Set(this.#coldInstances);
    for (const endpoint of endpoints) {
      this.#observeRecord(endpoint, now);
      const { instance } = endpoint;
      const coldMs = this.#getColdMs(endpoint, now);
      if (coldMs <= 0) continue;
      if (!coldBefore.delete(instance)) this.#writeCold(endpoint, coldMs, now);
      this.#coldInstances.add(instance);
    }
    for (const instance of coldBefore) {
      this.#coldInstances.delete(instance);
      this.#options.logger.write("endpoint_warm", { instance });
    }
    for (const instance of this.#pace.expireStates(now)) this.#writePace(instance, "full");
    this.#limits.expireLimits(now);
    this.#coldLimits.expireStates(now);
  }

  #getWaitMs(endpoint: core.EndpointRecord, now: number): number {
    const permit = this.#getPermit(endpoint, now);
    const blockedMs = this.#pace.size === 0 ? 0 : this.#pace.getBlockedMs(endpoint.instance, now);
    if (blockedMs > 0) return blockedMs;
    if (permit === undefined && this.#limits.size === 0) return 0;
    return this.#limits.getWaitMs(endpoint.instance, this.#options.getFleetSize(), now, permit);
  }

  #getPermit(endpoint: core.EndpointRecord, now: number): policy.SendPermit | undefined {
    const service = this.#options.getService(endpoint.service);
    if (service === undefined) return undefined;
    const isPaced = this.#options.isPaceEnabled();
    const isLimited = service.coldPerS > 0;
    if (!isLimited && !isPaced) return undefined;
    this.#observeRecord(endpoint, now);
    const isCold = isLimited &&
      this.#coldLimits.getColdUntil(endpoint.instance, service) > now;
    if (!isCold && !this.#pace.isPaced(endpoint.instance)) return undefined;
    const pool = this.#fleet.getPool(endpoint.zone, now);
    const paced = this.#pace.getPermit(endpoint.instance, pool, now);
    if (!isCold) return paced;
    return policy.chooseSlowerPermit(this.#createColdPermit(endpoint, service, pool), paced);
  }

  #createColdPermit(
    endpoint: core.EndpointRecord,
    service: core.RoutedService,
    pool: policy.SendPool,
  ): policy.SendPermit {
    const bounds = this.#options.getBounds().cold ?? policy.DEFAULT_COLD_BOUNDS;
    const originAt = this.#coldLimits.getOriginAt(endpoint.instance);
    return policy.createColdPermit(service.coldPerS, pool, { bounds, originAt });
  }

  /** Returns the time for which `endpoint` still accepts only the rate of a cold one. */
  #getColdMs(endpoint: core.EndpointRecord, now: number): number {
    const service = this.#options.getService(endpoint.service);
    if (service === undefined || !(service.coldPerS > 0)) return 0;
    return this.#coldLimits.getColdUntil(endpoint.instance, service) - now;
  }

  #observeRecord(endpoint: core.EndpointRecord, now: number): void {
    if (!this.#coldLimits.isNews(endpoint)) return;
    const listedAt = this.#options.getListedAt();
    const isStart = this.#coldLimits.observeRecord(endpoint, {
      now,
      wallTime: this.#options.clock.readWallTime(),
      isFirstListing: listedAt === undefined || now - listedAt <= FIRST_LISTING_MS,
    });
    if (isStart) this.#startPace(endpoint, now);
  }

  #startPace(endpoint: core.EndpointRecord, now: number): void {
    if (!this.#options.isPaceEnabled()) return;
    const originAt = this.#coldLimits.getOriginAt(endpoint.instance);
    this.#pace.startPace(endpoint.instance, originAt, now);
    this.#writePace(endpoint.instance, "trial");
  }

  #writePace(instance: core.InstanceId, phase: policy.PaceChange): void {
    this.#options.logger.write("endpoint_paced", { instance, phase });
  }

  #getPlace(): policy.FleetPlace {
    const { getFleetSize, countPrecedingPeers } = this.#options;
    return { size: getFleetSize(), rank: countPrecedingPeers() };
  }

  #writeCold(endpoint: core.EndpointRecord, coldMs: number, now: number): void {
    const pool = this.#fleet.getPool(endpoint.zone, now);
    this.#options.logger.write("endpoint_cold", {
      instance: endpoint.instance,
      per_s: this.#options.getService(endpoint.service)?.coldPerS,
      left_ms: Math.round(coldMs),
      share: pool.share,
      processes: pool.size,
    });
  }

  #writeChange(change: policy.LimitChange): void {
    const event = change.ratePerS === undefined ? "limit_ended" : "limit_named";
    this.#options.logger.write(event, { instance: change.instance, per_s: change.ratePerS });
  }
}
