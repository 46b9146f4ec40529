import * as core from "@peridotvale/core";
import * as tap from "tap";
import * as tables from "./route_table.ts";

function createRoute(host: string, pathPrefix: string, weights: readonly number[] = [1]) {
  const targets = weights.map((weight, index) => ({
    service: core.createId<core.ServiceName>(`service-${index}`),
    weight,
  }));
  return {
    name: `${host}${pathPrefix}`,
    host,
    pathPrefix,
    kind: "idempotent" as const,
    timeoutMs: 800,
    targetLatencyMs: 300,
    rank: 1,
    targets,
    maxAttempts: 2,
    isResumable: false,
    gapAimMs: 0,
    needsKey: true,
  };
}

tap.t.test("the longest matching prefix among the host's routes is chosen", (t) => {
  const table = new tables.RouteTable([
    createRoute("a.example", "/"),
    createRoute("a.example", "/x/"),
    createRoute("a.example", "/x/y/"),
    createRoute("b.example", "/x/"),
  ]);
  t.equal(table.findRoute("a.example", "/x/y/z?q=/x/")?.pathPrefix, "/x/y/");
  t.equal(table.findRoute("A.example:80", "/x/yz")?.pathPrefix, "/x/");
  t.equal(table.findRoute("a.example", "/xy")?.pathPrefix, "/");
  t.equal(table.findRoute("b.example", "/")?.pathPrefix, undefined);
  t.equal(table.findRoute("c.example", "/x/"), undefined);
  t.end();
});

tap.t.test("requests are split by weight, and each id always gets the same service", (t) => {
  const route = createRoute("a.example", "/", [90, 10, 0]);
  const counts = new Map<string, number>();
  let isStable = true;
  for (let i = 0; i < 10_000; i++) {
    const service = tables.chooseService(route, `request-${i}`)!;
    isStable &&= tables.chooseService(route, `request-${i}`) === service;
    counts.set(service, (counts.get(service) ?? 0) + 1);
  }
  t.ok(isStable);
  t.ok(Math.abs(counts.get("service-0")! - 9_000) < 300);
  t.equal(counts.get("service-2"), undefined);
  t.equal(tables.chooseService(createRoute("a.example", "/", []), "r"), undefined);
  t.end();
});
