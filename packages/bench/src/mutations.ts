/** Lines that keep a promise, each with the test that must fail without it. */

/** A change of one place that breaks a promise. */
export interface Mutation {
  /** What is lost with the line. */
  readonly name: string;
  /** Source file, from the root of the repository. */
  readonly file: string;
  /** Text that stands there once. */
  readonly from: string;
  readonly to: string;
  /** Test that must fail, as it is built. */
  readonly test: string;
}

/** Every mutation that is tried. */
export const MUTATIONS: readonly Mutation[] = [
  {
    name: "a call whose bytes may have arrived counts as sent",
    file: "packages/gateway/src/call_forwarder.ts",
    from: 'outcome: this.#isSent ? "unknown" : "not_run",',
    to: 'outcome: "not_run",',
    test: "platform/dist/late_test.js",
  },
  {
    name: "a process that comes later is made known to all",
    file: "packages/gateway/src/peer_agent.ts",
    from: "for (const target of message.peers) this.#recordPeer(target, false);",
    to: "",
    test: "platform/dist/fleet_test.js",
  },
  {
    name: "a newer configuration is asked for at the process that has it",
    file: "packages/gateway/src/peer_agent.ts",
    from: "this.#sendConfigRequest(link, message.store?.release ?? 0, now);",
    to: "",
    test: "platform/dist/fleet_test.js",
  },
  {
    name: "only idempotent requests are sent again after they may have run",
    file: "packages/policy/src/forward_retry.ts",
    from: 'if (attempt.outcome !== "not_run" && attempt.kind !== "idempotent") {',
    to: "if (attempt.ranAttempts > 99) {",
    test: "packages/policy/dist/forward_retry_test.js",
  },
  {
    name: "503 only for what has not run",
    file: "packages/policy/src/forward_retry.ts",
    from: 'if (outcome === "not_run") return 503;',
    to: "if (!options.isLate) return 503;",
    test: "packages/policy/dist/forward_retry_test.js",
  },
  {
    name: "an answer belongs to its request",
    file: "packages/gateway/src/answer_check.ts",
    from: "if (head.request !== undefined && head.request !== request) {",
    to: 'if (head.request === "none") {',
    test: "packages/gateway/dist/answer_check_test.js",
  },
  {
    name: "an answer without length that was reset is not whole",
    file: "packages/gateway/src/connection_pool.ts",
    from: "if (!isUnframed || !this.#isBroken) return void listener.onEnd();",
    to: "if (isUnframed || !isUnframed) return void listener.onEnd();",
    test: "packages/gateway/dist/connection_pool_test.js",
  },
  {
    name: "connections to an endpoint stay within the own part",
    file: "packages/gateway/src/connection_pool.ts",
    from: "(this.#openCounts.get(endpoint) ?? 0) < maxOpen",
    to: "maxOpen > 0",
    test: "packages/gateway/dist/connection_pool_test.js",
  },
  {
    name: "a misdirected instance gets nothing more",
    file: "packages/gateway/src/call_forwarder.ts",
    from: 'result.type === "no_answer" && result.reason === "misdirected"',
    to: 'result.type === "no_answer" && result.reason === "never"',
    test: "platform/dist/forwarding_test.js",
  },
  {
    name: "the configuration's bound on heads",
    file: "packages/gateway/src/request_handler.ts",
    from: "computeHeadBytes(request) > limits.maxHeaderBytes",
    to: "computeHeadBytes(request) > 64 * limits.maxHeaderBytes",
    test: "platform/dist/limits_test.js",
  },
  {
    name: "the configuration's idle time of callers' connections",
    file: "packages/gateway/src/gateway.ts",
    from: "this.#frontServer.keepAliveTimeout = limits.idleTimeoutMs;",
    to: "",
    test: "platform/dist/limits_test.js",
  },
  {
    name: "the configuration's time for a head",
    file: "packages/gateway/src/gateway.ts",
    from: "this.#frontServer.headersTimeout = limits.headerTimeoutMs;",
    to: "",
    test: "platform/dist/limits_test.js",
  },
  {
    name: "a slow reader holds its engine back",
    file: "packages/gateway/src/generation_relay.ts",
    from: "    upstream.pause();\n",
    to: "",
    test: "platform/dist/limits_test.js",
  },
  {
    name: "no key passes on an old configuration",
    file: "packages/gateway/src/request_handler.ts",
    from: "context.config.getConfirmAgeMs(context.clock.now()) > maxAgeMs;",
    to: "context.config.getConfirmAgeMs(context.clock.now()) > 1e9 * maxAgeMs;",
    test: "platform/dist/store_faults_test.js",
  },
  {
    name: "time counts while the machine is suspended",
    file: "packages/core/src/pause_aware_clock.ts",
    from: "if (aheadMs > PAUSE_THRESHOLD_MS) this.#pausedMs += aheadMs;",
    to: "",
    test: "packages/core/dist/pause_aware_clock_test.js",
  },
  {
    name: "releases do not fall",
    file: "packages/policy/src/config_register.ts",
    from: "if (current !== undefined && config.release < current) return false;",
    to: "",
    test: "packages/policy/dist/config_register_test.js",
  },
  {
    name: "news confirm nothing",
    file: "packages/gateway/src/store_agent.ts",
    from: 'this.#adoptConfig(change.config, { sentAt: -Infinity, from: "watch" })',
    to: 'this.#adoptConfig(change.config, { sentAt: now, from: "watch" })',
    test: "platform/dist/store_faults_test.js",
  },
  {
    name: "a watch that hears nothing is found out",
    file: "packages/gateway/src/store_agent.ts",
    from: "    this.#checkWatchProgress(reading.value.storeRevision, now);\n",
    to: "",
    test: "platform/dist/config_test.js",
  },
  {
    name: "a watch that was cut leads to a listing",
    file: "packages/gateway/src/store_agent.ts",
    from: "    this.#watchedRevision = undefined;\n",
    to: "",
    test: "platform/dist/store_faults_test.js",
  },
  {
    name: "entries that lapsed with the store have a grace",
    file: "packages/policy/src/instance_directory.ts",
    from: "this.#graceUntil = now + EXPIRED_ENTRY_GRACE_MS;",
    to: "this.#graceUntil = now;",
    test: "packages/policy/dist/instance_directory_test.js",
  },
  {
    name: "a server that closes its connections is asked while the store is away",
    file: "packages/gateway/src/leave_watcher.ts",
    from: "void this.#checkHealth(endpoint);",
    to: "",
    test: "platform/dist/config_test.js",
  },
  {
    name: "repeats stay within the bound",
    file: "packages/policy/src/window_budget.ts",
    from: "if (this.#retryTimes.length + 1 > allowed * USED_SHARE) return false;",
    to: "if (allowed < 0) return false;",
    test: "packages/policy/dist/window_budget_test.js",
  },
  {
    name: "events that came before a hand-over do not come again",
    file: "packages/gateway/src/generation_relay.ts",
    from: "return Number.isNaN(id) || Number.isNaN(last) || id > last;",
    to: "return true;",
    test: "platform/dist/streams_test.js",
  },
  {
    name: "a stream that ends within an event is not whole",
    file: "packages/gateway/src/upstream_stream.ts",
    from: "if (this.#splitter.pendingBytes > 0) {",
    to: "if (this.#splitter.pendingBytes < 0) {",
    test: "platform/dist/streams_test.js",
  },
  {
    name: "an engine stops when its caller leaves",
    file: "packages/gateway/src/generation_relay.ts",
    from: "if (!isHandingOver) this.#upstream.abort(reason);",
    to: "",
    test: "platform/dist/streams_test.js",
  },
  {
    name: "unready at once when stopped",
    file: "packages/gateway/src/gateway.ts",
    from: "return !this.#isDraining && this.#context.config.inForce !== undefined &&",
    to: "return this.#context.config.inForce !== undefined &&",
    test: "platform/dist/forwarding_test.js",
  },
  {
    name: "open requests end before the process does",
    file: "packages/gateway/src/gateway.ts",
    from: "while (this.#handler.openCount > 0 && clock.now() < drainDeadline) {",
    to: "while (drainDeadline < 0) {",
    test: "platform/dist/forwarding_test.js",
  },
];
