/** Formats generation results as OpenAI-compatible response bodies and events. */

import type * as handler from "./request_handler.ts";

/**
 * Formats the stream events or the complete answer of one request. The constant parts of a
 * token's event are serialized once, in the constructor.
 */
export class AnswerFormatter {
  readonly #generationRequest: handler.GenerationRequest;
  readonly #chunkStart: string;
  readonly #chunkEnd: string;
  readonly #createdSeconds: number;

  constructor(
    generationRequest: handler.GenerationRequest,
    options: { readonly wallTimeMs: number },
  ) {
    this.#generationRequest = generationRequest;
    this.#createdSeconds = Math.floor(options.wallTimeMs / 1000);
    const head = JSON.stringify(this.#createCommonFields(true)).slice(0, -1);
    const isChat = generationRequest.kind === "chat";
    const content = isChat ? '"delta":{"content":' : '"text":';
    this.#chunkStart = `data: ${head},"choices":[{"index":0,${content}`;
    this.#chunkEnd = `${isChat ? "}" : ""},"finish_reason":null}]}\n\n`;
  }

  /** Formats the event of one token, with `cursor` as its id. */
  formatToken(text: string, cursor: string): string {
    return `id: ${cursor}\n${this.#chunkStart}${JSON.stringify(text)}${this.#chunkEnd}`;
  }

  /** Formats the closing events of a stream: finish reason, usage and `[DONE]`. */
  formatEnd(end: handler.GenerationEnd): string {
    const content = this.#generationRequest.kind === "chat" ? { delta: {} } : { text: "" };
    const choice = { index: 0, ...content, finish_reason: end.finishReason };
    const data = {
      ...this.#createCommonFields(true),
      choices: [choice],
      usage: createUsage(end),
    };
    return `data: ${JSON.stringify(data)}\n\ndata: [DONE]\n\n`;
  }

  /** Formats the complete answer of a request that is not streamed. */
  formatCompleteAnswer(text: string, end: handler.GenerationEnd): string {
    const content = this.#generationRequest.kind === "chat"
      ? { message: { role: "assistant", content: text } }
      : { text };
    const choice = { index: 0, ...content, finish_reason: end.finishReason };
    return JSON.stringify({
      ...this.#createCommonFields(false),
      choices: [choice],
      usage: createUsage(end),
    });
  }

  #createCommonFields(isChunk: boolean) {
    const isChat = this.#generationRequest.kind === "chat";
    const chatObject = isChunk ? "chat.completion.chunk" : "chat.completion";
    return {
      id: this.#generationRequest.requestId,
      object: isChat ? chatObject : "text_completion",
      created: this.#createdSeconds,
      model: this.#generationRequest.model,
    };
  }
}

function createUsage(end: handler.GenerationEnd) {
  return {
    prompt_tokens: end.promptTokens,
    completion_tokens: end.completionTokens,
    total_tokens: end.promptTokens + end.completionTokens,
  };
}
