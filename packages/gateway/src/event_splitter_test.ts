import * as fastCheck from "fast-check";
import * as tap from "tap";
import * as splitters from "./event_splitter.ts";

// A network chunk can end anywhere, even within the line breaks that separate two events. The
// incomplete event at the end of the stream must stay buffered.
tap.t.test("events are returned complete and unchanged for all chunk boundaries", (t) => {
  const eventArbitrary = fastCheck.record({ id: fastCheck.nat(), crlf: fastCheck.boolean() });
  const property = fastCheck.property(
    fastCheck.array(eventArbitrary, { maxLength: 8 }),
    fastCheck.array(fastCheck.integer({ min: 1, max: 7 }), { minLength: 1 }),
    (expectedEvents, chunkSizes) => {
      const eventTexts = expectedEvents.map(({ id, crlf }) => {
        const end = crlf ? "\r\n" : "\n";
        return `id: ${id}${end}data: payload ${id}${end}${end}`;
      });
      const bytes = Buffer.from(eventTexts.join("") + "id: 9\ndata: cut");
      const splitter = new splitters.EventSplitter();
      const foundEvents: splitters.StreamEvent[] = [];
      for (let offset = 0, chunkIndex = 0; offset < bytes.length; chunkIndex++) {
        const size = chunkSizes[chunkIndex % chunkSizes.length]!;
        foundEvents.push(...splitter.push(bytes.subarray(offset, offset + size)));
        offset += size;
      }
      const hasSameTexts = foundEvents.map((event) =>
        event.bytes.toString()
      ).join("|") === eventTexts.join("|");
      const hasIds = foundEvents.every((event, index) =>
        event.id === String(expectedEvents[index]!.id)
      );
      return hasSameTexts && hasIds && splitter.pendingBytes === "id: 9\ndata: cut".length;
    },
  );
  fastCheck.assert(property, { seed: 20261204 });
  t.end();
});

// Damaged bytes were passed on as an event, and the stream was resumed after them.
tap.t.test("an event is garbled if a line has no field name or its text is not UTF-8", (t) => {
  const cases: [text: string, isGarbled: boolean][] = [
    ["id: 1\ndata: x\n\n", false],
    ["\ufeffid: 1\r\ndata\r\n\r\n", false],
    [": ping\n\n", false],
    ["id: 1\rdata: x\n\n", false],
    ["own-field: y\ndata: \u00e9\n\n", false],
    ["id: 1\n\u0000#\n\n", true],
    ["id: 1\nta: x\nnothing\n\n", true],
  ];
  for (const [text, isGarbled] of cases) {
    const event = { bytes: Buffer.from(text), id: undefined };
    t.equal(splitters.isGarbled(event), isGarbled, JSON.stringify(text));
  }
  const bytes = Buffer.from("id: 1\ndata: \xff\n\n", "latin1");
  t.equal(splitters.isGarbled({ bytes, id: undefined }), true, "not UTF-8");
  t.end();
});

/** Time after a call's time-out by which it has an answer; the event loop is free by then. */
const MAX_PROCESSOR_MS = 500;

// Each piece of an incomplete event led to another search of all of it: some seconds for 1 MiB.
tap.t.test("an event of 1 MiB in small pieces takes time in proportion to its size", (t) => {
  const splitter = new splitters.EventSplitter();
  const piece = Buffer.alloc(32, "x");
  const startedAt = process.cpuUsage();
  let eventCount = 0;
  while (splitter.pendingBytes < 1024 * 1024) eventCount += splitter.push(piece).length;
  const { user, system } = process.cpuUsage(startedAt);
  t.ok((user + system) / 1_000 < MAX_PROCESSOR_MS, `${(user + system) / 1_000} ms`);
  t.equal(eventCount, 0);
  const [event] = splitter.push(Buffer.from("\r\n\r\n"));
  t.equal(event?.bytes.length, 1024 * 1024 + 4);
  t.equal(splitter.pendingBytes, 0);
  t.end();
});
