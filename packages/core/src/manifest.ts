/**
 * The manifest: one YAML document per release that declares models, ranks,
 * workspaces and services. Times are in milliseconds, lengths in tokens.
 */

import * as neverthrow from "neverthrow";
import * as valibot from "valibot";
import * as document from "./document.ts";
import type * as ids from "./ids.ts";
import * as schemas from "./schemas.ts";

/** A model that engines serve. */
export interface ModelSpec {
  readonly version: string;
  /** Adapters to load beside the model. */
  readonly adapters: readonly string[];
  /** Engines per availability zone that should hold the model. */
  readonly replicas: number;
  readonly maxOutputTokens: number;
}

/** A rank: how urgent its requests are and what they may expect. */
export interface RankSpec {
  /** Lower is served first. */
  readonly order: number;
  /** Target from arrival to first token. */
  readonly firstTokenMs: number;
  /** Target between two tokens. */
  readonly betweenTokensMs: number;
  /** Bound from arrival to the end of the answer. */
  readonly deadlineMs: number;
  /** Share of served tokens that this rank keeps while others flood, 0 to 1. */
  readonly floor: number;
}

/** A workspace: one customer's share. */
export interface WorkspaceSpec {
  /** Relative share among workspaces of the same rank. */
  readonly weight: number;
  /** Most requests of the workspace that may be open at one entry process. */
  readonly maxOpenRequests: number;
}

/** One operation of a plain service. */
export interface OperationSpec {
  readonly method: string;
  /** Path below the service; a trailing `*` matches any rest. */
  readonly path: string;
  readonly idempotent: boolean;
  readonly timeoutMs: number;
}

/** A plain service. */
export interface ServiceSpec {
  /** Most calls in flight to one of its endpoints from one entry process. */
  readonly concurrency: number;
  readonly operations: readonly OperationSpec[];
}

/** What the manifest says of engines as a whole. */
export interface EngineSpec {
  /** Whether engines refuse orders with an old fencing number. */
  readonly fencing: boolean;
  /** Model loads that the weight store allows at once in one availability zone. */
  readonly maxConcurrentLoads: number;
  /** Engines that are kept without work, as `host:port`. */
  readonly standby: readonly string[];
}

/** A validated manifest. */
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
    "must be lower-case letters, digits, '.', '_' or '-', at most 63",
  ),
);
const releaseSchema = schemas.createIntegerSchema(1, MAX_RELEASE);
const durationSchema = schemas.createIntegerSchema(1, MAX_DURATION_MS);
const countSchema = schemas.createIntegerSchema(1, MAX_COUNT);
const shareSchema = valibot.pipe(
  valibot.number("must be a number"),
  valibot.minValue(0, "must be at least 0"),
  valibot.maxValue(0.9, "must be at most 0.9"),
);
const booleanSchema = valibot.boolean("must be true or false");

const manifestSchema = valibot.strictObject({
  release: releaseSchema,
  models: createTableSchema(valibot.strictObject({
    version: schemas.textSchema,
    adapters: valibot.optional(valibot.array(schemas.textSchema, "must be a list"), []),
    replicas: countSchema,
    max_output_tokens: schemas.createIntegerSchema(1, MAX_OUTPUT_TOKENS),
  })),
  ranks: createTableSchema(valibot.strictObject({
    order: schemas.createIntegerSchema(0, 15),
    first_token_ms: durationSchema,
    between_tokens_ms: durationSchema,
    deadline_ms: durationSchema,
    floor: valibot.optional(shareSchema, 0),
  })),
  default_rank: nameSchema,
  workspaces: createTableSchema(valibot.strictObject({
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
    createTableSchema(valibot.strictObject({
      concurrency: valibot.optional(countSchema, 64),
      operations: valibot.array(
        valibot.strictObject({
          method: valibot.picklist(
            ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"],
            "must be GET, HEAD, POST, PUT, PATCH or DELETE",
          ),
          path: valibot.pipe(
            schemas.textSchema,
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
        valibot.array(schemas.textSchema, "must be a list"),
        [],
      ),
    }),
    { fencing: false, max_concurrent_loads: 1, standby: [] },
  ),
});

type ManifestDocument = valibot.InferOutput<typeof manifestSchema>;

/** Parses and validates a manifest; reports every problem with its path and line. */
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

/** Finds the operation of `service` that matches, or `undefined`. */
export function getOperation(
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
  const orders = new Map<number, string>();
  let floors = 0;
  for (const [name, rank] of Object.entries(value.ranks)) {
    const twin = orders.get(rank.order);
    if (twin !== undefined) {
      problems.push(
        createProblem(["ranks", name, "order"], `same order as rank ${twin}`),
      );
    }
    orders.set(rank.order, name);
    floors += rank.floor;
  }
  if (floors > 0.9) {
    problems.push(
      createProblem(
        ["ranks"],
        "the floors of all ranks must not exceed 0.9 in sum",
      ),
    );
  }
  for (const [name, service] of Object.entries(value.services)) {
    const seen = new Set<string>();
    for (const [index, operation] of service.operations.entries()) {
      const key = `${operation.method} ${operation.path}`;
      if (seen.has(key)) {
        const path = ["services", name, "operations", index];
        problems.push(createProblem(path, `declared twice: ${key}`));
      }
      seen.add(key);
    }
  }
  return problems;
}

function createManifest(value: ManifestDocument): Manifest {
  return {
    release: value.release as ids.Release,
    models: createTable(value.models, (model) => ({
      version: model.version,
      adapters: model.adapters,
      replicas: model.replicas,
      maxOutputTokens: model.max_output_tokens,
    })),
    ranks: createTable(value.ranks, (rank) => ({
      order: rank.order,
      firstTokenMs: rank.first_token_ms,
      betweenTokensMs: rank.between_tokens_ms,
      deadlineMs: rank.deadline_ms,
      floor: rank.floor,
    })),
    defaultRank: value.default_rank as ids.RankName,
    workspaces: createTable(value.workspaces, (workspace) => ({
      weight: workspace.weight,
      maxOpenRequests: workspace.max_open_requests,
    })),
    services: createTable(value.services, (service) => ({
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

function createTable<Name extends string, From, To>(
  table: Readonly<Record<string, From>>,
  convert: (from: From) => To,
): ReadonlyMap<Name, To> {
  return new Map(
    Object.entries(table).map(([name, from]) => [name as Name, convert(from)]),
  );
}

function createTableSchema<T extends valibot.GenericSchema>(entry: T) {
  return valibot.record(nameSchema, entry, "must be a table");
}
