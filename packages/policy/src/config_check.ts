/**
 * Finds entries of a routing configuration that cannot have the intended effect, before it is
 * published. Handles frequent changes of configuration, each in force in all processes within
 * seconds, where a mistake affects callers everywhere before an operator can see it.
 */

import * as crypto from "node:crypto";
import type * as core from "@peridotvale/core";
import * as tables from "./route_table.ts";

/** A route, with what its decoded form no longer shows. */
export interface DeclaredRoute extends core.Route {
  /** Host as written, possibly with upper-case letters and a port. */
  readonly declaredHost: string;
}

/** A workspace with its API keys. */
export interface DeclaredWorkspace {
  readonly name: core.WorkspaceName;
  readonly keys: readonly string[];
  /** Overrides the rank of the route, if set. */
  readonly rank: number | undefined;
}

/** A decoded configuration whose entries are in the declared order, repeated ones included. */
export interface DeclaredConfig {
  readonly release: core.Release;
  readonly routes: readonly DeclaredRoute[];
  readonly services: readonly core.RoutedService[];
  readonly limits: core.CallerLimits;
  /** Undefined if requests carry no keys. */
  readonly workspaces: readonly DeclaredWorkspace[] | undefined;
}

/** Name of a field of a declared configuration. */
export type ConfigField =
  | keyof DeclaredConfig
  | keyof DeclaredRoute
  | keyof core.RouteTarget
  | keyof core.RoutedService
  | keyof core.EngineProfile
  | keyof core.CallerLimits
  | keyof DeclaredWorkspace;

/** Fields and indexes that lead from a declared configuration to one of its values. */
export type ConfigPath = readonly (ConfigField | number)[];

/** An error has an effect on requests or none where one is intended; a warning needs a look. */
export type FindingSeverity = "error" | "warning";

/** Kind of a finding. */
export type FindingCode =
  | "attempts_below_one"
  | "attempts_without_effect"
  | "connections_none"
  | "engine_memory_too_small"
  | "engine_without_slots"
  | "header_bytes_above_parser"
  | "header_timeout_above_idle"
  | "host_upper_case"
  | "host_with_port"
  | "key_shared"
  | "prefix_without_first_slash"
  | "prefix_without_last_slash"
  | "release_not_rising"
  | "route_repeated"
  | "route_without_service"
  | "service_repeated"
  | "service_undeclared"
  | "service_unused"
  | "split_without_weight"
  | "timeout_below_target"
  | "workspace_without_keys"
  | "workspaces_missing";

/** One finding about a configuration. */
export interface ConfigFinding {
  readonly severity: FindingSeverity;
  readonly code: FindingCode;
  readonly path: ConfigPath;
  readonly message: string;
}

/** Length of the hash that stands for a key in reports, in hexadecimal digits. */
const KEY_HASH_LENGTH = 12;
/** The smallest prompt of a generation. */
const MIN_PROMPT_TOKENS = 1;

/**
 * Lists all findings about `config`, in the order of its sections. `maxParsedHeaderBytes` is the
 * size of a request's head from which the server refuses it whatever is configured.
 */
export function checkConfig(
  config: DeclaredConfig,
  options: { readonly maxParsedHeaderBytes: number },
): ConfigFinding[] {
  return [
    ...checkRoutes(config),
    ...checkServices(config),
    ...checkLimits(config.limits, options.maxParsedHeaderBytes),
    ...checkWorkspaces(config),
  ];
}

/** Returns the short hash that stands for `key`: the first digits of its SHA-256. */
export function computeKeyHash(key: string): string {
  return crypto.createHash("sha256").update(key).digest("hex").slice(0, KEY_HASH_LENGTH);
}

/** Returns the text that two routes share only if the later one can never match. */
export function formatRouteId(route: core.Route): string {
  return `${route.host} ${route.pathPrefix}`;
}

