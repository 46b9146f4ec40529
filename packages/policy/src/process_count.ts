/**
 * Counts the processes among which a limit that they share is divided: the connections that an
 * endpoint accepts and the allowance of the retry budget. Handles processes that start together
 * and do not know each other yet, and partitions in which each side loses sight of the other, at a
 * load that uses the whole limit.
 */

interface KnownCount {
  readonly count: number;
  /** Last time at which that many processes were known. */
  at: number;
}

/**
 * Time for which processes that are no longer known still count. They may be cut off instead of
 * gone; regions lose each other for minutes.
 */
const HOLD_MS = 600_000;
/** Unknown processes that are allowed for, as a share of the known ones. */
const UNKNOWN_SHARE = 0.5;
/** Least number of unknown processes; small fleets grow by more than a share at once. */
const MIN_UNKNOWN = 3;
/** Processes that are assumed while a process starts: a dozen may start at the same time. */
const STARTING_COUNT = 12;

/** The number of processes to divide by, from those that this process knows. */
export class ProcessCount {
  /** Counts that were not exceeded since; largest first, and later entries are newer. */
  readonly #peaks: KnownCount[] = [];

  /**
   * Returns the number to divide a shared limit by. `known` includes this process. While
   * `isStarting`, its peers may not be known yet.
   */
  getCount(known: number, options: { readonly isStarting: boolean; readonly now: number }): number {
    const { isStarting, now } = options;
    while (this.#peaks.length > 0 && this.#peaks.at(-1)!.count <= known) this.#peaks.pop();
    this.#peaks.push({ count: known, at: now });
    while (now - this.#peaks[0]!.at > HOLD_MS) this.#peaks.shift();
    const peak = Math.max(this.#peaks[0]!.count, isStarting ? STARTING_COUNT : 0);
    return peak + Math.max(MIN_UNKNOWN, Math.ceil(peak * UNKNOWN_SHARE));
  }
}

/** Returns this process's part of a connection limit; at least 1, or it could not serve at all. */
export function computeConnectionShare(maxConnections: number, processCount: number): number {
  return Math.max(1, Math.floor(maxConnections / processCount));
}
