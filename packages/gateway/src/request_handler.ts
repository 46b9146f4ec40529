/**
 * Checks each request before it is forwarded: request id, size of head and body, route,
 * API key and deadline. A request whose route or key is unknown waits until the store has
 * confirmed the configuration, unless it has done so recently: the route or key may be new.
 */

import type * as http from "node:http";
import * as core from "@peridotvale/core";
import * as policy from "@peridotvale/policy";
import type * as calls from "./call_forwarder.ts";
import * as flows from "./caller_flow.ts";
import type * as contexts from "./gateway_context.ts";
import * as requests from "./open_request.ts";
import * as problems from "./problems.ts";
import type * as agents from "./store_agent.ts";
import type * as streams from "./stream_forwarder.ts";

export interface RequestHandlerOptions {
  readonly context: contexts.GatewayContext;
  readonly storeAgent: agents.StoreAgent;
  readonly getElectionScope: () => policy.ElectionScope;
  readonly callForwarder: calls.CallForwarder;
  readonly streamForwarder: streams.StreamForwarder;
}

/** Time limit of a request whose headers state none. */
const DEFAULT_DEADLINE_MS = 30_000;
/**
 * With strict revocation, a request with a key waits for a confirmation if the last one is older
 * than the revocation bound minus this margin. The margin covers the transfer to the endpoint
 * and a late timer.
 */
const KEY_REVOCATION_MARGIN_MS = 500;
/**
 * Share of the configuration's maximum age at which a confirmation starts in the background, so
 * that requests rarely have to wait for one.
 */
const CONFIG_REFRESH_AGE_SHARE = 0.75;
/**
 * Maximum age of a pending confirmation that a request may wait for. If the pending one is older,
 * the request starts a new confirmation, since the older one may miss a route or key that was
 * added after it began.
 */
const MAX_JOINED_CONFIRMATION_AGE_MS = 20;
/**
 * Longest time that a request waits for a confirmation. While one is pending, another starts in
 * the background only if the pending one is older than this.
 */
const CONFIRMATION_TIMEOUT_MS = 600;
/** Duration of a store outage after which requests no longer wait for a confirmation. */
const STORE_OUTAGE_THRESHOLD_MS = 300;
/** Spaces, HTTP version and line end of a request line. */
const REQUEST_LINE_OVERHEAD_BYTES = 12;
/** Colon, space and line end of a header line. */
const HEADER_LINE_OVERHEAD_BYTES = 4;
/** Limit on bodies until a configuration is known. */
const DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024;

/** Reads, checks and routes callers' requests, and records how each of them ended. */
export class RequestHandler {
  readonly #options: RequestHandlerOptions;
  readonly #openRequests = new Set<requests.OpenRequest>();
  #stop: policy.DrainSchedule = policy.NO_STOP;

  constructor(options: RequestHandlerOptions) {
    this.#options = options;
  }

  get openRequestCount(): number {
    return this.#openRequests.size;
  }

  /** Lists the endpoints that open calls were last sent to, one for each call. */
  listCalledEndpoints(): core.EndpointRecord[] {
    const endpoints: core.EndpointRecord[] = [];
    for (const { endpoint, routed } of this.#openRequests) {
      if (endpoint !== undefined && routed?.route.kind !== "streaming") endpoints.push(endpoint);
    }
    return endpoints;
  }

