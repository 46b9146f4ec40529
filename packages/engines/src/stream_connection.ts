/** The connection of one stream, which is held while its receiver cannot take more events. */

import * as core from "@peridotvale/core";
import * as undici from "undici";

/** Pauses and resumes the reading from a connection. */
export interface HoldableConnection {
  hold(): void;
  release(): void;
}

/**
 * A connection for one request. To pause its answer, the socket is held: undici's parser fails an
 * assertion, which ends the process, if it is paused when its connection ends.
 */
export class StreamConnection implements HoldableConnection {
  readonly client: undici.Client;
  #socket: core.PacedSocket | undefined;

  constructor(
    endpoint: core.EndpointId,
    connect: core.PacedConnector,
  ) {
    this.client = new undici.Client(`http://${endpoint}`, {
      pipelining: 0,
      connect: (options, callback) =>
        connect(options, (...result) => {
          this.#socket = result[1] ?? undefined;
          callback(...result);
        }),
    });
  }

  hold(): void {
    this.#socket?.hold();
  }

  release(): void {
    this.#socket?.release();
  }

  close(): void {
    this.client.destroy().catch(() => {});
  }
}
