/** Formats answers in the OpenAI shape. */

import type * as handler from "./request_handler.ts";

/** Formats the events and the whole answer of one request. */
export class AnswerFormat {
  readonly #ask: handler.GenerationAsk;
  readonly #chunkStart: string;
  readonly #chunkEnd: string;
  readonly #createdSeconds: number;

  constructor(
    ask: handler.GenerationAsk,
    options: { readonly wallTimeMs: number },
  ) {
    this.#ask = ask;
    this.#createdSeconds = Math.floor(options.wallTimeMs / 1000);
    const head = JSON.stringify(this.#createHead(true)).slice(0, -1);
    const isChat = ask.kind === "chat";
    const content = isChat ? '"delta":{"content":' : '"text":';
    this.#chunkStart = `data: ${head},"choices":[{"index":0,${content}`;
    this.#chunkEnd = `${isChat ? "}" : ""},"finish_reason":null}]}\n\n`;
  }

  /** Formats one token's event. */
  formatToken(text: string, cursor: string): string {
    return `id: ${cursor}\n${this.#chunkStart}${JSON.stringify(text)}${this.#chunkEnd}`;
  }

  /** Formats the last events of a stream. */
  formatEnd(end: handler.GenerationEnd): string {
    const content = this.#ask.kind === "chat" ? { delta: {} } : { text: "" };
    const choice = { index: 0, ...content, finish_reason: end.finishReason };
    const data = {
      ...this.#createHead(true),
      choices: [choice],
      usage: createUsage(end),
    };
    return `data: ${JSON.stringify(data)}\n\ndata: [DONE]\n\n`;
  }

  /** Formats a whole answer. */
  formatWhole(text: string, end: handler.GenerationEnd): string {
    const content = this.#ask.kind === "chat"
      ? { message: { role: "assistant", content: text } }
      : { text };
    const choice = { index: 0, ...content, finish_reason: end.finishReason };
    return JSON.stringify({
      ...this.#createHead(false),
      choices: [choice],
      usage: createUsage(end),
    });
  }

  #createHead(isChunk: boolean) {
    const isChat = this.#ask.kind === "chat";
    const chatObject = isChunk ? "chat.completion.chunk" : "chat.completion";
    return {
      id: this.#ask.request,
      object: isChat ? chatObject : "text_completion",
      created: this.#createdSeconds,
      model: this.#ask.model,
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
