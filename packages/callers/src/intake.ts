/**
 * Takes in callers' requests within the account of their memory: reads each body before the request
 * is handed over, and refuses those for which there is no memory. See docs/design/caller-memory.md.
 */

import * as http from "node:http";
import * as crypto from "node:crypto";
import * as core from "@peridotvale/core";
import * as memories from "@peridotvale/gateway/intake";
import * as heads from "./request_head.ts";

export interface IntakeOptions {
  readonly memory: memories.MemoryAgent;
  readonly maxBodyBytes: number;
  readonly handle: (incoming: http.IncomingMessage, response: http.ServerResponse) => void;
}

const MIN_RETRY_AFTER_MS = 100;
/** Answers above this size are sent in slices, so that a caller that does not read is noticed. */
const LARGE_ANSWER_BYTES = 64 * 1024;

/** A response that sends a large body in slices and reports what the caller has read. */
export class MeteredResponse<T extends http.IncomingMessage = http.IncomingMessage>
  extends http.ServerResponse<T> {
  flow: memories.CallerFlow | undefined;

  override end(...args: unknown[]): this {
    this.flow?.startSending();
    const [body] = args;
    if (!(body instanceof Uint8Array) || body.length <= LARGE_ANSWER_BYTES || !this.flow) {
      return super.end(...args as Parameters<http.ServerResponse["end"]>);
    }
    const { flow } = this;
    this.flow = undefined;
    flow.recordAnswer(body.length);
    memories.sendBody(
      this,
      Buffer.from(body.buffer, body.byteOffset, body.length),
      (bytes) => flow.recordSent(bytes),
    );
    return this;
  }
}

/** Reads the body of a request and hands the request over. */
export async function takeRequest(
  incoming: http.IncomingMessage,
  response: MeteredResponse,
  options: IntakeOptions,
): Promise<void> {
  const { memory, maxBodyBytes, handle } = options;
  if (incoming.socket.destroyed) return;
  const isAdmitted = memory.decideAdmission(0) === "admitted";
  const request = readRequestId(incoming);
  const flow = new memories.CallerFlow(memory, { incoming, response, request, maxBodyBytes });
  response.once("close", () => flow.finishServing());
  if (!isAdmitted) return refuse(response, flow, 503, "memory_exhausted");
  const result = await flow.reader.read();
  if (result.type === "gone" || response.destroyed) return;
  if (result.type === "refused") return refuse(response, flow, result.status, result.reason);
  flow.startServing();
  response.flow = flow;
  // The HTTP framework takes the body from this property in place of the stream.
  if (result.body !== undefined) Object.assign(incoming, { rawBody: result.body });
  handle(incoming, response);
}

function refuse(
  response: http.ServerResponse,
  flow: memories.CallerFlow,
  status: number,
  reason: string,
): void {
  const problem = core.createRefusal(status, reason, {
    detail: "the request was refused and has not run",
    retryAfterMs: status === 503 ? MIN_RETRY_AFTER_MS : undefined,
  });
  const request = core.createId<core.RequestId>(flow.request);
  if (flow.refuse(reason)) response.setHeader("connection", "close");
  flow.startSending();
  response.writeHead(status, core.createProblemHeaders(problem, request));
  response.end(core.formatProblemBody(problem, request));
}

function readRequestId(incoming: http.IncomingMessage): string {
  const requestedId = incoming.headers["x-request-id"];
  const isUsable = typeof requestedId === "string" && heads.isRequestId(requestedId);
  return isUsable ? requestedId : crypto.randomUUID();
}
