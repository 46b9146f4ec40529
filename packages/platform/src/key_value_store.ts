/** The platform's key-value service, as the product needs it. */

import type * as neverthrow from "neverthrow";
import type * as errors from "./errors.ts";

/** A key's value. */
export interface KeyValue {
  readonly key: string;
  readonly value: string;
  /** Revision of the store at the last change of the key. */
  readonly revision: number;
}

/** A change of one key in a transaction. */
export interface KeyChange {
  readonly key: string;
  /** Revision that the key must have; 0: it must not exist. */
  readonly expectedRevision?: number | undefined;
  /** Value that the key must have. */
  readonly expectedValue?: string | undefined;
  /** New value; `undefined` deletes the key. */
  readonly value: string | undefined;
  readonly lease?: string | undefined;
}

/** Result of a transaction: all changes or none. */
export interface CommitResult {
  readonly committed: boolean;
  readonly revision: number;
  /** When not committed: the present values of the changes' keys that exist. */
  readonly current: readonly KeyValue[];
}

/** A lease. */
export interface Lease {
  readonly id: string;
  readonly ttlMs: number;
}

/** Stops a watch. */
export type StopWatch = () => void;

/** What a watcher is told. */
export interface WatchListener {
  onChange(change: KeyValue): void;
  /** The watch has ended; it has to be opened anew. */
  onEnd(reason: string): void;
}

/** Result of a call to the platform. */
export type PlatformResult<T> = Promise<
  neverthrow.Result<T, errors.PlatformError>
>;

/** A small store with compare-and-swap, leases and watches. */
export interface KeyValueStore {
  /** Reads one key. */
  read(key: string): PlatformResult<KeyValue | undefined>;
  /** Reads keys in one call; those that do not exist are left out. */
  readAll(keys: readonly string[]): PlatformResult<readonly KeyValue[]>;
  /** Applies all changes if every expectation holds, else none. */
  commit(changes: readonly KeyChange[]): PlatformResult<CommitResult>;
  grantLease(ttlMs: number): PlatformResult<Lease>;
  /** Extends a lease; the result is its remaining time, 0 if it has expired. */
  keepLease(lease: string): PlatformResult<number>;
  revokeLease(lease: string): PlatformResult<void>;
  /** Reports changes of a key as they happen. */
  watch(key: string, listener: WatchListener): StopWatch;
}
