/**
 * Decides which connection of a caller is closed to make room for another one. Addresses callers
 * that open many connections and send nothing, or stop within a request head: without a limit, they
 * use up the descriptors that ordinary callers, endpoints and files need.
 */

/** Descriptors of the VM that are reserved for files. */
const RESERVED_DESCRIPTORS = 200;
/** Share of the other descriptors for callers; the rest is for endpoints, peers and the store. */
const CALLER_SHARE = 0.75;
const MIN_CALLER_CONNECTIONS = 32;
/** Connections that are examined, the oldest first, so that a flood costs little time. */
const MAX_EXAMINED_CONNECTIONS = 256;

export interface CallerConnection {
  /** Whether a request on the connection has not been answered. */
  readonly hasOpenRequest: boolean;
  /** Time of the last answer, or of the opening. */
  readonly idleSince: number;
}

/** Computes how many connections callers may open; Infinity if the descriptors are not known. */
export function computeMaxConnections(maxFds: number | undefined): number {
  if (maxFds === undefined) return Infinity;
  const usableDescriptors = Math.floor((maxFds - RESERVED_DESCRIPTORS) * CALLER_SHARE);
  return Math.max(MIN_CALLER_CONNECTIONS, usableDescriptors);
}

/**
 * Chooses, among `connections` from the oldest to the newest, the one that has been without a
 * complete request for the longest time. Returns undefined if all have one.
 */
export function chooseConnectionToClose<T extends CallerConnection>(
  connections: Iterable<T>,
): T | undefined {
  let chosen: T | undefined;
  let examinedCount = 0;
  for (const connection of connections) {
    if (examinedCount === MAX_EXAMINED_CONNECTIONS) break;
    examinedCount += 1;
    if (connection.hasOpenRequest) continue;
    if (chosen === undefined || connection.idleSince < chosen.idleSince) chosen = connection;
  }
  return chosen;
}
