import * as events from "node:events";
import type * as http from "node:http";
import * as core from "@peridotvale/core";
import * as tap from "tap";
import * as format from "./answer_format.ts";
import * as sinks from "./sinks.ts";

/** A response whose reader reads nothing. */
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

tap.t.test("a caller that reads nothing holds a bounded amount, then is cut off", async (t) => {
  const request = core.createId<core.RequestId>("r");
  const ask = {
    request,
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
    new format.AnswerFormat(ask, { wallTimeMs: 0 }),
    { request, stallTimeoutMs: 20 },
  );
  let written = 0;
  let room: Promise<void> | undefined;
  while (room === undefined && written < 100_000) {
    sink.writeToken("token", "cursor");
    written += 1;
    room = sink.waitForRoom();
  }
  t.ok(response.writableLength < 70_000, `${response.writableLength} bytes wait`);
  await room;
  t.ok(response.destroyed);
});
