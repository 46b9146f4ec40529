/** Chooses the route of a request: the longest matching path prefix among its host's routes. */

import * as core from "@peridotvale/core";

/** Routes of one release, indexed by host. */
export class RouteTable {
  readonly #routes = new Map<string, readonly core.Route[]>();

  constructor(routes: readonly core.Route[]) {
    const routesByHost = new Map<string, core.Route[]>();
    for (const route of routes) {
      const hostRoutes = routesByHost.get(route.host);
      if (hostRoutes === undefined) routesByHost.set(route.host, [route]);
      else hostRoutes.push(route);
    }
    for (const [host, hostRoutes] of routesByHost) {
      const longestFirst = hostRoutes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
      this.#routes.set(host, longestFirst);
    }
  }

  /** Finds the route for a path, with or without a query, at a host; ignores the host's port. */
  findRoute(host: string, path: string): core.Route | undefined {
    for (const route of this.#routes.get(normalizeHost(host)) ?? []) {
      if (path.startsWith(route.pathPrefix)) return route;
    }
    return undefined;
  }
}

/** Chooses one of the route's services by weight; equal request ids get the same service. */
export function chooseService(
  route: core.Route,
  request: string,
): core.ServiceName | undefined {
  const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
  if (total <= 0) return undefined;
  let point = (core.computeHash32(request) / 2 ** 32) * total;
  for (const target of route.targets) {
    point -= target.weight;
    if (point < 0) return target.service;
  }
  return route.targets.at(-1)?.service;
}

function normalizeHost(host: string): string {
  const colon = host.lastIndexOf(":");
  const name = colon > host.lastIndexOf("]") ? host.slice(0, colon) : host;
  return name.toLowerCase();
}
