/**
 * What other processes run at engines, from their own reports. Answers many
 * processes that choose among the same engines at once: each counts what the
 * others have placed, a tenth of a second old, in place of the engines' lagging
 * reports.
 */

import type * as core from "@peridotvale/core";

/** What one process runs at one engine. */
export interface EngineLoad {
  readonly instance: core.InstanceId;
  readonly runs: number;
  /** Tokens that its runs are predicted to hold at their ends. */
  readonly reservedTokens: number;
  /** Prompt tokens of runs that have not started. */
  readonly unreadPromptTokens: number;
  /** Value of the generation that it wants to move away next; 0 if there is none. */
  readonly moveValue: number;
}

/** Sums over processes. */
export type LoadSum = Omit<EngineLoad, "instance" | "moveValue">;

/** A process that wants to move a generation, and what that is worth. */
export interface MoveClaim {
  readonly process: core.ProcessId;
  readonly value: number;
}

interface Report {
  readonly loads: ReadonlyMap<core.InstanceId, EngineLoad>;
  readonly receivedAt: number;
}

/** A report that is not renewed for this long is dropped; reports come every half second. */
const REPORT_TTL_MS = 2_500;

/** The newest report of each process. */
export class LoadBoard {
  readonly #reports = new Map<core.ProcessId, Report>();

  /** Replaces the report of `process`. */
  applyReport(process: core.ProcessId, loads: readonly EngineLoad[], now: number): void {
    const byInstance = new Map(loads.map((load) => [load.instance, load]));
    this.#reports.set(process, { loads: byInstance, receivedAt: now });
  }

  /** Forgets a process that has ended. */
  dropProcess(process: core.ProcessId): void {
    this.#reports.delete(process);
  }

  /** Forgets processes that have not reported for long. */
  expireReports(now: number): void {
    for (const [process, report] of this.#reports) {
      if (now - report.receivedAt > REPORT_TTL_MS) this.#reports.delete(process);
    }
  }

  /** Whether `process` reports. */
  hasReport(process: core.ProcessId): boolean {
    return this.#reports.has(process);
  }

  /** Processes that report. */
  get processCount(): number {
    return this.#reports.size;
  }

  /** What all reporting processes run at `instance`. */
  getSum(instance: core.InstanceId): LoadSum {
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

  /** Processes that run anything at `instance`. */
  listBusyProcesses(instance: core.InstanceId): core.ProcessId[] {
    const busy: core.ProcessId[] = [];
    for (const [process, report] of this.#reports) {
      if ((report.loads.get(instance)?.runs ?? 0) > 0) busy.push(process);
    }
    return busy;
  }

  /** Processes that still want to move generations away from `instance`. */
  listMoveClaims(instance: core.InstanceId): MoveClaim[] {
    const claims: MoveClaim[] = [];
    for (const [process, report] of this.#reports) {
      const value = report.loads.get(instance)?.moveValue ?? 0;
      if (value > 0) claims.push({ process, value });
    }
    return claims;
  }
}
