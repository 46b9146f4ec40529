/** Bundles the entry process for the platform into one file, which shortens its start. */

import process from "node:process";
import * as esbuild from "esbuild";

await esbuild.build({
  entryPoints: ["platform/src/main.ts"],
  outfile: process.argv[2] ?? "target/peridotvale.cjs",
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  minifySyntax: true,
  minifyWhitespace: true,
  alias: { undici: "./deploy/undici_dispatchers.cjs" },
  tsconfig: "deploy/tsconfig.json",
  logLevel: "warning",
});
