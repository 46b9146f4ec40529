/** Forwards calls to plain services; each answer is read whole before it is passed on. */

import type * as core from "@peridotvale/core";
import * as policy from "@peridotvale/policy";
import * as answers from "./answer_check.ts";
import type * as codec from "./codec.ts";
import type * as pools from "./connection_pool.ts";
import type * as contexts from "./gateway_context.ts";
import type * as requests from "./open_request.ts";
import * as problems from "./problems.ts";
import * as repeats from "./send_repeats.ts";

/** A whole answer of an endpoint. */
interface WholeAnswer {
  readonly status: number;
  readonly headers: codec.RawHeaders;
  readonly body: Buffer;
  readonly isClosing: boolean;
}

/** How one send ended. */
type SendResult =
  | { readonly type: "answer"; readonly answer: WholeAnswer }
  | {
    readonly type: "no_answer";
    readonly outcome: core.FailureOutcome;
    readonly report: policy.SendReport;
    readonly reason: string;
  };

/** What is known of all sends of a request. */
interface SendHistory {
  readonly tried: Set<core.InstanceId>;
  ranSends: number;
  refusedSends: number;
  outcome: core.FailureOutcome;
  /** A failure that the endpoint itself answered. */
  lastAnswer: WholeAnswer | undefined;
  lastReason: string;
}

/** Largest answer that is read; larger ones count as broken. */
const MAX_ANSWER_BYTES = 8 * 1024 * 1024;
/** Share of the time left that the first send may take if another one may follow. */
const FIRST_SEND_SHARE = 0.5;
const SERVER_ERROR_STATUS = 500;

/** Sends calls, and sends again what may be repeated. */
export class CallForwarder {
  readonly #context: contexts.GatewayContext;

  constructor(context: contexts.GatewayContext) {
    this.#context = context;
  }

  /** Serves `request` to its end. */
  async serve(request: requests.OpenRequest, routed: requests.RoutedRequest): Promise<void> {
    const history: SendHistory = {
      tried: new Set(),
      ranSends: 0,
      refusedSends: 0,
      outcome: "not_run",
      lastAnswer: undefined,
      lastReason: "no_endpoint",
    };
    this.#context.getBudget(routed.service).recordRequest(this.#context.clock.now());
    for (;;) {
      const endpoint = this.#chooseEndpoint(routed, history);
      if (endpoint === undefined) break;
      const result = await this.#send(request, routed, { endpoint, history });
      if (request.end !== undefined) return;
      if (result.type === "answer") return this.#passOn(request, routed, result.answer);
      this.#recordResult(history, result);
      const { instance } = endpoint;
      const { outcome, reason } = result;
      const send = { ...history, instance, outcome, reason };
      if (!repeats.takeRepeat(this.#context, request, { routed, send })) break;
    }
    this.#answerFailure(request, routed, history);
  }

  #chooseEndpoint(
    routed: requests.RoutedRequest,
    history: SendHistory,
  ): core.EndpointRecord | undefined {
    return this.#context.placement.chooseEndpoint(
      this.#context.listEndpoints(routed.service),
      this.#context.clock.now(),
      { zone: this.#context.settings.zone, random: this.#context.random, avoid: history.tried },
    );
  }

  #recordResult(history: SendHistory, result: SendResult & { type: "no_answer" }): void {
    history.lastReason = result.reason;
    history.outcome = policy.mergeOutcomes(history.outcome, result.outcome);
    if (result.outcome === "not_run") history.refusedSends += 1;
    else history.ranSends += 1;
  }

