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

/** Tracks how long each generation has been unread, and cancels it after the grace period. */
export class OrphanSweeper {
  readonly #runtime: core.Runtime;
  readonly #options: OrphanSweeperOptions;
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
    unread: Map<string, number>,
  ): Promise<void> {
    const running = await this.#options.client.listGenerations(endpoint);
    if (running.isErr()) return;
    const now = this.#runtime.clock.now();
    for (const { generation, attached } of running.value) {
      if (attached) continue;
      const key = `${endpoint} ${generation}`;
      const since = this.#unreadSince.get(key) ?? now;
      unread.set(key, since);
      if (now - since < ORPHAN_GRACE_MS) continue;
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
