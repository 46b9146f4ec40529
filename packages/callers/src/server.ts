/**
 * HTTP server for callers: OpenAI-compatible generations, calls to plain services, health
 * checks and metrics. Converts HTTP requests into calls of a {@linkcode handler.RequestHandler}.
 */

import * as http from "node:http";
import type * as net from "node:net";
import * as crypto from "node:crypto";
import * as core from "@peridotvale/core";
import type * as memories from "@peridotvale/gateway/intake";
import * as nodeServer from "@hono/node-server";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import * as hono from "hono";
import { bodyLimit } from "hono/body-limit";
import * as neverthrow from "neverthrow";
import * as format from "./answer_formatter.ts";
import * as connections from "./connection_limit.ts";
import * as body from "./generation_body.ts";
import * as intake from "./intake.ts";
import * as heads from "./request_head.ts";
import type * as handler from "./request_handler.ts";
import * as sinks from "./sinks.ts";

export interface CallerServerOptions {
  readonly host: string;
  readonly port: number;
  readonly maxBodyBytes: number;
  readonly maxHeaderBytes: number;
  /** Time after which a caller that does not read its stream is disconnected. */
  readonly stallTimeoutMs: number;
  readonly clock: core.Clock;
  readonly memory: memories.MemoryAgent;
  /** Largest number of connections; Infinity if there is no limit. */
  readonly maxConnections: number;
}

export interface CallerServer {
  /** Bound address, as `host:port`. */
  readonly address: string;
  /** Number of answers whose last byte has not been passed to the operating system. */
  readonly openAnswerCount: number;
  /** Stops accepting connections. Open responses continue until `destroy` is called. */
  close(): void;
  /** Closes all connections immediately, including those with open responses. */
  destroy(): void;
}

type Env = { readonly Bindings: nodeServer.HttpBindings };
type Context = hono.Context<Env>;

