/**
 * Holds the newest routing configuration and the time at which the store last confirmed it.
 * Handles stalled watches and a store that is slow, unavailable or reachable only by other
 * processes. In these cases the revocation of a key may not arrive, so callers can refuse requests
 * with a key once the confirmation is too old.
 */

import type * as core from "@peridotvale/core";
import * as tables from "./route_table.ts";

/** The configuration in force, with its index of routes. */
export interface ConfigInForce {
  readonly config: core.RoutingConfig;
  readonly table: tables.RouteTable;
}

/** Holds one configuration; neither its release nor its confirmation time ever decreases. */
export class ConfigRegister {
  #inForce: ConfigInForce | undefined;
  #confirmedAt = -Infinity;

  get inForce(): ConfigInForce | undefined {
    return this.#inForce;
  }

  /**
   * Send time of the latest store call whose answer showed that the configuration is the newest;
   * -Infinity if there was no such call.
   */
  get confirmedAt(): number {
    return this.#confirmedAt;
  }

  /**
   * Adopts `config` unless it is older than the one in force. `requestedAt` is the send time of
   * the store call that read `config`, or -Infinity if the watch or a peer delivered it. Returns
   * whether the release in force has changed.
   */
  adopt(config: core.RoutingConfig, requestedAt: number): boolean {
    const currentRelease = this.#inForce?.config.release;
    if (currentRelease !== undefined && config.release < currentRelease) return false;
    this.#confirmedAt = Math.max(this.#confirmedAt, requestedAt);
    if (currentRelease === config.release) return false;
    this.#inForce = { config, table: new tables.RouteTable(config.routes) };
    return true;
  }

  /**
   * Applies another process's confirmation of `release`. The process reported `ageMs`, the
   * age of its confirmation, in answer to a message sent at `sentAt` by this process's clock. The
   * confirmation therefore dates from `sentAt - ageMs` or later, however late the answer arrives.
   * A confirmation in the future is invalid and is ignored.
   */
  applyPeerConfirmation(
    release: core.Release,
    answer: { readonly sentAt: number; readonly ageMs: number },
    now: number,
  ): void {
    if (release !== this.#inForce?.config.release) return;
    if (answer.ageMs < 0 || answer.sentAt > now) return;
    this.#confirmedAt = Math.max(this.#confirmedAt, answer.sentAt - answer.ageMs);
  }

  /** Returns the age of the last confirmation; Infinity without one. */
  getConfirmAgeMs(now: number): number {
    return now - this.#confirmedAt;
  }
}
