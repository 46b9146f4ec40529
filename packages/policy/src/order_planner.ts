/** Compares a zone's engines with the manifest and plans the orders that reconcile them. */

import type * as core from "@peridotvale/core";

/** A model that an engine has loaded or is loading. */
export interface HeldModel {
  readonly model: core.ModelName;
  readonly version: string;
  readonly adapters: readonly string[];
  readonly state: "loading" | "ready";
}

/** Engine state from which orders are planned. */
export interface PlannedEngine {
  readonly endpoint: core.EndpointId;
  readonly role: "serving" | "standby";
  readonly leaving: boolean;
  readonly models: readonly HeldModel[];
}

/** An order to send to an engine. */
export type PlannedOrder =
  | {
    readonly type: "load_model";
    readonly endpoint: core.EndpointId;
    readonly model: core.ModelName;
    readonly version: string;
    readonly adapters: readonly string[];
  }
  | {
    readonly type: "unload_model";
    readonly endpoint: core.EndpointId;
    readonly model: core.ModelName;
  }
  | {
    readonly type: "set_role";
    readonly endpoint: core.EndpointId;
    readonly role: "serving" | "standby";
  };

/**
 * Plans the next orders of one zone. A load starts only while fewer loads run
 * than the weight store allows. The last ready replica of a model is never
 * replaced while another engine can load the new version.
 */
export function planOrders(
  manifest: core.Manifest,
  engines: readonly PlannedEngine[],
): PlannedOrder[] {
  const usable = engines.filter((engine) => !engine.leaving);
  const orders: PlannedOrder[] = planRoles(manifest, usable);
  let remainingLoads = manifest.engines.maxConcurrentLoads - countLoading(engines);
  const serving = usable.filter((engine) => !isStandby(manifest, engine));
  for (const [model, spec] of manifest.models) {
    if (remainingLoads <= 0) break;
    const order = planLoad(model, spec, serving);
    if (order === undefined) continue;
    orders.push(order);
    remainingLoads -= 1;
  }
  return [...orders, ...planUnloads(manifest, serving)];
}

function planRoles(manifest: core.Manifest, engines: readonly PlannedEngine[]): PlannedOrder[] {
  const orders: PlannedOrder[] = [];
  for (const engine of engines) {
    const role = isStandby(manifest, engine) ? "standby" : "serving";
    if (engine.role === role) continue;
    orders.push({ type: "set_role", endpoint: engine.endpoint, role });
  }
  return orders;
}

function planLoad(
  model: core.ModelName,
  spec: core.ModelSpec,
  engines: readonly PlannedEngine[],
): PlannedOrder | undefined {
  const current: PlannedEngine[] = [];
  const outdated: PlannedEngine[] = [];
  const unloaded: PlannedEngine[] = [];
  for (const engine of engines) {
    const held = engine.models.find((entry) => entry.model === model);
    if (held === undefined) unloaded.push(engine);
    else if (isCurrent(held, spec)) current.push(engine);
    else outdated.push(engine);
  }
  if (current.length >= Math.min(spec.replicas, engines.length)) return undefined;
  const hasReadyCurrent = current.some((engine) => isReady(engine, model));
  const canReplace = outdated.length > 1 || hasReadyCurrent || unloaded.length === 0;
  const target = chooseTarget(canReplace ? outdated : []) ?? chooseTarget(unloaded);
  if (target === undefined) return undefined;
  const { version, adapters } = spec;
  return { type: "load_model", endpoint: target.endpoint, model, version, adapters };
}

/**
 * Unloads models that the manifest does not list, surplus replicas, and outdated
 * replicas once enough current ones are ready.
 */
function planUnloads(
  manifest: core.Manifest,
  engines: readonly PlannedEngine[],
): PlannedOrder[] {
  const orders: PlannedOrder[] = [];
  const readyReplicas = new Map<core.ModelName, number>();
  for (const engine of engines) {
    for (const held of engine.models) {
      const { model } = held;
      const endpoint = engine.endpoint;
      const spec = manifest.models.get(model);
      if (spec === undefined) {
        orders.push({ type: "unload_model", endpoint, model });
        continue;
      }
      const wantedReplicas = Math.min(spec.replicas, engines.length);
      if (!isCurrent(held, spec)) {
        const readyCount = engines.filter((other) => isReadyCurrent(other, model, spec)).length;
        if (readyCount >= wantedReplicas) orders.push({ type: "unload_model", endpoint, model });
        continue;
      }
      if (held.state !== "ready") continue;
      const replicaCount = (readyReplicas.get(model) ?? 0) + 1;
      readyReplicas.set(model, replicaCount);
      if (replicaCount > wantedReplicas) orders.push({ type: "unload_model", endpoint, model });
    }
  }
  return orders;
}

function chooseTarget(engines: readonly PlannedEngine[]): PlannedEngine | undefined {
  let best: PlannedEngine | undefined;
  for (const engine of engines) {
    if (best === undefined || engine.models.length < best.models.length) best = engine;
  }
  return best;
}

function countLoading(engines: readonly PlannedEngine[]): number {
  let loadingCount = 0;
  for (const engine of engines) {
    for (const held of engine.models) if (held.state === "loading") loadingCount += 1;
  }
  return loadingCount;
}

function isStandby(manifest: core.Manifest, engine: PlannedEngine): boolean {
  return manifest.engines.standby.includes(engine.endpoint);
}

function isReady(engine: PlannedEngine, model: core.ModelName): boolean {
  return engine.models.some((held) => held.model === model && held.state === "ready");
}

function isReadyCurrent(
  engine: PlannedEngine,
  model: core.ModelName,
  spec: core.ModelSpec,
): boolean {
  for (const held of engine.models) {
    if (held.model === model && held.state === "ready" && isCurrent(held, spec)) return true;
  }
  return false;
}

function isCurrent(held: HeldModel, spec: core.ModelSpec): boolean {
  if (held.version !== spec.version) return false;
  const loaded = new Set(held.adapters);
  return spec.adapters.every((adapter) => loaded.has(adapter)) &&
    loaded.size === new Set(spec.adapters).size;
}
