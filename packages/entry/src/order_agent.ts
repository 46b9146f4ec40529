/** Brings the engines of this zone in line with the manifest, while it holds the zone's lease. */

import * as core from "@peridotvale/core";
import type * as engines from "@peridotvale/engines";
import type * as platform from "@peridotvale/platform";
import * as policy from "@peridotvale/policy";
import type * as directories from "./endpoint_directory.ts";
import type * as manifests from "./manifest_agent.ts";

/** What the agent works with. */
export interface OrderAgentOptions {
  readonly process: core.ProcessId;
  readonly zone: core.ZoneName;
  readonly store: platform.KeyValueStore;
  readonly client: engines.EngineClient;
  readonly directory: directories.EndpointDirectory;
  readonly manifests: manifests.ManifestAgent;
  /** Whether this process should hold the zone's lease. */
  readonly isWanted: () => boolean;
}

const LEASE = { ttlMs: 6_000, marginMs: 2_000, retryMs: 1_000 } as const;
const TICK_INTERVAL_MS = 250;
const MIN_RECONCILE_INTERVAL_MS = 2_000;
/** Time between reconciliations for each engine of the zone, which bounds status reads. */
const RECONCILE_MS_PER_ENGINE = 40;
const KEY_PREFIX = "peridotvale/orders/";

/** Holds the lease and sends orders. */
export class OrderAgent {
  readonly #runtime: core.Runtime;
  readonly #options: OrderAgentOptions;
  readonly #holder = new policy.LeaseHolder(LEASE);
  #lease: string | undefined;
  #reconcileAt = -Infinity;

  constructor(runtime: core.Runtime, options: OrderAgentOptions) {
    this.#runtime = runtime;
    this.#options = options;
  }

  /** The fencing number while orders may be sent. */
  getFencing(): number | undefined {
    return this.#holder.getFencingNumber(this.#runtime.clock.now());
  }

  /** Keeps the lease and reconciles when it is due. */
  async runTick(now: number): Promise<void> {
    await this.#handle({ type: "wanted_changed", wanted: this.#options.isWanted() });
    await this.#handle({ type: "ticked" });
    if (now < this.#reconcileAt || this.getFencing() === undefined) return;
    this.#reconcileAt = now + this.#getReconcileInterval();
    await this.#reconcile();
  }

  async #handle(event: policy.LeaseEvent): Promise<void> {
    for (const effect of this.#holder.handle(event, this.#runtime.clock.now())) {
      if (effect.type === "acquire") await this.#acquire();
      else if (effect.type === "renew") await this.#renew();
      else await this.#release();
    }
  }

  async #acquire(): Promise<void> {
    const { store, process, zone } = this.#options;
    const sentAt = this.#runtime.clock.now();
    const lease = await store.grantLease(LEASE.ttlMs);
    if (lease.isErr()) return await this.#handle({ type: "acquire_failed" });
    const committed = await store.commit([{
      key: KEY_PREFIX + zone,
      expectedRevision: 0,
      value: process,
      lease: lease.value.id,
    }]);
    if (committed.isErr() || !committed.value.committed) {
      void store.revokeLease(lease.value.id);
      return await this.#handle({ type: "acquire_failed" });
    }
    this.#lease = lease.value.id;
    const fencing = committed.value.revision;
    this.#runtime.logger.write("lease_acquired", { zone, fencing });
    await this.#handle({ type: "acquired", sentAt, fencing });
  }

  async #renew(): Promise<void> {
    const sentAt = this.#runtime.clock.now();
    const kept = await this.#options.store.keepLease(this.#lease!);
    if (kept.isErr()) return await this.#handle({ type: "renew_failed" });
    if (kept.value > 0) return await this.#handle({ type: "renewed", sentAt });
    this.#runtime.logger.write("lease_expired", { zone: this.#options.zone });
    await this.#handle({ type: "expired" });
  }

  async #release(): Promise<void> {
    await this.#options.store.revokeLease(this.#lease!);
    this.#runtime.logger.write("lease_released", { zone: this.#options.zone });
  }

  #getReconcileInterval(): number {
    const engineCount = this.#options.directory.table.getEndpoints("engine").length;
    return Math.max(MIN_RECONCILE_INTERVAL_MS, engineCount * RECONCILE_MS_PER_ENGINE);
  }

  /** Statuses are read afresh, which also opens the connections that orders go over. */
  async #reconcile(): Promise<void> {
    const { manifest } = this.#options.manifests;
    if (manifest === undefined) return;
    const planned: policy.PlannedEngine[] = [];
    for (const listed of this.#options.directory.table.getEndpoints("engine")) {
      if (listed.zone !== this.#options.zone) continue;
      const status = await this.#options.client.readStatus(listed.endpoint);
      if (status.isOk()) planned.push(createPlanned(listed, status.value));
    }
    for (const order of policy.planOrders(manifest, planned)) await this.#sendOrder(order);
  }

  /** The lease is checked right before each order: a pause may have come between. */
  async #sendOrder(planned: policy.PlannedOrder): Promise<void> {
    const fencing = this.getFencing();
    if (fencing === undefined) return;
    const { endpoint, ...order } = planned;
    const sent = await this.#options.client.sendOrder(endpoint, order, { fencing });
    this.#runtime.logger.write("order_sent", {
      endpoint,
      fencing,
      order: order.type,
      model: order.type === "set_role" ? undefined : order.model,
      result: sent.isOk() ? "ok" : sent.error.code,
    });
  }
}

/** Keeps `agent` going. */
export function registerOrderAgent(runtime: core.Runtime, agent: OrderAgent): core.Disposer {
  return runtime.registerInterval((now) => agent.runTick(now), TICK_INTERVAL_MS);
}

function createPlanned(
  listed: policy.ListedEndpoint,
  status: engines.EngineStatus,
): policy.PlannedEngine {
  return {
    endpoint: listed.endpoint,
    role: status.role,
    leaving: listed.leaving || (!status.accepting && status.role === "serving"),
    models: status.models.map((held) => ({
      ...held,
      model: core.createId<core.ModelName>(held.model),
    })),
  };
}
