import * as fs from "node:fs";
import * as path from "node:path";
import * as tap from "tap";
import * as mutations from "./mutations.ts";

const ROOT = path.resolve(import.meta.dirname, "../../..");

tap.t.test("each line that is tried still stands in its file, once", (t) => {
  for (const { name, file, from, test } of mutations.MUTATIONS) {
    const source = fs.readFileSync(path.join(ROOT, file), "utf8");
    t.equal(source.split(from).length - 1, 1, name);
    const testFile = test.replace("/dist/", "/src/").replace(/\.js$/, ".ts");
    t.ok(fs.existsSync(path.join(ROOT, testFile)), test);
  }
  t.end();
});
