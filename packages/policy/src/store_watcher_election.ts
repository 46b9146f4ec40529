/**
 * Elects the store watcher of each zone: the one process that watches the store and confirms the
 * configuration, and whose results the zone's other processes receive. This saves calls to a store
 * that counts each call, in fleets where every process would otherwise make the same calls.
 */

import * as core from "@peridotvale/core";

/** Contact of another process with the store, as that process reported it. */
export interface StoreContact {
  readonly process: core.ProcessId;
  readonly zone: core.ZoneName;
  /** Age of its last confirmation of the configuration; Infinity while the process's calls fail. */
  readonly confirmAgeMs: number;
}

/** A process whose last confirmation is older than this is not in contact with the store. */
export const MAX_CONTACT_AGE_MS = 2_000;

const MAX_CONFIRM_INTERVAL_MS = 2_000;
/**
 * Number of confirmations within each of the operators' bounds. It is above one because a
 * confirmation may fail, and the update must still reach the other processes within the bound.
 */
const CONFIRMATIONS_PER_APPLY_BOUND = 2;
const CONFIRMATIONS_PER_REVOCATION_BOUND = 4;

/** Longest interval between reports; a link is replaced after four intervals without a message. */
const MAX_REPORT_INTERVAL_MS = 500;
/** With this count, two report intervals and a confirmation interval fit into half the bound. */
const REPORTS_PER_REVOCATION_BOUND = 10;

/** Computes the interval between confirmations from the operators' bounds. */
export function computeConfirmIntervalMs(
  bounds: { readonly configApplyMs: number; readonly keyRevocationMs: number },
): number {
  return Math.min(
    MAX_CONFIRM_INTERVAL_MS,
    bounds.configApplyMs / CONFIRMATIONS_PER_APPLY_BOUND,
    bounds.keyRevocationMs / CONFIRMATIONS_PER_REVOCATION_BOUND,
  );
}

/**
 * Computes the longest interval between a process's reports to its peers. A relayed confirmation
 * is older than the store's answer by up to two report intervals and one confirmation interval.
 */
export function computeReportIntervalMs(bounds: { readonly keyRevocationMs: number }): number {
  return Math.min(MAX_REPORT_INTERVAL_MS, bounds.keyRevocationMs / REPORTS_PER_REVOCATION_BOUND);
}

/**
 * Whether `self` watches the store. Of the zone's processes in contact with the store, the one
 * with the lowest hash watches it; while none is in contact, every process does.
 */
export function isStoreWatcher(
  self: {
    readonly process: core.ProcessId;
    readonly zone: core.ZoneName;
    /** Whether the process's own calls to the store succeed. */
    readonly isInContact: boolean;
  },
  others: readonly StoreContact[],
): boolean {
  const ownHash = core.computeHash32(self.process);
  for (const other of others) {
    if (other.zone !== self.zone || other.confirmAgeMs > MAX_CONTACT_AGE_MS) continue;
    if (!self.isInContact) return false;
    const hash = core.computeHash32(other.process);
    if (hash < ownHash || (hash === ownHash && other.process < self.process)) return false;
  }
  return true;
}
