/**
 * Checks that an answer comes from the expected endpoint and belongs to the request that was
 * sent. This guards against answers of an earlier request on a reused connection, of another
 * instance at the same address, and of an intermediary.
 */

import type * as core from "@peridotvale/core";
import type * as codec from "./codec.ts";

/** Why an answer cannot be sent to the caller, and whether the request may have run. */
export interface AnswerFault {
  readonly outcome: "not_run" | "unknown";
  readonly reason:
    | "answer_of_another_request"
    | "misdirected"
    | "endpoint_refused"
    | "answer_not_genuine";
}

const FIRST_NON_SUCCESS_STATUS = 300;

/**
 * Returns why an answer cannot be sent to the caller, or undefined if it can. An answer of
 * another request says nothing about this one, so its outcome is unknown even if the head says
 * that the request has not run.
 */
export function findAnswerFault(
  status: number,
  head: codec.AnswerHead | undefined,
  request: core.RequestId,
): AnswerFault | undefined {
  if (head === undefined) return { outcome: "unknown", reason: "answer_not_genuine" };
  if (head.request !== undefined && head.request !== request) {
    return { outcome: "unknown", reason: "answer_of_another_request" };
  }
  if (head.isMisdirected) return { outcome: "not_run", reason: "misdirected" };
  if (head.isNotRun) return { outcome: "not_run", reason: "endpoint_refused" };
  if (status >= FIRST_NON_SUCCESS_STATUS) return undefined;
  const isFromEndpoint = head.isGenuine && !head.isEncoded && head.request === request;
  return isFromEndpoint ? undefined : { outcome: "unknown", reason: "answer_not_genuine" };
}
