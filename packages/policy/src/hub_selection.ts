/**
 * Chooses the processes that exchange reports directly. Answers the load of reports in fleets of
 * dozens to hundreds of processes: among n linked processes, n² reports would be sent for each
 * change. There, each process reports to the hubs of its zone only, and the hubs pass the reports
 * on to their zone and to the hubs of the other zones.
 */

import * as core from "@peridotvale/core";

/** A process that is known to the one that chooses. */
export interface HubCandidate {
  readonly process: core.ProcessId;
  readonly zone: core.ZoneName;
  /** Bandwidth of its VM's network link; 0 if it is not known. */
  readonly linkMbps: number;
  /** Whether connections to the process have failed recently. */
  readonly isSuspect: boolean;
}

/** Hubs per zone. With two, reports continue while one of them fails and is replaced. */
export const HUBS_PER_ZONE = 2;

/**
 * Orders processes by their suitability as hubs: those with the widest network links first, since
 * a hub sends its zone's reports once to each process. Equal ones are ordered by a hash.
 */
export function compareAsHubs(
  a: Omit<HubCandidate, "zone" | "isSuspect">,
  b: Omit<HubCandidate, "zone" | "isSuspect">,
): number {
  return b.linkMbps - a.linkMbps ||
    core.computeHash32(a.process) - core.computeHash32(b.process) ||
    (a.process < b.process ? -1 : 1);
}

/** Returns the hubs of `zone`, in order: the most suitable processes that are not suspected. */
export function chooseHubs(
  zone: core.ZoneName,
  candidates: readonly HubCandidate[],
): core.ProcessId[] {
  const members = candidates.filter((candidate) => candidate.zone === zone);
  members.sort((a, b) => Number(a.isSuspect) - Number(b.isSuspect) || compareAsHubs(a, b));
  return members.slice(0, HUBS_PER_ZONE).map((member) => member.process);
}

/** Whether `self` is a hub of its zone by its own view. */
export function isHub(self: HubCandidate, others: readonly HubCandidate[]): boolean {
  return chooseHubs(self.zone, [self, ...others]).includes(self.process);
}

/** A process to which a link is kept. */
export interface LinkChoice {
  readonly process: core.ProcessId;
  /** Whether the other process is expected to open the link. */
  readonly isPassive: boolean;
}

/**
 * Chooses the processes to which `self` keeps links: the hubs of its zone and, if it is the first
 * of them, the first hub of each other zone. Of two hubs, the one with the lower id opens the link.
 */
export function chooseLinks(self: HubCandidate, others: readonly HubCandidate[]): LinkChoice[] {
  const candidates = [self, ...others];
  const ownHubs = chooseHubs(self.zone, candidates);
  const ownPosition = ownHubs.indexOf(self.process);
  const isOwnHub = ownPosition >= 0;
  const choices: LinkChoice[] = [];
  for (const hub of ownHubs) {
    if (hub === self.process) continue;
    choices.push({ process: hub, isPassive: isOwnHub && hub < self.process });
  }
  if (ownPosition !== 0) return choices;
  for (const zone of new Set(others.map((other) => other.zone))) {
    if (zone === self.zone) continue;
    const hub = chooseHubs(zone, candidates)[0]!;
    choices.push({ process: hub, isPassive: hub < self.process });
  }
  return choices;
}