  /** Serves one request; resolves when it has ended. */
  async handle(incoming: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const { context } = this.#options;
    const arrivedAt = context.clock.now();
    const head = context.codec.decodeRequest(incoming.rawHeaders);
    const isAdmitted = context.memory.decideAdmission(0) === "admitted";
    const flow = new flows.CallerFlow(context.memory, {
      incoming,
      response,
      request: head.id ?? "",
      maxBodyBytes: context.config.inForce?.config.limits.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES,
    });
    const request = new requests.OpenRequest({
      id: head.id ?? ("" as core.RequestId),
      head,
      incoming,
      response,
      arrivedAt,
      flow,
      encodeAnswer: (headers) => context.codec.encodeAnswer(headers),
    });
    this.#openRequests.add(request);
    request.setCancelHandler((reason) => {
      if (reason === "timeout") this.#refuse(request, 503, "stopping");
    });
    if (this.#stop !== policy.NO_STOP) request.updateAnswerBy(this.#stop.answerBy, arrivedAt);
    try {
      if (isAdmitted) await this.#serve(request);
      else this.#refuseUnread(request, 503, "memory_exhausted");
    } catch (error) {
      context.logger.write("request_failed", {
        request: request.id,
        error: (error as Error).message,
      });
      this.#answerInternalError(request);
    } finally {
      request.setCancelHandler(undefined);
      this.#openRequests.delete(request);
      flow.finishServing();
      this.#recordEnd(request);
    }
  }

  /**
   * Shortens the deadlines of open requests to the time-outs of the configuration in force.
   * Deadlines are never extended.
   */
  applyConfig(now: number): void {
    const inForce = this.#options.context.config.inForce;
    if (inForce === undefined) return;
    for (const request of this.#openRequests) {
      if (request.routed === undefined) continue;
      const route = inForce.table.findRoute(readHost(request.headers), request.path);
      if (route === undefined) continue;
      const answerBy = computeAnswerBy(request, route);
      if (answerBy < request.answerBy) request.updateAnswerBy(answerBy, now);
    }
  }

  /** Limits the deadlines of open and later requests to those of a planned stop. */
  applyStop(stop: policy.DrainSchedule, now: number): void {
    this.#stop = stop;
    for (const request of this.#openRequests) {
      if (stop.answerBy < request.answerBy) request.updateAnswerBy(stop.answerBy, now);
    }
  }

  async #serve(request: requests.OpenRequest): Promise<void> {
    if (request.id === "") return this.#refuse(request, 400, "no_request_id");
    const limits = this.#options.context.config.inForce?.config.limits;
    if (limits !== undefined && computeHeadBytes(request) > limits.maxHeaderBytes) {
      return this.#refuseUnread(request, 431, "head_too_large");
    }
    const reading = await this.#readBody(request);
    if (reading === undefined || request.end !== undefined) return;
    request.body = reading.body;
    request.flow.startServing();
    const routed = await this.#findConfirmedRoute(request);
    if (routed === undefined || request.end !== undefined) return;
    request.routed = routed;
    const now = this.#options.context.clock.now();
    const answerBy = Math.min(computeAnswerBy(request, routed.route), this.#stop.answerBy);
    request.updateAnswerBy(answerBy, now);
    if (request.getRemainingMs(now) <= 0) return this.#refuse(request, 503, "deadline_exceeded");
    const { targetLatencyMs, kind } = routed.route;
    const isGeneration = kind === "streaming";
    const pending = { answerBy, targetLatencyMs, isGeneration };
    if (!policy.canAnswerBeforeStop(pending, this.#stop, now)) {
      return this.#refuse(request, 503, "stopping");
    }
    if (isGeneration) {
      await this.#options.streamForwarder.serve(request, routed);
    } else {
      await this.#options.callForwarder.serve(request, routed);
    }
  }

  async #readBody(
    request: requests.OpenRequest,
  ): Promise<{ readonly body: Buffer | undefined } | undefined> {
    const result = await request.flow.reader.read();
    if (result.type === "complete") return { body: result.body };
    if (result.type === "refused") this.#refuseUnread(request, result.status, result.reason);
    return undefined;
  }

  /** Refuses a request whose body is not read, and closes its connection. */
  #refuseUnread(request: requests.OpenRequest, status: number, reason: string): void {
    if (request.flow.refuse(reason)) request.closeAfterAnswer();
    this.#refuse(request, status, reason);
  }

