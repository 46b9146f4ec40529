/**
 * Makes each change of the list in a copy of the repository, builds it and runs the
 * test that must fail. Exits with 1 if one passes.
 */

import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as mutations from "./mutations.ts";

/** Copies that are worked on at once; the tests wait more than they compute. */
const COPIES = 4;
const TEST_TIMEOUT_MS = 90_000;
const COPIED = ["deploy", "docs", "packages", "platform", "package.json", "tsconfig.json"];

/** Copies the sources and what is built of them; returns the copy's folder. */
function createCopy(root: string): string {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "peridotvale-mutation-"));
  for (const name of [...COPIED, "tsconfig.base.json"]) {
    fs.cpSync(path.join(root, name), path.join(folder, name), { recursive: true });
  }
  // What a change leaves unused is no error there.
  const base = path.join(folder, "tsconfig.base.json");
  fs.writeFileSync(
    base,
    fs.readFileSync(base, "utf8").replaceAll(/"noUnused(\w+)": true/g, '"noUnused$1": false'),
  );
  // The copy's own packages, the others' from the repository.
  fs.mkdirSync(path.join(folder, "node_modules"));
  for (const name of fs.readdirSync(path.join(root, "node_modules"))) {
    if (name === "@peridotvale") continue;
    fs.symlinkSync(path.join(root, "node_modules", name), path.join(folder, "node_modules", name));
  }
  fs.cpSync(
    path.join(root, "node_modules/@peridotvale"),
    path.join(folder, "node_modules/@peridotvale"),
    { recursive: true, verbatimSymlinks: true },
  );
  return folder;
}

/** Returns whether the test fails with the change. */
async function tryMutation(folder: string, mutation: mutations.Mutation): Promise<boolean> {
  const file = path.join(folder, mutation.file);
  const source = fs.readFileSync(file, "utf8");
  fs.writeFileSync(file, source.replace(mutation.from, mutation.to));
  try {
    await run(folder, ["node_modules/typescript/bin/tsc", "-b"]);
    return await run(folder, [mutation.test]) !== 0;
  } finally {
    fs.writeFileSync(file, source);
  }
}

/** Runs a script; returns its exit code, undefined if it took too long. */
function run(folder: string, args: readonly string[]): Promise<number | undefined> {
  return new Promise((resolve) => {
    const child = childProcess.spawn(process.execPath, args, { cwd: folder, stdio: "ignore" });
    const timer = setTimeout(() => child.kill("SIGKILL"), TEST_TIMEOUT_MS);
    child.on("close", (code) => {
      clearTimeout(timer);
      resolve(code ?? undefined);
    });
  });
}

async function runCopy(root: string, waiting: mutations.Mutation[]): Promise<number> {
  const folder = createCopy(root);
  let survived = 0;
  for (let next = waiting.shift(); next !== undefined; next = waiting.shift()) {
    const hasFailed = await tryMutation(folder, next);
    if (!hasFailed) survived += 1;
    process.stdout.write(`${hasFailed ? "found   " : "SURVIVED"} ${next.name} (${next.test})\n`);
  }
  fs.rmSync(folder, { recursive: true });
  return survived;
}

const only = process.argv[2];
const waiting = mutations.MUTATIONS.filter((one) => only === undefined || one.file.includes(only));
const total = waiting.length;
const copies = Array.from({ length: COPIES }, () => runCopy(process.cwd(), waiting));
const survived = (await Promise.all(copies)).reduce((sum, count) => sum + count, 0);
process.stdout.write(`${total - survived} of ${total} found\n`);
process.exitCode = survived === 0 ? 0 : 1;
