/** Runs the policy bench: `policy_bench_main.js [CASE_PREFIX|all] [SEED]`. */

import * as cases from "./cases.ts";
import * as bench from "./policy_bench.ts";
import type * as results from "./results.ts";
import * as workload from "./workload.ts";

const casePrefix = process.argv[2];
const seed = Number(process.argv[3] ?? bench.BENCH_SEED);
for (const fleet of [workload.createKitamuraFleet(), workload.createSparkbankFleet()]) {
  for (const benchCase of cases.BENCH_CASES) {
    if (
      casePrefix !== undefined && casePrefix !== "all" && !benchCase.name.startsWith(casePrefix)
    ) continue;
    const resultsByStrategy = new Map<bench.Strategy, results.CaseResult>();
    const startedAt = performance.now();
    for (const strategy of bench.STRATEGIES) {
      resultsByStrategy.set(strategy, bench.runCase(benchCase, strategy, { fleet, seed }));
    }
    const elapsedMs = (performance.now() - startedAt).toFixed(0);
    process.stdout.write(
      `\n${fleet.name} ${benchCase.name} (seed ${seed}, ${elapsedMs} ms)\n` +
        `${bench.formatCase(resultsByStrategy)}\n`,
    );
  }
}
