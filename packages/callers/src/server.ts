/** The callers' HTTP interface. */

import type * as http from "node:http";
import * as crypto from "node:crypto";
import * as core from "@peridotvale/core";
import * as nodeServer from "@hono/node-server";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import * as hono from "hono";
import { bodyLimit } from "hono/body-limit";
import * as neverthrow from "neverthrow";
import * as format from "./answer_format.ts";
import * as body from "./body.ts";
import * as heads from "./request_head.ts";
import type * as handler from "./request_handler.ts";
import * as sinks from "./sinks.ts";

/** Options of the callers' interface. */
export interface CallerServerOptions {
  readonly host: string;
  readonly port: number;
  readonly maxBodyBytes: number;
  readonly maxHeaderBytes: number;
  /** How long a caller may read nothing before its stream is cut off. */
  readonly stallTimeoutMs: number;
  readonly clock: core.Clock;
}

/** A running interface. */
export interface CallerServer {
  /** Address in use, `host:port`. */
  readonly address: string;
  /** Stops listening; open responses go on until `destroy`. */
  close(): void;
  /** Closes every connection. */
  destroy(): void;
}

type Env = { readonly Bindings: nodeServer.HttpBindings };
type Context = hono.Context<Env>;

/** Headers of a caller that are not passed on to a service. */
const HOP_HEADERS = new Set([
  "connection",
  "content-length",
  "expect",
  "host",
  "idempotency-key",
  "keep-alive",
  "last-event-id",
  "proxy-authorization",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "x-deadline-ms",
  "x-rank",
  "x-request-id",
]);
/** Headers of a service's answer that are not passed on. */
const ANSWER_HOP_HEADERS = new Set([
  "connection",
  "content-length",
  "keep-alive",
  "transfer-encoding",
  "x-request-id",
]);

/** Starts the callers' interface in front of `requestHandler`. */
export function startCallerServer(
  requestHandler: handler.RequestHandler,
  options: CallerServerOptions,
): Promise<CallerServer> {
  const app = createApp(requestHandler, options);
  return new Promise((resolve, reject) => {
    const server = nodeServer.serve({
      fetch: app.fetch,
      hostname: options.host,
      port: options.port,
      serverOptions: {
        maxHeaderSize: options.maxHeaderBytes,
        keepAliveTimeout: 60_000,
      },
    }, (info) => {
      resolve(
        createHandle(server as http.Server, `${options.host}:${info.port}`),
      );
    });
    server.once("error", reject);
  });
}

function createHandle(server: http.Server, address: string): CallerServer {
  return {
    address,
    close() {
      server.close();
      server.closeIdleConnections();
    },
    destroy() {
      server.closeAllConnections();
    },
  };
}

function createApp(
  requestHandler: handler.RequestHandler,
  options: CallerServerOptions,
): hono.Hono<Env> {
  const app = new hono.Hono<Env>();
  const limit = bodyLimit({
    maxSize: options.maxBodyBytes,
    onError: (context) =>
      sendProblem(
        context,
        core.createRefusal(413, "body_too_large", {
          detail: `body exceeds ${options.maxBodyBytes} bytes`,
        }),
      ),
  });
  app.get("/healthz", (context) => context.text("ok\n"));
  app.get(
    "/readyz",
    (context) =>
      requestHandler.isReady() ? context.text("ready\n") : context.text("not ready\n", 503),
  );
  app.get(
    "/metrics",
    async (context) => context.text(await requestHandler.readMetrics()),
  );
  app.post(
    "/v1/completions",
    limit,
    (context) => serveGeneration(context, "completion", { requestHandler, ...options }),
  );
  app.post(
    "/v1/chat/completions",
    limit,
    (context) => serveGeneration(context, "chat", { requestHandler, ...options }),
  );
  app.all(
    "/services/:service/*",
    limit,
    (context) => serveCall(context, requestHandler),
  );
  app.notFound((context) =>
    sendProblem(
      context,
      core.createRefusal(404, "unknown_path", {
        detail: `no such path: ${context.req.path}`,
      }),
    )
  );
  app.onError((error, context) =>
    sendProblem(context, {
      status: 500,
      code: "internal_error",
      outcome: "unknown",
      detail: error.message,
    })
  );
  return app;
}

