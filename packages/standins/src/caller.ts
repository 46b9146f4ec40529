/** An HTTP client for tests: sends generations and service calls, and records the answers. */

import * as stringDecoder from "node:string_decoder";
import * as eventsource from "eventsource-parser";
import * as undici from "undici";

/** A request for a streamed completion; its fields become headers or fields of the body. */
export interface CallerRequest {
  readonly prompt: string;
  readonly workspace?: string;
  readonly rank?: string;
  readonly maxTokens?: number;
  readonly seed?: number;
  readonly cursor?: string;
  readonly requestId?: string;
  readonly deadlineMs?: number;
  readonly signal?: AbortSignal;
  /** Called after each received token. */
  readonly onToken?: (transcript: Transcript) => void;
}

/** The part of one stream that the client has received, and how the stream ended. */
export interface Transcript {
  status: number;
  readonly tokens: string[];
  /** Time of receipt of each token, by `performance.now()`. */
  readonly tokenTimes: number[];
  /** Event id of the last token; resumes the stream as `last-event-id`. */
  cursor: string | undefined;
  finishReason: string | undefined;
  /** Whether the final `[DONE]` event has arrived. */
  done: boolean;
  problem: Problem | undefined;
  /** Message of the connection error that ended the stream. */
  error: string | undefined;
}

/** An error answer (`application/problem+json`) or error event. */
export interface Problem {
  readonly code: string;
  readonly outcome: string;
  readonly status: number;
  readonly detail: string;
  readonly delivered_tokens?: number;
}

/** Streams one completion. Connection errors are recorded in the transcript, not thrown. */
export async function streamCompletion(
  address: string,
  request: CallerRequest,
): Promise<Transcript> {
  const transcript: Transcript = {
    status: 0,
    tokens: [],
    tokenTimes: [],
    cursor: request.cursor,
    finishReason: undefined,
    done: false,
    problem: undefined,
    error: undefined,
  };
  try {
    const response = await undici.request(`http://${address}/v1/completions`, {
      method: "POST",
      headers: createHeaders(request),
      body: JSON.stringify({
        model: "layout-7b",
        prompt: request.prompt,
        stream: true,
        max_tokens: request.maxTokens,
        seed: request.seed,
      }),
      headersTimeout: 0,
      bodyTimeout: 0,
      ...(request.signal ? { signal: request.signal } : {}),
    });
    transcript.status = response.statusCode;
    if (response.statusCode !== 200) {
      transcript.problem = await response.body.json() as Problem;
      return transcript;
    }
    const eventParser = eventsource.createParser({
      onEvent: (event) => applyEvent(transcript, event, request),
    });
    const decoder = new stringDecoder.StringDecoder("utf8");
    for await (const chunk of response.body) {
      eventParser.feed(decoder.write(chunk as Buffer));
    }
  } catch (error) {
    transcript.error = (error as Error).message;
  }
  return transcript;
}

/** Calls a plain service through the entry process at `address`. */
export async function callService(
  address: string,
  options: {
    readonly method: string;
    readonly path: string;
    readonly body?: unknown;
    readonly headers?: Readonly<Record<string, string>>;
  },
): Promise<
  { readonly status: number; readonly headers: unknown; readonly body: unknown }
> {
  const response = await undici.request(
    `http://${address}/services/${options.path}`,
    {
      method: options.method as undici.Dispatcher.HttpMethod,
      headers: {
        "x-workspace": "orchard",
        "content-type": "application/json",
        ...options.headers,
      },
      body: options.body === undefined ? null : JSON.stringify(options.body),
      headersTimeout: 0,
      bodyTimeout: 0,
    },
  );
  const text = await response.body.text();
  return {
    status: response.statusCode,
    headers: response.headers,
    body: parseJson(text),
  };
}

/** Reads a JSON document by GET, or by POST if a body is given. */
export async function readJson<T>(
  url: string,
  init: { readonly body?: unknown } = {},
): Promise<T> {
  const response = await undici.request(url, {
    method: init.body === undefined ? "GET" : "POST",
    body: init.body === undefined ? null : JSON.stringify(init.body),
  });
  return await response.body.json() as T;
}

function createHeaders(request: CallerRequest): Record<string, string> {
  const headers: Record<string, string> = {
    "content-type": "application/json",
    "x-workspace": request.workspace ?? "orchard",
  };
  if (request.rank !== undefined) headers["x-rank"] = request.rank;
  if (request.cursor !== undefined) headers["last-event-id"] = request.cursor;
  if (request.requestId !== undefined) {
    headers["x-request-id"] = request.requestId;
  }
  if (request.deadlineMs !== undefined) {
    headers["x-deadline-ms"] = String(request.deadlineMs);
  }
  return headers;
}

function applyEvent(
  transcript: Transcript,
  event: eventsource.EventSourceMessage,
  request: CallerRequest,
): void {
  if (event.event === "error") {
    transcript.problem = JSON.parse(event.data) as Problem;
    return;
  }
  if (event.data === "[DONE]") {
    transcript.done = true;
    return;
  }
  const data = JSON.parse(event.data) as {
    readonly choices: readonly {
      readonly text: string;
      readonly finish_reason: string | null;
    }[];
  };
  const choice = data.choices[0]!;
  if (choice.finish_reason !== null) {
    transcript.finishReason = choice.finish_reason;
    return;
  }
  transcript.tokens.push(choice.text);
  transcript.tokenTimes.push(performance.now());
  transcript.cursor = event.id;
  request.onToken?.(transcript);
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}
