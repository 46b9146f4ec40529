/** Applies the load reports of peers, and collects those that a hub passes on. */

import type * as core from "@peridotvale/core";
import * as policy from "@peridotvale/policy";

export interface LoadExchangeOptions {
  readonly process: core.ProcessId;
  readonly zone: core.ZoneName;
  readonly peerLoads: policy.PeerLoads;
}

/** Loads of other processes, by their newest report, direct or passed on. */
export class LoadExchange {
  readonly #options: LoadExchangeOptions;
  readonly #relay: policy.LoadRelay;

  constructor(options: LoadExchangeOptions) {
    this.#options = options;
    this.#relay = new policy.LoadRelay(options.zone);
  }

  /**
   * Applies the loads of `sender` and those that it passes on as a hub. Returns whether a newer
   * report of the sender is urgent: it contains unread prompts, which slow further ones down, or the
   * claim of a move, which others wait for.
   */
  applyReports(
    reports: readonly policy.RelayedLoads[],
    sender: core.ProcessId,
    timing: { readonly now: number; readonly ttlMs: number },
  ): boolean {
    const { peerLoads, process: self } = this.#options;
    const { now, ttlMs } = timing;
    let isUrgent = false;
    for (const report of reports) {
      const { process, loads, isLost } = report;
      if (process === self) continue;
      const isDirect = process === sender;
      if (!this.#relay.applyReport(report, { isDirect, now })) continue;
      if (isLost) peerLoads.dropProcess(process);
      else peerLoads.applyReport(process, loads, { now, ttlMs });
      isUrgent ||= loads.some((load) =>
        load.moveValue > 0 || (isDirect && load.unreadPromptTokens > 0)
      );
    }
    return isUrgent;
  }

  /** Withdraws the loads of a process whose link to this hub is lost. */
  recordLinkLost(process: core.ProcessId, now: number): void {
    if (this.#relay.recordLinkLost(process, now)) this.#options.peerLoads.dropProcess(process);
  }

  /** Withdraws the loads of a process that accepts no connections. */
  recordUnreachable(process: core.ProcessId, now: number): void {
    if (this.#relay.recordUnreachable(process, now)) this.#options.peerLoads.dropProcess(process);
  }

  /** Drops reports that were not renewed in time. */
  expireReports(now: number): void {
    this.#options.peerLoads.expireReports(now);
    this.#relay.expireReports(now);
  }

  hasQueuedReports(audience: policy.RelayAudience): boolean {
    return this.#relay.hasQueuedReports(audience);
  }

  /** Returns the reports to pass on to `audience` since the last call. */
  takeReports(audience: policy.RelayAudience): readonly policy.RelayedLoads[] {
    return this.#relay.takeReports(audience);
  }

  /** Returns all reports that are passed on to `audience`, for a new link. */
  listAll(audience: policy.RelayAudience): readonly policy.RelayedLoads[] {
    return this.#relay.listAll(audience);
  }
}
