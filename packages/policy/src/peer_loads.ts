/**
 * Holds the loads that other processes place on engines, from their own reports. Handles many
 * processes that choose among the same engines at once: each process includes the load that the
 * others have reported. Their reports are about a tenth of a second old; the engines' own load
 * reports are older.
 */

import type * as core from "@peridotvale/core";

/** Load that one process places on one engine. */
export interface EngineLoad {
  readonly instance: core.InstanceId;
  readonly runs: number;
  /** Tokens, prompts included, that the process's runs are predicted to hold at their ends. */
  readonly reservedTokens: number;
  /** Prompt tokens of runs that have not produced output yet. */
  readonly unreadPromptTokens: number;
  /** Value of the generation that the process wants to move away next; 0 if there is none. */
  readonly moveValue: number;
}

/** Load on one engine, summed over processes. */
export type LoadSum = Omit<EngineLoad, "instance" | "moveValue">;

/** A process that wants to move a generation, and the value of that move. */
export interface MoveClaim {
  readonly process: core.ProcessId;
  readonly value: number;
}

interface ReceivedReport {
  readonly loads: ReadonlyMap<core.InstanceId, EngineLoad>;
  readonly receivedAt: number;
}

/** A report not renewed for this long is dropped; reports arrive at least every half second. */
const REPORT_TTL_MS = 2_500;

/** Latest load report of each peer. */
export class PeerLoads {
  readonly #reports = new Map<core.ProcessId, ReceivedReport>();

  /** Replaces the previous report of `process`. */
  applyReport(process: core.ProcessId, loads: readonly EngineLoad[], now: number): void {
    const loadByInstance = new Map(loads.map((load) => [load.instance, load]));
    this.#reports.set(process, { loads: loadByInstance, receivedAt: now });
  }

  /** Drops the report of a process that has ended. */
  dropProcess(process: core.ProcessId): void {
    this.#reports.delete(process);
  }

  /** Drops reports that were not renewed in time. */
  expireReports(now: number): void {
    for (const [process, report] of this.#reports) {
      if (now - report.receivedAt > REPORT_TTL_MS) this.#reports.delete(process);
    }
  }

  hasReport(process: core.ProcessId): boolean {
    return this.#reports.has(process);
  }

  /** Number of processes with a report. */
  get processCount(): number {
    return this.#reports.size;
  }

  /** Returns the load of all reporting processes on `instance`. */
  getTotalLoad(instance: core.InstanceId): LoadSum {
    let runs = 0;
    let reservedTokens = 0;
    let unreadPromptTokens = 0;
    for (const report of this.#reports.values()) {
      const load = report.loads.get(instance);
      if (load === undefined) continue;
      runs += load.runs;
      reservedTokens += load.reservedTokens;
      unreadPromptTokens += load.unreadPromptTokens;
    }
    return { runs, reservedTokens, unreadPromptTokens };
  }

  /** Lists processes with at least one run at `instance`. */
  listBusyProcesses(instance: core.InstanceId): core.ProcessId[] {
    const busyProcesses: core.ProcessId[] = [];
    for (const [process, report] of this.#reports) {
      if ((report.loads.get(instance)?.runs ?? 0) > 0) busyProcesses.push(process);
    }
    return busyProcesses;
  }

  /** Lists processes that want to move a generation away from `instance`. */
  listMoveClaims(instance: core.InstanceId): MoveClaim[] {
    const claims: MoveClaim[] = [];
    for (const [process, report] of this.#reports) {
      const value = report.loads.get(instance)?.moveValue ?? 0;
      if (value > 0) claims.push({ process, value });
    }
    return claims;
  }
}
