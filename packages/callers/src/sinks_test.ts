import * as events from "node:events";
import type * as http from "node:http";
import * as core from "@peridotvale/core";
import * as tap from "tap";
import * as format from "./answer_formatter.ts";
import * as sinks from "./sinks.ts";

/** Response whose caller has stopped reading, so that its buffer never drains. */
class StalledResponse extends events.EventEmitter {
  headersSent = false;
  writableLength = 0;
  destroyed = false;

  writeHead(): void {
    this.headersSent = true;
  }

  write(text: string): void {
    this.writableLength += text.length;
  }

  destroy(): void {
    this.destroyed = true;
    this.emit("close");
  }
}

// A caller that stops reading an open stream must neither make the process buffer the rest of
// the generation nor keep the stream open indefinitely.
tap.t.test(
  "buffering for a stalled caller is bounded and the caller is disconnected",
  async (t) => {
    const request = core.createId<core.RequestId>("r");
    const generationRequest = {
      requestId: request,
      workspace: core.createId<core.WorkspaceName>("w"),
      rank: undefined,
      deadlineMs: undefined,
      kind: "completion" as const,
      model: core.createId<core.ModelName>("m"),
      promptText: "p",
      maxTokens: undefined,
      seed: undefined,
      streamed: true,
      body: {},
      cursor: undefined,
    };
    const response = new StalledResponse();
    const sink = new sinks.SseSink(
      response as unknown as http.ServerResponse,
      new format.AnswerFormatter(generationRequest, { wallTimeMs: 0 }),
      { request, stallTimeoutMs: 20 },
    );
    let writtenTokens = 0;
    let drained: Promise<void> | undefined;
    while (drained === undefined && writtenTokens < 100_000) {
      sink.writeToken("token", "cursor");
      writtenTokens += 1;
      drained = sink.waitForWritable();
    }
    t.ok(response.writableLength < 70_000, `${response.writableLength} bytes buffered`);
    await drained;
    t.ok(response.destroyed);
  },
);