  #send(
    request: requests.OpenRequest,
    routed: requests.RoutedRequest,
    options: { readonly endpoint: core.EndpointRecord; readonly history: SendHistory },
  ): Promise<SendResult> {
    const { endpoint, history } = options;
    history.tried.add(endpoint.instance);
    const startedAt = this.#context.clock.now();
    const remainingMs = request.getRemainingMs(startedAt);
    const mayFollow = routed.route.kind === "idempotent" &&
      history.ranSends + 1 < routed.route.maxAttempts;
    const patienceMs = mayFollow ? remainingMs * FIRST_SEND_SHARE : Infinity;
    this.#context.placement.recordStart(endpoint.instance, startedAt);
    return new Promise((resolve) => {
      const call = new CallExchange({
        request,
        codec: this.#context.codec,
        onEnd: (result) => {
          clearTimeout(timer);
          request.setCancel(undefined);
          const report = result.type === "answer"
            ? result.answer.status >= SERVER_ERROR_STATUS ? "failed" as const : "answered" as const
            : result.report;
          if (result.type === "answer" && result.answer.isClosing) {
            this.#context.recordClosing(endpoint);
          }
          const now = this.#context.clock.now();
          this.#context.placement.recordEnd(endpoint.instance, report, { startedAt, now });
          if (result.type === "no_answer" && result.reason === "misdirected") {
            this.#context.publishChanges(
              this.#context.directory.recordMisdirected(endpoint.instance, now),
            );
          }
          resolve(this.#convertFailure(routed, history, result));
        },
      });
      const timer = Number.isFinite(patienceMs)
        ? setTimeout(() => call.giveUp("silent"), patienceMs)
        : undefined;
      request.setCancel((reason) => {
        if (reason === "timeout") return call.giveUp("timeout");
        // A call that may run only once goes on, so that it ends one way or the other.
        if (routed.route.kind === "idempotent") call.giveUp("caller_gone");
      });
      const headers = this.#context.codec.encodeRequest(request.headers, {
        remainingMs: request.getForwardedMs(startedAt),
        instance: endpoint.instance,
        workspace: routed.workspace,
        urgency: undefined,
        memory: undefined,
      });
      call.start(this.#context.pool.send(endpoint.endpoint, {
        method: request.method,
        path: request.path,
        headers,
        body: request.body,
      }, call));
    });
  }

  /** An idempotent call that failed at one endpoint may succeed at another. */
  #convertFailure(
    routed: requests.RoutedRequest,
    history: SendHistory,
    result: SendResult,
  ): SendResult {
    if (result.type !== "answer" || routed.route.kind !== "idempotent") return result;
    if (result.answer.status < SERVER_ERROR_STATUS) return result;
    history.lastAnswer = result.answer;
    return {
      type: "no_answer",
      outcome: "failed",
      report: "failed",
      reason: `status_${result.answer.status}`,
    };
  }

  #passOn(
    request: requests.OpenRequest,
    routed: requests.RoutedRequest,
    answer: WholeAnswer,
  ): void {
    if (problems.isPromiseStatus(answer.status) && routed.route.kind !== "idempotent") {
      return request.answerProblem(problems.createFailure(502, "endpoint_failed", {
        outcome: "unknown",
        detail: `the endpoint answered ${answer.status} and may have run the request`,
      }));
    }
    const outcome = answer.status < SERVER_ERROR_STATUS ? "completed" as const : "failed" as const;
    request.answerWhole(answer, { status: answer.status, reason: "answered", outcome });
  }

  #answerFailure(
    request: requests.OpenRequest,
    routed: requests.RoutedRequest,
    history: SendHistory,
  ): void {
    if (history.lastAnswer !== undefined) return this.#passOn(request, routed, history.lastAnswer);
    // A timer may fire a little before the clock shows its time.
    const isLate = history.lastReason === "timeout" ||
      request.getRemainingMs(this.#context.clock.now()) <= 0;
    const status = policy.chooseFailureStatus(history.outcome, { isLate });
    request.answerProblem(problems.createFailure(status, history.lastReason, {
      outcome: history.outcome,
      detail: `no endpoint of ${routed.service} answered`,
      retryAfterMs: status === 503 ? problems.drawRetryAfter(this.#context.random) : undefined,
    }));
  }
}

/** One send of a call and its answer. */
class CallExchange implements pools.ExchangeListener {
  readonly #options: {
    readonly request: requests.OpenRequest;
    readonly codec: codec.HeaderCodec;
    readonly onEnd: (result: SendResult) => void;
  };
  #exchange: pools.Exchange | undefined;
  #isSent = false;
  #hasEnded = false;
  #status = 0;
  #headers: codec.RawHeaders = [];
  #answerHead: codec.AnswerHead | undefined;
  readonly #chunks: Buffer[] = [];
  #size = 0;

  constructor(options: {
    readonly request: requests.OpenRequest;
    readonly codec: codec.HeaderCodec;
    readonly onEnd: (result: SendResult) => void;
  }) {
    this.#options = options;
  }

  start(exchange: pools.Exchange): void {
    this.#exchange = exchange;
    if (this.#hasEnded) exchange.abort("ended");
  }

  /** Ends the exchange without an answer. */
  giveUp(reason: "silent" | "timeout" | "caller_gone"): void {
    if (this.#hasEnded) return;
    const report = reason === "caller_gone" ? "refused" as const : "silent" as const;
    this.#end({
      type: "no_answer",
      outcome: this.#isSent ? "unknown" : "not_run",
      report,
      reason,
    });
    this.#exchange?.abort(reason);
  }

  onSent(): void {
    this.#isSent = true;
  }

  onHead(status: number, headers: codec.RawHeaders): void {
    this.#status = status;
    this.#headers = headers;
    this.#answerHead = this.#options.codec.decodeAnswer(status, headers);
  }

  onData(chunk: Buffer): void {
    this.#chunks.push(chunk);
    this.#size += chunk.length;
    if (this.#size > MAX_ANSWER_BYTES) this.#exchange?.abort("answer too large");
  }

  onEnd(): boolean {
    const head = this.#answerHead;
    const fault = answers.findAnswerFault(this.#status, head, this.#options.request.id);
    if (fault !== undefined) {
      this.#fail(fault.outcome, fault.outcome === "not_run" ? "refused" : "failed", fault.reason);
      return fault.outcome === "not_run";
    }
    this.#end({
      type: "answer",
      answer: {
        status: this.#status,
        headers: this.#headers,
        body: Buffer.concat(this.#chunks),
        isClosing: this.#answerHead?.isClosing ?? false,
      },
    });
    return true;
  }

  onError(error: Error): void {
    const { message } = error;
    if (this.#isSent) return this.#fail("unknown", "failed", `broken: ${message}`);
    this.#fail("not_run", "unreachable", `not_sent: ${message}`);
  }

  #fail(outcome: core.FailureOutcome, report: policy.SendReport, reason: string): void {
    this.#end({ type: "no_answer", outcome, report, reason });
  }

  #end(result: SendResult): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    this.#options.onEnd(result);
  }
}
