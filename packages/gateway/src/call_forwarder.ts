/**
 * Forwards calls to plain services and retries those that failed, where that is safe. Each
 * answer is read completely before any of it is sent to the caller, so that an answer that
 * breaks off can still be retried or reported with a proper status.
 */

import type * as core from "@peridotvale/core";
import * as policy from "@peridotvale/policy";
import * as answers from "./answer_check.ts";
import * as collectors from "./answer_collector.ts";
import type * as codec from "./codec.ts";
import type * as pools from "./connection_pool.ts";
import type * as contexts from "./gateway_context.ts";
import type * as requests from "./open_request.ts";
import * as problems from "./problems.ts";
import * as retries from "./retry_decision.ts";

/** An endpoint's answer, read completely. */
interface CompleteAnswer {
  readonly status: number;
  readonly headers: codec.RawHeaders;
  readonly body: Buffer;
  /** Whether the endpoint closes the connection after the answer, as a leaving endpoint does. */
  readonly isClosing: boolean;
}

type AttemptResult =
  | { readonly type: "answer"; readonly answer: CompleteAnswer }
  | {
    readonly type: "no_answer";
    readonly outcome: core.FailureOutcome;
    readonly report: policy.AttemptReport;
    readonly reason: string;
    /** The connection that the request was sent on; undefined if it was not sent. */
    readonly connectionUse: pools.ConnectionUse | undefined;
  };

/** Summary of a request's attempts so far. */
interface AttemptHistory {
  readonly triedInstances: Set<core.InstanceId>;
  /** Number of attempts that may have run. */
  ranAttempts: number;
  /** Number of attempts that are known not to have run. */
  refusedAttempts: number;
  /** Combined outcome of all attempts. */
  outcome: core.FailureOutcome;
  /** The last answer with a server error, which is sent to the caller if no retry succeeds. */
  errorAnswer: CompleteAnswer | undefined;
  lastFailureReason: string;
}

/** Maximum size of an answer's body; an attempt with a larger answer fails as broken. */
const MAX_ANSWER_BYTES = 8 * 1024 * 1024;
const SERVER_ERROR_STATUS = 500;

/** Forwards calls to endpoints and retries them within the retry budget. */
export class CallForwarder {
  readonly #context: contexts.GatewayContext;

  constructor(context: contexts.GatewayContext) {
    this.#context = context;
  }

  /** Forwards `request` and retries it as needed; resolves when the request has ended. */
  async serve(request: requests.OpenRequest, routed: requests.RoutedRequest): Promise<void> {
    const history: AttemptHistory = {
      triedInstances: new Set(),
      ranAttempts: 0,
      refusedAttempts: 0,
      outcome: "not_run",
      errorAnswer: undefined,
      lastFailureReason: "no_endpoint",
    };
    this.#context.getRetryBudget(routed.service).recordRequest(this.#context.clock.now());
    for (;;) {
      const endpoint = this.#chooseEndpoint(routed, history);
      if (endpoint === undefined) break;
      const result = await this.#send(request, routed, { endpoint, history });
      if (request.end !== undefined) return;
      if (result.type === "answer") return this.#relay(request, routed, result.answer);
      this.#recordResult(history, result);
      const { outcome, reason, connectionUse } = result;
      const attempt = { ...history, endpoint, outcome, reason, connectionUse };
      if (!retries.decideRetry(this.#context, request, { routed, attempt })) break;
    }
    this.#answerFailure(request, routed, history);
  }

  #chooseEndpoint(
    routed: requests.RoutedRequest,
    history: AttemptHistory,
  ): core.EndpointRecord | undefined {
    return this.#context.callPlacement.chooseEndpoint(
      this.#context.listEndpoints(routed.service),
      this.#context.clock.now(),
      {
        zone: this.#context.settings.zone,
        random: this.#context.random,
        avoid: history.triedInstances,
      },
    );
  }

