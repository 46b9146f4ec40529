/** Checks the headers that every request has. */

import * as core from "@peridotvale/core";
import * as neverthrow from "neverthrow";
import type * as handler from "./request_handler.ts";

const REQUEST_ID_PATTERN = /^[A-Za-z0-9._:-]{1,128}$/;
const MAX_DEADLINE_MS = 24 * 60 * 60 * 1000;

/** Whether a caller's `x-request-id` may be used as it is. */
export function isRequestId(text: string): boolean {
  return REQUEST_ID_PATTERN.test(text);
}

/** Parses the headers of a request. */
export function parseRequestHead(
  headers: Headers,
  request: core.RequestId,
): neverthrow.Result<handler.RequestHead, core.RequestProblem> {
  const given = headers.get("x-request-id");
  if (given !== null && !isRequestId(given)) {
    return refuse(
      "x-request-id must be 1 to 128 letters, digits, '.', '_', ':' or '-'",
    );
  }
  const workspace = headers.get("x-workspace");
  if (workspace === null || workspace === "") {
    return refuse("x-workspace is missing");
  }
  const deadline = headers.get("x-deadline-ms");
  const deadlineMs = deadline === null ? undefined : Number(deadline);
  if (deadlineMs !== undefined && !isDeadline(deadlineMs)) {
    return refuse(
      `x-deadline-ms must be a whole number from 1 to ${MAX_DEADLINE_MS}`,
    );
  }
  const rank = headers.get("x-rank");
  return neverthrow.ok({
    request,
    workspace: core.createId<core.WorkspaceName>(workspace),
    rank: rank === null ? undefined : core.createId<core.RankName>(rank),
    deadlineMs,
  });
}

function isDeadline(value: number): boolean {
  return Number.isInteger(value) && value >= 1 && value <= MAX_DEADLINE_MS;
}

function refuse(
  detail: string,
): neverthrow.Result<never, core.RequestProblem> {
  return neverthrow.err(
    core.createRefusal(400, "invalid_header", { detail }),
  );
}
