/**
 * Holds which availability zones are evacuated. Answers the moves of a whole zone's load to the
 * other zones and back, while the order of the store's changes is known only by their revisions:
 * watches stall, listings and reports of peers arrive late, and processes start without the store.
 */

import type * as core from "@peridotvale/core";

/** Whether a zone is evacuated, as of a revision of the store. */
export interface ZoneEvacuation {
  readonly zone: core.ZoneName;
  /** Store revision of the change, or of the listing that no longer contained the zone. */
  readonly revision: number;
  readonly isEvacuated: boolean;
}

/** The newest known entry of each zone. Ended entries are kept, so that older ones stay ignored. */
export class EvacuationRegister {
  readonly #entries = new Map<core.ZoneName, ZoneEvacuation>();

  /**
   * Applies an entry of any source, unless the known one is newer. Returns whether the zone is now
   * evacuated and was not before, or the reverse.
   */
  applyEntry(entry: ZoneEvacuation): boolean {
    const known = this.#entries.get(entry.zone);
    if (known !== undefined && !isNewer(entry, known)) return false;
    this.#entries.set(entry.zone, entry);
    return (known?.isEvacuated ?? false) !== entry.isEvacuated;
  }

  /**
   * Applies a complete listing of the evacuated zones, which contains all changes up to `revision`.
   * Ends the evacuations that it lacks, unless they are newer. Returns the entries that change
   * whether their zone is evacuated.
   */
  applyListing(listed: readonly ZoneEvacuation[], revision: number): ZoneEvacuation[] {
    const listedZones = new Set(listed.map(({ zone }) => zone));
    const endedEntries = this.listEvacuated()
      .filter((known) => !listedZones.has(known.zone) && known.revision <= revision)
      .map(({ zone }) => ({ zone, revision, isEvacuated: false }));
    return [...listed, ...endedEntries].filter((entry) => this.applyEntry(entry));
  }

  /** Lists all entries, including those of zones whose evacuation has ended. */
  listEntries(): ZoneEvacuation[] {
    return [...this.#entries.values()];
  }

  /** Lists the entries of the zones that are evacuated. */
  listEvacuated(): ZoneEvacuation[] {
    return this.listEntries().filter((entry) => entry.isEvacuated);
  }

  isEvacuated(zone: core.ZoneName): boolean {
    return this.#entries.get(zone)?.isEvacuated ?? false;
  }
}

/**
 * Whether `entry` overrides `known`. At the same revision the end does: a listing of that revision
 * lacked the zone because its key was removed before the listing had read that far.
 */
function isNewer(entry: ZoneEvacuation, known: ZoneEvacuation): boolean {
  if (entry.revision !== known.revision) return entry.revision > known.revision;
  return known.isEvacuated && !entry.isEvacuated;
}
