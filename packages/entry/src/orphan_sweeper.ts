/**
 * Cancels orphans: generations on owned engines whose tokens no connection has
 * read for `ORPHAN_GRACE_MS`.
 */

import type * as core from "@peridotvale/core";
import type * as engines from "@peridotvale/engines";

export interface OrphanSweeperOptions {
  readonly client: engines.EngineClient;
  /** Returns the engines that this process owns. */
  readonly listEngines: () => readonly core.EndpointId[];
}

/** Time in which a caller may resume its generation at another entry process. */
export const ORPHAN_GRACE_MS = 15_000;
const SWEEP_INTERVAL_MS = 5_000;

/** Tracks since when no connection has read a generation; cancels it after the grace period. */
export class OrphanSweeper {
  readonly #runtime: core.Runtime;
  readonly #options: OrphanSweeperOptions;
  /** Time since which no connection has read a generation, by endpoint and generation. */
  #unreadSince = new Map<string, number>();

  constructor(runtime: core.Runtime, options: OrphanSweeperOptions) {
    this.#runtime = runtime;
    this.#options = options;
  }

  /** Checks the generations of every owned engine once. */
  async sweep(): Promise<void> {
    const unread = new Map<string, number>();
    for (const endpoint of this.#options.listEngines()) await this.#sweepEngine(endpoint, unread);
    this.#unreadSince = unread;
  }

  async #sweepEngine(
    endpoint: core.EndpointId,
    newUnreadSince: Map<string, number>,
  ): Promise<void> {
    const listResult = await this.#options.client.listGenerations(endpoint);
    if (listResult.isErr()) return;
    const now = this.#runtime.clock.now();
    for (const { generation, attached } of listResult.value) {
      if (attached) continue;
      const key = `${endpoint} ${generation}`;
      const unreadSince = this.#unreadSince.get(key) ?? now;
      newUnreadSince.set(key, unreadSince);
      if (now - unreadSince < ORPHAN_GRACE_MS) continue;
      await this.#options.client.cancelGeneration(endpoint, generation);
      this.#runtime.logger.write("orphan_cancelled", { endpoint, generation });
    }
  }
}

export function registerOrphanSweeper(
  runtime: core.Runtime,
  sweeper: OrphanSweeper,
): core.Disposer {
  return runtime.registerInterval(() => sweeper.sweep(), SWEEP_INTERVAL_MS);
}
