/** Runs cases of the policy bench with each dispatch strategy and formats the results. */

import * as cases from "./cases.ts";
import * as dispatchers from "./dispatchers.ts";
import * as results from "./results.ts";
import * as simulation from "./simulation.ts";
import * as workload from "./workload.ts";

/** Dispatch strategies to compare: variants of the product's scheduler, then the baselines. */
export const STRATEGIES = [
  "owner",
  "oracle",
  "global",
  "alone",
  "round_robin",
  "least_in_flight",
  "two_choices",
] as const;

export type Strategy = (typeof STRATEGIES)[number];

/** Default seed, which the published results and the check of the bounds use. */
export const BENCH_SEED = 20_261_204;

/** Simulates one case with one strategy. */
export function runCase(
  benchCase: cases.BenchCase,
  strategy: Strategy,
  options: { readonly fleet: workload.SimulatedFleet; readonly seed: number },
): results.CaseResult {
  return simulation.runSimulation({
    fleet: options.fleet,
    load: benchCase.load,
    manifest: cases.BENCH_MANIFEST,
    seed: options.seed,
    ...(benchCase.engineFaults ? { engineFaults: benchCase.engineFaults } : {}),
    ...(benchCase.reportLagMs ? { reportLagMs: benchCase.reportLagMs } : {}),
  }, createDispatcher(benchCase, strategy, options.seed));
}

/** Formats the results of one case as a table with one line per strategy. */
export function formatCase(resultsByStrategy: ReadonlyMap<Strategy, results.CaseResult>): string {
  const header = "strategy         useful tok/s  tok/s  urgent on time  first p95  gap p95  " +
    "refused  patient on time  patient tok%  stall s  preempt";
  const lines = [...resultsByStrategy].map(([strategy, result]) => {
    const urgent = result.ranks.get("urgent");
    const patient = result.ranks.get("patient");
    return [
      strategy.padEnd(16),
      (result.total.windowUsefulTokens / result.windowMs * 1000).toFixed(0).padStart(12),
      (result.total.windowTokens / result.windowMs * 1000).toFixed(0).padStart(6),
      ((urgent?.onTimeShare ?? 0) * 100).toFixed(1).padStart(14),
      (urgent?.firstTokenP95Ms ?? 0).toFixed(0).padStart(10),
      (urgent?.betweenTokensP95Ms ?? 0).toFixed(1).padStart(8),
      String(urgent?.refusedCount ?? 0).padStart(8),
      ((patient?.onTimeShare ?? 0) * 100).toFixed(1).padStart(16),
      ((patient?.windowTokens ?? 0) / Math.max(1, result.total.windowTokens) * 100).toFixed(1)
        .padStart(13),
      result.total.stallSeconds.toFixed(1).padStart(8),
      String(result.preemptions).padStart(8),
    ].join(" ");
  });
  return [header, ...lines].join("\n");
}

function createDispatcher(
  benchCase: cases.BenchCase,
  strategy: Strategy,
  seed: number,
): simulation.Dispatcher {
  const ownerFaultOption = benchCase.ownerFault ? { ownerFault: benchCase.ownerFault } : {};
  switch (strategy) {
    case "owner":
      return new dispatchers.SchedulerDispatcher({
        arrangement: "owner_per_zone",
        ...ownerFaultOption,
      });
    case "oracle":
      return new dispatchers.SchedulerDispatcher({
        arrangement: "owner_per_zone",
        knowsOutputLengths: true,
      });
    case "global":
      return new dispatchers.SchedulerDispatcher({ arrangement: "global" });
    case "alone":
      return new dispatchers.SchedulerDispatcher({ arrangement: "front_alone" });
    default:
      return new dispatchers.BaselineDispatcher(strategy, seed);
  }
}
