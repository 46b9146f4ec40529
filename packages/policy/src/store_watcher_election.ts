/**
 * Elects the store watcher: the one process that watches the store and confirms the configuration,
 * and whose results the others receive. This saves calls to a store that counts each call. A fleet
 * in which all processes are linked has a watcher in each zone; one in which hubs pass reports on
 * has a single watcher, so that the calls do not grow with the fleet.
 */

import type * as core from "@peridotvale/core";
import * as hubs from "./hub_selection.ts";

/** Contact of another process with the store, as that process reported it. */
export interface StoreContact {
  readonly process: core.ProcessId;
  readonly zone: core.ZoneName;
  /** Bandwidth of its VM's network link; 0 if it is not known. */
  readonly linkMbps: number;
  /** Age of its last confirmation of the configuration; Infinity while the process's calls fail. */
  readonly confirmAgeMs: number;
}

/** Processes among which one watcher is elected. */
export type ElectionScope = "zone" | "fleet";

/**
 * A process whose last confirmation is older than this is not in contact with the store. Through
 * hubs, a confirmation arrives later by two report intervals.
 */
const MAX_CONTACT_AGES_MS = { zone: 2_000, fleet: 3_500 };

const MAX_CONFIRM_INTERVAL_MS = 2_000;
/**
 * Number of confirmations within each of the operators' bounds. It is above one because a
 * confirmation may fail, and the update must still reach the other processes within the bound.
 */
const CONFIRMATIONS_PER_APPLY_BOUND = 2;
const CONFIRMATIONS_PER_REVOCATION_BOUND = 4;
/** A confirmation shows that a watch is stalled; the listing and two reports follow it. */
const CONFIRMATIONS_PER_EVACUATION_BOUND = 2.5;

/** Longest interval between reports; a link is replaced after four intervals without a message. */
const MAX_REPORT_INTERVAL_MS = 500;
/** With this count, two report intervals and a confirmation interval fit into half the bound. */
const REPORTS_PER_REVOCATION_BOUND = 10;

/** Computes the interval between confirmations from the operators' bounds. */
export function computeConfirmIntervalMs(
  bounds: {
    readonly configApplyMs: number;
    readonly keyRevocationMs: number;
    readonly evacuateMs?: number;
  },
): number {
  return Math.min(
    MAX_CONFIRM_INTERVAL_MS,
    (bounds.evacuateMs ?? Infinity) / CONFIRMATIONS_PER_EVACUATION_BOUND,
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

/** Time after the first listing within which links are opened and first reports arrive. */
const LINKING_MS = 2_000;

/**
 * Whether a process has started so recently that its peers may not have reported yet. Until then,
 * all processes that the store lists are taken to be in contact with the store. If every process of
 * a starting fleet watched the store, each of their announcements would end the watches of all.
 * `listedAt` is the time of the first listing, undefined before it.
 */
export function isLinking(listedAt: number | undefined, now: number): boolean {
  return listedAt !== undefined && now - listedAt < LINKING_MS;
}

/** Pauses between calls to a store that fails or refuses calls. */
export interface StoreRetryIntervals {
  /** Longest pause after a failed call; the pauses double up to it. */
  readonly maxBackoffMs: number;
  /** Interval between reads while peers confirm the configuration. */
  readonly whileConfirmedMs: number;
}

const RETRY_INTERVALS: StoreRetryIntervals = { maxBackoffMs: 800, whileConfirmedMs: 2_000 };
const FOLLOWER_RETRY_INTERVALS: StoreRetryIntervals = {
  maxBackoffMs: 3_200,
  whileConfirmedMs: 8_000,
};

/**
 * Chooses how often a process retries an unavailable store. In a large fleet only the hubs retry
 * often, since they pass on to the others that the store is back.
 */
export function chooseRetryIntervals(
  process: { readonly scope: ElectionScope; readonly isHub: boolean },
): StoreRetryIntervals {
  const isFollower = process.scope === "fleet" && !process.isHub;
  return isFollower ? FOLLOWER_RETRY_INTERVALS : RETRY_INTERVALS;
}

/** Covers the time from the check of a request to the end of its answer. */
const CONFIG_APPLY_MARGIN_MS = 500;

/**
 * Computes the age up to which a confirmation suffices to refuse a request for its route or key,
 * which may have been added since. In a large fleet a confirmation within the operators' bound for
 * new configurations does: with a read for each refusal, callers with an invalid key would make
 * the calls to the store grow with their requests. A small fleet can afford that read.
 */
export function computeRefusalConfirmAgeMs(
  bounds: { readonly configApplyMs: number },
  scope: ElectionScope,
): number {
  return scope === "fleet" ? Math.max(0, bounds.configApplyMs - CONFIG_APPLY_MARGIN_MS) : -1;
}

/** Confirmation intervals after which a process reads the store itself, without jitter. */
const FALLBACK_INTERVAL_COUNTS = { zone: 2, fleet: 2.4 };
/** Spread of that age over the processes of a fleet, in confirmation intervals. */
const FALLBACK_JITTER_COUNT = 0.6;

/**
 * Computes the age of the last confirmation from which a process that does not watch the store
 * reads it itself. In a fleet with a single watcher the ages are spread by `jitter`, 0 to 1: the
 * reads of the first processes confirm the configuration for all others.
 */
export function computeFallbackAgeMs(
  confirmIntervalMs: number,
  scope: ElectionScope,
  jitter: number,
): number {
  const jitterCount = scope === "fleet" ? FALLBACK_JITTER_COUNT * jitter : 0;
  return confirmIntervalMs * (FALLBACK_INTERVAL_COUNTS[scope] + jitterCount);
}

/**
 * Whether `self` watches the store. Of the processes in contact with the store, in the zone or in
 * the fleet, the most suitable hub watches it; while none is in contact, every process does.
 */
export function isStoreWatcher(
  self: {
    readonly process: core.ProcessId;
    readonly zone: core.ZoneName;
    readonly linkMbps: number;
    /** Whether the process's own calls to the store succeed. */
    readonly isInContact: boolean;
  },
  others: readonly StoreContact[],
  scope: ElectionScope,
): boolean {
  for (const other of others) {
    if (scope === "zone" && other.zone !== self.zone) continue;
    if (other.confirmAgeMs > MAX_CONTACT_AGES_MS[scope]) continue;
    if (!self.isInContact) return false;
    if (hubs.compareAsHubs(other, self) < 0) return false;
  }
  return true;
}