/** Request headers that are not forwarded to a service. */
const UNFORWARDED_REQUEST_HEADERS = new Set([
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
/** Response headers of a service that are not forwarded to the caller. */
const UNFORWARDED_ANSWER_HEADERS = new Set([
  "connection",
  "content-length",
  "keep-alive",
  "transfer-encoding",
  "x-request-id",
]);

/** Starts a server that passes requests to `requestHandler`. Resolves once it listens. */
export function startCallerServer(
  requestHandler: handler.RequestHandler,
  options: CallerServerOptions,
): Promise<CallerServer> {
  const app = createApp(requestHandler, options);
  return new Promise((resolve, reject) => {
    const server = new GracefulServer({
      ServerResponse: intake.MeteredResponse,
      maxHeaderSize: options.maxHeaderBytes,
      keepAliveTimeout: 60_000,
    });
    const handle = nodeServer.getRequestListener(app.fetch);
    const { memory, maxBodyBytes } = options;
    server.on("request", (incoming, response) => {
      const taken = intake.takeRequest(
        incoming,
        response as intake.MeteredResponse,
        { memory, maxBodyBytes, handle },
      );
      taken.catch(() => response.destroy());
    });
    connections.registerConnectionLimit(server, options);
    server.listen(options.port, options.host, () => {
      const { port } = server.address() as net.AddressInfo;
      resolve(createServerHandle(server, `${options.host}:${port}`));
    });
    server.once("error", reject);
  });
}

/** Counts answers that are still being sent, and leaves their connections open when it closes. */
class GracefulServer extends http.Server {
  openAnswerCount = 0;

  constructor(options: http.ServerOptions) {
    super(options);
    this.on("request", (_request, response) => {
      this.openAnswerCount += 1;
      response.once("close", () => this.openAnswerCount -= 1);
    });
  }

  // The base class calls this when the server stops listening. It takes a connection for idle when
  // the program has ended the answer, also while its bytes wait in the process.
  override closeIdleConnections(): void {}
}

function createServerHandle(server: GracefulServer, address: string): CallerServer {
  return {
    address,
    get openAnswerCount() {
      return server.openAnswerCount;
    },
    close() {
      server.close();
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
  const bodySizeLimit = bodyLimit({
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
    bodySizeLimit,
    (context) => serveGeneration(context, "completion", { requestHandler, ...options }),
  );
  app.post(
    "/v1/chat/completions",
    bodySizeLimit,
    (context) => serveGeneration(context, "chat", { requestHandler, ...options }),
  );
  app.all(
    "/services/:service/*",
    bodySizeLimit,
    (context) => serveServiceCall(context, requestHandler),
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
  kind: handler.GenerationRequest["kind"],
  options: CallerServerOptions & {
    readonly requestHandler: handler.RequestHandler;
  },
): Promise<Response> {
  const generationRequest = await readGenerationRequest(context, kind);
  if (generationRequest.isErr()) return sendProblem(context, generationRequest.error);
  const answerFormatter = new format.AnswerFormatter(generationRequest.value, {
    wallTimeMs: options.clock.readWallTime(),
  });
  const signal = createCloseSignal(context.env.outgoing);
  if (!generationRequest.value.streamed) {
    const sink = new sinks.TextSink();
    const end = await options.requestHandler.generate(generationRequest.value, sink, {
      signal,
    });
    if (end.isErr()) return sendProblem(context, end.error);
    context.header("content-type", "application/json");
    context.header("x-request-id", generationRequest.value.requestId);
    return context.body(answerFormatter.formatCompleteAnswer(sink.getText(), end.value));
  }
  const sink = new sinks.SseSink(
    context.env.outgoing as http.ServerResponse,
    answerFormatter,
    {
      request: generationRequest.value.requestId,
      stallTimeoutMs: options.stallTimeoutMs,
    },
  );
  const end = await options.requestHandler.generate(generationRequest.value, sink, {
    signal,
  });
  if (end.isErr()) sink.writeProblem(end.error);
  else sink.writeEnd(end.value);
  return RESPONSE_ALREADY_SENT;
}

async function serveServiceCall(
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
  const bodyBytes = new Uint8Array(await context.req.arrayBuffer());
  const headers: Record<string, string> = {};
  for (const [name, value] of context.req.raw.headers) {
    if (!UNFORWARDED_REQUEST_HEADERS.has(name)) headers[name] = value;
  }
  const answer = await requestHandler.call({
    ...head.value,
    service: core.createId<core.ServiceName>(service),
    method: context.req.method,
    path: url.pathname.slice(`/services/${service}`.length),
    query: url.search,
    headers,
    body: bodyBytes.length === 0 ? undefined : bodyBytes,
    idempotencyKey: context.req.header("idempotency-key"),
  }, { signal: createCloseSignal(context.env.outgoing) });
  if (answer.isErr()) return sendProblem(context, answer.error);
  const answerHeaders: Record<string, string> = {
    "x-request-id": head.value.requestId,
  };
  for (const [name, value] of Object.entries(answer.value.headers)) {
    if (!UNFORWARDED_ANSWER_HEADERS.has(name)) answerHeaders[name] = value;
  }
  return new Response(createBodyInit(answer.value), {
    status: answer.value.status,
    headers: answerHeaders,
  });
}

function createBodyInit(
  answer: handler.ServiceAnswer,
): Uint8Array<ArrayBuffer> | null {
  const isEmpty = answer.body.length === 0 ||
    [204, 205, 304].includes(answer.status);
  return isEmpty ? null : new Uint8Array(answer.body);
}

async function readGenerationRequest(
  context: Context,
  kind: handler.GenerationRequest["kind"],
): Promise<neverthrow.Result<handler.GenerationRequest, core.RequestProblem>> {
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
  const requestedId = context.req.header("x-request-id");
  const isUsable = requestedId !== undefined && heads.isRequestId(requestedId);
  outgoing.requestId ??= core.createId<core.RequestId>(
    isUsable ? requestedId : crypto.randomUUID(),
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

/** Returns a signal that aborts if the caller disconnects before the response is complete. */
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
