/**
 * Compares two routing configurations by their meaning: the order of entries, defaults that are
 * written out and entries without effect make no difference. Handles frequent changes of large
 * configurations, of which an operator must see the few changed values among thousands of lines.
 */

import type * as core from "@peridotvale/core";
import * as checks from "./config_check.ts";

/** A value that differs; `undefined` where a side does not have it. */
export interface FieldChange {
  readonly field: readonly checks.ConfigField[];
  readonly before: unknown;
  readonly after: unknown;
}

/** What a change concerns; `key_check`: whether requests carry keys at all. */
export type ChangeSubject = "route" | "service" | "limits" | "key_check" | "workspace" | "key";

/** An entry that is added, removed or changed. */
export interface ConfigChange {
  readonly type: "added" | "removed" | "changed";
  readonly subject: ChangeSubject;
  /** Host and prefix of a route, name, or hash of a key; empty where there is only one entry. */
  readonly id: string;
  /** All fields of an added or removed entry, else the changed ones. */
  readonly fields: readonly FieldChange[];
}

/** The differences between two configurations. */
export interface ConfigComparison {
  readonly beforeRelease: core.Release;
  readonly afterRelease: core.Release;
  /** Only a higher release replaces the one in force. */
  readonly isReleaseHigher: boolean;
  readonly changes: readonly ConfigChange[];
}

interface FieldValue {
  readonly field: readonly checks.ConfigField[];
  readonly value: unknown;
}

type EntryMap = ReadonlyMap<string, readonly FieldValue[]>;

/** Lists what `after` adds to, removes from and changes in `before`. */
export function compareConfigs(
  before: checks.DeclaredConfig,
  after: checks.DeclaredConfig,
): ConfigComparison {
  const compare = (
    subject: ChangeSubject,
    collect: (config: checks.DeclaredConfig) => EntryMap,
  ) => compareEntries(subject, collect(before), collect(after));
  return {
    beforeRelease: before.release,
    afterRelease: after.release,
    isReleaseHigher: after.release > before.release,
    changes: [
      ...compare("route", collectRoutes),
      ...compare("service", collectServices),
      ...compare("limits", (config) => new Map([["", listFields(config.limits)]])),
      ...compare("key_check", (config) => new Map(config.workspaces && [["", []]])),
      ...compare("workspace", collectWorkspaces),
      ...compare("key", collectKeys),
    ],
  };
}

/** Finds that a configuration that differs would not be adopted, because its release is not higher. */
export function checkRelease(comparison: ConfigComparison): checks.ConfigFinding[] {
  const { beforeRelease, afterRelease, isReleaseHigher, changes } = comparison;
  if (isReleaseHigher || (changes.length === 0 && afterRelease === beforeRelease)) return [];
  return [{
    severity: "error",
    code: "release_not_rising",
    path: ["release"],
    message: `${afterRelease} does not replace ${beforeRelease}: only a higher number does`,
  }];
}

function compareEntries(
  subject: ChangeSubject,
  before: EntryMap,
  after: EntryMap,
): ConfigChange[] {
  const changes: ConfigChange[] = [];
  for (const id of new Set([...before.keys(), ...after.keys()])) {
    const beforeFields = before.get(id);
    const afterFields = after.get(id);
    const fields = compareFields(beforeFields ?? [], afterFields ?? []);
    if (beforeFields === undefined) changes.push({ type: "added", subject, id, fields });
    else if (afterFields === undefined) changes.push({ type: "removed", subject, id, fields });
    else if (fields.length > 0) changes.push({ type: "changed", subject, id, fields });
  }
  return changes;
}

function compareFields(
  before: readonly FieldValue[],
  after: readonly FieldValue[],
): FieldChange[] {
  const changes = new Map<string, FieldChange>();
  for (const { field, value } of before) {
    changes.set(field.join("."), { field, before: value, after: undefined });
  }
  for (const { field, value } of after) {
    const id = field.join(".");
    changes.set(id, { field, before: changes.get(id)?.before, after: value });
  }
  return [...changes.values()].filter((change) =>
    JSON.stringify(change.before) !== JSON.stringify(change.after)
  );
}

/** Collects the routes that can match: of those with the same host and prefix, the first. */
function collectRoutes(config: checks.DeclaredConfig): EntryMap {
  const entries = new Map<string, readonly FieldValue[]>();
  for (const route of config.routes) {
    const id = checks.formatRouteId(route);
    if (entries.has(id)) continue;
    const { host: _host, pathPrefix: _pathPrefix, declaredHost: _declaredHost, ...fields } = route;
    entries.set(id, listFields({ ...fields, targets: formatShares(route.targets) }));
  }
  return entries;
}

function collectServices(config: checks.DeclaredConfig): EntryMap {
  return new Map(config.services.map((service) => {
    const { name, engine, ...fields } = service;
    const engineFields = engine === undefined ? [] : listFields(engine);
    return [name, [
      ...listFields(fields),
      ...engineFields.map(({ field, value }) => ({ field: ["engine" as const, ...field], value })),
    ]];
  }));
}

function collectWorkspaces(config: checks.DeclaredConfig): EntryMap {
  return new Map((config.workspaces ?? []).map(({ name, rank }) => [name, listFields({ rank })]));
}

/** Collects the keys by their hashes, so that no report contains a key. */
function collectKeys(config: checks.DeclaredConfig): EntryMap {
  return new Map((config.workspaces ?? []).flatMap((workspace) =>
    workspace.keys.map((key) => [
      checks.computeKeyHash(key),
      [{ field: ["workspaces" as const], value: workspace.name }],
    ])
  ));
}

function listFields(entry: Partial<Record<checks.ConfigField, unknown>>): FieldValue[] {
  return Object.entries(entry).map(([field, value]) => ({
    field: [field as checks.ConfigField],
    value,
  }));
}

/** Formats the services that get requests with their shares, which the scale does not change. */
function formatShares(targets: readonly core.RouteTarget[]): string {
  const weights = new Map<core.ServiceName, number>();
  for (const { service, weight } of targets) {
    if (weight > 0) weights.set(service, (weights.get(service) ?? 0) + weight);
  }
  const totalWeight = [...weights.values()].reduce((sum, weight) => sum + weight, 0);
  return [...weights].sort(([a], [b]) => a < b ? -1 : 1)
    .map(([service, weight]) =>
      `${service} ${Number((100 * weight / totalWeight).toPrecision(6))}%`
    )
    .join(", ");
}
