/** Tells an engine that has crashed from one that has only lost connections. */

import * as net from "node:net";
import type * as core from "@peridotvale/core";

/** Whether an endpoint accepts a connection, refuses it, or does not respond. */
export type ListenerState = "listening" | "refused" | "silent";

/** Opens and closes a connection; sends nothing. */
export function checkListener(
  endpoint: core.EndpointId,
  timeoutMs: number,
): Promise<ListenerState> {
  const separator = endpoint.lastIndexOf(":");
  const host = endpoint.slice(0, separator);
  const port = Number(endpoint.slice(separator + 1));
  return new Promise((resolve) => {
    const socket = net.connect({ host, port });
    const timer = setTimeout(() => finish("silent"), timeoutMs);
    const finish = (state: ListenerState) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(state);
    };
    socket.once("connect", () => finish("listening"));
    socket.on(
      "error",
      (error: NodeJS.ErrnoException) =>
        finish(error.code === "ECONNREFUSED" ? "refused" : "silent"),
    );
  });
}
