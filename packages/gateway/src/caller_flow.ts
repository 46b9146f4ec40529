/**
 * One request in the account of callers' memory: reads its body, reports what its caller has read
 * of the answer, and carries out what was decided about it.
 */

import type * as http from "node:http";
import type * as net from "node:net";
import type * as policy from "@peridotvale/policy";
import * as bodies from "./body_reader.ts";
import type * as memories from "./memory_agent.ts";

export interface CallerFlowOptions {
  readonly incoming: http.IncomingMessage;
  readonly response: http.ServerResponse;
  /** Id of the request, or an empty string. */
  readonly request: string;
  readonly maxBodyBytes: number;
}

export class CallerFlow implements memories.MemoryClient {
  readonly memory: memories.MemoryAgent;
  readonly holder: policy.MemoryHolder;
  readonly reader: bodies.BodyReader;
  readonly socket: net.Socket;
  readonly request: string;
  readonly #response: http.ServerResponse;
  #blockedBytes = 0;
  #pendingBytes = 0;

  constructor(memory: memories.MemoryAgent, options: CallerFlowOptions) {
    const { incoming, maxBodyBytes } = options;
    this.memory = memory;
    this.request = options.request;
    this.socket = incoming.socket;
    this.#response = options.response;
    const headBytes = incoming.rawHeaders.reduce((sum, text) => sum + text.length, 0);
    this.holder = memory.addRequest(headBytes, this);
    this.reader = new bodies.BodyReader({ incoming, maxBodyBytes, memory, holder: this.holder });
  }

  resumeBody(): void {
    this.reader.resumeThrottled();
  }

  /** Carries out the decision to close the request or the sending of its answer. */
  close(reason: policy.CloseReason): void {
    if (this.holder.phase === "receiving") this.reader.close(reason);
    else this.#response.destroy();
  }

  /**
   * Records that the request is refused, and stops reading its body. Returns whether the connection
   * must be closed after the answer.
   */
  refuse(reason: string): boolean {
    const { socket, request } = this;
    this.memory.recordRejection("refused", reason, { socket, request });
    return this.reader.stop();
  }

  /** Records that the body is complete. */
  startServing(): void {
    this.memory.setPhase(this.holder, "serving");
  }

  /** From now on the caller is expected to read its answer. */
  startSending(): void {
    this.memory.setPhase(this.holder, "sending");
  }

  /** Gives back the body; the answer is held until it has been sent. */
  finishServing(): void {
    this.memory.charge(this.holder, "body", -this.holder.bytes.body);
    const release = () => this.memory.removeRequest(this.holder);
    if (this.#response.closed || this.socket.destroyed) return release();
    this.#response.once("close", release);
    this.startSending();
  }

  /** Records an answer that is passed to the connection. */
  recordAnswer(bytes: number): void {
    this.memory.charge(this.holder, "answer", bytes);
  }

  /** Records that `bytes` of an engine's answer are buffered until they can be passed on. */
  recordPending(bytes: number): void {
    if (bytes !== this.#pendingBytes) {
      this.memory.charge(this.holder, "answer", bytes - this.#pendingBytes);
    }
    this.#pendingBytes = bytes;
  }

  recordSent(bytes: number): void {
    this.holder.movedBytes += bytes;
  }

  /** Records that `bytes` of a stream wait for the caller to read. */
  recordBlocked(bytes: number): void {
    this.memory.charge(this.holder, "answer", bytes - this.#blockedBytes);
    this.#blockedBytes = bytes;
    this.memory.setPhase(this.holder, "sending");
  }

  /** Records that the caller has read what waited. */
  recordDrained(): void {
    this.memory.charge(this.holder, "answer", -this.#blockedBytes);
    this.#blockedBytes = 0;
    this.memory.setPhase(this.holder, "serving");
  }
}
