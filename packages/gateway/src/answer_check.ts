/** Checks that an answer is the endpoint's own answer to the request that was sent. */

import type * as core from "@peridotvale/core";
import type * as codec from "./codec.ts";

/** Why an answer cannot be passed on. */
export interface AnswerFault {
  readonly outcome: "not_run" | "unknown";
  readonly reason:
    | "answer_of_another_request"
    | "misdirected"
    | "endpoint_refused"
    | "answer_not_genuine";
}

const FIRST_FAILURE_STATUS = 300;

/** Finds what is wrong with an answer; undefined if it may be passed on. */
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
  if (status >= FIRST_FAILURE_STATUS) return undefined;
  const isOwn = head.isGenuine && !head.isEncoded && head.request === request;
  return isOwn ? undefined : { outcome: "unknown", reason: "answer_not_genuine" };
}
