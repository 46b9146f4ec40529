import * as fs from "node:fs";
import * as path from "node:path";
import * as tap from "tap";
import * as mutations from "./mutations.ts";

const ROOT = path.resolve(import.meta.dirname, "../../..");

// Guards against mutations that no longer apply because the code or a test has moved.
tap.t.test(
  "the text that a mutation replaces occurs exactly once in its file, and its test exists",
  (t) => {
    for (const { name, file, from, test } of mutations.MUTATIONS) {
      const source = fs.readFileSync(path.join(ROOT, file), "utf8");
      t.equal(source.split(from).length - 1, 1, name);
      const testFile = test.replace("/dist/", "/src/").replace(/\.js$/, ".ts");
      t.ok(fs.existsSync(path.join(ROOT, testFile)), test);
    }
    t.end();
  },
);
