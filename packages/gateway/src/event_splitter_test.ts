import * as fastCheck from "fast-check";
import * as tap from "tap";
import * as splitters from "./event_splitter.ts";

// A network chunk can end anywhere, even within the line ends that separate two events. The
// incomplete event at the end of the stream must stay buffered.
tap.t.test("events are returned complete and unchanged for any division into chunks", (t) => {
  const eventArbitrary = fastCheck.record({ id: fastCheck.nat(), crlf: fastCheck.boolean() });
  const property = fastCheck.property(
    fastCheck.array(eventArbitrary, { maxLength: 8 }),
    fastCheck.array(fastCheck.integer({ min: 1, max: 7 }), { minLength: 1 }),
    (expected, sizes) => {
      const texts = expected.map(({ id, crlf }) => {
        const end = crlf ? "\r\n" : "\n";
        return `id: ${id}${end}data: payload ${id}${end}${end}`;
      });
      const bytes = Buffer.from(texts.join("") + "id: 9\ndata: cut");
      const splitter = new splitters.EventSplitter();
      const found: splitters.StreamEvent[] = [];
      for (let offset = 0, chunkIndex = 0; offset < bytes.length; chunkIndex++) {
        const size = sizes[chunkIndex % sizes.length]!;
        found.push(...splitter.push(bytes.subarray(offset, offset + size)));
        offset += size;
      }
      const isSame = found.map((event) => event.bytes.toString()).join("|") === texts.join("|");
      const hasIds = found.every((event, index) => event.id === String(expected[index]!.id));
      return isSame && hasIds && splitter.pendingBytes === "id: 9\ndata: cut".length;
    },
  );
  fastCheck.assert(property, { seed: 20261204 });
  t.end();
});
