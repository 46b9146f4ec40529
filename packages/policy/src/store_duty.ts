/**
 * Divides the calls to the store among processes: one process of each zone watches
 * and confirms, the others hear of it. Answers a store that counts every call, in
 * fleets where each process would otherwise ask for the same.
 */

import * as core from "@peridotvale/core";

/** What a process knows of another one's contact with the store. */
export interface StoreContact {
  readonly process: core.ProcessId;
  readonly zone: core.ZoneName;
  /** Age of its last confirmation of the configuration; Infinity while its own calls fail. */
  readonly confirmAgeMs: number;
}

/** From this age on another process's confirmations do not serve any more. */
export const MAX_CONTACT_AGE_MS = 2_000;

/** Longest pause between confirmations. */
const MAX_CONFIRM_INTERVAL_MS = 2_000;
/**
 * Confirmations for each bound that depends on them: one may fail, and the news then
 * still has to reach the other processes.
 */
const CONFIRMS_PER_APPLY_BOUND = 2;
const CONFIRMS_PER_REVOCATION_BOUND = 4;

/** Longest pause between repeats; a link that is silent for four of them is replaced. */
const MAX_REPEAT_INTERVAL_MS = 500;
/** Two repeats and a confirmation take less than half of the bound. */
const REPEATS_PER_REVOCATION_BOUND = 10;

/** Computes how far apart confirmations are under the operators' bounds. */
export function computeConfirmIntervalMs(
  bounds: { readonly configApplyMs: number; readonly keyRevocationMs: number },
): number {
  return Math.min(
    MAX_CONFIRM_INTERVAL_MS,
    bounds.configApplyMs / CONFIRMS_PER_APPLY_BOUND,
    bounds.keyRevocationMs / CONFIRMS_PER_REVOCATION_BOUND,
  );
}

/**
 * Computes how often a process repeats what it knows. A relayed confirmation is up to
 * two repeats and a confirmation older than the store's answer.
 */
export function computeRepeatIntervalMs(bounds: { readonly keyRevocationMs: number }): number {
  return Math.min(MAX_REPEAT_INTERVAL_MS, bounds.keyRevocationMs / REPEATS_PER_REVOCATION_BOUND);
}

/**
 * Whether `self` watches the store: the first of its zone's processes in contact with
 * it, and each of them while none is.
 */
export function isStoreWatcher(
  self: {
    readonly process: core.ProcessId;
    readonly zone: core.ZoneName;
    /** Whether its own calls to the store succeed. */
    readonly isInContact: boolean;
  },
  others: readonly StoreContact[],
): boolean {
  const own = core.computeHash32(self.process);
  for (const other of others) {
    if (other.zone !== self.zone || other.confirmAgeMs > MAX_CONTACT_AGE_MS) continue;
    if (!self.isInContact) return false;
    const rank = core.computeHash32(other.process);
    if (rank < own || (rank === own && other.process < self.process)) return false;
  }
  return true;
}
