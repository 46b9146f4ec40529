import * as stream from "node:stream";
import * as tap from "tap";
import * as collectors from "./byte_collector.ts";

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
