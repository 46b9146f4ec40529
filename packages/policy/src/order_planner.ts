/** Compares engines with the manifest and says which orders bring them nearer to it. */

import type * as core from "@peridotvale/core";

/** A model that an engine holds. */
export interface HeldModel {
  readonly model: core.ModelName;
  readonly version: string;
  readonly adapters: readonly string[];
  readonly state: "loading" | "ready";
}

/** An engine of the zone. */
export interface PlannedEngine {
  readonly endpoint: core.EndpointId;
  readonly role: "serving" | "standby";
  readonly leaving: boolean;
  readonly models: readonly HeldModel[];
}

/** An order that should be sent. */
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
 * Plans the next orders of one zone. Loads are started only while fewer than
 * the weight store allows are running, and the last ready copy of a model is
 * never replaced while another engine can take the new version.
 */
export function planOrders(
  manifest: core.Manifest,
  engines: readonly PlannedEngine[],
): PlannedOrder[] {
  const usable = engines.filter((engine) => !engine.leaving);
  const orders: PlannedOrder[] = planRoles(manifest, usable);
  let loadsLeft = manifest.engines.maxConcurrentLoads - countLoading(engines);
  const serving = usable.filter((engine) => !isStandby(manifest, engine));
  for (const [model, spec] of manifest.models) {
    if (loadsLeft <= 0) break;
    const order = planLoad(model, spec, serving);
    if (order === undefined) continue;
    orders.push(order);
    loadsLeft -= 1;
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
  const without: PlannedEngine[] = [];
  for (const engine of engines) {
    const held = engine.models.find((entry) => entry.model === model);
    if (held === undefined) without.push(engine);
    else if (isCurrent(held, spec)) current.push(engine);
    else outdated.push(engine);
  }
  if (current.length >= Math.min(spec.replicas, engines.length)) return undefined;
  const readyCurrent = current.some((engine) => isReady(engine, model));
  const canReplace = outdated.length > 1 || readyCurrent || without.length === 0;
  const target = chooseTarget(canReplace ? outdated : []) ?? chooseTarget(without);
  if (target === undefined) return undefined;
  const { version, adapters } = spec;
  return { type: "load_model", endpoint: target.endpoint, model, version, adapters };
}

/** Copies beyond the wanted number go, once enough current ones are ready. */
function planUnloads(
  manifest: core.Manifest,
  engines: readonly PlannedEngine[],
): PlannedOrder[] {
  const orders: PlannedOrder[] = [];
  const readyCopies = new Map<core.ModelName, number>();
  for (const engine of engines) {
    for (const held of engine.models) {
      const { model } = held;
      const endpoint = engine.endpoint;
      const spec = manifest.models.get(model);
      if (spec === undefined) {
        orders.push({ type: "unload_model", endpoint, model });
        continue;
      }
      const wanted = Math.min(spec.replicas, engines.length);
      if (!isCurrent(held, spec)) {
        const ready = engines.filter((other) => isReadyCurrent(other, model, spec)).length;
        if (ready >= wanted) orders.push({ type: "unload_model", endpoint, model });
        continue;
      }
      if (held.state !== "ready") continue;
      const copies = (readyCopies.get(model) ?? 0) + 1;
      readyCopies.set(model, copies);
      if (copies > wanted) orders.push({ type: "unload_model", endpoint, model });
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
  let loading = 0;
  for (const engine of engines) {
    for (const held of engine.models) if (held.state === "loading") loading += 1;
  }
  return loading;
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
