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
