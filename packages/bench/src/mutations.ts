/** Mutations of the source code, each with the guarantee it breaks and the test that must fail. */

import * as configCheckMutations from "./config_check_mutations.ts";
import * as evacuationMutations from "./evacuation_mutations.ts";
import * as policyMutations from "./policy_mutations.ts";
import * as readingMutations from "./reading_mutations.ts";
import * as streamMutations from "./stream_mutations.ts";

/** A change to one place of the source code that breaks a guarantee. */
export interface Mutation {
  /** Guarantee that the mutation breaks. */
  readonly name: string;
  /** Source file, relative to the root of the repository. */
  readonly file: string;
  /** Text to replace, which occurs exactly once in the file. */
  readonly from: string;
  readonly to: string;
  /** Compiled test that must fail, relative to the root of the repository. */
  readonly test: string;
}

export const MUTATIONS: readonly Mutation[] = [
  ...policyMutations.POLICY_MUTATIONS,
  ...evacuationMutations.EVACUATION_MUTATIONS,
  ...configCheckMutations.CONFIG_CHECK_MUTATIONS,
  ...readingMutations.READING_MUTATIONS,
  ...streamMutations.STREAM_MUTATIONS,
  {
    name: "a request goes on a connection at most once",
    file: "packages/gateway/src/connection_pool.ts",
    from: "!avoidedConnections.has(id)",
    to: "id !== undefined",
    test: "platform/dist/run_once_test.js",
  },
  {
    name: "a request that cannot be read does not answer the one before it",
    file: "packages/gateway/src/front_server.ts",
    from: "openAnswer !== undefined && socket.writable",
    to: "openAnswer !== undefined && socket.destroyed",
    test: "platform/dist/run_once_test.js",
  },
  {
    name: "control calls to engines have a connection of their own",
    file: "platform/src/engine_client.ts",
    from: "pipelining: 0",
    to: "pipelining: 1",
    test: "platform/dist/engine_answers_test.js",
  },
  {
    name: "starts of generations have a connection of their own",
    file: "packages/engines/src/http_engine_client.ts",
    from: "const connection = new streamConnections.StreamConnection(endpoint, this.#connect);",
    to: `const key = "shared of " + endpoint;
      const connection: streamConnections.StreamConnection = Reflect.get(globalThis, key) ??
        new streamConnections.StreamConnection(endpoint, this.#connect);
      Reflect.set(globalThis, key, connection);`,
    test: "packages/engines/dist/http_engine_client_test.js",
  },
  {
    name: "a call without a caller ends at its deadline",
    file: "packages/gateway/src/open_request.ts",
    from: "// A call that goes on without its caller still ends at its deadline.",
    to: "clearTimeout(this.#deadlineTimer);",
    test: "platform/dist/stuck_calls_test.js",
  },
  {
    name: "a request that has its answer gets no second one",
    file: "packages/gateway/src/front_server.ts",
    from: "connection?.lastRequest?.complete === false",
    to: "connection === undefined",
    test: "platform/dist/second_head_test.js",
  },
  {
    name: "an endpoint that asked for a pause gets nothing",
    file: "packages/gateway/src/signal_agent.ts",
    from: "return !this.isHeldOff(endpoint) && this",
    to: "return this",
    test: "platform/dist/endpoint_signals_test.js",
  },
  {
    name: "a failed stream without chunks ends with a reset",
    file: "packages/gateway/src/open_request.ts",
    from: "this.#response.socket?.resetAndDestroy();",
    to: "",
    test: "platform/dist/second_head_test.js",
  },
  {
    name: "a call without a caller follows a shortened time-out",
    file: "packages/gateway/src/open_request.ts",
    from: "this.end !== undefined && !this.isCallerGone",
    to: "this.end !== undefined",
    test: "platform/dist/stuck_calls_test.js",
  },
  {
    name: "a failure after the head of an answer breaks the stream off",
    file: "packages/gateway/src/open_request.ts",
    from: "outcome: problem.outcome };\n    if (this.isHeadSent) return this.#abortStarted(end);",
    to: "outcome: problem.outcome };",
    test: "platform/dist/moved_streams_test.js",
  },
  {
    name: "an answer without a request id proves nothing on a reused connection",
    file: "packages/gateway/src/answer_check.ts",
    from: "head.request === undefined && request.isConnectionReused",
    to: "head.request === undefined && request.id === undefined",
    test: "packages/gateway/dist/answer_check_test.js",
  },
  {
    name: "a request behind an answer that ends its connection does not run",
    file: "packages/gateway/src/front_server.ts",
    from: "if (connection.hasLastAnswer) return false;",
    to: "",
    test: "platform/dist/planned_stop_test.js",
  },
  {
    name: "a planned stop leaves connections open whose answer is still being sent",
    file: "packages/gateway/src/front_server.ts",
    from: "if (connection.openAnswers.size > 0) continue;",
    to: "",
    test: "platform/dist/planned_stop_test.js",
  },
  {
    name: "answers that are open at a planned stop announce the end of their connection",
    file: "packages/gateway/src/front_server.ts",
    from: "if (answer !== undefined) closeAfterAnswer(connection, answer);",
    to: "",
    test: "platform/dist/planned_stop_test.js",
  },
  {
    name: "a probe that fails does not end the process",
    file: "packages/core/src/background_task.ts",
    from: "run().catch((error: unknown) => writeFailure(name, error, logger));",
    to: "void run();",
    test: "packages/core/dist/background_task_test.js",
  },
  {
    name: "an engine's state report has the expected form",
    file: "platform/src/engine_client.ts",
    from: "return report.success ? report.output : undefined;",
    to: "return report.success ? report.output : {};",
    test: "platform/dist/engine_answers_test.js",
  },
  {
    name: "a malformed message of a peer closes its link only",
    file: "packages/gateway/src/peer_agent.ts",
    from: "      link.close();\n    }\n  }",
    to: "      throw error;\n    }\n  }",
    test: "packages/gateway/dist/peer_restart_test.js",
  },
  {
    name: "a planned stop refuses generations that cannot end in time",
    file: "packages/gateway/src/gateway.ts",
    from: "this.#requestHandler.applyStop(schedule, startedAt);",
    to: "",
    test: "platform/dist/planned_stop_test.js",
  },
  {
    name: "a process gets no receipts for its predecessor's reports",
    file: "packages/gateway/src/last_reports.ts",
    from: "lastReport?.incarnation === peer.incarnation ? lastReport : undefined",
    to: "lastReport",
    test: "packages/gateway/dist/peer_restart_test.js",
  },
  {
    name: "a receipt for the report of another process is not used",
    file: "packages/gateway/src/last_reports.ts",
    from: "receipt === undefined || receipt.incarnation !== this.#ownIncarnation",
    to: "receipt === undefined",
    test: "packages/gateway/dist/peer_restart_test.js",
  },
  {
    name: "quarantines outlive a restart of all processes",
    file: "packages/gateway/src/quarantine_agent.ts",
    from: "for (const stored of listing.quarantines) {",
    to: "for (const stored of listing.quarantines.slice(0, 0)) {",
    test: "platform/dist/harmful_part_test.js",
  },
  {
    name: "processes share the evidence of crashes",
    file: "packages/gateway/src/gateway.ts",
    from: "this.#context.quarantineAgent.applyNews(report.quarantine, now);",
    to: "",
    test: "platform/dist/harmful_part_test.js",
  },
  {
    name: "no process exceeds its share of a limit that an endpoint names",
    file: "packages/gateway/src/endpoint_selection.ts",
    from: ".filter((record) => signalAgent.canSend(record, now));",
    to: ";",
    test: "platform/dist/named_limit_test.js",
  },
  {
    name: "a call whose bytes may have reached the instance has an unknown outcome",
    file: "packages/gateway/src/call_forwarder.ts",
    from: 'this.#connectionUse === undefined ? "not_run" : "unknown", report',
    to: '"not_run", report',
    test: "platform/dist/late_delivery_test.js",
  },
  {
    name: "linked peers learn the addresses of processes that join later",
    file: "packages/gateway/src/peer_agent.ts",
    from: "this.#addPeers(message.peers, false);",
    to: "",
    test: "platform/dist/fleet_test.js",
  },
  {
    name: "an endless answer of the store is cut off",
    file: "platform/src/store_client.ts",
    from: "      ...call,\n      maxAnswerBytes: MAX_ANSWER_BYTES,\n",
    to: "      ...call,\n      maxAnswerBytes: Infinity,\n",
    test: "platform/dist/endless_answers_test.js",
  },
  {
    name: "an engine's stream without events is cut off",
    file: "packages/engines/src/sse_stream.ts",
    from: "if (this.#bytesSinceEvent > MAX_BYTES_BETWEEN_EVENTS) {",
    to: "if (this.#bytesSinceEvent < 0) {",
    test: "packages/engines/dist/sse_stream_test.js",
  },
  {
    name: "loads of a hub that is gone are withdrawn",
    file: "packages/gateway/src/peer_agent.ts",
    from: "this.#loadExchange.recordUnreachable(process, now);",
    to: "",
    test: "packages/gateway/dist/peer_agent_test.js",
  },
  {
    name: "a process requests a newer configuration from the peer that has it",
    file: "packages/gateway/src/peer_agent.ts",
    from: "this.#sendConfigRequest(link, message.store?.release ?? 0, now);",
    to: "",
    test: "platform/dist/fleet_test.js",
  },
  {
    name: "an answer that carries the id of another request is rejected",
    file: "packages/gateway/src/answer_check.ts",
    from: "if (head.request !== undefined && head.request !== request.id) {",
    to: 'if (head.request === "none") {',
    test: "packages/gateway/dist/answer_check_test.js",
  },
  {
    name: "an answer without a length is incomplete if its connection is reset",
    file: "packages/gateway/src/connection_pool.ts",
    from: "if (!isUnframed || !this.#isBroken) return void listener.onEnd();",
    to: "if (isUnframed || !isUnframed) return void listener.onEnd();",
    test: "packages/gateway/dist/connection_pool_test.js",
  },
  {
    name: "the number of connections to an endpoint stays within the process's share",
    file: "packages/gateway/src/connection_pool.ts",
    from: "const unusedCount = idleCount + Math.max(0, maxConnections - countConnections());",
    to: "const unusedCount = idleCount + maxConnections;",
    test: "packages/gateway/dist/connection_pool_test.js",
  },
  {
    name: "an instance that rejects a request as misdirected receives no further requests",
    file: "packages/gateway/src/call_forwarder.ts",
    from: 'result.type === "no_answer" && result.reason === "misdirected"',
    to: 'result.type === "no_answer" && result.reason === "never"',
    test: "platform/dist/forwarding_test.js",
  },
  {
    name: "requests whose headers exceed the configured size limit are rejected",
    file: "packages/gateway/src/request_handler.ts",
    from: "computeHeadBytes(request) > limits.maxHeaderBytes",
    to: "computeHeadBytes(request) > 64 * limits.maxHeaderBytes",
    test: "platform/dist/limits_test.js",
  },
  {
    name: "the configured idle time-out applies to callers' connections",
    file: "packages/gateway/src/front_server.ts",
    from: "this.#server.keepAliveTimeout = limits.idleTimeoutMs;",
    to: "",
    test: "platform/dist/limits_test.js",
  },
  {
    name: "the configured time-out for receiving request headers applies",
    file: "packages/gateway/src/front_server.ts",
    from: "this.#server.headersTimeout = limits.headerTimeoutMs;",
    to: "",
    test: "platform/dist/limits_test.js",
  },
  {
    name: "with strict revocation, an API key requires a recently confirmed configuration",
    file: "packages/gateway/src/request_handler.ts",
    from: "context.config.getConfirmAgeMs(context.clock.now()) > maxAgeMs;",
    to: "context.config.getConfirmAgeMs(context.clock.now()) > 1e9 * maxAgeMs;",
    test: "platform/dist/store_faults_test.js",
  },
  {
    name: "the clock includes time during which the machine is suspended",
    file: "packages/core/src/pause_aware_clock.ts",
    from: "if (wallLeadMs > PAUSE_THRESHOLD_MS) this.#pausedMs += wallLeadMs;",
    to: "",
    test: "packages/core/dist/pause_aware_clock_test.js",
  },
  {
    name: "a watch event does not confirm the configuration as current",
    file: "packages/gateway/src/store_agent.ts",
    from: 'this.#adoptConfig(change.config, { sentAt: -Infinity, from: "watch" })',
    to: 'this.#adoptConfig(change.config, { sentAt: now, from: "watch" })',
    test: "platform/dist/store_faults_test.js",
  },
  {
    name: "a stalled watch, which delivers no events, is detected",
    file: "packages/gateway/src/store_agent.ts",
    from: "    this.#checkWatchProgress(reading.value.storeRevision, now);\n",
    to: "",
    test: "platform/dist/config_test.js",
  },
  {
    name: "after a failed watch, the stored entries are listed again",
    file: "packages/gateway/src/store_agent.ts",
    from: "    this.#watchedRevision = undefined;\n",
    to: "",
    test: "platform/dist/store_faults_test.js",
  },
  {
    name: "an endpoint that closes its connections while the store is unavailable is probed",
    file: "packages/gateway/src/leave_watcher.ts",
    from: 'core.startTask("check_health", () => this.#checkHealth(endpoint), context.logger);',
    to: "",
    test: "platform/dist/config_test.js",
  },
  {
    name: "stream events delivered before a hand-over are not delivered again",
    file: "packages/gateway/src/event_splitter.ts",
    from:
      "return Number.isNaN(eventId) || Number.isNaN(lastDeliveredId) || eventId > lastDeliveredId;",
    to: "return true;",
    test: "platform/dist/streams_test.js",
  },
  {
    name: "a process reports that it is not ready as soon as it starts to drain",
    file: "packages/gateway/src/gateway.ts",
    from: "return !this.#isDraining && this.#context.config.inForce !== undefined &&",
    to: "return this.#context.config.inForce !== undefined &&",
    test: "platform/dist/forwarding_test.js",
  },
  {
    name: "a body that is announced as too large is not read",
    file: "packages/gateway/src/body_reader.ts",
    from: "if ((this.#announcedBytes ?? 0) > maxBodyBytes) {",
    to: "if (maxBodyBytes < 0) {",
    test: "platform/dist/caller_memory_test.js",
  },
  {
    name: "a body that waited for memory is read on",
    file: "packages/gateway/src/body_reader.ts",
    from: "incoming.socket.resume();",
    to: "",
    test: "platform/dist/caller_memory_test.js",
  },
  {
    name: "a draining process waits for its open requests before it exits",
    file: "packages/gateway/src/gateway.ts",
    from: "while (hasWork() && clock.now() < schedule.closeBy) {",
    to: "while (schedule.closeBy < 0) {",
    test: "platform/dist/forwarding_test.js",
  },
];
