/** Branded identifiers: plain strings and numbers at run time, distinct types at compile time. */

declare const brand: unique symbol;

/**
 * A primitive type `T` that is tagged with `Name`. The compiler rejects a value that has
 * another tag or none.
 */
export type Branded<T, Name extends string> = T & { readonly [brand]: Name };

/** Unique id of one request of a caller, returned in the `x-request-id` header. */
export type RequestId = Branded<string, "RequestId">;
/** Name of a workspace in the manifest. */
export type WorkspaceName = Branded<string, "WorkspaceName">;
/** Name of a rank in the manifest. */
export type RankName = Branded<string, "RankName">;
/** Name of a model in the manifest. */
export type ModelName = Branded<string, "ModelName">;
/** Name of a service in the manifest or in the routing configuration. */
export type ServiceName = Branded<string, "ServiceName">;
export type ZoneName = Branded<string, "ZoneName">;
/** Address of an endpoint, as `host:port`. */
export type EndpointId = Branded<string, "EndpointId">;
/** Identifies an entry process; unchanged when the process restarts at the same address. */
export type ProcessId = Branded<string, "ProcessId">;
/** Identifies a connection to an endpoint within this process. */
export type ConnectionId = Branded<string, "ConnectionId">;
/** Identifies, within its endpoint, the generation of one sequence of tokens. */
export type GenerationId = Branded<string, "GenerationId">;
/** Identifies a section of a prompt that other prompts may share. */
export type PromptPartId = Branded<string, "PromptPartId">;
/** Number of an accepted manifest or routing configuration; never decreases. */
export type Release = Branded<number, "Release">;

/** Brands `text` as the id type that the call site expects; does not validate it. */
export function createId<Id extends Branded<string, string>>(text: string): Id {
  return text as Id;
}

/** Brands `value` as a release number; does not validate it. */
export function createRelease(value: number): Release {
  return value as Release;
}
