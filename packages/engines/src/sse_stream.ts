/**
 * Reads the server-sent events of one generation. Rejects events of other generations, detects
 * connections that deliver no more data or no more events, and stops reading while the caller's
 * buffer is full.
 */

import * as stringDecoder from "node:string_decoder";
import * as eventsource from "eventsource-parser";
import * as neverthrow from "neverthrow";
import type * as core from "@peridotvale/core";
import type * as undici from "undici";
import type * as client from "./engine_client.ts";
import * as errors from "./errors.ts";
import type * as connections from "./stream_connection.ts";

type Body = undici.Dispatcher.ResponseData["body"];

interface WireChoice {
  readonly text?: string;
  readonly delta?: { readonly content?: string };
  readonly finish_reason: string | null;
}

interface WireData {
  readonly choices: readonly WireChoice[];
  readonly usage?: { readonly prompt_tokens: number };
}

export interface SseStreamOptions {
  readonly generation: core.GenerationId;
  readonly version: string;
  /** Time without data after which the stream is treated as broken. */
  readonly silenceTimeoutMs: number;
  /** Connection that the body is read from. */
  readonly connection: connections.HoldableConnection;
}

/** Bytes without a complete event after which the stream is cut off; an event has below 1 KB. */
const MAX_BYTES_BETWEEN_EVENTS = 1024 * 1024;

/** {@linkcode client.EngineStream} over an HTTP response body. */
export class SseStream implements client.EngineStream {
  readonly generation: core.GenerationId;
  readonly version: string;
  readonly #body: Body;
  readonly #silenceTimeoutMs: number;
  readonly #connection: connections.HoldableConnection;
  #isHeld = false;
  readonly #idPrefix: string;
  #sink: client.EngineEventSink | undefined;
  #error: errors.EngineError | undefined;
  #ended = false;
  #lastReceivedAt = 0;
  #bytesSinceEvent = 0;

  constructor(body: Body, options: SseStreamOptions) {
    this.#body = body;
    this.generation = options.generation;
    this.version = options.version;
    this.#silenceTimeoutMs = options.silenceTimeoutMs;
    this.#connection = options.connection;
    this.#idPrefix = `${options.generation}:`;
    body.on("error", () => {});
  }

  relay(sink: client.EngineEventSink): Promise<neverthrow.Result<void, errors.EngineError>> {
    this.#sink = sink;
    const parser = eventsource.createParser({ onEvent: (message) => this.#applyMessage(message) });
    const decoder = new stringDecoder.StringDecoder("utf8");
    const stopSilenceCheck = this.#watchForSilence();
    return new Promise((resolve) => {
      const finish = () => {
        stopSilenceCheck();
        this.#body.off("data", read);
        this.#connection.release();
        if (this.#ended) this.#body.resume();
        else this.close();
        resolve(this.#createResult());
      };
      const read = (chunk: Uint8Array) => {
        this.#lastReceivedAt = performance.now();
        this.#bytesSinceEvent += chunk.length;
        parser.feed(decoder.write(chunk));
        if (this.#bytesSinceEvent > MAX_BYTES_BETWEEN_EVENTS) {
          this.#fail("protocol", `${this.#bytesSinceEvent} bytes without an event`);
        }
        if (this.#ended || this.#error !== undefined) return finish();
        this.#pauseUntil(sink.waitForWritable());
      };
      this.#body.on("data", read);
      this.#body.once("end", finish);
      this.#body.once("close", finish);
      this.#body.once("error", (error) => {
        this.#error ??= errors.createEngineError(error);
        finish();
      });
    });
  }

  close(): void {
    this.#body.destroy();
  }

  /** Pauses reading from the engine until the sink can take more events. */
  #pauseUntil(drained: Promise<void> | undefined): void {
    if (drained === undefined) return;
    this.#isHeld = true;
    this.#connection.hold();
    void drained.then(() => {
      this.#isHeld = false;
      this.#lastReceivedAt = performance.now();
      this.#connection.release();
    });
  }

  #createResult(): neverthrow.Result<void, errors.EngineError> {
    if (this.#ended) return neverthrow.ok(undefined);
    const outcome = "failed";
    const message = "connection closed before the end of the generation";
    return neverthrow.err(this.#error ?? { outcome, code: "connection_lost", message });
  }

  /**
   * Fails the stream when no data has arrived for `silenceTimeoutMs`. If an intermediary drops its
   * state of a connection, the connection stays open but delivers no more data. Returns a function
   * that stops the check.
   */
  #watchForSilence(): () => void {
    this.#lastReceivedAt = performance.now();
    const timer = setInterval(() => {
      if (this.#isHeld) return;
      if (performance.now() - this.#lastReceivedAt < this.#silenceTimeoutMs) return;
      this.#fail("silent", `no data from the engine for ${this.#silenceTimeoutMs} ms`);
      this.#body.destroy();
    }, this.#silenceTimeoutMs / 4);
    return () => clearInterval(timer);
  }

  #applyMessage(message: eventsource.EventSourceMessage): void {
    this.#bytesSinceEvent = 0;
    if (this.#ended || this.#error !== undefined) return;
    if (message.data === "[DONE]") return;
    if (message.event === "error") {
      this.#fail("aborted", message.data, "failed");
      return;
    }
    const id = message.id ?? "";
    if (!id.startsWith(this.#idPrefix)) {
      this.#fail("crossed", `event belongs to another generation: ${id}`);
      return;
    }
    const sequence = Number(id.slice(this.#idPrefix.length));
    const event = decodeEvent(message.data, sequence);
    if (event === undefined) {
      this.#fail("protocol", `event cannot be decoded: ${message.data.slice(0, 80)}`);
      return;
    }
    if (event.type === "end") this.#ended = true;
    if (this.#sink?.onEvent(event) === false) {
      this.#ended = false;
      this.#fail("aborted", "stopped by the receiver");
    }
  }

  #fail(
    code: errors.EngineError["code"],
    message: string,
    outcome: core.FailureOutcome = "unknown",
  ): void {
    this.#error ??= { outcome, code, message };
  }
}

function decodeEvent(
  data: string,
  sequence: number,
): client.EngineEvent | undefined {
  if (!Number.isInteger(sequence) || sequence < 0) return undefined;
  try {
    const parsed = JSON.parse(data) as WireData;
    const choice = parsed.choices[0]!;
    if (choice.finish_reason !== null) {
      const promptTokens = parsed.usage?.prompt_tokens ?? 0;
      return {
        type: "end",
        sequence,
        finishReason: choice.finish_reason,
        promptTokens,
      };
    }
    return {
      type: "token",
      sequence,
      text: choice.text ?? choice.delta?.content ?? "",
    };
  } catch {
    return undefined;
  }
}