  #recordResult(history: AttemptHistory, result: AttemptResult & { type: "no_answer" }): void {
    history.lastFailureReason = result.reason;
    history.outcome = policy.mergeOutcomes(history.outcome, result.outcome);
    if (result.outcome === "not_run") history.refusedAttempts += 1;
    else history.ranAttempts += 1;
  }

  #send(
    request: requests.OpenRequest,
    routed: requests.RoutedRequest,
    options: { readonly endpoint: core.EndpointRecord; readonly history: AttemptHistory },
  ): Promise<AttemptResult> {
    const { endpoint, history } = options;
    history.triedInstances.add(endpoint.instance);
    request.endpoint = endpoint;
    const startedAt = this.#context.clock.now();
    this.#context.callPlacement.recordStart(endpoint.instance, startedAt);
    this.#context.limitAgent.recordSend(endpoint, startedAt);
    return new Promise((resolve) => {
      const call = new CallExchange({
        request,
        codec: this.#context.codec,
        onAnswerHead: (head) => this.#context.signalAgent.recordAnswer(endpoint, head, startedAt),
        onEnd: (result) => {
          clearTimeout(timer);
          request.setCancelHandler(undefined);
          const report = result.type === "answer"
            ? result.answer.status >= SERVER_ERROR_STATUS ? "failed" as const : "answered" as const
            : result.report;
          if (result.type === "answer" && result.answer.isClosing) {
            this.#context.recordClosingAnswer(endpoint);
          }
          const now = this.#context.clock.now();
          this.#context.callPlacement.recordEnd(endpoint.instance, report, { startedAt, now });
          this.#context.limitAgent.recordEnd(endpoint, report, startedAt);
          if (result.type === "no_answer" && result.reason === "misdirected") {
            this.#context.publishChanges(
              this.#context.directory.recordMisdirected(endpoint.instance, now),
            );
          }
          const { connectionUse } = call;
          resolve(this.#convertServerError(routed, history, { result, connectionUse }));
        },
      });
      const scheduleCheck = (): NodeJS.Timeout | undefined => {
        const attempt = createOpenAttempt(request, routed, history);
        const waitMs = policy.computeEarlyRetryWaitMs(attempt, this.#context.clock.now());
        if (waitMs === undefined) return undefined;
        return setTimeout(() => {
          if (this.#isRetryDue(request, routed, history)) call.abort("silent");
          else timer = scheduleCheck();
        }, waitMs);
      };
      let timer = scheduleCheck();
      request.setCancelHandler((reason) => {
        if (reason === "timeout") return call.abort("timeout");
        // A non-idempotent call continues without its caller, so that it runs to a definite end.
        if (routed.route.kind === "idempotent") call.abort("caller_gone");
      });
      const headers = this.#context.codec.encodeRequest(request.headers, {
        remainingMs: request.getEndpointTimeoutMs(startedAt),
        instance: endpoint.instance,
        workspace: routed.workspace,
        urgency: undefined,
        memory: undefined,
      });
      const { evacuationAgent } = this.#context;
      const canStart = () => evacuationAgent.isUsable(endpoint);
      const wireRequest = request.createWireRequest(headers, canStart);
      call.start(this.#context.pool.send(endpoint.endpoint, wireRequest, call));
    });
  }

  /** Whether the open attempt of `request` is to end now for a retry elsewhere. */
  #isRetryDue(
    request: requests.OpenRequest,
    routed: requests.RoutedRequest,
    history: AttemptHistory,
  ): boolean {
    const now = this.#context.clock.now();
    const budget = this.#context.getRetryBudget(routed.service);
    const means = {
      hasEndpoint: this.#chooseEndpoint(routed, history) !== undefined,
      hasBudget: budget.canRetry(now, this.#context.getProcessCount()),
    };
    return policy.isEndedEarly(createOpenAttempt(request, routed, history), means, now);
  }

  /**
   * Converts a server error that answers an idempotent call to a failed attempt, because the
   * call may succeed at another endpoint. Returns other results unchanged.
   */
  #convertServerError(
    routed: requests.RoutedRequest,
    history: AttemptHistory,
    ended: {
      readonly result: AttemptResult;
      readonly connectionUse: pools.ConnectionUse | undefined;
    },
  ): AttemptResult {
    const { result, connectionUse } = ended;
    if (result.type !== "answer" || routed.route.kind !== "idempotent") return result;
    if (result.answer.status < SERVER_ERROR_STATUS) return result;
    history.errorAnswer = result.answer;
    return {
      type: "no_answer",
      outcome: "failed",
      report: "failed",
      reason: `status_${result.answer.status}`,
      connectionUse,
    };
  }

  #relay(
    request: requests.OpenRequest,
    routed: requests.RoutedRequest,
    answer: CompleteAnswer,
  ): void {
    if (problems.isNotRunStatus(answer.status) && routed.route.kind !== "idempotent") {
      return request.sendProblem(problems.createRequestProblem(502, "endpoint_failed", {
        outcome: "unknown",
        detail: `the endpoint answered ${answer.status} and may have run the request`,
      }));
    }
    const outcome = answer.status < SERVER_ERROR_STATUS ? "completed" as const : "failed" as const;
    request.sendAnswer(answer, { status: answer.status, reason: "answered", outcome });
  }

  #answerFailure(
    request: requests.OpenRequest,
    routed: requests.RoutedRequest,
    history: AttemptHistory,
  ): void {
    if (history.errorAnswer !== undefined) return this.#relay(request, routed, history.errorAnswer);
    // A time-out may fire slightly before the clock reaches the deadline.
    const isLate = history.lastFailureReason === "timeout" ||
      request.getRemainingMs(this.#context.clock.now()) <= 0;
    const status = policy.chooseFailureStatus(history.outcome, { isLate });
    const now = this.#context.clock.now();
    const { waitMs, isHeldOff } = this.#context.signalAgent.getServiceWait(routed.service, now);
    const isLimited = waitMs > 0 && history.triedInstances.size === 0;
    const limitReason = isHeldOff ? "endpoints_held_off" : "endpoints_limited";
    const reason = isLimited ? limitReason : history.lastFailureReason;
    const spreadMs = problems.drawRetryAfterMs(this.#context.random);
    request.sendProblem(problems.createRequestProblem(status, reason, {
      outcome: history.outcome,
      detail: isLimited
        ? `the endpoints of ${routed.service} have limited what they accept`
        : `no endpoint of ${routed.service} answered`,
      retryAfterMs: status === 503 ? waitMs + spreadMs : undefined,
    }));
  }
}

function createOpenAttempt(
  request: requests.OpenRequest,
  routed: requests.RoutedRequest,
  history: AttemptHistory,
): policy.OpenAttempt {
  const { kind, maxAttempts } = routed.route;
  const { ranAttempts, refusedAttempts } = history;
  return { kind, ranAttempts, refusedAttempts, maxAttempts, answerBy: request.answerBy };
}

/** One attempt of a call: sends the request and collects its answer. */
class CallExchange implements pools.ExchangeListener {
  readonly #options: {
    readonly request: requests.OpenRequest;
    readonly codec: codec.HeaderCodec;
    /** Called with the head of an answer that belongs to the request. */
    readonly onAnswerHead: (head: codec.AnswerHead) => void;
    readonly onEnd: (result: AttemptResult) => void;
  };
  #exchange: pools.Exchange | undefined;
  #connectionUse: pools.ConnectionUse | undefined;
  #hasEnded = false;
  #answerStatus = 0;
  #answerHeaders: codec.RawHeaders = [];
  #answerHead: codec.AnswerHead | undefined;
  #fault: answers.AnswerFault | undefined;
  #unusedBytes = 0;
  readonly #body: collectors.AnswerCollector;

  constructor(options: {
    readonly request: requests.OpenRequest;
    readonly codec: codec.HeaderCodec;
    readonly onAnswerHead: (head: codec.AnswerHead) => void;
    readonly onEnd: (result: AttemptResult) => void;
  }) {
    this.#options = options;
    const { memory, holder } = options.request.flow;
    this.#body = new collectors.AnswerCollector({
      memory,
      holder,
      maxBytes: MAX_ANSWER_BYTES,
      getExchange: () => this.#exchange,
    });
  }

  /** The connection that the request was sent on; undefined if it was not sent. */
  get connectionUse(): pools.ConnectionUse | undefined {
    return this.#connectionUse;
  }

  start(exchange: pools.Exchange): void {
    this.#exchange = exchange;
    if (this.#hasEnded) exchange.abort("ended");
  }

  /** Ends the exchange without an answer. */
  abort(reason: "silent" | "timeout" | "caller_gone"): void {
    if (this.#hasEnded) return;
    const report = reason === "caller_gone" ? "refused" as const : "silent" as const;
    this.#fail(this.#connectionUse === undefined ? "not_run" : "unknown", report, reason);
    this.#exchange?.abort(reason);
  }

  onSent(use: pools.ConnectionUse): void {
    this.#connectionUse = use;
    this.#options.request.usedConnections.add(use.connection);
  }

  onHead(status: number, headers: codec.RawHeaders): void {
    this.#answerStatus = status;
    this.#answerHeaders = headers;
    const { codec, onAnswerHead } = this.#options;
    const head = codec.decodeAnswer(status, headers);
    this.#answerHead = head;
    this.#fault = answers.findAnswerFault(status, head, {
      id: this.#options.request.id,
      isConnectionReused: (this.#connectionUse?.carriedRequests ?? 0) > 0,
    });
    if (this.#fault?.outcome !== "unknown") onAnswerHead(head);
    if (this.#fault === undefined && !this.#hasEnded) this.#body.startAnswer(headers);
  }

  onData(chunk: Buffer): void {
    if (this.#fault === undefined) return this.#body.add(chunk);
    this.#unusedBytes += chunk.length;
    if (this.#hasEnded || this.#unusedBytes <= answers.MAX_UNUSED_BODY_BYTES) return;
    this.#failFaulty(this.#fault);
    this.#exchange?.abort(this.#fault.reason);
  }

  onEnd(): boolean {
    const fault = this.#fault;
    if (fault !== undefined) {
      this.#failFaulty(fault);
      return fault.outcome === "not_run";
    }
    this.#end({
      type: "answer",
      answer: {
        status: this.#answerStatus,
        headers: this.#answerHeaders,
        body: this.#body.finish(),
        isClosing: this.#answerHead?.isClosing ?? false,
      },
    });
    return true;
  }

  onError(error: Error): void {
    const { message } = error;
    if (this.#connectionUse !== undefined) {
      return this.#fail("unknown", "failed", `broken: ${message}`);
    }
    this.#fail("not_run", "unreachable", `not_sent: ${message}`);
  }

  #failFaulty({ outcome, reason }: answers.AnswerFault): void {
    this.#fail(outcome, outcome === "not_run" ? "refused" : "failed", reason);
  }

  #fail(outcome: core.FailureOutcome, report: policy.AttemptReport, reason: string): void {
    const connectionUse = this.#connectionUse;
    this.#end({ type: "no_answer", outcome, report, reason, connectionUse });
  }

  #end(result: AttemptResult): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    this.#body.drop();
    this.#options.onEnd(result);
  }
}
