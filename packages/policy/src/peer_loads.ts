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
  readonly expiresAt: number;
}

/** A report not renewed for this long is dropped; reports arrive at least every half second. */
export const REPORT_TTL_MS = 2_500;

/** Window over which the rate of starts is measured. */
const START_RATE_WINDOW_MS = 2_000;

const NO_LOAD: LoadSum = { runs: 0, reservedTokens: 0, unreadPromptTokens: 0 };

/**
 * Latest load report of each peer. The sums by engine are kept up to date with each report,
 * because they are read for every engine and every placement.
 */
export class PeerLoads {
  readonly #reports = new Map<core.ProcessId, ReceivedReport>();
  readonly #totals = new Map<core.InstanceId, LoadSum>();
  #starts: { readonly at: number; readonly runs: number }[] = [];

  /** Replaces the previous report of `process`. The new one is dropped after `ttlMs`. */
  applyReport(
    process: core.ProcessId,
    loads: readonly EngineLoad[],
    options: { readonly now: number; readonly ttlMs: number },
  ): void {
    this.#recordStarts(process, loads, options.now);
    this.dropProcess(process);
    const loadByInstance = new Map(loads.map((load) => [load.instance, load]));
    this.#reports.set(process, {
      loads: loadByInstance,
      expiresAt: options.now + options.ttlMs,
    });
    for (const load of loadByInstance.values()) this.#addToTotal(load, 1);
  }

  /** Returns the runs that other processes have started a second, by their reports. */
  getStartRate(now: number): number {
    this.#dropOldStarts(now);
    const count = this.#starts.reduce((sum, entry) => sum + entry.runs, 0);
    return count / (START_RATE_WINDOW_MS / 1000);
  }

  /** Drops the report of a process that has ended. */
  dropProcess(process: core.ProcessId): void {
    const report = this.#reports.get(process);
    if (report === undefined) return;
    this.#reports.delete(process);
    for (const load of report.loads.values()) this.#addToTotal(load, -1);
  }

  /** Drops reports that were not renewed in time. */
  expireReports(now: number): void {
    // A process that places nothing never reads the rate.
    this.#dropOldStarts(now);
    for (const [process, report] of this.#reports) {
      if (now > report.expiresAt) this.dropProcess(process);
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
    return this.#totals.get(instance) ?? NO_LOAD;
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

  #dropOldStarts(now: number): void {
    this.#starts = this.#starts.filter((entry) => now - entry.at <= START_RATE_WINDOW_MS);
  }

  #recordStarts(process: core.ProcessId, loads: readonly EngineLoad[], now: number): void {
    const previousLoads = this.#reports.get(process)?.loads;
    let runs = 0;
    for (const load of loads) {
      runs += Math.max(0, load.runs - (previousLoads?.get(load.instance)?.runs ?? 0));
    }
    if (runs > 0) this.#starts.push({ at: now, runs });
  }

  #addToTotal(load: EngineLoad, sign: 1 | -1): void {
    const total = this.#totals.get(load.instance) ?? NO_LOAD;
    const runs = total.runs + sign * load.runs;
    const reservedTokens = total.reservedTokens + sign * load.reservedTokens;
    const unreadPromptTokens = total.unreadPromptTokens + sign * load.unreadPromptTokens;
    // An engine without runs is dropped, so that rounding errors do not add up.
    if (runs === 0) this.#totals.delete(load.instance);
    else this.#totals.set(load.instance, { runs, reservedTokens, unreadPromptTokens });
  }
}
