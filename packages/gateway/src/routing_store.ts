/**
 * Declares the client interface of the store, which holds the routing configuration, the
 * directory of endpoints and the announcements of gateway processes.
 */

import type * as core from "@peridotvale/core";
import type * as policy from "@peridotvale/policy";
import type * as neverthrow from "neverthrow";

export interface StoreError {
  /** `history_lost`: the store no longer has the changes after the requested revision. */
  readonly type: "unreachable" | "refused" | "history_lost" | "invalid";
  readonly detail: string;
}

export interface ConfigReadResult {
  /** Undefined if the store holds no configuration yet. */
  readonly config: core.RoutingConfig | undefined;
  /** Store-wide revision at the time of the read. */
  readonly storeRevision: number;
}

/** A gateway process that is announced in the store. */
export interface AnnouncedPeer {
  readonly process: core.ProcessId;
  readonly zone: core.ZoneName;
  /** Address at which the process accepts links from peers, as `host:port`. */
  readonly address: string;
  /** Bandwidth of its VM's network link; 0 if it is not known. */
  readonly linkMbps: number;
}

/** A quarantined prompt part as the store keeps it. */
export interface StoredQuarantine {
  readonly part: core.PromptPartId;
  readonly crashCount: number;
}

/** Complete contents of the store. */
export interface StoreListing {
  readonly config: core.RoutingConfig | undefined;
  readonly records: readonly core.EndpointRecord[];
  readonly peers: readonly AnnouncedPeer[];
  readonly quarantines: readonly StoredQuarantine[];
  /** Zones that are evacuated, including those whose entries have unreadable values. */
  readonly evacuations: readonly policy.ZoneEvacuation[];
  /** Store-wide revision at the start of the listing. */
  readonly storeRevision: number;
  /** Descriptions of the entries that could not be decoded. */
  readonly entryErrors: readonly string[];
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
  | { readonly type: "quarantine"; readonly quarantine: StoredQuarantine }
  | { readonly type: "quarantine_removed"; readonly part: core.PromptPartId }
  | { readonly type: "evacuation"; readonly evacuation: policy.ZoneEvacuation }
  | { readonly type: "unreadable"; readonly detail: string };

/** Changes that one watch call delivered. */
export interface StoreChanges {
  readonly changes: readonly StoreChange[];
  /** Store-wide revision up to which all changes are included; the next watch starts after it. */
  readonly storeRevision: number;
}

export type StoreResult<T> = Promise<neverthrow.Result<T, StoreError>>;

/** Client of the store. Every read returns the newest state of the store. */
export interface RoutingStore {
  readConfig(options: { readonly timeoutMs: number }): StoreResult<ConfigReadResult>;
  listEntries(options: { readonly timeoutMs: number }): StoreResult<StoreListing>;
  /** Returns the changes after `afterRevision`; waits up to `waitMs` if there are none yet. */
  watch(
    afterRevision: number,
    options: { readonly waitMs: number; readonly signal: AbortSignal },
  ): StoreResult<StoreChanges>;
  /**
   * Announces a process under a lease that expires after `ttlMs` unless it is renewed. Returns
   * the id of the lease.
   */
  publishPeer(self: AnnouncedPeer, ttlMs: number): StoreResult<string>;
  /** Renews the lease of an announcement. Returns false if the lease has expired. */
  renewAnnouncement(lease: string): StoreResult<boolean>;
  /** Stores a quarantine, unless the store has it already; the store drops it after `ttlMs`. */
  publishQuarantine(quarantine: StoredQuarantine, ttlMs: number): StoreResult<void>;
  removeQuarantine(part: core.PromptPartId): StoreResult<void>;
}
