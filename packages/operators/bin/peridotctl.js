#!/usr/bin/env node
import * as main from "../dist/peridotctl.js";

await main.runMain(process.argv);
