/** Takes a request through its checks: route, key, age of the configuration, body. */

import type * as http from "node:http";
import * as core from "@peridotvale/core";
import * as policy from "@peridotvale/policy";
import type * as calls from "./call_forwarder.ts";
import type * as contexts from "./gateway_context.ts";
import * as requests from "./open_request.ts";
import * as problems from "./problems.ts";
import type * as agents from "./store_agent.ts";
import type * as streams from "./stream_forwarder.ts";

/** Options of {@linkcode RequestHandler}. */
export interface RequestHandlerOptions {
  readonly context: contexts.GatewayContext;
  readonly agent: agents.StoreAgent;
  readonly calls: calls.CallForwarder;
  readonly streams: streams.StreamForwarder;
}

/** Deadline of a request that states none. */
const DEFAULT_DEADLINE_MS = 30_000;
/**
 * A key is refused this long before its removal must show. It covers the way to the
 * endpoint and a timer that fires late.
 */
const REVOCATION_MARGIN_MS = 500;
/** From this age on the configuration is confirmed again while requests go on. */
const STALE_SHARE = 0.5;
/** A refusal for an unknown route or key is checked against a confirmation this recent. */
const REFUSAL_CONFIRM_AGE_MS = 20;
/** Longest wait for a confirmation before a request is refused for now. */
const CONFIRM_WAIT_MS = 600;
/** After this long without an answer of the store, nothing waits for it any more. */
const KNOWN_OUTAGE_MS = 300;
/** Spaces, version and line end of a request line. */
const REQUEST_LINE_REST_BYTES = 12;
/** Colon, space and line end of a header line. */
const HEADER_LINE_REST_BYTES = 4;
/** Bytes of bodies that are held at once. */
const MAX_HELD_BODY_BYTES = 48 * 1024 * 1024;

/** Serves requests from their arrival to their end. */
export class RequestHandler {
  readonly #options: RequestHandlerOptions;
  readonly #open = new Set<requests.OpenRequest>();
  #heldBytes = 0;

  constructor(options: RequestHandlerOptions) {
    this.#options = options;
  }

  get openCount(): number {
    return this.#open.size;
  }

  /** Serves one request. */
  async handle(incoming: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const { context } = this.#options;
    const arrivedAt = context.clock.now();
    const head = context.codec.decodeRequest(incoming.rawHeaders);
    const request = new requests.OpenRequest({
      id: head.id ?? ("" as core.RequestId),
      head,
      incoming,
      response,
      arrivedAt,
      encodeAnswer: (headers) => context.codec.encodeAnswer(headers),
    });
    this.#open.add(request);
    try {
      await this.#serve(request, incoming);
    } catch (error) {
      context.logger.write("request_failed", {
        request: request.id,
        error: (error as Error).message,
      });
      this.#answerInternalError(request);
    } finally {
      this.#open.delete(request);
      this.#heldBytes -= request.body?.length ?? 0;
      this.#recordEnd(request);
    }
  }

  /** Applies a new configuration to the requests that are open. */
  applyConfig(now: number): void {
    const inForce = this.#options.context.config.inForce;
    if (inForce === undefined) return;
    for (const request of this.#open) {
      if (request.routed === undefined) continue;
      const route = inForce.table.findRoute(readHost(request.headers), request.path);
      if (route === undefined) continue;
      const answerBy = computeAnswerBy(request, route);
      if (answerBy < request.answerBy) request.updateDueTime(answerBy, now);
    }
  }