async function serveGeneration(
  context: Context,
  kind: handler.GenerationAsk["kind"],
  options: CallerServerOptions & {
    readonly requestHandler: handler.RequestHandler;
  },
): Promise<Response> {
  const ask = await readGenerationAsk(context, kind);
  if (ask.isErr()) return sendProblem(context, ask.error);
  const answerFormat = new format.AnswerFormat(ask.value, {
    wallTimeMs: options.clock.readWallTime(),
  });
  const signal = createCloseSignal(context.env.outgoing);
  if (!ask.value.streamed) {
    const sink = new sinks.TextSink();
    const end = await options.requestHandler.generate(ask.value, sink, {
      signal,
    });
    if (end.isErr()) return sendProblem(context, end.error);
    context.header("content-type", "application/json");
    context.header("x-request-id", ask.value.request);
    return context.body(answerFormat.formatWhole(sink.getText(), end.value));
  }
  const sink = new sinks.SseSink(
    context.env.outgoing as http.ServerResponse,
    answerFormat,
    {
      request: ask.value.request,
      stallTimeoutMs: options.stallTimeoutMs,
    },
  );
  const end = await options.requestHandler.generate(ask.value, sink, {
    signal,
  });
  if (end.isErr()) sink.writeProblem(end.error);
  else sink.writeEnd(end.value);
  return RESPONSE_ALREADY_SENT;
}

async function serveCall(
  context: Context,
  requestHandler: handler.RequestHandler,
): Promise<Response> {
  const head = heads.parseRequestHead(
    context.req.raw.headers,
    getRequestId(context),
  );
  if (head.isErr()) return sendProblem(context, head.error);
  const url = new URL(context.req.url);
  const service = context.req.param("service") ?? "";
  const bytes = new Uint8Array(await context.req.arrayBuffer());
  const headers: Record<string, string> = {};
  for (const [name, value] of context.req.raw.headers) {
    if (!HOP_HEADERS.has(name)) headers[name] = value;
  }
  const reply = await requestHandler.call({
    ...head.value,
    service: core.createId<core.ServiceName>(service),
    method: context.req.method,
    path: url.pathname.slice(`/services/${service}`.length),
    query: url.search,
    headers,
    body: bytes.length === 0 ? undefined : bytes,
    idempotencyKey: context.req.header("idempotency-key"),
  }, { signal: createCloseSignal(context.env.outgoing) });
  if (reply.isErr()) return sendProblem(context, reply.error);
  const answerHeaders: Record<string, string> = {
    "x-request-id": head.value.request,
  };
  for (const [name, value] of Object.entries(reply.value.headers)) {
    if (!ANSWER_HOP_HEADERS.has(name)) answerHeaders[name] = value;
  }
  return new Response(createBodyInit(reply.value), {
    status: reply.value.status,
    headers: answerHeaders,
  });
}

function createBodyInit(
  reply: handler.ServiceReply,
): Uint8Array<ArrayBuffer> | null {
  const isEmpty = reply.body.length === 0 ||
    [204, 205, 304].includes(reply.status);
  return isEmpty ? null : new Uint8Array(reply.body);
}

async function readGenerationAsk(
  context: Context,
  kind: handler.GenerationAsk["kind"],
): Promise<neverthrow.Result<handler.GenerationAsk, core.RequestProblem>> {
  const head = heads.parseRequestHead(
    context.req.raw.headers,
    getRequestId(context),
  );
  if (head.isErr()) return neverthrow.err(head.error);
  const parsed = body.parseGenerationBody(await context.req.text(), kind);
  if (parsed.isErr()) {
    return neverthrow.err(
      core.createRefusal(400, "invalid_body", { detail: parsed.error }),
    );
  }
  const { fields, model, ...rest } = parsed.value;
  return neverthrow.ok({
    ...head.value,
    ...rest,
    kind,
    model: core.createId<core.ModelName>(model),
    body: fields,
    cursor: context.req.header("last-event-id"),
  });
}

function getRequestId(context: Context): core.RequestId {
  const outgoing = context.env.outgoing as http.ServerResponse & {
    requestId?: core.RequestId;
  };
  const given = context.req.header("x-request-id");
  const isGiven = given !== undefined && heads.isRequestId(given);
  outgoing.requestId ??= core.createId<core.RequestId>(
    isGiven ? given : crypto.randomUUID(),
  );
  return outgoing.requestId;
}

function sendProblem(
  context: Context,
  problem: core.RequestProblem,
): Response {
  const request = getRequestId(context);
  return new Response(core.formatProblemBody(problem, request), {
    status: problem.status,
    headers: core.createProblemHeaders(problem, request),
  });
}

/** Aborts when the caller hangs up before its answer is finished. */
function createCloseSignal(
  outgoing: nodeServer.HttpBindings["outgoing"],
): AbortSignal {
  const response = outgoing as http.ServerResponse;
  const abort = new AbortController();
  response.once("close", () => {
    if (!response.writableFinished) abort.abort();
  });
  return abort.signal;
}
