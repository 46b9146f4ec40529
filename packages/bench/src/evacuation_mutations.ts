/** Mutations of what keeps requests away from evacuated zones. */

import type * as mutations from "./mutations.ts";

export const EVACUATION_MUTATIONS: readonly mutations.Mutation[] = [
  {
    name: "endpoints in evacuated zones are not usable",
    file: "packages/gateway/src/endpoint_selection.ts",
    from: "      .filter((record) => evacuationAgent.isUsable(record));",
    to: "      .filter((record) => evacuationAgent !== undefined && record !== undefined);",
    test: "platform/dist/evacuation_test.js",
  },
  {
    name: "a request does not go out to an endpoint that may not be used any more",
    file: "packages/gateway/src/connection_pool.ts",
    from: "request.canStart?.() === false",
    to: "request.canStart === undefined && abortReason !== undefined",
    test: "packages/gateway/dist/connection_pool_test.js",
  },
  {
    name: "a stopped generation does not continue at a source in an evacuated zone",
    file: "packages/gateway/src/hand_over_fallback.ts",
    from: "if (evacuationAgent.isUsable(planned)) return",
    to: "if (planned !== undefined) return",
    test: "platform/dist/evacuated_streams_test.js",
  },
  {
    name: "a hand-over does not continue at a target whose zone was evacuated",
    file: "packages/gateway/src/hand_over_fallback.ts",
    from: "const planned = isComplete ? target : source;",
    to:
      "const planned = isComplete ? target : source;\n  if (isComplete) return { endpoint: target, handle };",
    test: "platform/dist/evacuated_streams_test.js",
  },
  {
    name: "the revision of a peer that reports no evacuations is not adopted",
    file: "packages/gateway/src/gateway.ts",
    from: "reportTiming.isContinuous && entries !== undefined",
    to: "reportTiming.isContinuous",
    test: "packages/gateway/dist/evacuation_peer_test.js",
  },
  {
    name: "reports between processes carry evacuations",
    file: "packages/gateway/src/gateway.ts",
    from: "evacuations: this.#context.evacuationAgent.listEntries(),",
    to: "evacuations: [],",
    test: "platform/dist/evacuation_fleet_test.js",
  },
];
