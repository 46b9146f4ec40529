/** The store that holds the routing configuration and the directory of endpoints. */

import type * as core from "@peridotvale/core";
import type * as neverthrow from "neverthrow";

/** Why the store gave no answer that can be used. */
export interface StoreError {
  readonly type: "unreachable" | "refused" | "history_lost" | "invalid";
  readonly detail: string;
}

/** A read of the configuration. */
export interface ConfigReading {
  /** Undefined before the first configuration. */
  readonly config: core.RoutingConfig | undefined;
  /** Revision of the whole store at the read. */
  readonly storeRevision: number;
}

/** A listing of all endpoints. */
export interface EndpointListing {
  readonly records: readonly core.EndpointRecord[];
  /** Revision of the store before the listing began. */
  readonly storeRevision: number;
  /** Entries that could not be read, and why. */
  readonly unreadable: readonly string[];
}

/** A change that a watch reports. */
export type StoreChange =
  | { readonly type: "config"; readonly config: core.RoutingConfig }
  | { readonly type: "endpoint"; readonly record: core.EndpointRecord }
  | { readonly type: "endpoint_removed"; readonly instance: core.InstanceId }
  | { readonly type: "unreadable"; readonly detail: string };

/** What a watch has seen. */
export interface StoreChanges {
  readonly changes: readonly StoreChange[];
  /** Where the next watch goes on. */
  readonly storeRevision: number;
}

/** Result of a call to the store. */
export type StoreResult<T> = Promise<neverthrow.Result<T, StoreError>>;

/** Reads of the store; every one shows the newest state unless it says otherwise. */
export interface RoutingStore {
  readConfig(options: { readonly timeoutMs: number }): StoreResult<ConfigReading>;
  listEndpoints(options: { readonly timeoutMs: number }): StoreResult<EndpointListing>;
  /** Waits at most `waitMs` for changes after a revision. */
  watch(
    afterRevision: number,
    options: { readonly waitMs: number; readonly signal: AbortSignal },
  ): StoreResult<StoreChanges>;
}
