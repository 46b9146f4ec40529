import * as core from "@peridotvale/core";
import * as tap from "tap";
import type * as checks from "./config_check.ts";
import * as comparisons from "./config_comparison.ts";

const ROUTE: checks.DeclaredRoute = {
  name: "stock",
  host: "a.example",
  declaredHost: "a.example",
  pathPrefix: "/stock/",
  kind: "idempotent",
  timeoutMs: 300,
  targetLatencyMs: 300,
  rank: 1,
  targets: [createTarget("x", 1), createTarget("y", 3)],
  maxAttempts: 2,
  needsKey: true,
  isResumable: false,
  gapAimMs: 0,
};
const OTHER_ROUTE = { ...ROUTE, pathPrefix: "/other/" };
const SERVICE = createService("x");
const CONFIG: checks.DeclaredConfig = {
  release: core.createRelease(7),
  routes: [ROUTE, OTHER_ROUTE],
  services: [SERVICE, createService("y")],
  limits: { maxHeaderBytes: 1, maxBodyBytes: 2, headerTimeoutMs: 3, idleTimeoutMs: 4 },
  workspaces: [createWorkspace("a", ["key-1", "key-2"]), createWorkspace("b", [])],
};

function createTarget(service: string, weight: number): core.RouteTarget {
  return { service: core.createId<core.ServiceName>(service), weight };
}

function createService(name: string): core.RoutedService {
  const engine = { slots: 1, memoryTokens: 9, tokensPerEvent: 1, canMove: true };
  return {
    name: core.createId<core.ServiceName>(name),
    maxConnections: 1,
    healthPath: "/",
    coldStartMs: 0,
    coldPerS: 0,
    engine,
  };
}

function createWorkspace(name: string, keys: readonly string[]): checks.DeclaredWorkspace {
  return { name: core.createId<core.WorkspaceName>(name), keys, rank: 1 };
}

function listChanges(changes: Partial<checks.DeclaredConfig>): string[] {
  return comparisons.compareConfigs(CONFIG, { ...CONFIG, ...changes }).changes
    .map(({ type, subject, id, fields }) => {
      const values = fields.map(({ field, before, after }) =>
        `${field.join(".")} ${before}>${after}`
      );
      return `${type} ${subject} ${id}: ${type === "changed" ? values.join(" ") : ""}`.trim();
    });
}

// Operators would not read a comparison that lists what makes no difference.
tap.t.test(
  "order, scale of weights, letter case and routes that never match are no change",
  (t) => {
    const scaled = { ...ROUTE, targets: [createTarget("y", 6), createTarget("x", 2)] };
    const repeated = { ...ROUTE, name: "never", timeoutMs: 1 };
    t.same(
      listChanges({
        routes: [OTHER_ROUTE, { ...scaled, declaredHost: "A.example" }, repeated],
        services: CONFIG.services.toReversed(),
        workspaces: CONFIG.workspaces?.toReversed(),
      }),
      [],
    );
    t.end();
  },
);

tap.t.test("each changed field of a route, a service, limits and a workspace is listed", (t) => {
  const changed = { ...ROUTE, timeoutMs: 400, targets: [createTarget("x", 1)] };
  t.same(listChanges({ routes: [changed, { ...ROUTE, pathPrefix: "/new/" }] }), [
    "changed route a.example /stock/: timeoutMs 300>400 targets x 25%, y 75%>x 100%",
    "removed route a.example /other/:",
    "added route a.example /new/:",
  ]);
  t.same(
    listChanges({ services: [{ ...SERVICE, engine: { ...SERVICE.engine!, slots: 2 } }] }),
    ["changed service x: engine.slots 1>2", "removed service y:"],
  );
  t.same(
    listChanges({ limits: { ...CONFIG.limits, maxBodyBytes: 5 } }),
    ["changed limits : maxBodyBytes 2>5"],
  );
  t.same(
    listChanges({ workspaces: [CONFIG.workspaces![0]!, { ...CONFIG.workspaces![1]!, rank: 0 }] }),
    ["changed workspace b: rank 1>0"],
  );
  t.end();
});

// A report is copied into tickets and logs, where a key must not appear.
tap.t.test("a key that is added, removed or moved is shown by its hash", (t) => {
  const moved = [createWorkspace("a", ["key-3"]), createWorkspace("b", ["key-1"])];
  // `printf %s key-1 | sha256sum | cut -c1-12`, and so on.
  t.same(listChanges({ workspaces: moved }), [
    "changed key be2974546978: workspaces a>b",
    "removed key 7c36b0a9dedd:",
    "added key d9ef8196557c:",
  ]);
  t.same(listChanges({ workspaces: undefined }).slice(0, 1), ["removed key_check :"]);
  t.end();
});

// A process ignores a configuration whose release is not higher than the one in force.
tap.t.test("a changed configuration must have a higher release", (t) => {
  const check = (release: number, changes: Partial<checks.DeclaredConfig>) => {
    const after = { ...CONFIG, release: core.createRelease(release), ...changes };
    return comparisons.checkRelease(comparisons.compareConfigs(CONFIG, after))
      .map(({ code }) => code);
  };
  t.same(check(7, {}), []);
  t.same(check(8, { routes: [] }), []);
  t.same(check(7, { routes: [] }), ["release_not_rising"]);
  t.same(check(6, {}), ["release_not_rising"]);
  t.end();
});
