/** Mutations of the code that reads what servers, engines and the store send. */

import type * as mutations from "./mutations.ts";

export const READING_MUTATIONS: readonly mutations.Mutation[] = [
  {
    name: "a blank line that is split between two pieces ends an event",
    file: "packages/gateway/src/event_splitter.ts",
    from: "Math.max(0, searchedBytes - MAX_BLANK_LINE_BYTES)",
    to: "searchedBytes",
    test: "packages/gateway/dist/event_splitter_test.js",
  },
  {
    name: "a connection gives way to other work after its time in a turn",
    file: "packages/core/src/paced_socket.ts",
    from: "now - this.#turnStartedAt < MAX_READ_MS",
    to: "now >= this.#turnStartedAt",
    test: "packages/core/dist/paced_socket_test.js",
  },
  {
    name: "a held connection returns no data",
    file: "packages/core/src/paced_socket.ts",
    from: "if (this.#isHeld || this.#isWaiting) return null;",
    to: "if (this.#isWaiting) return null;",
    test: "packages/core/dist/paced_socket_test.js",
  },
  {
    name: "the body of a refusal of a generation is not read to its end",
    file: "packages/gateway/src/upstream_stream.ts",
    from: "this.#unusedBytes <= answers.MAX_UNUSED_BODY_BYTES",
    to: "this.#unusedBytes >= 0",
    test: "platform/dist/endless_pieces_test.js",
  },
  {
    name: "the body of a refusal of a call is not read to its end",
    file: "packages/gateway/src/call_forwarder.ts",
    from: "this.#unusedBytes <= answers.MAX_UNUSED_BODY_BYTES",
    to: "this.#unusedBytes >= 0",
    test: "platform/dist/endless_pieces_test.js",
  },
  {
    name: "interim answers are limited in number",
    file: "packages/gateway/src/connection_pool.ts",
    from: "status >= FIRST_STATUS && interimAnswers <= MAX_INTERIM_ANSWERS",
    to: "status >= FIRST_STATUS",
    test: "platform/dist/invalid_status_test.js",
  },
  {
    name: "an interim answer is not passed on as the answer",
    file: "packages/gateway/src/connection_pool.ts",
    from: "const FIRST_FINAL_STATUS = 200;",
    to: "const FIRST_FINAL_STATUS = 100;",
    test: "platform/dist/invalid_status_test.js",
  },
  {
    name: "a body that is too large is not collected",
    file: "packages/core/src/byte_collector.ts",
    from: "collector.length + piece.length <= maxBytes",
    to: "piece.length <= maxBytes",
    test: "packages/core/dist/byte_collector_test.js",
  },
  {
    name: "a line without end has a limit",
    file: "packages/core/src/byte_collector.ts",
    from: "this.#incompleteLine.length <= this.#maxLineBytes",
    to: "this.#maxLineBytes > 0",
    test: "packages/core/dist/byte_collector_test.js",
  },
  {
    name: "a stream is paused without pausing its parser",
    file: "packages/engines/src/sse_stream.ts",
    from: "this.#connection.hold();",
    to: "this.#body.pause(); drained.then(() => this.#body.resume());",
    test: "packages/engines/dist/http_engine_client_test.js",
  },
];
