import * as childProcess from "node:child_process";
import * as path from "node:path";
import * as stream from "node:stream";
import * as tap from "tap";
import * as sinks from "./log_sink.ts";

function createTarget(options: { readonly hasReader: boolean }) {
  const writtenChunks: string[] = [];
  const target = new stream.Writable({
    write(chunk, _encoding, callback) {
      writtenChunks.push(String(chunk));
      if (options.hasReader) callback();
    },
  });
  return { target, written: writtenChunks };
}

tap.t.test("lines beyond 1000 per second are dropped, and their count is logged", async (t) => {
  const { target, written } = createTarget({ hasReader: true });
  let now = 0;
  const sink = new sinks.LogSink(target, () => now);
  for (let i = 0; i < 1_500; i++) sink.write(`line ${i}\n`);
  t.equal(sink.droppedLineCount, 500);
  now = 1_000;
  sink.write("later\n");
  await new Promise((resolve) => setImmediate(resolve));
  const lines = written.join("").split("\n");
  t.equal(lines.filter((line) => line.startsWith("line")).length, 1_000);
  t.same(lines.slice(-3), ["event=log_lines_dropped count=500", "later", ""]);
});

// Without the bound on buffered bytes, a stopped reader would let the memory of the process grow.
tap.t.test("buffered lines stay within 256 KiB when the reader has stopped", async (t) => {
  const { target } = createTarget({ hasReader: false });
  let now = 0;
  const sink = new sinks.LogSink(target, () => now);
  for (let i = 0; i < 5_000; i++) {
    now += 10;
    sink.write(`${"x".repeat(200)}\n`);
    if (i % 100 === 0) await new Promise((resolve) => setImmediate(resolve));
  }
  sink.flush();
  t.ok(target.writableLength <= 256 * 1024);
  t.ok(sink.droppedLineCount > 3_000);
});

// A write that blocks on a full pipe would stop the event loop of a serving process.
tap.t.test("a process is not blocked when nobody reads its standard output", async (t) => {
  const sinkFile = path.join(import.meta.dirname, "log_sink.js");
  const script = `
    import { LogSink } from ${JSON.stringify(sinkFile)};
    let now = 0;
    const sink = new LogSink(process.stdout, () => now += 10);
    for (let i = 0; i < 20_000; i++) {
      sink.write("x".repeat(200) + "\\n");
      if (i % 100 === 0) await new Promise((resolve) => setImmediate(resolve));
    }
    process.stderr.write("done");
    process.exit(0);
  `;
  const child = childProcess.spawn(process.execPath, ["--input-type=module", "-e", script], {
    stdio: ["ignore", "pipe", "pipe"],
  });
  t.teardown(() => child.kill("SIGKILL"));
  const childOutput = await new Promise<string>((resolve) => {
    child.stderr.once("data", (data) => resolve(String(data)));
    child.once("exit", () => resolve("child exited without output"));
  });
  t.equal(childOutput, "done");
});