  /**
   * Finds the route of a request, and refuses the request if there is none. A request is
   * refused for its route or key only if the store has confirmed the configuration within the
   * bound for a new one, since the route or key may have been added. With strict revocation, a request with a key also
   * waits for a confirmation if the last one is too old.
   */
  async #findConfirmedRoute(
    request: requests.OpenRequest,
  ): Promise<requests.RoutedRequest | undefined> {
    const { context, storeAgent } = this.#options;
    const { bounds } = context.settings;
    let resolution = this.#resolveRoute(request);
    const maxAgeMs = bounds.keyRevocationMs - KEY_REVOCATION_MARGIN_MS;
    const isTooOld = () => context.config.getConfirmAgeMs(context.clock.now()) > maxAgeMs;
    const needsFreshConfig = bounds.isRevocationStrict && resolution.type === "routed" &&
      resolution.routed.workspace !== undefined;
    const isRefused = resolution.type !== "routed" && !this.#isRefusalConfirmed();
    if (isRefused || (needsFreshConfig && isTooOld())) {
      const isConfirmed = await this.#confirmConfig();
      resolution = this.#resolveRoute(request);
      if (!isConfirmed && (resolution.type !== "routed" || (needsFreshConfig && isTooOld()))) {
        this.#refuse(request, 503, "config_unconfirmed");
        return undefined;
      }
    } else if (this.#isConfirmationDue(maxAgeMs)) {
      const confirm = () => storeAgent.confirm(CONFIRMATION_TIMEOUT_MS);
      core.startTask("confirm_config", confirm, context.logger);
    }
    if (resolution.type === "routed") return resolution.routed;
    this.#refuse(request, resolution.status, resolution.reason);
    return undefined;
  }

  /** Whether a route or key that is unknown here cannot have been in force longer than allowed. */
  #isRefusalConfirmed(): boolean {
    const { context } = this.#options;
    const maxAgeMs = policy.computeRefusalConfirmAgeMs(
      context.settings.bounds,
      this.#options.getElectionScope(),
    );
    return context.config.getConfirmAgeMs(context.clock.now()) <= maxAgeMs;
  }

  /**
   * Whether the configuration should be confirmed in the background. During an outage of the
   * store this is not needed, because the store agent retries by itself.
   */
  #isConfirmationDue(maxAgeMs: number): boolean {
    const { context, storeAgent } = this.#options;
    const now = context.clock.now();
    return context.config.getConfirmAgeMs(now) > maxAgeMs * CONFIG_REFRESH_AGE_SHARE &&
      storeAgent.getOutageMs(now) === 0;
  }

  /** Waits for the store to confirm the configuration, unless an outage is already known. */
  async #confirmConfig(): Promise<boolean> {
    const { storeAgent, context } = this.#options;
    if (storeAgent.getOutageMs(context.clock.now()) > STORE_OUTAGE_THRESHOLD_MS) return false;
    const confirmation = storeAgent.confirm(MAX_JOINED_CONFIRMATION_AGE_MS);
    return (await core.waitAtMost(confirmation, CONFIRMATION_TIMEOUT_MS)) ?? false;
  }

  #resolveRoute(request: requests.OpenRequest): RouteResolution {
    const inForce = this.#options.context.config.inForce;
    if (inForce === undefined) return { type: "refused", status: 503, reason: "no_config" };
    const route = inForce.table.findRoute(readHost(request.headers), request.path);
    if (route === undefined) return { type: "refused", status: 404, reason: "no_route" };
    const service = policy.chooseService(route, request.id);
    if (service === undefined) return { type: "refused", status: 503, reason: "no_service" };
    const { keys } = inForce.config;
    if (keys === undefined || !route.needsKey) {
      return {
        type: "routed",
        routed: { route, service, workspace: undefined, rank: route.rank },
      };
    }
    const { apiKey } = request.head;
    const owner = apiKey === undefined ? undefined : keys.get(apiKey);
    if (owner === undefined) return { type: "refused", status: 401, reason: "unknown_key" };
    const { workspace } = owner;
    return {
      type: "routed",
      routed: { route, service, workspace, rank: owner.rank ?? route.rank },
    };
  }

  #refuse(request: requests.OpenRequest, status: number, code: string): void {
    const { random } = this.#options.context;
    request.sendProblem(core.createRefusal(status, code, {
      detail: "the request was refused and has not run",
      retryAfterMs: status === 503 ? problems.drawRetryAfterMs(random) : undefined,
    }));
  }

  #answerInternalError(request: requests.OpenRequest): void {
    request.sendProblem(problems.createRequestProblem(502, "internal_error", {
      outcome: "unknown",
      detail: "an internal error; the request may have run",
    }));
  }

  #recordEnd(request: requests.OpenRequest): void {
    const { context } = this.#options;
    const now = context.clock.now();
    context.metrics.setOpenRequests(this.#openRequests.size);
    const labels = requests.createRequestLabels(request.routed);
    context.metrics.recordRequestDuration(labels, now - request.arrivedAt);
    context.metrics.recordOutcome(
      labels,
      request.end?.outcome ?? "not_run",
      request.end?.reason.split(":")[0] ?? "unread",
    );
    context.logger.write("request_ended", {
      request: request.id,
      route: request.routed?.route.name,
      workspace: request.routed?.workspace,
      instance: request.instance,
      status: request.end?.status ?? 0,
      reason: request.end?.reason ?? "unread",
      outcome: request.end?.outcome ?? "not_run",
      duration_ms: Math.round(now - request.arrivedAt),
      release: context.config.inForce?.config.release,
      config_age_ms: Math.round(context.config.getConfirmAgeMs(now)),
    });
  }
}

type RouteResolution =
  | { readonly type: "routed"; readonly routed: requests.RoutedRequest }
  | { readonly type: "refused"; readonly status: number; readonly reason: string };

function computeAnswerBy(request: requests.OpenRequest, route: core.Route): number {
  const deadlineMs = request.head.deadlineMs ?? DEFAULT_DEADLINE_MS;
  return request.arrivedAt + Math.min(deadlineMs, route.timeoutMs);
}

/** Computes the size in bytes of the request line and the headers as the caller sent them. */
function computeHeadBytes(request: requests.OpenRequest): number {
  let bytes = request.method.length + request.path.length + REQUEST_LINE_OVERHEAD_BYTES;
  for (let i = 0; i + 1 < request.headers.length; i += 2) {
    bytes += request.headers[i]!.length + request.headers[i + 1]!.length +
      HEADER_LINE_OVERHEAD_BYTES;
  }
  return bytes;
}

function readHost(headers: readonly string[]): string {
  for (let i = 0; i < headers.length; i += 2) {
    if (headers[i]!.toLowerCase() === "host") return headers[i + 1]!;
  }
  return "";
}
