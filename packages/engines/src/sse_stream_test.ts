import * as stream from "node:stream";
import * as core from "@peridotvale/core";
import * as tap from "tap";
import * as sse from "./sse_stream.ts";

const CHUNK_BYTES = 64 * 1024;
/** Bytes after which a test gives up on a stream that should have been cut off. */
const MAX_WRITTEN_BYTES = 16 * 1024 * 1024;

function createStream(body: stream.PassThrough): sse.SseStream {
  return new sse.SseStream(body as never, {
    generation: core.createId<core.GenerationId>("g1"),
    version: "v1",
    silenceTimeoutMs: 60_000,
    connection: { hold: () => {}, release: () => {} },
  });
}

/** Writes `createChunk()` until the reader closes `body`; returns the bytes that were written. */
async function writeUntilClosed(
  body: stream.PassThrough,
  createChunk: () => string,
): Promise<number> {
  let writtenBytes = 0;
  while (!body.destroyed && writtenBytes < MAX_WRITTEN_BYTES) {
    const chunk = createChunk();
    writtenBytes += chunk.length;
    body.write(chunk);
    await new Promise((resolve) => setImmediate(resolve));
  }
  body.destroy();
  return writtenBytes;
}

const SINK = { onEvent: () => true, waitForWritable: () => undefined };

// Such bytes are no event, however many follow, so that nothing would ever reach the caller.
for (const [name, filler] of Object.entries({ line: "x", comments: ":\n" })) {
  tap.t.test(`an engine that sends an endless ${name} instead of events is cut off`, async (t) => {
    const body = new stream.PassThrough();
    const relayed = createStream(body).relay(SINK as never);
    const chunk = filler.repeat(CHUNK_BYTES / filler.length);
    const writtenBytes = await writeUntilClosed(body, () => chunk);
    const result = await relayed;
    t.ok(result.isErr() && result.error.code === "protocol");
    t.ok(writtenBytes < MAX_WRITTEN_BYTES, `${writtenBytes} bytes were read`);
  });
}

tap.t.test("a long stream of events is not cut off", async (t) => {
  const body = new stream.PassThrough();
  let eventCount = 0;
  const sink = {
    onEvent: () => {
      eventCount += 1;
      return true;
    },
    waitForWritable: () => undefined,
  };
  const relayed = createStream(body).relay(sink as never);
  const choice = { choices: [{ text: "x".repeat(1_000), finish_reason: null }] };
  const eventTotal = 4_000;
  for (let sequence = 1; sequence <= eventTotal; sequence += 1) {
    body.write(`id: g1:${sequence}\ndata: ${JSON.stringify(choice)}\n\n`);
    if (sequence % 100 === 0) await new Promise((resolve) => setImmediate(resolve));
  }
  const end = { choices: [{ text: "", finish_reason: "stop" }] };
  body.end(`id: g1:${eventTotal + 1}\ndata: ${JSON.stringify(end)}\n\n`);
  t.ok((await relayed).isOk());
  t.equal(eventCount, eventTotal + 1);
});