function checkRoutes(config: DeclaredConfig): ConfigFinding[] {
  const findings: ConfigFinding[] = [];
  const declaredServices = new Set(config.services.map((service) => service.name));
  const firstRoutes = new Map<string, core.Route>();
  for (const [index, route] of config.routes.entries()) {
    const firstRoute = firstRoutes.get(formatRouteId(route));
    if (firstRoute === undefined) firstRoutes.set(formatRouteId(route), route);
    else {
      findings.push({
        severity: "error",
        code: "route_repeated",
        path: ["routes", index],
        message: `never matches: the earlier route ${firstRoute.name} has the same host and prefix`,
      });
    }
    findings.push(
      ...checkRouteMatch(route, index),
      ...checkTargets(route, index, declaredServices),
      ...checkRouteTimes(route, index),
    );
  }
  return findings;
}

function checkRouteMatch(route: DeclaredRoute, index: number): ConfigFinding[] {
  const findings: ConfigFinding[] = [];
  if (tables.normalizeHost(route.declaredHost) !== route.declaredHost.toLowerCase()) {
    findings.push({
      severity: "error",
      code: "host_with_port",
      path: ["routes", index, "host"],
      message: "never matches: the port of a request's host is ignored, so remove it here",
    });
  }
  if (route.declaredHost !== route.declaredHost.toLowerCase()) {
    findings.push({
      severity: "warning",
      code: "host_upper_case",
      path: ["routes", index, "host"],
      message: "hosts are compared in lower case; write it so",
    });
  }
  if (!route.pathPrefix.startsWith("/")) {
    findings.push({
      severity: "error",
      code: "prefix_without_first_slash",
      path: ["routes", index, "pathPrefix"],
      message: "never matches: every path begins with a slash",
    });
  }
  if (!route.pathPrefix.endsWith("/")) {
    findings.push({
      severity: "warning",
      code: "prefix_without_last_slash",
      path: ["routes", index, "pathPrefix"],
      message: `also matches longer names, such as ${route.pathPrefix}x; end it with a slash`,
    });
  }
  return findings;
}

function checkTargets(
  route: DeclaredRoute,
  index: number,
  declaredServices: ReadonlySet<core.ServiceName>,
): ConfigFinding[] {
  const findings: ConfigFinding[] = [];
  const totalWeight = route.targets.reduce((sum, target) => sum + target.weight, 0);
  if (route.targets.length === 0) {
    findings.push({
      severity: "error",
      code: "route_without_service",
      path: ["routes", index, "targets"],
      message: "names no service, so its requests are refused",
    });
  } else if (totalWeight <= 0) {
    findings.push({
      severity: "error",
      code: "split_without_weight",
      path: ["routes", index, "targets"],
      message: "the weights add to nothing, so its requests are refused",
    });
  }
  for (const [targetIndex, target] of route.targets.entries()) {
    if (declaredServices.has(target.service)) continue;
    findings.push({
      severity: "error",
      code: "service_undeclared",
      path: ["routes", index, "targets", targetIndex, "service"],
      message: `the service ${target.service} is not declared`,
    });
  }
  return findings;
}

function checkRouteTimes(route: DeclaredRoute, index: number): ConfigFinding[] {
  const findings: ConfigFinding[] = [];
  if (route.timeoutMs < route.targetLatencyMs) {
    findings.push({
      severity: "error",
      code: "timeout_below_target",
      path: ["routes", index, "timeoutMs"],
      message: `the timeout (${route.timeoutMs} ms) is below the target latency ` +
        `(${route.targetLatencyMs} ms)`,
    });
  }
  const canRepeat = route.kind === "idempotent" ||
    (route.kind === "streaming" && route.isResumable);
  if (route.maxAttempts < 1) {
    findings.push({
      severity: "error",
      code: "attempts_below_one",
      path: ["routes", index, "maxAttempts"],
      message: `${route.maxAttempts} attempts are permitted, but each request has one`,
    });
  } else if (route.maxAttempts > 1 && !canRepeat) {
    findings.push({
      severity: "warning",
      code: "attempts_without_effect",
      path: ["routes", index, "maxAttempts"],
      message: "has no effect: a request of this route runs at most once",
    });
  }
  return findings;
}

