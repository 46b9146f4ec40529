import * as core from "@peridotvale/core";
import * as fc from "fast-check";
import * as tap from "tap";
import * as manifests from "./manifest_register.ts";
import * as orders from "./order_planner.ts";

fc.configureGlobal({ seed: 20_261_204, numRuns: 300 });

function createManifest(release: number, version: string, maxLoads: number): core.Manifest {
  return core.parseManifest(
    `release: ${release}
models:
  m1: { version: ${version}, replicas: 2, max_output_tokens: 10 }
  m2: { version: ${version}, replicas: 3, max_output_tokens: 10 }
ranks: { r: { order: 0, first_token_ms: 1, between_tokens_ms: 1, deadline_ms: 1 } }
default_rank: r
workspaces: { w: {} }
engines: { max_concurrent_loads: ${maxLoads} }
`,
    { source: "test" },
  )._unsafeUnwrap();
}

// Guards against orders that never converge, that start more loads at once than the
// weight store allows, or that replace all ready replicas of a model at once.
tap.t.test("orders reconcile engines within the load limit and keep models served", (t) => {
  const engineCounts = fc.integer({ min: 3, max: 6 });
  const loadLimits = fc.integer({ min: 1, max: 3 });
  fc.assert(fc.property(engineCounts, loadLimits, (engineCount, loadLimit) => {
    let engines: orders.PlannedEngine[] = Array.from({ length: engineCount }, (_, index) => ({
      endpoint: core.createId<core.EndpointId>(`e${index}`),
      role: "serving",
      leaving: false,
      models: [],
    }));
    for (const version of ["v1", "v2"]) {
      const manifest = createManifest(1, version, loadLimit);
      for (let round = 0; round < 40; round++) {
        const plannedOrders = orders.planOrders(manifest, engines);
        engines = engines.map((engine) => finishLoads(engine));
        for (const order of plannedOrders) engines = applyOrder(engines, order);
        const loadingCount = engines.flatMap((engine) => engine.models)
          .filter((held) => held.state === "loading").length;
        if (loadingCount > loadLimit) return false;
        if (version === "v2" && !isServed(engines, "m1")) return false;
        if (version === "v2" && !isServed(engines, "m2")) return false;
      }
      engines = engines.map((engine) => finishLoads(engine));
      if (countReplicas(engines, "m1", version) !== 2) return false;
      if (countReplicas(engines, "m2", version) !== 3) return false;
      if (orders.planOrders(manifest, engines).length > 0) return false;
    }
    return true;
  }));
  t.end();
});

tap.t.test("an engine that is leaving gets no orders", (t) => {
  const engine: orders.PlannedEngine = {
    endpoint: core.createId<core.EndpointId>("e"),
    role: "serving",
    leaving: true,
    models: [],
  };
  t.same(orders.planOrders(createManifest(1, "v1", 1), [engine]), []);
  t.end();
});

tap.t.test("the release in force never decreases, in any order of records", (t) => {
  fc.assert(fc.property(fc.array(fc.integer({ min: 1, max: 9 }), { minLength: 1 }), (releases) => {
    const register = new manifests.ManifestRegister();
    let highestRelease = 0;
    for (const [index, release] of releases.entries()) {
      const record = {
        release: core.createRelease(release),
        submission: `s${index}`,
        text: "",
        json: "",
      };
      register.applyRecord(record, index);
      highestRelease = Math.max(highestRelease, release);
      if (register.record?.release !== highestRelease) return false;
    }
    return true;
  }));
  t.end();
});

function applyOrder(
  engines: readonly orders.PlannedEngine[],
  order: orders.PlannedOrder,
): orders.PlannedEngine[] {
  return engines.map((engine) => {
    if (engine.endpoint !== order.endpoint || order.type === "set_role") return engine;
    const models = engine.models.filter((held) => held.model !== order.model);
    if (order.type === "unload_model") return { ...engine, models };
    const { model, version, adapters } = order;
    return { ...engine, models: [...models, { model, version, adapters, state: "loading" }] };
  });
}

function finishLoads(engine: orders.PlannedEngine): orders.PlannedEngine {
  return { ...engine, models: engine.models.map((held) => ({ ...held, state: "ready" })) };
}

function countReplicas(
  engines: readonly orders.PlannedEngine[],
  model: string,
  version: string,
): number {
  return engines.flatMap((engine) => engine.models)
    .filter((held) => held.model === model && held.version === version).length;
}

function isServed(engines: readonly orders.PlannedEngine[], model: string): boolean {
  return engines.some((engine) =>
    engine.models.some((held) => held.model === model && held.state === "ready")
  );
}
