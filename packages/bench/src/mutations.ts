/** Mutations of the source code, each with the guarantee it breaks and the test that must fail. */

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
  {
    name: "a prompt with a quarantined part is not sent to engines",
    file: "packages/gateway/src/stream_forwarder.ts",
    from: 'if (this.#isQuarantined(request, now)) return "prompt_quarantined";',
    to: "",
    test: "platform/dist/harmful_part_test.js",
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
    file: "packages/gateway/src/gateway.ts",
    from: ".filter((record) => limitAgent.canSend(record.instance, now));",
    to: ";",
    test: "platform/dist/named_limit_test.js",
  },
  {
    name: "the processes of a fleet divide a limit among them",
    file: "packages/policy/src/endpoint_limits.ts",
    from: "return 1_000 * fleetSize / limit.ratePerS;",
    to: "return 1_000 / limit.ratePerS;",
    test: "packages/policy/dist/endpoint_limits_test.js",
  },
  {
    name: "a call whose bytes may have reached the instance has an unknown outcome",
    file: "packages/gateway/src/call_forwarder.ts",
    from: 'outcome: this.#isSent ? "unknown" : "not_run",',
    to: 'outcome: "not_run",',
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
    from: "    maxResponseSize: MAX_ANSWER_BYTES,\n",
    to: "",
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
    name: "loads of a hub that is gone are withdrawn",
    file: "packages/gateway/src/peer_agent.ts",
    from: "this.#loadExchange.recordUnreachable(process, now);",
    to: "",
    test: "packages/gateway/dist/peer_agent_test.js",
  },
  {
    name: "a status read before a request was not taken brings no grants back",
    file: "packages/policy/src/engine_state.ts",
    from: "const isOutdated = info.statusReadAt <= this.#notTakenAt;",
    to: "const isOutdated = false;",
    test: "packages/policy/dist/scheduler_test.js",
  },
  {
    name: "a process requests a newer configuration from the peer that has it",
    file: "packages/gateway/src/peer_agent.ts",
    from: "this.#sendConfigRequest(link, message.store?.release ?? 0, now);",
    to: "",
    test: "platform/dist/fleet_test.js",
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
    name: "an answer that carries the id of another request is rejected",
    file: "packages/gateway/src/answer_check.ts",
    from: "if (head.request !== undefined && head.request !== request) {",
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
    from: "(this.#connectionCounts.get(endpoint) ?? 0) < maxConnections",
    to: "maxConnections > 0",
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
    file: "packages/gateway/src/gateway.ts",
    from: "this.#frontServer.keepAliveTimeout = limits.idleTimeoutMs;",
    to: "",
    test: "platform/dist/limits_test.js",
  },
  {
    name: "the configured time-out for receiving request headers applies",
    file: "packages/gateway/src/gateway.ts",
    from: "this.#frontServer.headersTimeout = limits.headerTimeoutMs;",
    to: "",
    test: "platform/dist/limits_test.js",
  },
  {
    name: "the stream from the engine is paused while the caller reads slowly",
    file: "packages/gateway/src/generation_relay.ts",
    from: "    upstream.pause();\n",
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
    name: "the release in force never decreases",
    file: "packages/policy/src/config_register.ts",
    from: "if (currentRelease !== undefined && config.release < currentRelease) return false;",
    to: "",
    test: "packages/policy/dist/config_register_test.js",
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
    name: "entries that expire during a store outage are kept for a grace period after it",
    file: "packages/policy/src/instance_directory.ts",
    from: "this.#graceUntil = now + EXPIRED_ENTRY_GRACE_MS;",
    to: "this.#graceUntil = now;",
    test: "packages/policy/dist/instance_directory_test.js",
  },
  {
    name: "an endpoint that closes its connections while the store is unavailable is probed",
    file: "packages/gateway/src/leave_watcher.ts",
    from: "void this.#checkHealth(endpoint);",
    to: "",
    test: "platform/dist/config_test.js",
  },
  {
    name: "retries stay within the retry budget",
    file: "packages/policy/src/window_budget.ts",
    from: "if (this.#retryTimes.length + 1 > allowedRetries * USED_SHARE) return false;",
    to: "if (allowedRetries < 0) return false;",
    test: "packages/policy/dist/window_budget_test.js",
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
  {
    name: "a process reports that it is not ready as soon as it starts to drain",
    file: "packages/gateway/src/gateway.ts",
    from: "return !this.#isDraining && this.#context.config.inForce !== undefined &&",
    to: "return this.#context.config.inForce !== undefined &&",
    test: "platform/dist/forwarding_test.js",
  },
  {
    name: "a draining process waits for its open requests before it exits",
    file: "packages/gateway/src/gateway.ts",
    from: "while (this.#requestHandler.openRequestCount > 0 && clock.now() < drainDeadline) {",
    to: "while (drainDeadline < 0) {",
    test: "platform/dist/forwarding_test.js",
  },
];
