/**
 * Client of engines with an OpenAI-compatible HTTP interface:
 * - `POST /v1/completions`, `/v1/chat/completions`: starts a generation, streamed as SSE;
 *   headers `x-generation-id`, `x-model-version`, `x-request-id`; event ids `{generation}:{sequence}`.
 * - `GET /v1/generations/{id}` with `Last-Event-ID`: resumes after that event.
 * - `DELETE /v1/generations/{id}`: cancels a generation.
 * - `GET /v1/generations`: lists the generations.
 * - `GET /status`: returns the load report.
 * - `GET /cache-events?after={sequence}`: returns changes of the prompt cache.
 * - `POST /orders`: sends a command with a fencing number.
 */

import * as core from "@peridotvale/core";
import * as neverthrow from "neverthrow";
import * as undici from "undici";
import type * as client from "./engine_client.ts";
import * as errors from "./errors.ts";
import * as sse from "./sse_stream.ts";
import * as streamConnections from "./stream_connection.ts";

export interface HttpEngineClientOptions {
  readonly connectTimeoutMs: number;
  /** Time limit for a stream's response headers, and for the complete answer to other calls. */
  readonly answerTimeoutMs: number;
  /** Time without data after which a stream is treated as broken. */
  readonly silenceTimeoutMs: number;
}

const GENERATION_PATHS = {
  completion: "/v1/completions",
  chat: "/v1/chat/completions",
} as const;

/** A larger answer is cut off; lists of generations and cache events have some kilobytes. */
const MAX_ANSWER_BYTES = 1024 * 1024;

interface WireCacheEvents {
  readonly last: number;
  readonly events: readonly {
    readonly sequence: number;
    readonly added: readonly number[];
    readonly removed: readonly number[];
  }[];
}

/** {@linkcode client.EngineClient} over HTTP. */
export class HttpEngineClient implements client.EngineClient {
  readonly #options: HttpEngineClientOptions;
  readonly #connect: core.PacedConnector;
  /** For calls that only read, and may be repeated. */
  readonly #readAgent: undici.Agent;
  /**
   * For other calls, except streams. Refusals name no attempt, so each call has a connection of its own: on a
   * kept one, a late copy of a refusal would be taken for the answer to a later call.
   */
  readonly #agent: undici.Agent;

  constructor(options: HttpEngineClientOptions) {
    this.#options = options;
    this.#connect = core.createPacedConnector(new core.SystemClock(), options.connectTimeoutMs);
    const connect = this.#connect;
    this.#readAgent = new undici.Agent({ connect });
    this.#agent = new undici.Agent({ connect, pipelining: 0 });
  }

