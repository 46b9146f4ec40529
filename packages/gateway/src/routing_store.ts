/**
 * Declares the interface of the store, which holds the routing configuration, the directory of
 * endpoints and the announcements of gateway processes.
 */

import type * as core from "@peridotvale/core";
import type * as neverthrow from "neverthrow";

export interface StoreError {
  /** `history_lost`: the store no longer has the changes after the requested revision. */
  readonly type: "unreachable" | "refused" | "history_lost" | "invalid";
  readonly detail: string;
}

export interface ConfigReading {
  /** Undefined if the store holds no configuration yet. */
  readonly config: core.RoutingConfig | undefined;
  /** Store-wide revision at the time of the read. */
  readonly storeRevision: number;
}

/** A gateway process that has announced itself in the store. */
export interface AnnouncedPeer {
  readonly process: core.ProcessId;
  readonly zone: core.ZoneName;
  /** Address at which it accepts links from peers, as `host:port`. */
  readonly address: string;
}

/** Complete contents of the store. */
export interface StoreListing {
  readonly config: core.RoutingConfig | undefined;
  readonly records: readonly core.EndpointRecord[];
  readonly peers: readonly AnnouncedPeer[];
  /** Revision of the store at the start of the listing. */
  readonly storeRevision: number;
  /** Descriptions of the entries that could not be decoded. */
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

/** Changes that one watch call delivered. */
export interface StoreChanges {
  readonly changes: readonly StoreChange[];
  /** Revision after which the next watch continues. */
  readonly storeRevision: number;
}

export type StoreResult<T> = Promise<neverthrow.Result<T, StoreError>>;

/** Client of the store. Every read returns the newest state. */
export interface RoutingStore {
  readConfig(options: { readonly timeoutMs: number }): StoreResult<ConfigReading>;
  listAll(options: { readonly timeoutMs: number }): StoreResult<StoreListing>;
  /** Returns the changes after `afterRevision`; waits up to `waitMs` for the first of them. */
  watch(
    afterRevision: number,
    options: { readonly waitMs: number; readonly signal: AbortSignal },
  ): StoreResult<StoreChanges>;
  /** Announces a process for `ttlMs`; returns the id of the lease that renews it. */
  publishPeer(self: AnnouncedPeer, ttlMs: number): StoreResult<string>;
  /** Renews an announcement; returns false if it has expired. */
  renewAnnouncement(lease: string): StoreResult<boolean>;
}
