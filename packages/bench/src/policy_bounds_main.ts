/**
 * Checks the results of the policy bench against their bounds. Exits with 1 if a bound that
 * KNOWN-RED.txt does not list is missed.
 */

import * as knownFailures from "./known_failures.ts";
import * as bench from "./policy_bench.ts";
import * as bounds from "./policy_bounds.ts";

const checks = bounds.checkPolicyBounds({ seed: bench.BENCH_SEED });
process.exitCode = knownFailures.reportChecks(checks) ? 0 : 1;
