/**
 * Interface to the platform's key-value service: compare-and-swap transactions, leases and
 * watches.
 */

import type * as neverthrow from "neverthrow";
import type * as errors from "./errors.ts";

/** A stored key-value pair and its revision. */
export interface KeyValue {
  readonly key: string;
  readonly value: string;
  /** Store revision of the key's last change. */
  readonly revision: number;
}

/** Change of one key in a transaction, with the conditions under which it applies. */
export interface KeyChange {
  readonly key: string;
  /** Revision that the key must have; 0 if the key must not exist. */
  readonly expectedRevision?: number | undefined;
  /** Value that the key must have. */
  readonly expectedValue?: string | undefined;
  /** New value; `undefined` deletes the key. */
  readonly value: string | undefined;
  readonly lease?: string | undefined;
}

/** Result of a transaction, which applies either all changes or none. */
export interface CommitResult {
  readonly committed: boolean;
  readonly revision: number;
  /** If not committed, the current values of the transaction's keys. Omits missing keys. */
  readonly current: readonly KeyValue[];
}

export interface Lease {
  readonly id: string;
  readonly ttlMs: number;
}

export type CancelWatch = () => void;

/** Receives the events of a watch. */
export interface WatchListener {
  onChange(change: KeyValue): void;
  /** Called when the watch has ended. Further changes are reported only by a new watch. */
  onEnd(reason: string): void;
}

export type PlatformResult<T> = Promise<
  neverthrow.Result<T, errors.PlatformError>
>;

export interface KeyValueStore {
  read(key: string): PlatformResult<KeyValue | undefined>;
  /** Reads several keys in one call. The result omits missing keys. */
  readKeys(keys: readonly string[]): PlatformResult<readonly KeyValue[]>;
  /** Applies all changes if every condition holds, otherwise none. */
  commit(changes: readonly KeyChange[]): PlatformResult<CommitResult>;
  grantLease(ttlMs: number): PlatformResult<Lease>;
  /** Renews a lease. Returns its remaining time in milliseconds, 0 if it has expired. */
  renewLease(lease: string): PlatformResult<number>;
  revokeLease(lease: string): PlatformResult<void>;
  /** Reports changes of one key until the returned function is called. Omits deletions. */
  watch(key: string, listener: WatchListener): CancelWatch;
}
