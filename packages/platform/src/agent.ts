/** Connections to the platform's services. */

import * as core from "@peridotvale/core";
import * as undici from "undici";

/** A larger answer, or message of a watch, is cut off. */
export const MAX_ANSWER_BYTES = 16 * 1024 * 1024;

/** Creates the agent for calls to `url`; connections with TLS are not paced. */
export function createAgent(url: string, timeoutMs: number): undici.Agent {
  const connect = url.startsWith("https:")
    ? { timeout: timeoutMs }
    : core.createPacedConnector(new core.SystemClock(), timeoutMs);
  return new undici.Agent({ connect });
}
