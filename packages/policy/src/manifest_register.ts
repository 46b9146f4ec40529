/**
 * Holds the manifest in force in this process. Records come from several sources
 * and in any order; only a record with a higher release replaces the one in force.
 */

import type * as core from "@peridotvale/core";

/** A manifest as it is stored and sent to other processes. */
export interface ManifestRecord {
  readonly release: core.Release;
  /** Identifies the submission that created the release. */
  readonly submission: string;
  /** The YAML document as submitted. */
  readonly text: string;
  /** The same document in JSON. */
  readonly json: string;
}

/** Result of {@linkcode ManifestRegister.applyRecord}. */
export type ManifestApplyResult =
  /** The record is now in force. */
  | "applied"
  /** The record was already in force. */
  | "same"
  /** The record is older than the one in force; its source needs the newer record. */
  | "stale"
  /** A record of another submission with the same release is in force and stays. */
  | "conflicting";

/** Holds the record with the highest release so far. */
export class ManifestRegister {
  #record: ManifestRecord | undefined;
  #appliedAt = 0;

  /** The record in force; `undefined` before the first. */
  get record(): ManifestRecord | undefined {
    return this.#record;
  }

  /** Time at which the record in force was applied. */
  get appliedAt(): number {
    return this.#appliedAt;
  }

  /** Applies `record` if its release is higher than the one in force. */
  applyRecord(record: ManifestRecord, now: number): ManifestApplyResult {
    const currentRecord = this.#record;
    if (currentRecord !== undefined) {
      if (record.release < currentRecord.release) return "stale";
      if (record.release === currentRecord.release) {
        return record.submission === currentRecord.submission ? "same" : "conflicting";
      }
    }
    this.#record = record;
    this.#appliedAt = now;
    return "applied";
  }
}
