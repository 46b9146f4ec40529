/** Branded identifiers: plain strings at run time, distinct types at compile time. */

declare const brand: unique symbol;

/** A primitive `T` that cannot be confused with another brand of the same primitive. */
export type Branded<T, Name extends string> = T & { readonly [brand]: Name };

/** Identifies one request of a caller; unique per request, echoed in `x-request-id`. */
export type RequestId = Branded<string, "RequestId">;
/** Names a workspace of the manifest. */
export type WorkspaceName = Branded<string, "WorkspaceName">;
/** Names a rank of the manifest. */
export type RankName = Branded<string, "RankName">;
/** Names a model of the manifest. */
export type ModelName = Branded<string, "ModelName">;
/** Names a plain service of the manifest. */
export type ServiceName = Branded<string, "ServiceName">;
/** Names an availability zone. */
export type ZoneName = Branded<string, "ZoneName">;
/** Identifies an endpoint, as `host:port`. */
export type EndpointId = Branded<string, "EndpointId">;
/** Identifies an entry process; stable over restarts at the same address. */
export type ProcessId = Branded<string, "ProcessId">;
/** Identifies one generation inside one endpoint. */
export type GenerationId = Branded<string, "GenerationId">;
/** Number of an accepted manifest; only rises. */
export type Release = Branded<number, "Release">;

/** Brands `text` as an id of the type that the context asks for. */
export function createId<Id extends Branded<string, string>>(text: string): Id {
  return text as Id;
}

/** Brands `value` as a release number. */
export function createRelease(value: number): Release {
  return value as Release;
}
