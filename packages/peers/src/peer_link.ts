/**
 * One link to another entry process, over one WebSocket connection. The link closes when the
 * peer sends an invalid frame, or reads so slowly that unsent messages exceed a limit.
 */

import type * as core from "@peridotvale/core";
import type * as policy from "@peridotvale/policy";
import type * as ws from "ws";
import * as codec from "./codec.ts";
import type * as messages from "./messages.ts";

/** Byte and message counts of all links of a process. */
export interface LinkTraffic {
  sentBytes: number;
  sentMessages: number;
  receivedBytes: number;
  receivedMessages: number;
}

/** Receives the messages of a link, and is notified when it closes. */
export interface LinkListener {
  onMessage(link: PeerLink, message: messages.PeerMessage): void;
  onClosed(link: PeerLink): void;
}

/** Unsent bytes above which the next send closes the link. */
const MAX_BUFFERED_BYTES = 8 * 1024 * 1024;

/** A link to a peer. `peer` is `undefined` until the hello message arrives. */
export class PeerLink {
  readonly #socket: ws.WebSocket;
  readonly #traffic: LinkTraffic;
  readonly #clock: core.Clock;
  /** Whether this process opened the link. */
  readonly isOutgoing: boolean;
  #peer: policy.MemberInfo | undefined;
  #lastReceivedAt: number;

  constructor(
    socket: ws.WebSocket,
    options: {
      readonly isOutgoing: boolean;
      readonly traffic: LinkTraffic;
      readonly clock: core.Clock;
      readonly listener: LinkListener;
    },
  ) {
    this.#socket = socket;
    this.#traffic = options.traffic;
    this.#clock = options.clock;
    this.isOutgoing = options.isOutgoing;
    this.#lastReceivedAt = options.clock.now();
    socket.on("message", (data) => this.#receive(data as Uint8Array, options.listener));
    socket.on("close", () => options.listener.onClosed(this));
    socket.on("error", () => socket.terminate());
  }

  /** The process at the other end, with the state of its last hello or heartbeat. */
  get peer(): policy.MemberInfo | undefined {
    return this.#peer;
  }

  /** Time of the last message from the peer. */
  get lastReceivedAt(): number {
    return this.#lastReceivedAt;
  }

  isOpen(): boolean {
    return this.#socket.readyState === this.#socket.OPEN;
  }

  /**
   * Sends a message. Drops it if the link is not open, and closes the link if too many bytes
   * are still unsent.
   */
  send(message: messages.PeerMessage): void {
    if (!this.isOpen()) return;
    if (this.#socket.bufferedAmount > MAX_BUFFERED_BYTES) {
      this.#socket.terminate();
      return;
    }
    const frame = codec.encodeMessage(message);
    this.#traffic.sentBytes += frame.length;
    this.#traffic.sentMessages += 1;
    this.#socket.send(frame);
  }

  /** Closes the link immediately, without a closing handshake. */
  close(): void {
    this.#socket.terminate();
  }

  #receive(data: Uint8Array, listener: LinkListener): void {
    this.#traffic.receivedBytes += data.length;
    this.#traffic.receivedMessages += 1;
    const message = codec.decodeMessage(data);
    if (message.isErr()) {
      this.#socket.terminate();
      return;
    }
    this.#lastReceivedAt = this.#clock.now();
    if (message.value.type === "hello") this.#peer = message.value.info;
    if (this.#peer === undefined) {
      this.#socket.terminate();
      return;
    }
    if (message.value.type === "heartbeat") {
      const { incarnation, draining } = message.value;
      this.#peer = { ...this.#peer, incarnation, draining };
    }
    listener.onMessage(this, message.value);
  }
}
