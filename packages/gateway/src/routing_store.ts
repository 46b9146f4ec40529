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

/** A gateway process that has announced itself. */
export interface AnnouncedPeer {
  readonly process: core.ProcessId;
  readonly zone: core.ZoneName;
  /** Where it listens for other processes, `host:port`. */
  readonly address: string;
}

/** A listing of everything in the store. */
export interface StoreListing {
  readonly config: core.RoutingConfig | undefined;
  readonly records: readonly core.EndpointRecord[];
  readonly peers: readonly AnnouncedPeer[];
  /** Revision of the store before the listing began. */
  readonly storeRevision: number;
  /** Entries that could not be read, and why. */
  readonly unreadable: readonly string[];
}

/** A change that a watch reports. */
export type StoreChange =
  | { readonly type: "config"; readonly config: core.RoutingConfig }
  | { readonly type: "endpoint"; readonly record: core.EndpointRecord }
  | {
    readonly type: "endpoint_removed";
    readonly instance: core.InstanceId;
    readonly revision: number;
  }
  | { readonly type: "peer"; readonly peer: AnnouncedPeer }
  | { readonly type: "peer_removed"; readonly process: core.ProcessId }
  | { readonly type: "unreadable"; readonly detail: string };

/** What a watch has seen. */
export interface StoreChanges {
  readonly changes: readonly StoreChange[];
  /** Where the next watch goes on. */
  readonly storeRevision: number;
}

/** Result of a call to the store. */
export type StoreResult<T> = Promise<neverthrow.Result<T, StoreError>>;

/** Calls to the store; every read shows its newest state. */
export interface RoutingStore {
  readConfig(options: { readonly timeoutMs: number }): StoreResult<ConfigReading>;
  listAll(options: { readonly timeoutMs: number }): StoreResult<StoreListing>;
  /** Waits at most `waitMs` for changes after a revision. */
  watch(
    afterRevision: number,
    options: { readonly waitMs: number; readonly signal: AbortSignal },
  ): StoreResult<StoreChanges>;
  /** Announces a process for `ttlMs`; returns the lease that renews it. */
  publishPeer(self: AnnouncedPeer, ttlMs: number): StoreResult<string>;
  /** Renews an announcement; false if it has lapsed. */
  renewAnnouncement(lease: string): StoreResult<boolean>;
}
