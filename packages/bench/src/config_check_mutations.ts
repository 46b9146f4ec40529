/** Mutations of the check of a routing configuration. */

import type * as mutations from "./mutations.ts";

export const CONFIG_CHECK_MUTATIONS: readonly mutations.Mutation[] = [
  {
    name: "a route whose host has a port is found, because it never matches",
    file: "packages/policy/src/config_check.ts",
    from: "tables.normalizeHost(route.declaredHost) !== route.declaredHost.toLowerCase()",
    to: "tables.normalizeHost(route.declaredHost) === undefined",
    test: "packages/policy/dist/config_check_test.js",
  },
  {
    name: "a comparison shows keys by their hashes only",
    file: "packages/policy/src/config_comparison.ts",
    from: "      checks.computeKeyHash(key),",
    to: "      key,",
    test: "packages/policy/dist/config_comparison_test.js",
  },
  {
    name: "problems of the format do not quote API keys",
    file: "platform/src/config_decoder.ts",
    from: 'issue.message.replace(/ but received .*$/s, "")',
    to: "issue.message",
    test: "platform/dist/config_check_test.js",
  },
];
