/** Mutations of the code that relays and moves generations. */

import type * as mutations from "./mutations.ts";

export const STREAM_MUTATIONS: readonly mutations.Mutation[] = [
  {
    name: "an unframed stream whose engine has exited is broken",
    file: "packages/gateway/src/end_check.ts",
    from: 'if (listener === "refused") return "exited";',
    to: "",
    test: "platform/dist/moved_streams_test.js",
  },
  {
    name: "an unframed stream whose engine has restarted is broken",
    file: "packages/gateway/src/end_check.ts",
    from: 'return hasRestarted ? createLostEnd("engine restarted") : options.end;',
    to: "return options.end;",
    test: "platform/dist/moved_streams_test.js",
  },
  {
    name: "a resumed request names the last event that the caller has received",
    file: "packages/gateway/src/generation_relay.ts",
    from: "lastEventId: deliveredEvents > 0 ? lastEventId : undefined",
    to: "lastEventId: deliveredEvents < 0 ? lastEventId : undefined",
    test: "platform/dist/resumed_streams_test.js",
  },
  {
    name: "garbled events of a resumable stream are not delivered",
    file: "packages/gateway/src/generation_relay.ts",
    from: "if (firstGarbled >= 0) {",
    to: "if (firstGarbled < -1) {",
    test: "platform/dist/resumed_streams_test.js",
  },
  {
    name: "a request that may have run is not refused with 503 when a further engine refuses it",
    file: "packages/gateway/src/stream_forwarder.ts",
    from: 'if (attempts.outcome !== "not_run") return',
    to: 'if (attempts.outcome === "failed") return',
    test: "platform/dist/resumed_streams_test.js",
  },
  {
    name: "generations that are placed together stay within the connection share",
    file: "packages/gateway/src/stream_forwarder.ts",
    from: "context.pool.holdConnection(endpoint.endpoint);",
    to: "context.pool.holdConnection(`${endpoint.endpoint}0` as core.EndpointId);",
    test: "platform/dist/connection_share_test.js",
  },
  {
    name: "an unframed stream that is stopped for a move waits for the result of the copy",
    file: "packages/gateway/src/run_stop.ts",
    from: '(end.type === "whole" && end.isFramed)',
    to: 'end.type === "whole"',
    test: "platform/dist/moved_streams_test.js",
  },
  {
    name: "a prompt with a quarantined part is not sent to engines",
    file: "packages/gateway/src/stream_forwarder.ts",
    from: 'if (this.#isQuarantined(request, now)) return "prompt_quarantined";',
    to: "",
    test: "platform/dist/harmful_part_test.js",
  },
  {
    name: "the stream from the engine is paused while the caller reads slowly",
    file: "packages/gateway/src/generation_relay.ts",
    from: "    upstream.pause();\n",
    to: "",
    test: "platform/dist/limits_test.js",
  },
  {
    name: "a stream that ends in the middle of an event is incomplete",
    file: "packages/gateway/src/upstream_stream.ts",
    from: "if (this.#splitter.pendingBytes > 0 || isUnstarted) {",
    to: "if (isUnstarted) {",
    test: "platform/dist/streams_test.js",
  },
  {
    name: "an engine stops generating when its caller disconnects",
    file: "packages/gateway/src/generation_relay.ts",
    from: "if (!isStoppingRun) this.#upstream.abort(reason);",
    to: "",
    test: "platform/dist/streams_test.js",
  },
];
