/**
 * Mutation tests: applies each mutation to a copy of the repository, builds the copy and runs the
 * test that must fail. Exits with 1 if a mutation survives, that is, its test passes.
 */

import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as mutations from "./mutations.ts";

/** Number of copies tested in parallel, since tests spend most of their time waiting. */
const COPY_COUNT = 4;
const TEST_TIMEOUT_MS = 90_000;
/** Without it, a file that takes longer than 30 s by itself fails, which looks like a detection. */
const TAP_TIMEOUT_S = TEST_TIMEOUT_MS / 1000;
const COPIED_PATHS = ["deploy", "docs", "packages", "platform", "package.json", "tsconfig.json"];

/** Copies the sources and the build output; returns the folder of the copy. */
function createCopy(root: string): string {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "peridotvale-mutation-"));
  for (const name of [...COPIED_PATHS, "tsconfig.base.json"]) {
    fs.cpSync(path.join(root, name), path.join(folder, name), { recursive: true });
  }
  // A mutation may leave variables unused, which must not fail the build.
  const tsconfigPath = path.join(folder, "tsconfig.base.json");
  fs.writeFileSync(
    tsconfigPath,
    fs.readFileSync(tsconfigPath, "utf8").replaceAll(
      /"noUnused(\w+)": true/g,
      '"noUnused$1": false',
    ),
  );
  // The relative links in node_modules/@peridotvale resolve to the packages of the copy. All other
  // entries of node_modules are links to those of the repository.
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

/** Applies the mutation, runs its test and restores the file; returns whether the test failed. */
async function tryMutation(folder: string, mutation: mutations.Mutation): Promise<boolean> {
  const sourcePath = path.join(folder, mutation.file);
  const originalSource = fs.readFileSync(sourcePath, "utf8");
  fs.writeFileSync(sourcePath, originalSource.replace(mutation.from, mutation.to));
  try {
    await runScript(folder, ["node_modules/typescript/bin/tsc", "-b"]);
    return await runScript(folder, [mutation.test]) !== 0;
  } finally {
    fs.writeFileSync(sourcePath, originalSource);
  }
}

/** Runs a script; returns its exit code, or undefined if a signal killed it, as on a time-out. */
function runScript(folder: string, args: readonly string[]): Promise<number | undefined> {
  return new Promise((resolve) => {
    const env = { ...process.env, TAP_TIMEOUT: String(TAP_TIMEOUT_S) };
    const child = childProcess.spawn(process.execPath, args, { cwd: folder, env, stdio: "ignore" });
    const timer = setTimeout(() => child.kill("SIGKILL"), TEST_TIMEOUT_MS);
    child.on("close", (code) => {
      clearTimeout(timer);
      resolve(code ?? undefined);
    });
  });
}

/** Tests mutations taken from `pendingMutations` in a new copy; returns how many survive. */
async function runMutations(root: string, pendingMutations: mutations.Mutation[]): Promise<number> {
  const folder = createCopy(root);
  let survivorCount = 0;
  for (
    let mutation = pendingMutations.shift();
    mutation !== undefined;
    mutation = pendingMutations.shift()
  ) {
    const isKilled = await tryMutation(folder, mutation);
    if (!isKilled) survivorCount += 1;
    process.stdout.write(
      `${isKilled ? "killed  " : "SURVIVED"} ${mutation.name} (${mutation.test})\n`,
    );
  }
  fs.rmSync(folder, { recursive: true });
  return survivorCount;
}

const fileFilter = process.argv[2];
const pendingMutations = mutations.MUTATIONS.filter((mutation) =>
  fileFilter === undefined || mutation.file.includes(fileFilter)
);
const mutationCount = pendingMutations.length;
const survivorCounts = Array.from(
  { length: COPY_COUNT },
  () => runMutations(process.cwd(), pendingMutations),
);
const survivorCount = (await Promise.all(survivorCounts)).reduce((sum, count) => sum + count, 0);
process.stdout.write(`${mutationCount - survivorCount} of ${mutationCount} killed\n`);
process.exitCode = survivorCount === 0 ? 0 : 1;
