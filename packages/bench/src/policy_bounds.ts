/** Checks the results of the policy bench against bounds that follow from the stated targets. */

import * as cases from "./cases.ts";
import type * as knownFailures from "./known_failures.ts";
import * as bench from "./policy_bench.ts";
import * as results from "./results.ts";
import * as workload from "./workload.ts";

type StrategyResults = ReadonlyMap<bench.Strategy, results.CaseResult>;

const MAX_FIRST_TOKEN_MS = 1_000;
const MAX_BETWEEN_TOKENS_MS = 35;
const MIN_ON_TIME_SHARE = 0.95;
/** Maximum preemptions and stall time, as a share of those of the best baseline. */
const MAX_BASELINE_SHARE = 0.1;
/** Minimum useful tokens, as a share of those of a scheduler that knows all output lengths. */
const MIN_ORACLE_SHARE = 0.9;
/** Minimum token share of the rank `patient`: its floor of 0.1, less a tolerance of a tenth. */
const MIN_FLOOR_SHARE = 0.09;
/** Maximum ratio of a small workspace's p95 latency with large workspaces to that without them. */
const MAX_SLOWDOWN_RATIO = 1.5;
const MIN_JAIN_INDEX = 0.95;
/** Maximum share of useful tokens lost to a fault, beyond the share in `LOST_SPEED_SHARES`. */
const MAX_FAULT_LOSS_SHARE = 0.05;
/**
 * Minimum ratio of the token rate under higher load to that under lower load, since additional load
 * must not reduce the rate. The difference to 1 allows for noise.
 */
const MIN_RATE_RATIO = 0.98;
/** Time after a shift of output lengths within which requests must be on time again. */
const MAX_RECOVERY_MS = 60_000;
const LENGTH_SHIFT_AT_MS = 30_000;
const TIMELINE_INTERVAL_MS = 10_000;
const BASELINES: readonly bench.Strategy[] = ["round_robin", "least_in_flight", "two_choices"];

/**
 * Share of the fleet's speed that the fault of each case removes, averaged over the run. Each fault
 * starts after a third of the run; the slowdown by a factor of 4 lasts for another third.
 */
const LOST_SPEED_SHARES: Readonly<Record<string, (fleet: workload.SimulatedFleet) => number>> = {
  engine_dies: (fleet) => getEngineSpeedShare(fleet, 3) * 2 / 3,
  engine_reclaimed: (fleet) => getEngineSpeedShare(fleet, 3) * 2 / 3,
  engine_slows_4x: (fleet) => getEngineSpeedShare(fleet, 3) * 3 / 4 / 3,
  owner_dies: () => 0,
  two_owners: () => 0,
  reports_5s_late: () => 0,
};

/** Runs all cases on the Kitamura and Sparkbank fleets; checks the results against all bounds. */
export function checkPolicyBounds(options: { readonly seed: number }): knownFailures.BoundCheck[] {
  const checks: knownFailures.BoundCheck[] = [];
  for (const fleet of [workload.createKitamuraFleet(), workload.createSparkbankFleet()]) {
    const resultsByCase = new Map<string, StrategyResults>();
    for (const benchCase of cases.BENCH_CASES) {
      const strategies: bench.Strategy[] = benchCase.name === "steady"
        ? ["owner", "oracle", ...BASELINES]
        : ["owner", "oracle"];
      const resultsByStrategy = new Map<bench.Strategy, results.CaseResult>();
      for (const strategy of strategies) {
        resultsByStrategy.set(
          strategy,
          bench.runCase(benchCase, strategy, { fleet, seed: options.seed }),
        );
      }
      resultsByCase.set(benchCase.name, resultsByStrategy);
    }
    checks.push(...checkFleet(fleet, resultsByCase));
  }
  return checks;
}

