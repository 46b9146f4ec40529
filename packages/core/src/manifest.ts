/**
 * Parses and validates the manifest: one YAML document per release that declares
 * models, ranks, workspaces and services. Durations are in milliseconds, lengths
 * in tokens.
 */

import * as neverthrow from "neverthrow";
import * as valibot from "valibot";
import * as document from "./document.ts";
import type * as ids from "./ids.ts";
import * as schemas from "./schemas.ts";

/** A model and its target number of replicas. */
export interface ModelSpec {
  readonly version: string;
  /** Names of the adapters that engines load together with the model. */
  readonly adapters: readonly string[];
  /** Target number of engines per availability zone that have the model loaded. */
  readonly replicas: number;
  readonly maxOutputTokens: number;
}

/** The urgency and the latency targets of a class of requests. */
export interface RankSpec {
  /** Requests of ranks with a lower order are served first. */
  readonly order: number;
  /** Target time from arrival to the first token. */
  readonly firstTokenMs: number;
  /** Target time between two consecutive tokens. */
  readonly betweenTokensMs: number;
  /** Maximum time from arrival to the end of the answer. */
  readonly deadlineMs: number;
  /** Minimum share of served tokens, 0 to 0.9, while other ranks have excess demand. */
  readonly floor: number;
}

/** A customer's share of capacity and limit on open requests. */
export interface WorkspaceSpec {
  /** Relative share of capacity among the workspaces of the same rank. */
  readonly weight: number;
  /** Maximum number of open requests of the workspace per entry process. */
  readonly maxOpenRequests: number;
}

/** One operation of a plain service. */
export interface OperationSpec {
  readonly method: string;
  /** Path below the service's root; a trailing `*` matches any suffix. */
  readonly path: string;
  readonly idempotent: boolean;
  readonly timeoutMs: number;
}

/** A plain service: HTTP endpoints that are not model engines. */
export interface ServiceSpec {
  /** Maximum number of calls in flight from one entry process to one endpoint. */
  readonly concurrency: number;
  readonly operations: readonly OperationSpec[];
}

/** Settings that apply to all engines. */
export interface EngineSpec {
  /** Whether engines refuse commands that carry an outdated fencing number of the zone's lease. */
  readonly fencing: boolean;
  /** Maximum number of concurrent model loads from the weight store per availability zone. */
  readonly maxConcurrentLoads: number;
  /** Addresses of engines kept in reserve without requests, as `host:port`. */
  readonly standby: readonly string[];
}

/** The validated contents of a manifest document. */
export interface Manifest {
  readonly release: ids.Release;
  readonly models: ReadonlyMap<ids.ModelName, ModelSpec>;
  readonly ranks: ReadonlyMap<ids.RankName, RankSpec>;
  readonly defaultRank: ids.RankName;
  readonly workspaces: ReadonlyMap<ids.WorkspaceName, WorkspaceSpec>;
  readonly services: ReadonlyMap<ids.ServiceName, ServiceSpec>;
  readonly engines: EngineSpec;
}

const MAX_RELEASE = 2 ** 40;
const MAX_DURATION_MS = 24 * 60 * 60 * 1000;
const MAX_OUTPUT_TOKENS = 1_000_000;
const MAX_COUNT = 1_000_000;
const NAME_PATTERN = /^[a-z0-9][a-z0-9._-]{0,62}$/;

const nameSchema = valibot.pipe(
  valibot.string("must be a string"),
  valibot.regex(
    NAME_PATTERN,
    "must be 1 to 63 lower-case letters, digits, '.', '_' or '-'",
  ),
);
const releaseSchema = schemas.createIntegerSchema(1, MAX_RELEASE);
const durationSchema = schemas.createIntegerSchema(1, MAX_DURATION_MS);
const countSchema = schemas.createIntegerSchema(1, MAX_COUNT);
const floorSchema = valibot.pipe(
  valibot.number("must be a number"),
  valibot.minValue(0, "must be at least 0"),
  valibot.maxValue(0.9, "must be at most 0.9"),
);
const booleanSchema = valibot.boolean("must be true or false");

const manifestSchema = valibot.strictObject({
  release: releaseSchema,
  models: createMappingSchema(valibot.strictObject({
    version: schemas.nonEmptyStringSchema,
    adapters: valibot.optional(valibot.array(schemas.nonEmptyStringSchema, "must be a list"), []),
    replicas: countSchema,
    max_output_tokens: schemas.createIntegerSchema(1, MAX_OUTPUT_TOKENS),
  })),
  ranks: createMappingSchema(valibot.strictObject({
    order: schemas.createIntegerSchema(0, 15),
    first_token_ms: durationSchema,
    between_tokens_ms: durationSchema,
    deadline_ms: durationSchema,
    floor: valibot.optional(floorSchema, 0),
  })),
  default_rank: nameSchema,
  workspaces: createMappingSchema(valibot.strictObject({
    weight: valibot.optional(
      valibot.pipe(
        valibot.number("must be a number"),
        valibot.minValue(0.001, "must be at least 0.001"),
        valibot.maxValue(1000, "must be at most 1000"),
      ),
      1,
    ),
    max_open_requests: valibot.optional(countSchema, 1000),
  })),
  services: valibot.optional(
    createMappingSchema(valibot.strictObject({
      concurrency: valibot.optional(countSchema, 64),
      operations: valibot.array(
        valibot.strictObject({
          method: valibot.picklist(
            ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"],
            "must be GET, HEAD, POST, PUT, PATCH or DELETE",
          ),
          path: valibot.pipe(
            schemas.nonEmptyStringSchema,
            valibot.startsWith("/", "must start with '/'"),
          ),
          idempotent: booleanSchema,
          timeout_ms: valibot.optional(durationSchema, 5000),
        }),
        "must be a list",
      ),
    })),
    {},
  ),
  engines: valibot.optional(
    valibot.strictObject({
      fencing: valibot.optional(booleanSchema, false),
      max_concurrent_loads: valibot.optional(countSchema, 1),
      standby: valibot.optional(
        valibot.array(schemas.nonEmptyStringSchema, "must be a list"),
        [],
      ),
    }),
    { fencing: false, max_concurrent_loads: 1, standby: [] },
  ),
});

