/** Stops the HTTP parser of a connection that is closed because of too many requests. */

import type * as net from "node:net";

/** Result with which a listener makes the HTTP parser take the rest for another protocol. */
const SKIP_REST = 2;

/**
 * Stops the parser of a connection that is closed. It would go on to create a request for each of
 * up to 2,000 heads that the last read has delivered, on each of the connections that were read at
 * the same time.
 */
export function stopParser(socket: net.Socket): void {
  const { parser } = socket as { readonly parser?: { onIncoming?: () => number } };
  if (parser?.onIncoming !== undefined) parser.onIncoming = () => SKIP_REST;
}