function checkFleet(
  fleet: workload.SimulatedFleet,
  resultsByCase: ReadonlyMap<string, StrategyResults>,
): knownFailures.BoundCheck[] {
  const checks: knownFailures.BoundCheck[] = [];
  const addCheck = (
    name: string,
    measured: number,
    options: { readonly upperBound?: number; readonly lowerBound?: number },
  ) => {
    const { upperBound = Infinity, lowerBound = -Infinity } = options;
    const target = options.upperBound === undefined
      ? `at least ${lowerBound.toFixed(3)}`
      : `at most ${upperBound.toFixed(3)}`;
    checks.push({
      name: `policy/${fleet.name}/${name}`,
      isMet: measured <= upperBound && measured >= lowerBound,
      detail: `measured ${measured.toFixed(3)}, target ${target}`,
    });
  };
  const getOwnerResult = (name: string) => resultsByCase.get(name)!.get("owner")!;
  const getUrgentResult = (name: string) => getOwnerResult(name).ranks.get("urgent")!;
  for (const [name, resultsByStrategy] of resultsByCase) {
    const ownerTokens = resultsByStrategy.get("owner")!.total.windowUsefulTokens;
    const oracleTokens = resultsByStrategy.get("oracle")!.total.windowUsefulTokens;
    addCheck(`${name}/oracle_share`, ownerTokens / oracleTokens, { lowerBound: MIN_ORACLE_SHARE });
  }
  const steadyResults = resultsByCase.get("steady")!;
  const baselineResults = BASELINES.map((strategy) => steadyResults.get(strategy)!);
  const getLowestBaselineValue = (getValue: (result: results.CaseResult) => number) =>
    Math.min(...baselineResults.map(getValue));
  addCheck("steady/first_token", getUrgentResult("steady").firstTokenP95Ms, {
    upperBound: MAX_FIRST_TOKEN_MS,
  });
  addCheck("steady/between_tokens", getUrgentResult("steady").betweenTokensP95Ms, {
    upperBound: MAX_BETWEEN_TOKENS_MS,
  });
  addCheck("steady/preemptions", getOwnerResult("steady").preemptions, {
    upperBound: getLowestBaselineValue((result) => result.preemptions) * MAX_BASELINE_SHARE,
  });
  addCheck("steady/stall", getOwnerResult("steady").total.stallSeconds, {
    upperBound: getLowestBaselineValue((result) => result.total.stallSeconds) * MAX_BASELINE_SHARE,
  });
  addCheck("steady/tokens", getOwnerResult("steady").total.deliveredTokens, {
    lowerBound: Math.max(...baselineResults.map((result) => result.total.deliveredTokens)),
  });
  const steadyTokenRate = getTokenRate(getOwnerResult("steady"));
  addCheck("flood_patient_5x/urgent_on_time", getUrgentResult("flood_patient_5x").onTimeShare, {
    lowerBound: MIN_ON_TIME_SHARE,
  });
  addCheck(
    "flood_patient_5x/busy",
    getTokenRate(getOwnerResult("flood_patient_5x")) / steadyTokenRate,
    {
      lowerBound: MIN_RATE_RATIO,
    },
  );
  for (const name of ["flood_urgent_2x", "flood_urgent_5x", "flood_urgent_20x"]) {
    const patientResult = getOwnerResult(name).ranks.get("patient")!;
    addCheck(
      `${name}/floor`,
      patientResult.windowTokens / getOwnerResult(name).total.windowTokens,
      {
        lowerBound: MIN_FLOOR_SHARE,
      },
    );
    addCheck(`${name}/urgent_on_time`, getUrgentResult(name).onTimeShare, {
      lowerBound: MIN_ON_TIME_SHARE,
    });
    addCheck(`${name}/refusal_wait`, getUrgentResult(name).maxRefusalWaitMs, {
      upperBound: MAX_FIRST_TOKEN_MS,
    });
  }
  addCheck(
    "flood_urgent_20x/goodput",
    getUsefulTokenRate(getOwnerResult("flood_urgent_20x")) /
      getUsefulTokenRate(getOwnerResult("flood_urgent_2x")),
    { lowerBound: MIN_RATE_RATIO },
  );
  for (
    const [name, large] of [["one_large", ["w0"]], ["three_large", ["w0", "w1", "w2"]]] as const
  ) {
    const smallWorkspaces = fleet.workspaces.filter((workspace) =>
      !(large as readonly string[]).includes(workspace)
    );
    const getWorstRatio = (getValue: (group: results.GroupResult) => number) => {
      const ratios = smallWorkspaces.map((workspace) => {
        const key = `${workspace} urgent`;
        const withoutLarge = getOwnerResult(`${name}_absent`).workspaceRanks.get(key)!;
        return getValue(getOwnerResult(name).workspaceRanks.get(key)!) / getValue(withoutLarge);
      });
      return Math.max(...ratios);
    };
    addCheck(`${name}/small_first_token`, getWorstRatio((group) => group.firstTokenP95Ms), {
      upperBound: MAX_SLOWDOWN_RATIO,
    });
    addCheck(`${name}/small_between_tokens`, getWorstRatio((group) => group.betweenTokensP95Ms), {
      upperBound: MAX_SLOWDOWN_RATIO,
    });
    const servedTokens = large.map((workspace) =>
      getOwnerResult(name).workspaces.get(workspace)!.windowTokens
    );
    addCheck(`${name}/jain`, results.computeJainIndex(servedTokens), {
      lowerBound: MIN_JAIN_INDEX,
    });
  }
  const onTimeSharesAfterRecovery = getOwnerResult("length_shift_8x").urgentOnTimeShares
    .slice((LENGTH_SHIFT_AT_MS + MAX_RECOVERY_MS) / TIMELINE_INTERVAL_MS);
  addCheck("length_shift_8x/recovery", Math.min(...onTimeSharesAfterRecovery), {
    lowerBound: MIN_ON_TIME_SHARE,
  });
  const tokensWithoutFault = getOwnerResult("fault_none").total.windowUsefulTokens;
  for (const [name, getLostSpeedShare] of Object.entries(LOST_SPEED_SHARES)) {
    addCheck(
      `${name}/goodput`,
      getOwnerResult(name).total.windowUsefulTokens / tokensWithoutFault,
      {
        lowerBound: 1 - MAX_FAULT_LOSS_SHARE - getLostSpeedShare(fleet),
      },
    );
  }
  return checks;
}

function getTokenRate(result: results.CaseResult): number {
  return result.total.windowTokens / result.windowMs;
}

function getUsefulTokenRate(result: results.CaseResult): number {
  return result.total.windowUsefulTokens / result.windowMs;
}

function getEngineSpeedShare(fleet: workload.SimulatedFleet, engineIndex: number): number {
  const speeds = fleet.engines.map((engine) => 1 / engine.parameters.baseMs);
  return speeds[engineIndex]! / speeds.reduce((sum, speed) => sum + speed, 0);
}