function checkServices(config: DeclaredConfig): ConfigFinding[] {
  const findings: ConfigFinding[] = [];
  const usedServices = new Set(
    config.routes.flatMap((route) => route.targets.map((target) => target.service)),
  );
  const seenServices = new Set<core.ServiceName>();
  for (const [index, service] of config.services.entries()) {
    if (seenServices.has(service.name)) {
      findings.push({
        severity: "error",
        code: "service_repeated",
        path: ["services", index, "name"],
        message: `replaces the earlier declaration of the service ${service.name}`,
      });
    }
    seenServices.add(service.name);
    if (!usedServices.has(service.name)) {
      findings.push({
        severity: "warning",
        code: "service_unused",
        path: ["services", index, "name"],
        message: `no route names the service ${service.name}`,
      });
    }
    if (service.maxConnections < 1) {
      findings.push({
        severity: "error",
        code: "connections_none",
        path: ["services", index, "maxConnections"],
        message: "permits no connection; each process uses one all the same",
      });
    }
    if (service.engine !== undefined) findings.push(...checkEngine(service.engine, index));
  }
  return findings;
}

function checkEngine(engine: core.EngineProfile, index: number): ConfigFinding[] {
  const findings: ConfigFinding[] = [];
  if (engine.slots < 1) {
    findings.push({
      severity: "error",
      code: "engine_without_slots",
      path: ["services", index, "engine", "slots"],
      message: "an engine without slots runs no request",
    });
  }
  // Requests name their sizes themselves; this is the least that one with any output needs.
  const neededTokens = MIN_PROMPT_TOKENS + engine.tokensPerEvent;
  if (engine.memoryTokens < neededTokens) {
    findings.push({
      severity: "error",
      code: "engine_memory_too_small",
      path: ["services", index, "engine", "memoryTokens"],
      message: `holds ${engine.memoryTokens} tokens; the smallest request with one event needs ` +
        `${neededTokens}`,
    });
  }
  return findings;
}

function checkLimits(limits: core.CallerLimits, maxParsedHeaderBytes: number): ConfigFinding[] {
  const findings: ConfigFinding[] = [];
  if (limits.maxHeaderBytes > maxParsedHeaderBytes) {
    findings.push({
      severity: "error",
      code: "header_bytes_above_parser",
      path: ["limits", "maxHeaderBytes"],
      message: `the server refuses heads above ${maxParsedHeaderBytes} bytes whatever this says`,
    });
  }
  if (limits.headerTimeoutMs > limits.idleTimeoutMs) {
    findings.push({
      severity: "warning",
      code: "header_timeout_above_idle",
      path: ["limits", "headerTimeoutMs"],
      message: `an unfinished head may take longer (${limits.headerTimeoutMs} ms) than a ` +
        `connection may be idle (${limits.idleTimeoutMs} ms)`,
    });
  }
  return findings;
}

function checkWorkspaces(config: DeclaredConfig): ConfigFinding[] {
  if (config.workspaces === undefined) return [];
  const findings: ConfigFinding[] = [];
  const needsKeys = config.routes.some((route) => route.needsKey);
  if (needsKeys && config.workspaces.length === 0) {
    findings.push({
      severity: "error",
      code: "workspaces_missing",
      path: ["workspaces"],
      message: "routes need a key and no workspace has one, so all their requests are refused",
    });
  }
  const owners = new Map<string, core.WorkspaceName>();
  for (const [index, workspace] of config.workspaces.entries()) {
    if (needsKeys && workspace.keys.length === 0) {
      findings.push({
        severity: "warning",
        code: "workspace_without_keys",
        path: ["workspaces", index, "keys"],
        message: `the workspace ${workspace.name} has no key, and routes need one`,
      });
    }
    for (const [keyIndex, key] of workspace.keys.entries()) {
      const owner = owners.get(key) ?? workspace.name;
      owners.set(key, owner);
      if (owner === workspace.name) continue;
      findings.push({
        severity: "error",
        code: "key_shared",
        path: ["workspaces", index, "keys", keyIndex],
        message: `the key ${computeKeyHash(key)} (hash) also belongs to the workspace ${owner}`,
      });
    }
  }
  return findings;
}