  async #serve(request: requests.OpenRequest, incoming: http.IncomingMessage): Promise<void> {
    if (request.id === "") return this.#refuse(request, 400, "no_request_id");
    const limits = this.#options.context.config.inForce?.config.limits;
    if (limits !== undefined && computeHeadBytes(request) > limits.maxHeaderBytes) {
      incoming.resume();
      return this.#refuse(request, 431, "head_too_large");
    }
    const body = await this.#readBody(request, incoming);
    if (body === undefined || request.end !== undefined) return;
    request.body = body.length > 0 || incoming.headers["content-length"] !== undefined ||
        incoming.headers["transfer-encoding"] !== undefined
      ? body
      : undefined;
    const routed = await this.#findRoute(request);
    if (routed === undefined || request.end !== undefined) return;
    request.routed = routed;
    const now = this.#options.context.clock.now();
    request.updateDueTime(computeAnswerBy(request, routed.route), now);
    if (request.getRemainingMs(now) <= 0) return this.#refuse(request, 503, "deadline_exceeded");
    if (routed.route.kind === "streaming") {
      await this.#options.streams.serve(request, routed);
    } else {
      await this.#options.calls.serve(request, routed);
    }
  }

  async #readBody(
    request: requests.OpenRequest,
    incoming: http.IncomingMessage,
  ): Promise<Buffer | undefined> {
    const limits = this.#options.context.config.inForce?.config.limits;
    const maxBytes = limits?.maxBodyBytes ?? 0;
    const chunks: Buffer[] = [];
    let size = 0;
    try {
      for await (const chunk of incoming) {
        size += (chunk as Buffer).length;
        if (limits !== undefined && size > maxBytes) {
          this.#refuse(request, 413, "body_too_large");
          incoming.resume();
          return undefined;
        }
        if (this.#heldBytes + size > MAX_HELD_BODY_BYTES) {
          this.#refuse(request, 503, "memory_exhausted");
          incoming.resume();
          return undefined;
        }
        chunks.push(chunk as Buffer);
      }
    } catch {
      // The caller went away before its request was whole; nothing has run.
      return undefined;
    }
    this.#heldBytes += size;
    return chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
  }

  async #findRoute(request: requests.OpenRequest): Promise<requests.RoutedRequest | undefined> {
    const { context, agent } = this.#options;
    const { bounds } = context.settings;
    let found = this.#findRouted(request);
    const maxAgeMs = bounds.keyRevocationMs - REVOCATION_MARGIN_MS;
    const isStale = () => context.config.getAge(context.clock.now()) > maxAgeMs;
    const needsFresh = bounds.isRevocationStrict && found.type === "routed" &&
      found.routed.workspace !== undefined;
    if (found.type !== "routed" || (needsFresh && isStale())) {
      const isConfirmed = await this.#confirm();
      found = this.#findRouted(request);
      if (!isConfirmed && (found.type !== "routed" || (needsFresh && isStale()))) {
        this.#refuse(request, 503, "config_unconfirmed");
        return undefined;
      }
    } else if (this.#isAgeing(maxAgeMs)) {
      void agent.confirm(CONFIRM_WAIT_MS);
    }
    if (found.type === "routed") return found.routed;
    this.#refuse(request, found.status, found.reason);
    return undefined;
  }

  /** Whether a confirmation is wanted soon; while the store is away the agent asks by itself. */
  #isAgeing(maxAgeMs: number): boolean {
    const { context, agent } = this.#options;
    const now = context.clock.now();
    return context.config.getAge(now) > maxAgeMs * STALE_SHARE && agent.getOutageMs(now) === 0;
  }

  /** Waits for a confirmation, unless it is known that the store does not answer. */
  async #confirm(): Promise<boolean> {
    const { agent, context } = this.#options;
    if (agent.getOutageMs(context.clock.now()) > KNOWN_OUTAGE_MS) return false;
    const confirming = agent.confirm(REFUSAL_CONFIRM_AGE_MS);
    return (await core.waitAtMost(confirming, CONFIRM_WAIT_MS)) ?? false;
  }

  #findRouted(request: requests.OpenRequest): Found {
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
    request.answerProblem(core.createRefusal(status, code, {
      detail: "the request was refused and has not run",
      retryAfterMs: status === 503 ? problems.drawRetryAfter(random) : undefined,
    }));
  }

  #answerInternalError(request: requests.OpenRequest): void {
    if (request.isHeadSent) {
      return request.abortStream({ status: 200, reason: "internal_error", outcome: "unknown" });
    }
    request.answerProblem(problems.createFailure(502, "internal_error", {
      outcome: "unknown",
      detail: "an internal error; the request may have run",
    }));
  }

  #recordEnd(request: requests.OpenRequest): void {
    const { context } = this.#options;
    const now = context.clock.now();
    context.metrics.updateOpenRequests(this.#open.size);
    const labels = requests.createLabels(request.routed);
    context.metrics.recordDuration(labels, now - request.arrivedAt);
    context.metrics.recordOutcome(
      labels,
      request.end?.outcome ?? "not_run",
      request.end?.reason.split(":")[0] ?? "unread",
    );
    context.logger.write("request_ended", {
      request: request.id,
      route: request.routed?.route.name,
      workspace: request.routed?.workspace,
      status: request.end?.status ?? 0,
      reason: request.end?.reason ?? "unread",
      outcome: request.end?.outcome ?? "not_run",
      duration_ms: Math.round(now - request.arrivedAt),
      release: context.config.inForce?.config.release,
      config_age_ms: Math.round(context.config.getAge(now)),
    });
  }
}

type Found =
  | { readonly type: "routed"; readonly routed: requests.RoutedRequest }
  | { readonly type: "refused"; readonly status: number; readonly reason: string };

function computeAnswerBy(request: requests.OpenRequest, route: core.Route): number {
  const deadlineMs = request.head.deadlineMs ?? DEFAULT_DEADLINE_MS;
  return request.arrivedAt + Math.min(deadlineMs, route.timeoutMs);
}

/** Size of the request line and the headers, as they came over the wire. */
function computeHeadBytes(request: requests.OpenRequest): number {
  let bytes = request.method.length + request.path.length + REQUEST_LINE_REST_BYTES;
  for (let i = 0; i + 1 < request.headers.length; i += 2) {
    bytes += request.headers[i]!.length + request.headers[i + 1]!.length + HEADER_LINE_REST_BYTES;
  }
  return bytes;
}

function readHost(headers: readonly string[]): string {
  for (let i = 0; i < headers.length; i += 2) {
    if (headers[i]!.toLowerCase() === "host") return headers[i + 1]!;
  }
  return "";
}
