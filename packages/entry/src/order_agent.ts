/**
 * Sends orders (commands to engines) that bring the engines of this zone in line
 * with the manifest. Only the holder of the zone's lease sends orders; each order
 * carries the lease's fencing number.
 */

import * as core from "@peridotvale/core";
import type * as engines from "@peridotvale/engines";
import type * as platform from "@peridotvale/platform";
import * as policy from "@peridotvale/policy";
import type * as directories from "./endpoint_directory.ts";
import type * as manifests from "./manifest_agent.ts";

export interface OrderAgentOptions {
  readonly process: core.ProcessId;
  readonly zone: core.ZoneName;
  readonly store: platform.KeyValueStore;
  readonly client: engines.EngineClient;
  readonly directory: directories.EndpointDirectory;
  readonly manifests: manifests.ManifestAgent;
  /** Whether this process is elected to hold the zone's lease. */
  readonly isElected: () => boolean;
}

const LEASE_TIMING = { ttlMs: 6_000, marginMs: 2_000, retryMs: 1_000 } as const;
const TICK_INTERVAL_MS = 250;
const MIN_RECONCILE_INTERVAL_MS = 2_000;
/**
 * The reconciliation interval is at least this time multiplied by the number of listed
 * engines, which bounds the rate of status reads.
 */
const RECONCILE_INTERVAL_MS_PER_ENGINE = 40;
const LEASE_KEY_PREFIX = "peridotvale/orders/";

/** Acquires the zone's lease; sends orders (commands) to the zone's engines while holding it. */
export class OrderAgent {
  readonly #runtime: core.Runtime;
  readonly #options: OrderAgentOptions;
  readonly #leaseHolder = new policy.LeaseHolder(LEASE_TIMING);
  #leaseId: string | undefined;
  #nextReconcileAt = -Infinity;

  constructor(runtime: core.Runtime, options: OrderAgentOptions) {
    this.#runtime = runtime;
    this.#options = options;
  }

  /** Returns the fencing number, or `undefined` while this process must not send orders. */
  getFencingNumber(): number | undefined {
    return this.#leaseHolder.getFencingNumber(this.#runtime.clock.now());
  }

  /** Acquires, renews or releases the lease, and sends orders if a reconciliation is due. */
  async runTick(now: number): Promise<void> {
    await this.#handleLeaseEvent({ type: "wanted_changed", wanted: this.#options.isElected() });
    await this.#handleLeaseEvent({ type: "ticked" });
    if (now < this.#nextReconcileAt || this.getFencingNumber() === undefined) return;
    this.#nextReconcileAt = now + this.#getReconcileInterval();
    await this.#reconcile();
  }

  async #handleLeaseEvent(event: policy.LeaseEvent): Promise<void> {
    for (const effect of this.#leaseHolder.handle(event, this.#runtime.clock.now())) {
      if (effect.type === "acquire") await this.#acquireLease();
      else if (effect.type === "renew") await this.#renewLease();
      else await this.#releaseLease();
    }
  }

  async #acquireLease(): Promise<void> {
    const { store, process, zone } = this.#options;
    const sentAt = this.#runtime.clock.now();
    const lease = await store.grantLease(LEASE_TIMING.ttlMs);
    if (lease.isErr()) return await this.#handleLeaseEvent({ type: "acquire_failed" });
    const commitResult = await store.commit([{
      key: LEASE_KEY_PREFIX + zone,
      expectedRevision: 0,
      value: process,
      lease: lease.value.id,
    }]);
    if (commitResult.isErr() || !commitResult.value.committed) {
      void store.revokeLease(lease.value.id);
      return await this.#handleLeaseEvent({ type: "acquire_failed" });
    }
    this.#leaseId = lease.value.id;
    const fencing = commitResult.value.revision;
    this.#runtime.logger.write("lease_acquired", { zone, fencing });
    await this.#handleLeaseEvent({ type: "acquired", sentAt, fencing });
  }

  async #renewLease(): Promise<void> {
    const sentAt = this.#runtime.clock.now();
    const renewResult = await this.#options.store.renewLease(this.#leaseId!);
    if (renewResult.isErr()) return await this.#handleLeaseEvent({ type: "renew_failed" });
    if (renewResult.value > 0) return await this.#handleLeaseEvent({ type: "renewed", sentAt });
    this.#runtime.logger.write("lease_expired", { zone: this.#options.zone });
    await this.#handleLeaseEvent({ type: "expired" });
  }

  async #releaseLease(): Promise<void> {
    await this.#options.store.revokeLease(this.#leaseId!);
    this.#runtime.logger.write("lease_released", { zone: this.#options.zone });
  }

  #getReconcileInterval(): number {
    const engineCount = this.#options.directory.table.getEndpointsByRole("engine").length;
    return Math.max(MIN_RECONCILE_INTERVAL_MS, engineCount * RECONCILE_INTERVAL_MS_PER_ENGINE);
  }

  /**
   * Reads the status of each engine of the zone, then plans and sends the orders.
   * The reads also open the connections that the orders use.
   */
  async #reconcile(): Promise<void> {
    const { manifest } = this.#options.manifests;
    if (manifest === undefined) return;
    const plannedEngines: policy.PlannedEngine[] = [];
    for (const listedEngine of this.#options.directory.table.getEndpointsByRole("engine")) {
      if (listedEngine.zone !== this.#options.zone) continue;
      const status = await this.#options.client.readStatus(listedEngine.endpoint);
      if (status.isOk()) plannedEngines.push(createPlannedEngine(listedEngine, status.value));
    }
    for (const order of policy.planOrders(manifest, plannedEngines)) await this.#sendOrder(order);
  }

  /**
   * Sends one order. Checks the lease right before sending, since the process may have
   * paused after the last check.
   */
  async #sendOrder(plannedOrder: policy.PlannedOrder): Promise<void> {
    const fencing = this.getFencingNumber();
    if (fencing === undefined) return;
    const { endpoint, ...order } = plannedOrder;
    const result = await this.#options.client.sendOrder(endpoint, order, { fencing });
    this.#runtime.logger.write("order_sent", {
      endpoint,
      fencing,
      order: order.type,
      model: order.type === "set_role" ? undefined : order.model,
      result: result.isOk() ? "ok" : result.error.code,
    });
  }
}

/** Calls `agent.runTick` at intervals. */
export function registerOrderAgent(runtime: core.Runtime, agent: OrderAgent): core.Disposer {
  return runtime.registerInterval((now) => agent.runTick(now), TICK_INTERVAL_MS);
}

function createPlannedEngine(
  listed: policy.ListedEndpoint,
  status: engines.EngineStatus,
): policy.PlannedEngine {
  return {
    endpoint: listed.endpoint,
    role: status.role,
    leaving: listed.leaving || (!status.accepting && status.role === "serving"),
    models: status.models.map((loaded) => ({
      ...loaded,
      model: core.createId<core.ModelName>(loaded.model),
    })),
  };
}
