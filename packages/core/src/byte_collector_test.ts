import * as stream from "node:stream";
import * as fastCheck from "fast-check";
import * as tap from "tap";
import * as collectors from "./byte_collector.ts";

// A piece can end within a character or just before a line feed.
tap.t.test("lines are the same for all boundaries of pieces", (t) => {
  const property = fastCheck.property(
    fastCheck.array(fastCheck.constantFrom("", "a", "é", "line of text"), { maxLength: 8 }),
    fastCheck.array(fastCheck.integer({ min: 1, max: 5 }), { minLength: 1 }),
    (lines, sizes) => {
      const bytes = Buffer.from(lines.map((line) => `${line}\n`).join("") + "incomplete");
      const splitter = new collectors.LineSplitter(100);
      const found: string[] = [];
      for (let offset = 0, i = 0; offset < bytes.length; i += 1) {
        const size = sizes[i % sizes.length]!;
        found.push(...splitter.push(bytes.subarray(offset, offset + size)));
        offset += size;
      }
      return JSON.stringify(found) === JSON.stringify(lines);
    },
  );
  fastCheck.assert(property, { seed: 20261206 });
  t.throws(
    () => new collectors.LineSplitter(3).push(Buffer.from("a\nlong")),
    collectors.BodyTooLargeError,
  );
  t.end();
});

// The answer would be taken for a whole one.
tap.t.test("a body that is too large or is cut off is not collected", async (t) => {
  const collect = (body: stream.Readable) => collectors.collectBody(body, 6);
  t.equal(
    String(await collect(stream.Readable.from([Buffer.from("ab"), Buffer.from("cd")]))),
    "abcd",
  );
  const large = stream.Readable.from([Buffer.from("abcd"), Buffer.from("efg")]);
  await t.rejects(collect(large), collectors.BodyTooLargeError);
  const cut = new stream.PassThrough();
  cut.write("ab");
  setTimeout(() => cut.destroy(), 5);
  await t.rejects(collect(cut), /cut off/);
});
