/**
 * Checks that an answer comes from the expected endpoint and belongs to the request that was
 * sent. This guards against the answer to an earlier request on a reused connection, and against
 * answers from another instance at the same address or from an intermediary.
 */

import type * as core from "@peridotvale/core";
import type * as codec from "./codec.ts";

/** Why an answer cannot be sent to the caller, and whether the request may have run. */
export interface AnswerFault {
  readonly outcome: "not_run" | "unknown";
  readonly reason:
    | "answer_of_another_request"
    | "answer_without_request"
    | "misdirected"
    | "endpoint_refused"
    | "answer_not_genuine";
}

/** A request as it was sent to an endpoint. */
export interface SentRequest {
  readonly id: core.RequestId;
  /** Whether the connection has carried another request before. */
  readonly isConnectionReused: boolean;
}

const FIRST_NON_SUCCESS_STATUS = 300;
/**
 * Largest part of a body that is read although its answer cannot be used. A connection whose body
 * ends within it is kept.
 */
export const MAX_UNUSED_BODY_BYTES = 64 * 1024;

/**
 * Returns why an answer cannot be sent to the caller, or undefined if it can. An answer to
 * another request says nothing about `request`. On a reused connection, an answer that names no
 * request may be a late copy of an earlier one. The outcome of `request` is then unknown, even
 * if that answer's head states that its request has not run.
 */
export function findAnswerFault(
  status: number,
  head: codec.AnswerHead | undefined,
  request: SentRequest,
): AnswerFault | undefined {
  if (head === undefined) return { outcome: "unknown", reason: "answer_not_genuine" };
  if (head.request !== undefined && head.request !== request.id) {
    return { outcome: "unknown", reason: "answer_of_another_request" };
  }
  if (head.request === undefined && request.isConnectionReused) {
    return { outcome: "unknown", reason: "answer_without_request" };
  }
  if (head.isMisdirected) return { outcome: "not_run", reason: "misdirected" };
  if (head.isRefused) return { outcome: "not_run", reason: "endpoint_refused" };
  if (status >= FIRST_NON_SUCCESS_STATUS) return undefined;
  const isFromEndpoint = head.isGenuine && !head.isEncoded && head.request === request.id;
  return isFromEndpoint ? undefined : { outcome: "unknown", reason: "answer_not_genuine" };
}
