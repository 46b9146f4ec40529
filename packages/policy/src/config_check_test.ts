import * as core from "@peridotvale/core";
import * as tap from "tap";
import * as checks from "./config_check.ts";
import * as tables from "./route_table.ts";

type Changes = Partial<checks.DeclaredConfig>;

const DESK = core.createId<core.ServiceName>("desk");
const MODEL = core.createId<core.ServiceName>("model");
const ENGINE = { slots: 24, memoryTokens: 34_000, tokensPerEvent: 4, canMove: true };
const LIMITS = {
  maxHeaderBytes: 64 * 1024,
  maxBodyBytes: 10_000,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 3_000,
};

function createRoute(changes: Partial<checks.DeclaredRoute> = {}): checks.DeclaredRoute {
  return {
    name: "stock",
    host: (changes.declaredHost ?? "a.example").toLowerCase(),
    declaredHost: "a.example",
    pathPrefix: "/stock/",
    kind: "idempotent",
    timeoutMs: 300,
    targetLatencyMs: 300,
    rank: 1,
    targets: [{ service: DESK, weight: 1 }],
    maxAttempts: 2,
    needsKey: true,
    isResumable: false,
    gapAimMs: 0,
    ...changes,
  };
}

function createService(changes: Partial<core.RoutedService> = {}): core.RoutedService {
  return {
    name: DESK,
    maxConnections: 1,
    healthPath: "/",
    coldStartMs: 0,
    coldPerS: 0,
    engine: undefined,
    ...changes,
  };
}

function createWorkspace(name: string, keys: readonly string[]): checks.DeclaredWorkspace {
  return { name: core.createId<core.WorkspaceName>(name), keys, rank: undefined };
}

function listFindings(changes: Changes): string[] {
  const config = {
    release: core.createRelease(1),
    routes: [createRoute()],
    services: [createService()],
    limits: LIMITS,
    workspaces: [createWorkspace("grower", ["key-1", "key-2"])],
    ...changes,
  };
  return checks.checkConfig(config, { maxParsedHeaderBytes: 64 * 1024 })
    .map(({ severity, code, path }) => `${severity} ${code} ${path.join(".")}`);
}

function listRouteFindings(changes: Partial<checks.DeclaredRoute>): string[] {
  return listFindings({ routes: [createRoute(changes)] });
}

const targets = (weight: number) => [{ service: DESK, weight }, { service: DESK, weight: 0 }];
const modelRoute = createRoute({ targets: [{ service: MODEL, weight: 1 }] });
const createModel = (changes: Partial<core.EngineProfile>) => ({
  routes: [modelRoute],
  services: [createService({ name: MODEL, engine: { ...ENGINE, ...changes } })],
});

// Each case guards against a mistake that would reach all processes unnoticed.
const CASES: readonly (readonly [Changes, string])[] = [
  [{ routes: [createRoute(), createRoute({ name: "b" })] }, "error route_repeated routes.1"],
  [
    { routes: [createRoute(), createRoute({ declaredHost: "A.example", pathPrefix: "/x/" })] },
    "warning host_upper_case routes.1.host",
  ],
  [
    { routes: [createRoute({ declaredHost: "a.example:80" })] },
    "error host_with_port routes.0.host",
  ],
  [
    { routes: [createRoute({ pathPrefix: "x/" })] },
    "error prefix_without_first_slash routes.0.pathPrefix",
  ],
  [
    { routes: [createRoute({ pathPrefix: "/x" })] },
    "warning prefix_without_last_slash routes.0.pathPrefix",
  ],
  [
    { routes: [createRoute({ targets: targets(0) })] },
    "error split_without_weight routes.0.targets",
  ],
  [
    { routes: [createRoute(), createRoute({ pathPrefix: "/x/", targets: [] })] },
    "error route_without_service routes.1.targets",
  ],
  [
    { routes: [createRoute({ targets: [...targets(1), { service: MODEL, weight: 1 }] })] },
    "error service_undeclared routes.0.targets.2.service",
  ],
  [{ routes: [createRoute({ timeoutMs: 299 })] }, "error timeout_below_target routes.0.timeoutMs"],
  [
    { routes: [createRoute({ maxAttempts: 0 })] },
    "error attempts_below_one routes.0.maxAttempts",
  ],
  [
    { routes: [createRoute({ kind: "non_idempotent" })] },
    "warning attempts_without_effect routes.0.maxAttempts",
  ],
  [
    { routes: [createRoute({ kind: "streaming" })] },
    "warning attempts_without_effect routes.0.maxAttempts",
  ],
  [
    { services: [createService(), createService({ name: MODEL })] },
    "warning service_unused services.1.name",
  ],
  [{ services: [createService(), createService()] }, "error service_repeated services.1.name"],
  [
    { services: [createService({ maxConnections: 0 })] },
    "error connections_none services.0.maxConnections",
  ],
  [createModel({ slots: 0 }), "error engine_without_slots services.0.engine.slots"],
  [
    createModel({ memoryTokens: 4 }),
    "error engine_memory_too_small services.0.engine.memoryTokens",
  ],
  [
    { limits: { ...LIMITS, maxHeaderBytes: 64 * 1024 + 1 } },
    "error header_bytes_above_parser limits.maxHeaderBytes",
  ],
  [
    { limits: { ...LIMITS, headerTimeoutMs: 3_001 } },
    "warning header_timeout_above_idle limits.headerTimeoutMs",
  ],
  [
    { workspaces: [createWorkspace("a", ["k", "x"]), createWorkspace("b", ["y", "k"])] },
    "error key_shared workspaces.1.keys.1",
  ],
  [
    { workspaces: [createWorkspace("a", ["k"]), createWorkspace("b", [])] },
    "warning workspace_without_keys workspaces.1.keys",
  ],
  [{ workspaces: [] }, "error workspaces_missing workspaces"],
];

for (const [changes, finding] of CASES) {
  tap.t.test(`found, and nothing else: ${finding}`, (t) => {
    t.same(listFindings(changes), [finding]);
    t.end();
  });
}

// Findings about correct configurations teach operators to ignore the check.
tap.t.test("nothing is found where a value just suffices or is not needed", (t) => {
  t.same(listFindings({}), []);
  t.same(listRouteFindings({ kind: "streaming", isResumable: true }), []);
  t.same(listRouteFindings({ kind: "non_idempotent", maxAttempts: 1 }), []);
  t.same(listRouteFindings({ targets: targets(0.1) }), []);
  t.same(listRouteFindings({ declaredHost: "[::1]" }), []);
  t.same(listFindings(createModel({ slots: 1, memoryTokens: 5 })), []);
  t.same(
    listFindings({
      routes: [createRoute({ needsKey: false })],
      workspaces: [createWorkspace("grower", [])],
    }),
    [],
  );
  t.same(listFindings({ workspaces: undefined }), []);
  t.end();
});

// The check would mislead if the route table changed its rule.
tap.t.test("a route of which the check says that it never matches is not found", (t) => {
  const neverMatching = [
    createRoute({ name: "repeated" }),
    createRoute({ name: "port", declaredHost: "b.example:80" }),
    createRoute({ name: "slash", declaredHost: "c.example", pathPrefix: "stock/" }),
  ];
  const table = new tables.RouteTable([createRoute(), ...neverMatching]);
  t.equal(table.findRoute("a.example:80", "/stock/x")?.name, "stock");
  t.equal(table.findRoute("b.example:80", "/stock/x"), undefined);
  t.equal(table.findRoute("c.example", "/stock/x"), undefined);
  t.end();
});
