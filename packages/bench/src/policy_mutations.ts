/** Mutations of the decisions in `packages/policy`. */

import type * as mutations from "./mutations.ts";

export const POLICY_MUTATIONS: readonly mutations.Mutation[] = [
  {
    name: "no generation starts once the load balancer has noticed a stop",
    file: "packages/policy/src/drain_schedule.ts",
    from: "request.isGeneration && now >= stop.acceptUntil",
    to: "request.isGeneration && now >= stop.answerBy",
    test: "packages/policy/dist/drain_schedule_test.js",
  },
  {
    name: "a confirmation in the future is ignored",
    file: "packages/policy/src/config_register.ts",
    from: "if (answer.ageMs < 0 || answer.sentAt > now) return;",
    to: "",
    test: "packages/policy/dist/config_register_test.js",
  },
  {
    name: "the processes of a fleet divide a limit among them",
    file: "packages/policy/src/endpoint_limits.ts",
    from: "return 1_000 * fleetSize / limit.ratePerS;",
    to: "return 1_000 / limit.ratePerS;",
    test: "packages/policy/dist/endpoint_limits_test.js",
  },
  {
    name: "placements on late reports are spread",
    file: "packages/policy/src/placement_spread.ts",
    from: "1 + Math.floor(unseenStarts)",
    to: "1",
    test: "packages/policy/dist/placement_spread_test.js",
  },
  {
    name: "a hub passes on a report that another hub passed on first",
    file: "packages/policy/src/load_relay.ts",
    from: "if (!isNewlyDirect || isNewer(known.report, report)) return false;",
    to: "return false;",
    test: "packages/policy/dist/load_relay_test.js",
  },
  {
    name: "an older report does not bring loads back",
    file: "packages/policy/src/load_relay.ts",
    from:
      "if (report.incarnation !== known.incarnation) return report.incarnation > known.incarnation;",
    to: "",
    test: "packages/policy/dist/load_relay_test.js",
  },
  {
    name: "a status read before a request was not taken brings no grants back",
    file: "packages/policy/src/engine_state.ts",
    from: "const isOutdated = info.statusReadAt <= this.#notTakenAt;",
    to: "const isOutdated = false;",
    test: "packages/policy/dist/scheduler_test.js",
  },
  {
    name: "after an attempt that may have run, only idempotent requests are retried",
    file: "packages/policy/src/forward_retry.ts",
    from: 'if (attempt.outcome !== "not_run" && attempt.kind !== "idempotent") {',
    to: "if (attempt.ranAttempts > 99) {",
    test: "packages/policy/dist/forward_retry_test.js",
  },
  {
    name: "status 503 is only returned for requests that have not run",
    file: "packages/policy/src/forward_retry.ts",
    from: 'if (outcome === "not_run") return 503;',
    to: "if (!options.isLate) return 503;",
    test: "packages/policy/dist/forward_retry_test.js",
  },
  {
    name: "the release in force never decreases",
    file: "packages/policy/src/config_register.ts",
    from: "if (currentRelease !== undefined && config.release < currentRelease) return false;",
    to: "",
    test: "packages/policy/dist/config_register_test.js",
  },
  {
    name: "large bodies leave a reserve for small requests",
    file: "packages/policy/src/caller_memory.ts",
    from: "totalBytes + this.uncollectedBytes <= this.#budgetBytes * LARGE_SHARE",
    to: "totalBytes <= this.#budgetBytes * 4",
    test: "packages/policy/dist/caller_memory_test.js",
  },
  {
    name: "callers that stand still are closed while others wait for their memory",
    file: "packages/policy/src/caller_memory.ts",
    from: "isShort && stallMs >= PRESSURE_STALL_MS && isLarge(holder)",
    to: "isShort && stallMs < 0",
    test: "packages/policy/dist/caller_memory_test.js",
  },
  {
    name: "entries that expire during a store outage are kept for a grace period after it",
    file: "packages/policy/src/instance_directory.ts",
    from: "this.#graceUntil = now + EXPIRED_ENTRY_GRACE_MS;",
    to: "this.#graceUntil = now;",
    test: "packages/policy/dist/instance_directory_test.js",
  },
  {
    name: "retries stay within the retry budget",
    file: "packages/policy/src/window_budget.ts",
    from: "if (this.#retryTimes.length + 1 > allowedRetries * USED_SHARE) return false;",
    to: "if (allowedRetries < 0) return false;",
    test: "packages/policy/dist/window_budget_test.js",
  },
];
