/** Chooses the route of a request: the longest matching path prefix among its host's routes. */

import * as core from "@peridotvale/core";

/** Routes of one release, indexed by host. */
export class RouteTable {
  readonly #routesByHost = new Map<string, readonly core.Route[]>();

  constructor(routes: readonly core.Route[]) {
    const routesByHost = new Map<string, core.Route[]>();
    for (const route of routes) {
      const hostRoutes = routesByHost.get(route.host);
      if (hostRoutes === undefined) routesByHost.set(route.host, [route]);
      else hostRoutes.push(route);
    }
    for (const [host, hostRoutes] of routesByHost) {
      const routesLongestFirst = hostRoutes.sort((a, b) =>
        b.pathPrefix.length - a.pathPrefix.length
      );
      this.#routesByHost.set(host, routesLongestFirst);
    }
  }

  /** Finds the route for a host, whose port is ignored, and a path, which may include a query. */
  findRoute(host: string, path: string): core.Route | undefined {
    for (const route of this.#routesByHost.get(normalizeHost(host)) ?? []) {
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
  const totalWeight = route.targets.reduce((sum, target) => sum + target.weight, 0);
  if (totalWeight <= 0) return undefined;
  let weightPosition = (core.computeHash32(request) / 2 ** 32) * totalWeight;
  for (const target of route.targets) {
    weightPosition -= target.weight;
    if (weightPosition < 0) return target.service;
  }
  return route.targets.at(-1)?.service;
}

/** Returns the host by which routes are found: without port, in lower case. */
export function normalizeHost(host: string): string {
  const colonIndex = host.lastIndexOf(":");
  const hostName = colonIndex > host.lastIndexOf("]") ? host.slice(0, colonIndex) : host;
  return hostName.toLowerCase();
}
