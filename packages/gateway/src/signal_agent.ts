/**
 * Handles what endpoints state of themselves in the heads of their answers: that they leave, that
 * they accept nothing for a while, and the limits on their request rates.
 */

import type * as core from "@peridotvale/core";
import * as policy from "@peridotvale/policy";
import type * as codec from "./codec.ts";
import type * as limitAgents from "./limit_agent.ts";

export interface SignalAgentOptions {
  readonly clock: core.Clock;
  readonly logger: core.Logger;
  readonly directory: policy.InstanceDirectory;
  readonly limitAgent: limitAgents.LimitAgent;
  /** Returns the endpoints of a service that may get new work. */
  readonly listUsableEndpoints: (service: core.ServiceName) => core.EndpointRecord[];
  readonly publishChanges: (changes: readonly policy.InstanceChange[]) => void;
}

/** Time until a service accepts a request, and what it waits for. */
export interface ServiceWait {
  /** 0 if an endpoint accepts one now, or if there is no endpoint. */
  readonly waitMs: number;
  /** Whether all endpoints have asked for a pause. */
  readonly isHeldOff: boolean;
}

const NO_WAIT: ServiceWait = { waitMs: 0, isHeldOff: false };
/** Time for which reports contain news, since a single report may be lost. */
const NEWS_REPORT_MS = 1_500;

export class SignalAgent {
  readonly #options: SignalAgentOptions;
  readonly #holdOffs = new policy.HoldOffs();

  constructor(options: SignalAgentOptions) {
    this.#options = options;
  }

  /** Number of endpoints that have asked for a pause. */
  get heldOffCount(): number {
    return this.#holdOffs.size;
  }

  /**
   * Records the head of an answer that is known to belong to a request, which was sent to `endpoint`
   * at `sentAt`.
   */
  recordAnswer(endpoint: core.EndpointRecord, head: codec.AnswerHead, sentAt: number): void {
    const { limitAgent } = this.#options;
    limitAgent.recordAnswer(endpoint.instance, { ratePerS: head.rateLimitPerS, sentAt });
    // Another instance, which answers at the endpoint's address, speaks for itself only.
    if (!head.isMisdirected) this.recordSignals(endpoint, head);
  }

  /** Records what an answer of `endpoint` states, to a request or to a control call. */
  recordSignals(endpoint: core.EndpointRecord, signals: codec.EndpointSignals): void {
    const { isLeaving, retryAfterMs } = signals;
    // Almost every answer states neither.
    if (!isLeaving && retryAfterMs === undefined) return;
    const { clock, logger, directory, publishChanges } = this.#options;
    const now = clock.now();
    if (retryAfterMs !== undefined) {
      const pauseMs = this.#holdOffs.recordPause(endpoint, retryAfterMs, now);
      if (pauseMs > 0) {
        logger.write("endpoint_held_off", {
          instance: endpoint.instance,
          stated_ms: Math.round(retryAfterMs),
          pause_ms: Math.round(pauseMs),
        });
      }
    }
    if (isLeaving) publishChanges(directory.recordLeaveSignal(endpoint, now));
  }

  /** Whether `endpoint` accepts nothing from this process now. */
  isHeldOff(endpoint: core.EndpointRecord): boolean {
    return this.#holdOffs.size > 0 &&
      this.#holdOffs.getWaitMs(endpoint, this.#options.clock.now()) > 0;
  }

  /** Whether pauses and limits permit a request to `endpoint` now. */
  canSend(endpoint: core.EndpointRecord, now: number): boolean {
    return !this.isHeldOff(endpoint) && this.#options.limitAgent.canSend(endpoint, now);
  }

  /** Returns the time until pauses and limits permit a request to an endpoint of `service`. */
  getServiceWait(service: core.ServiceName, now: number): ServiceWait {
    const { listUsableEndpoints, limitAgent } = this.#options;
    const endpoints = listUsableEndpoints(service);
    if (endpoints.length === 0) return NO_WAIT;
    let waitMs = Infinity;
    let isHeldOff = true;
    for (const endpoint of endpoints) {
      const pauseMs = this.#holdOffs.getWaitMs(endpoint, now);
      if (pauseMs === 0) isHeldOff = false;
      waitMs = Math.min(waitMs, Math.max(pauseMs, limitAgent.getWaitMs([endpoint], now)));
    }
    return { waitMs, isHeldOff };
  }

  /** Returns the time until the first endpoint of `service` ends its pause; 0 if one has none. */
  getPauseMs(service: core.ServiceName, now: number): number {
    if (this.#holdOffs.size === 0) return 0;
    const { waitMs, isHeldOff } = this.getServiceWait(service, now);
    return isHeldOff ? waitMs : 0;
  }

  /** Lists statements of leaving endpoints for a report; a peer on a new link gets all of them. */
  listNews(scope: "recent" | "all", now: number): policy.LeaveSignalReport[] {
    const since = scope === "all" ? -Infinity : now - NEWS_REPORT_MS;
    return this.#options.directory.listLeaveSignals(since, now);
  }

  applyNews(reports: readonly policy.LeaveSignalReport[], now: number): void {
    const { directory, publishChanges } = this.#options;
    if (reports.length > 0) publishChanges(directory.applyLeaveSignals(reports, now));
  }

  /** Drops the pauses that have ended. */
  expirePauses(now: number): void {
    for (const instance of this.#holdOffs.expirePauses(now)) {
      this.#options.logger.write("hold_off_ended", { instance });
    }
  }
}
