import * as fastCheck from "fast-check";
import * as tap from "tap";
import * as splitters from "./event_splitter.ts";

tap.t.test("events come out whole and unchanged, however the bytes are cut", (t) => {
  const event = fastCheck.record({ id: fastCheck.nat(), crlf: fastCheck.boolean() });
  const property = fastCheck.property(
    fastCheck.array(event, { maxLength: 8 }),
    fastCheck.array(fastCheck.integer({ min: 1, max: 7 }), { minLength: 1 }),
    (list, sizes) => {
      const texts = list.map(({ id, crlf }) => {
        const end = crlf ? "\r\n" : "\n";
        return `id: ${id}${end}data: payload ${id}${end}${end}`;
      });
      const bytes = Buffer.from(texts.join("") + "id: 9\ndata: cut");
      const splitter = new splitters.EventSplitter();
      const found: splitters.StreamEvent[] = [];
      for (let at = 0, turn = 0; at < bytes.length; turn++) {
        const size = sizes[turn % sizes.length]!;
        found.push(...splitter.push(bytes.subarray(at, at + size)));
        at += size;
      }
      const isSame = found.map((one) => one.bytes.toString()).join("|") === texts.join("|");
      const hasIds = found.every((one, index) => one.id === String(list[index]!.id));
      return isSame && hasIds && splitter.pendingBytes === "id: 9\ndata: cut".length;
    },
  );
  fastCheck.assert(property, { seed: 20261204 });
  t.end();
});