  startGeneration(
    endpoint: core.EndpointId,
    request: client.EngineRequest,
    options: { readonly signal: AbortSignal },
  ): client.EngineResult<client.EngineStream> {
    const body = {
      ...request.body,
      stream: true,
      seed: request.seed,
      max_tokens: request.maxTokens,
      priority: request.priority,
    };
    return this.#openStream(endpoint, {
      path: GENERATION_PATHS[request.kind],
      method: "POST",
      body: JSON.stringify(body),
      headers: {
        "content-type": "application/json",
        "x-request-id": request.attempt,
      },
      attempt: request.attempt,
      signal: options.signal,
    });
  }

  resumeGeneration(
    endpoint: core.EndpointId,
    request: client.ResumeRequest,
    options: { readonly signal: AbortSignal },
  ): client.EngineResult<client.EngineStream> {
    const headers: Record<string, string> = { "x-request-id": request.attempt };
    if (request.fromSequence > 0) {
      headers["last-event-id"] = `${request.generation}:${request.fromSequence - 1}`;
    }
    return this.#openStream(endpoint, {
      path: `/v1/generations/${encodeURIComponent(request.generation)}`,
      method: "GET",
      headers,
      attempt: request.attempt,
      signal: options.signal,
    });
  }

  async cancelGeneration(
    endpoint: core.EndpointId,
    generation: core.GenerationId,
  ): client.EngineResult<void> {
    const path = `/v1/generations/${encodeURIComponent(generation)}`;
    const answer = await this.#call(endpoint, { method: "DELETE", path });
    return answer.map(() => undefined);
  }

  async listGenerations(
    endpoint: core.EndpointId,
  ): client.EngineResult<readonly client.RunningGeneration[]> {
    const answer = await this.#call(endpoint, {
      method: "GET",
      path: "/v1/generations",
    });
    return answer.map((list) =>
      (list as { readonly generations: readonly client.RunningGeneration[] })
        .generations
    );
  }

  async readStatus(
    endpoint: core.EndpointId,
  ): client.EngineResult<client.EngineStatus> {
    const answer = await this.#call(endpoint, {
      method: "GET",
      path: "/status",
    });
    return answer.map((status) => status as client.EngineStatus);
  }

  async readCacheEvents(
    endpoint: core.EndpointId,
    after: number,
  ): client.EngineResult<client.CacheEvents> {
    const answer = await this.#call(endpoint, {
      method: "GET",
      path: `/cache-events?after=${after}`,
    });
    return answer.map((events) => decodeCacheEvents(events as WireCacheEvents, after));
  }

  async sendOrder(
    endpoint: core.EndpointId,
    order: client.EngineOrder,
    options: { readonly fencing: number },
  ): client.EngineResult<void> {
    const body = JSON.stringify({ fencing: options.fencing, order });
    const answer = await this.#call(endpoint, {
      method: "POST",
      path: "/orders",
      body,
    });
    return answer.map(() => undefined);
  }

  async #openStream(
    endpoint: core.EndpointId,
    call: {
      readonly path: string;
      readonly method: "GET" | "POST";
      readonly headers: Record<string, string>;
      readonly body?: string;
      readonly attempt: string;
      readonly signal: AbortSignal;
    },
  ): client.EngineResult<client.EngineStream> {
    const connection = new streamConnections.StreamConnection(endpoint, this.#connect);
    try {
      const response = await undici.request(`http://${endpoint}${call.path}`, {
        method: call.method,
        headers: call.headers,
        body: call.body ?? null,
        dispatcher: connection.client,
        headersTimeout: this.#options.answerTimeoutMs,
        bodyTimeout: 0,
        signal: call.signal,
      });
      response.body.once("close", () => connection.close());
      if (response.statusCode !== 200) {
        return neverthrow.err(await readErrorResponse(response));
      }
      const { headers } = response;
      if (headers["x-request-id"] !== call.attempt) {
        response.body.on("error", () => {}).destroy();
        return neverthrow.err(
          createMismatchError(String(headers["x-request-id"])),
        );
      }
      return neverthrow.ok(
        new sse.SseStream(response.body, {
          connection,
          generation: core.createId<core.GenerationId>(
            String(headers["x-generation-id"]),
          ),
          version: String(headers["x-model-version"]),
          silenceTimeoutMs: this.#options.silenceTimeoutMs,
        }),
      );
    } catch (error) {
      connection.close();
      return neverthrow.err(errors.createEngineError(error));
    }
  }

  async #call(
    endpoint: core.EndpointId,
    call: {
      readonly method: "GET" | "POST" | "DELETE";
      readonly path: string;
      readonly body?: string;
    },
  ): client.EngineResult<unknown> {
    try {
      const response = await undici.request(`http://${endpoint}${call.path}`, {
        method: call.method,
        body: call.body ?? null,
        headers: { "content-type": "application/json" },
        dispatcher: call.method === "GET" ? this.#readAgent : this.#agent,
        signal: AbortSignal.timeout(this.#options.answerTimeoutMs),
      });
      if (response.statusCode !== 200) {
        return neverthrow.err(await readErrorResponse(response));
      }
      const body = await core.collectBody(response.body, MAX_ANSWER_BYTES);
      return neverthrow.ok(JSON.parse(body.toString("utf8")));
    } catch (error) {
      return neverthrow.err(errors.createEngineError(error));
    }
  }
}

/**
 * Merges a list of cache events. Reports a gap if a sequence number is missing or the engine has
 * restarted. A last sequence number below `after` indicates a restart.
 */
function decodeCacheEvents(wire: WireCacheEvents, after: number): client.CacheEvents {
  let last = wire.last < after ? 0 : after;
  let gap = wire.last < after;
  const added: number[] = [];
  const removed: number[] = [];
  for (const event of wire.events) {
    if (event.sequence !== last + 1) gap = true;
    last = event.sequence;
    added.push(...event.added);
    removed.push(...event.removed);
  }
  return { last: Math.max(last, wire.last), gap, added, removed };
}

async function readErrorResponse(
  response: undici.Dispatcher.ResponseData,
): Promise<errors.EngineError> {
  const message = await readMessage(response);
  const status = response.statusCode;
  if (status === 404) {
    return { outcome: "not_run", code: "unknown_generation", message };
  }
  if (status === 429 || status === 503 || status === 409 || status === 400) {
    return { outcome: "not_run", code: "refused", message };
  }
  return {
    outcome: "failed",
    code: "protocol",
    message: `status ${status}: ${message}`,
  };
}

/** Reads the message of an error; the status states the outcome also if its body does not end. */
async function readMessage(response: undici.Dispatcher.ResponseData): Promise<string> {
  try {
    const body = await core.collectBody(response.body, MAX_ANSWER_BYTES);
    return body.toString("utf8").slice(0, 200);
  } catch (error) {
    if (error instanceof core.BodyTooLargeError) return error.message;
    throw error;
  }
}

function createMismatchError(receivedRequestId: string): errors.EngineError {
  return {
    outcome: "unknown",
    code: "crossed",
    message: `answer belongs to another request: ${receivedRequestId}`,
  };
}
