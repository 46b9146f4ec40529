/** Parses and validates the headers common to all callers' requests. */

import * as core from "@peridotvale/core";
import * as neverthrow from "neverthrow";
import type * as handler from "./request_handler.ts";

const REQUEST_ID_PATTERN = /^[A-Za-z0-9._:-]{1,128}$/;
const MAX_DEADLINE_MS = 24 * 60 * 60 * 1000;

/** Whether a caller's `x-request-id` is valid and can be used as the request's id. */
export function isRequestId(text: string): boolean {
  return REQUEST_ID_PATTERN.test(text);
}

/** Parses the common headers. `request` is the id under which the request is served. */
export function parseRequestHead(
  headers: Headers,
  request: core.RequestId,
): neverthrow.Result<handler.RequestHead, core.RequestProblem> {
  const requestedId = headers.get("x-request-id");
  if (requestedId !== null && !isRequestId(requestedId)) {
    return refuseHeader(
      "x-request-id must be 1 to 128 letters, digits, '.', '_', ':' or '-'",
    );
  }
  const workspace = headers.get("x-workspace");
  if (workspace === null || workspace === "") {
    return refuseHeader("x-workspace is missing");
  }
  const deadline = headers.get("x-deadline-ms");
  const deadlineMs = deadline === null ? undefined : Number(deadline);
  if (deadlineMs !== undefined && !isValidDeadline(deadlineMs)) {
    return refuseHeader(
      `x-deadline-ms must be a whole number from 1 to ${MAX_DEADLINE_MS}`,
    );
  }
  const rank = headers.get("x-rank");
  return neverthrow.ok({
    requestId: request,
    workspace: core.createId<core.WorkspaceName>(workspace),
    rank: rank === null ? undefined : core.createId<core.RankName>(rank),
    deadlineMs,
  });
}

function isValidDeadline(value: number): boolean {
  return Number.isInteger(value) && value >= 1 && value <= MAX_DEADLINE_MS;
}

function refuseHeader(
  detail: string,
): neverthrow.Result<never, core.RequestProblem> {
  return neverthrow.err(
    core.createRefusal(400, "invalid_header", { detail }),
  );
}
