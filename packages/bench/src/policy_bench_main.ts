/** Command line of the policy bench. */

import * as cases from "./cases.ts";
import * as bench from "./policy_bench.ts";
import type * as results from "./results.ts";
import * as workload from "./workload.ts";

const only = process.argv[2];
const seed = Number(process.argv[3] ?? bench.BENCH_SEED);
for (const shape of [workload.createKitamura(), workload.createSparkbank()]) {
  for (const benchCase of cases.BENCH_CASES) {
    if (only !== undefined && only !== "all" && !benchCase.name.startsWith(only)) continue;
    const rows = new Map<bench.Way, results.CaseResult>();
    const startedAt = performance.now();
    for (const way of bench.WAYS) rows.set(way, bench.runCase(benchCase, way, { shape, seed }));
    const elapsed = (performance.now() - startedAt).toFixed(0);
    process.stdout.write(
      `\n${shape.name} ${benchCase.name} (seed ${seed}, ${elapsed} ms)\n` +
        `${bench.formatCase(rows)}\n`,
    );
  }
}
