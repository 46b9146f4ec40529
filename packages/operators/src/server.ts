/** HTTP server for operators. It only returns state and accepts manifests. */

import type * as http from "node:http";
import * as core from "@peridotvale/core";
import * as nodeServer from "@hono/node-server";
import * as hono from "hono";
import { bodyLimit } from "hono/body-limit";
import type * as handler from "./operator_handler.ts";

export interface OperatorServer {
  /** Bound address, as `host:port`. */
  readonly address: string;
  /** Stops listening and closes all connections. */
  close(): void;
}

/** Largest accepted manifest. The key-value service limits values to one megabyte. */
const MAX_MANIFEST_BYTES = 900_000;

const SUBMIT_STATUS = {
  accepted: 200,
  invalid: 422,
  conflict: 409,
  not_accepted: 503,
  unknown: 502,
} as const;

/** Starts a server that passes requests to `operatorHandler`. Resolves once it listens. */
export function startOperatorServer(
  operatorHandler: handler.OperatorHandler,
  options: { readonly host: string; readonly port: number },
): Promise<OperatorServer> {
  const app = createApp(operatorHandler);
  return new Promise((resolve, reject) => {
    const server = nodeServer.serve({
      fetch: app.fetch,
      hostname: options.host,
      port: options.port,
    }, (info) => {
      const close = () => {
        server.close();
        (server as http.Server).closeAllConnections();
      };
      resolve({ address: `${options.host}:${info.port}`, close });
    });
    server.once("error", reject);
  });
}

function createApp(operatorHandler: handler.OperatorHandler): hono.Hono {
  const app = new hono.Hono();
  app.get("/status", (context) => context.json(operatorHandler.getStatus()));
  app.get("/manifest", (context) => {
    const manifest = operatorHandler.getManifest();
    if (manifest === undefined) {
      return context.json({ message: "no manifest is in force" }, 404);
    }
    return context.json(manifest);
  });
  app.post(
    "/manifest",
    bodyLimit({ maxSize: MAX_MANIFEST_BYTES }),
    async (context) => {
      const base = Number(context.req.query("base"));
      const submission = context.req.query("submission") ?? "";
      if (!Number.isInteger(base) || base < 0 || submission === "") {
        return context.json(
          { message: "base and submission are required" },
          400,
        );
      }
      const view = await operatorHandler.submit(await context.req.text(), {
        base,
        submission,
      });
      return context.json(view, SUBMIT_STATUS[view.type]);
    },
  );
  app.get("/requests/:request", async (context) => {
    const request = core.createId<core.RequestId>(context.req.param("request"));
    return context.json({ decisions: await operatorHandler.explain(request) });
  });
  return app;
}