type ManifestDocument = valibot.InferOutput<typeof manifestSchema>;

/** Parses and validates a manifest; on failure returns all problems, with path and line. */
export function parseManifest(
  text: string,
  options: { readonly source: string },
): neverthrow.Result<Manifest, document.DocumentProblem[]> {
  const parsed = document.parseDocument(manifestSchema, text, options);
  if (parsed.isErr()) return neverthrow.err(parsed.error);
  const problems = validateReferences(parsed.value);
  if (problems.length > 0) return neverthrow.err(problems);
  return neverthrow.ok(createManifest(parsed.value.value));
}

/** Finds the first operation of `service` that matches the method and path. */
export function findOperation(
  service: ServiceSpec,
  method: string,
  options: { readonly path: string },
): OperationSpec | undefined {
  for (const operation of service.operations) {
    if (operation.method !== method) continue;
    if (isPathMatch(operation.path, options.path)) return operation;
  }
  return undefined;
}

function isPathMatch(pattern: string, path: string): boolean {
  if (pattern.endsWith("*")) return path.startsWith(pattern.slice(0, -1));
  return path === pattern;
}

function validateReferences(
  parsed: document.ParsedDocument<ManifestDocument>,
): document.DocumentProblem[] {
  const { value, createProblem } = parsed;
  const problems: document.DocumentProblem[] = [];
  if (Object.keys(value.ranks).length === 0) {
    problems.push(createProblem(["ranks"], "must declare at least one rank"));
  }
  if (!Object.hasOwn(value.ranks, value.default_rank)) {
    problems.push(
      createProblem(["default_rank"], `no such rank: ${value.default_rank}`),
    );
  }
  const rankByOrder = new Map<number, string>();
  let floorSum = 0;
  for (const [name, rank] of Object.entries(value.ranks)) {
    const sameOrderRank = rankByOrder.get(rank.order);
    if (sameOrderRank !== undefined) {
      problems.push(
        createProblem(["ranks", name, "order"], `same order as rank ${sameOrderRank}`),
      );
    }
    rankByOrder.set(rank.order, name);
    floorSum += rank.floor;
  }
  if (floorSum > 0.9) {
    problems.push(
      createProblem(
        ["ranks"],
        "the sum of the floors of all ranks must not exceed 0.9",
      ),
    );
  }
  for (const [name, service] of Object.entries(value.services)) {
    const seenOperations = new Set<string>();
    for (const [index, operation] of service.operations.entries()) {
      const operationKey = `${operation.method} ${operation.path}`;
      if (seenOperations.has(operationKey)) {
        const path = ["services", name, "operations", index];
        problems.push(createProblem(path, `operation declared twice: ${operationKey}`));
      }
      seenOperations.add(operationKey);
    }
  }
  return problems;
}

function createManifest(value: ManifestDocument): Manifest {
  return {
    release: value.release as ids.Release,
    models: convertToMap(value.models, (model) => ({
      version: model.version,
      adapters: model.adapters,
      replicas: model.replicas,
      maxOutputTokens: model.max_output_tokens,
    })),
    ranks: convertToMap(value.ranks, (rank) => ({
      order: rank.order,
      firstTokenMs: rank.first_token_ms,
      betweenTokensMs: rank.between_tokens_ms,
      deadlineMs: rank.deadline_ms,
      floor: rank.floor,
    })),
    defaultRank: value.default_rank as ids.RankName,
    workspaces: convertToMap(value.workspaces, (workspace) => ({
      weight: workspace.weight,
      maxOpenRequests: workspace.max_open_requests,
    })),
    services: convertToMap(value.services, (service) => ({
      concurrency: service.concurrency,
      operations: service.operations.map((operation) => ({
        method: operation.method,
        path: operation.path,
        idempotent: operation.idempotent,
        timeoutMs: operation.timeout_ms,
      })),
    })),
    engines: {
      fencing: value.engines.fencing,
      maxConcurrentLoads: value.engines.max_concurrent_loads,
      standby: value.engines.standby,
    },
  };
}

function convertToMap<Name extends string, From, To>(
  mapping: Readonly<Record<string, From>>,
  convert: (from: From) => To,
): ReadonlyMap<Name, To> {
  return new Map(
    Object.entries(mapping).map(([name, from]) => [name as Name, convert(from)]),
  );
}

function createMappingSchema<T extends valibot.GenericSchema>(entry: T) {
  return valibot.record(nameSchema, entry, "must be a mapping");
}
