#!/usr/bin/env node
import * as main from "../dist/main.js";

const EXIT_DELAY_MS = 200;

await main.runMain(process.argv);
setTimeout(() => process.exit(), EXIT_DELAY_MS);
