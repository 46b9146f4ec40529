/**
 * Holds the newest routing configuration and how recently the store confirmed it.
 * Answers a store that is slow, away, deaf or reachable by others only: a
 * revoked key is refused here in time although the news cannot arrive.
 */

import type * as core from "@peridotvale/core";
import * as tables from "./route_table.ts";

/** A configuration in force, with its index of routes. */
export interface ConfigInForce {
  readonly config: core.RoutingConfig;
  readonly table: tables.RouteTable;
}

/** Releases only rise, confirmations too. */
export class ConfigRegister {
  #inForce: ConfigInForce | undefined;
  #confirmedAt = -Infinity;

  get inForce(): ConfigInForce | undefined {
    return this.#inForce;
  }

  /** When a call was sent whose answer showed that the configuration is the newest. */
  get confirmedAt(): number {
    return this.#confirmedAt;
  }

  /**
   * Adopts `config` if it is newer; `askedAt` is when the call that read it was
   * sent. Returns whether it is now in force for the first time.
   */
  adopt(config: core.RoutingConfig, askedAt: number): boolean {
    const current = this.#inForce?.config.release;
    if (current !== undefined && config.release < current) return false;
    this.#confirmedAt = Math.max(this.#confirmedAt, askedAt);
    if (current === config.release) return false;
    this.#inForce = { config, table: new tables.RouteTable(config.routes) };
    return true;
  }

  /**
   * Applies that another process confirmed `release` at most `ageMs` before it
   * answered a message that was sent at `sentAt` by this process's clock. However
   * late the answer comes, the confirmation is not older than that.
   */
  applyPeerConfirmation(
    release: core.Release,
    answered: { readonly sentAt: number; readonly ageMs: number },
  ): void {
    if (release !== this.#inForce?.config.release) return;
    this.#confirmedAt = Math.max(this.#confirmedAt, answered.sentAt - answered.ageMs);
  }

  /** Age of the last confirmation; Infinity without one. */
  getAge(now: number): number {
    return now - this.#confirmedAt;
  }
}
