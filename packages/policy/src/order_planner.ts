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
  const usableEngines = engines.filter((engine) => !engine.leaving);
  const orders: PlannedOrder[] = planRoles(manifest, usableEngines);
  let remainingLoads = manifest.engines.maxConcurrentLoads - countLoading(engines);
  const servingEngines = usableEngines.filter((engine) => !isStandby(manifest, engine));
  for (const [model, spec] of manifest.models) {
    if (remainingLoads <= 0) break;
    const order = planLoad(model, spec, servingEngines);
    if (order === undefined) continue;
    orders.push(order);
    remainingLoads -= 1;
  }
  return [...orders, ...planUnloads(manifest, servingEngines)];
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
  const currentEngines: PlannedEngine[] = [];
  const outdatedEngines: PlannedEngine[] = [];
  const unloadedEngines: PlannedEngine[] = [];
  for (const engine of engines) {
    const heldModel = engine.models.find((entry) => entry.model === model);
    if (heldModel === undefined) unloadedEngines.push(engine);
    else if (isCurrentVersion(heldModel, spec)) currentEngines.push(engine);
    else outdatedEngines.push(engine);
  }
  if (currentEngines.length >= Math.min(spec.replicas, engines.length)) return undefined;
  const hasReadyCurrent = currentEngines.some((engine) => hasReadyReplica(engine, model));
  const canReplace = outdatedEngines.length > 1 || hasReadyCurrent || unloadedEngines.length === 0;
  const targetEngine = chooseTargetEngine(canReplace ? outdatedEngines : []) ??
    chooseTargetEngine(unloadedEngines);
  if (targetEngine === undefined) return undefined;
  const { version, adapters } = spec;
  return { type: "load_model", endpoint: targetEngine.endpoint, model, version, adapters };
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
    for (const heldModel of engine.models) {
      const { model } = heldModel;
      const endpoint = engine.endpoint;
      const spec = manifest.models.get(model);
      if (spec === undefined) {
        orders.push({ type: "unload_model", endpoint, model });
        continue;
      }
      const wantedReplicas = Math.min(spec.replicas, engines.length);
      if (!isCurrentVersion(heldModel, spec)) {
        const readyCount = engines.filter((other) =>
          hasReadyCurrentVersion(other, model, spec)
        ).length;
        if (readyCount >= wantedReplicas) orders.push({ type: "unload_model", endpoint, model });
        continue;
      }
      if (heldModel.state !== "ready") continue;
      const replicaCount = (readyReplicas.get(model) ?? 0) + 1;
      readyReplicas.set(model, replicaCount);
      if (replicaCount > wantedReplicas) orders.push({ type: "unload_model", endpoint, model });
    }
  }
  return orders;
}

function chooseTargetEngine(engines: readonly PlannedEngine[]): PlannedEngine | undefined {
  let bestEngine: PlannedEngine | undefined;
  for (const engine of engines) {
    if (bestEngine === undefined || engine.models.length < bestEngine.models.length) {
      bestEngine = engine;
    }
  }
  return bestEngine;
}

function countLoading(engines: readonly PlannedEngine[]): number {
  let loadingCount = 0;
  for (const engine of engines) {
    for (const heldModel of engine.models) if (heldModel.state === "loading") loadingCount += 1;
  }
  return loadingCount;
}

function isStandby(manifest: core.Manifest, engine: PlannedEngine): boolean {
  return manifest.engines.standby.includes(engine.endpoint);
}

function hasReadyReplica(engine: PlannedEngine, model: core.ModelName): boolean {
  return engine.models.some((heldModel) =>
    heldModel.model === model && heldModel.state === "ready"
  );
}

function hasReadyCurrentVersion(
  engine: PlannedEngine,
  model: core.ModelName,
  spec: core.ModelSpec,
): boolean {
  for (const heldModel of engine.models) {
    if (
      heldModel.model === model && heldModel.state === "ready" && isCurrentVersion(heldModel, spec)
    ) {
      return true;
    }
  }
  return false;
}

function isCurrentVersion(heldModel: HeldModel, spec: core.ModelSpec): boolean {
  if (heldModel.version !== spec.version) return false;
  const loadedAdapters = new Set(heldModel.adapters);
  return spec.adapters.every((adapter) => loadedAdapters.has(adapter)) &&
    loadedAdapters.size === new Set(spec.adapters).size;
}
