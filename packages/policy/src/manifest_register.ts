/** The manifest in force in this process; its release only rises, whatever the source. */

import type * as core from "@peridotvale/core";

/** A manifest as it is stored and relayed. */
export interface ManifestRecord {
  readonly release: core.Release;
  /** Identifies the submission that made the release. */
  readonly submission: string;
  /** The YAML document, as it was submitted. */
  readonly text: string;
  /** The same document in JSON. */
  readonly json: string;
}

/** What follows from hearing of a record. */
export type ManifestVerdict =
  /** It is now in force. */
  | "applied"
  /** It is in force already. */
  | "same"
  /** It is older than what is in force; its source should be brought up to date. */
  | "stale"
  /** Another submission with the same release; what is in force stays. */
  | "conflicting";

/** Holds the highest accepted record. */
export class ManifestRegister {
  #record: ManifestRecord | undefined;
  #appliedAt = 0;

  /** The record in force. */
  get record(): ManifestRecord | undefined {
    return this.#record;
  }

  /** When the record in force was applied. */
  get appliedAt(): number {
    return this.#appliedAt;
  }

  /** Applies `record` if its release is higher than the one in force. */
  applyRecord(record: ManifestRecord, now: number): ManifestVerdict {
    const current = this.#record;
    if (current !== undefined) {
      if (record.release < current.release) return "stale";
      if (record.release === current.release) {
        return record.submission === current.submission ? "same" : "conflicting";
      }
    }
    this.#record = record;
    this.#appliedAt = now;
    return "applied";
  }
}
