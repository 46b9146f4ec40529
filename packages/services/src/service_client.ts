/** Client of plain services over HTTP. Answers are read completely before they are returned. */

import * as core from "@peridotvale/core";
import * as neverthrow from "neverthrow";
import * as undici from "undici";
import * as errors from "./errors.ts";

/** One attempt of a call to a plain service. */
export interface ServiceCall {
  /** Id of this attempt, which the service returns in `x-request-id`. */
  readonly attempt: string;
  readonly method: string;
  /** Path with its query string. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array | undefined;
  /** Calls that are not idempotent use a new connection, which is closed afterwards. */
  readonly idempotent: boolean;
  /** Time limit for the complete answer. */
  readonly timeoutMs: number;
}

/** Complete answer of a plain service. */
export interface ServiceAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

export type ServiceResult = Promise<
  neverthrow.Result<ServiceAnswer, errors.ServiceError>
>;

/** Client of plain services. */
export interface ServiceClient {
  /** Makes one attempt; never retries. */
  call(
    endpoint: core.EndpointId,
    call: ServiceCall,
    options: { readonly signal: AbortSignal },
  ): ServiceResult;
}

export interface HttpServiceClientOptions {
  readonly connectTimeoutMs: number;
  readonly maxAnswerBytes: number;
}

/** Response header by which a service reports that it did not run the request. */
const NOT_RUN_HEADER = "x-not-run";

/** {@linkcode ServiceClient} over HTTP. */
export class HttpServiceClient implements ServiceClient {
  readonly #options: HttpServiceClientOptions;
  readonly #connect: core.PacedConnector;
  readonly #agent: undici.Agent;

  constructor(options: HttpServiceClientOptions) {
    this.#options = options;
    this.#connect = core.createPacedConnector(new core.SystemClock(), options.connectTimeoutMs);
    this.#agent = new undici.Agent({
      connect: this.#connect,
    });
  }

  async call(
    endpoint: core.EndpointId,
    call: ServiceCall,
    options: { readonly signal: AbortSignal },
  ): ServiceResult {
    if (call.idempotent) {
      return await this.#send(endpoint, call, this.#agent, options.signal);
    }
    const connection = new undici.Client(`http://${endpoint}`, {
      connect: this.#connect,
      pipelining: 0,
    });
    try {
      return await this.#send(endpoint, call, connection, options.signal);
    } finally {
      connection.destroy().catch(() => {});
    }
  }

  async #send(
    endpoint: core.EndpointId,
    call: ServiceCall,
    dispatcher: undici.Dispatcher,
    signal: AbortSignal,
  ): ServiceResult {
    if (signal.aborted) {
      return neverthrow.err(errors.createNotRunError("cancelled"));
    }
    try {
      const response = await undici.request(`http://${endpoint}${call.path}`, {
        method: call.method as undici.Dispatcher.HttpMethod,
        headers: { ...call.headers, "x-request-id": call.attempt },
        body: call.body ?? null,
        dispatcher,
        headersTimeout: call.timeoutMs,
        bodyTimeout: call.timeoutMs,
        signal: AbortSignal.any([signal, AbortSignal.timeout(call.timeoutMs)]),
      });
      const answer = await readAnswer(response, this.#options.maxAnswerBytes);
      const receivedRequestId = answer.headers["x-request-id"];
      if (receivedRequestId !== call.attempt) {
        return neverthrow.err(errors.createMismatchError(receivedRequestId));
      }
      if (answer.headers[NOT_RUN_HEADER] !== undefined) {
        return neverthrow.err(
          errors.createNotRunError("the endpoint did not run the request"),
        );
      }
      return neverthrow.ok(answer);
    } catch (error) {
      return neverthrow.err(errors.createServiceError(error));
    }
  }
}

async function readAnswer(
  response: undici.Dispatcher.ResponseData,
  maxBytes: number,
): Promise<ServiceAnswer> {
  const body = await core.collectBody(response.body, maxBytes);
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(response.headers)) {
    if (value !== undefined) headers[name] = String(value);
  }
  return { status: response.statusCode, headers, body };
}
