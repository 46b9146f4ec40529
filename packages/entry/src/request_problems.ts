/** Converts refusals and failures of requests into the problems that callers receive. */

import * as core from "@peridotvale/core";
import type * as capacity from "./capacity_client.ts";

/** How far a request got before it failed. */
export interface RequestProgress {
  readonly outcome: core.FailureOutcome;
  readonly deliveredTokens?: number | undefined;
}

interface ProblemTemplate {
  readonly status: number;
  readonly detail: string;
  /** Whether a retry by the caller can succeed. */
  readonly retryable: boolean;
}

const REFUSAL_TEMPLATES: Readonly<
  Record<capacity.CapacityRefusal["reason"], ProblemTemplate>
> = {
  busy: { status: 429, detail: "no capacity is free now", retryable: true },
  queue_too_long: {
    status: 429,
    detail: "the request could not start in time for its rank",
    retryable: true,
  },
  deadline_exceeded: {
    status: 503,
    detail: "no capacity became free in time for the request's rank",
    retryable: true,
  },
  no_endpoint: {
    status: 503,
    detail: "no endpoint can take the request now",
    retryable: true,
  },
  too_large: {
    status: 413,
    detail: "the prompt exceeds the memory of every endpoint",
    retryable: false,
  },
  unknown_workspace: {
    status: 403,
    detail: "no such workspace",
    retryable: false,
  },
  unknown_model: { status: 404, detail: "no such model", retryable: false },
  unknown_rank: { status: 400, detail: "no such rank", retryable: false },
  owner_unreachable: {
    status: 503,
    detail: "no scheduler could be reached for the request's endpoints",
    retryable: true,
  },
  draining: {
    status: 503,
    detail: "this process is shutting down",
    retryable: true,
  },
  workspace_limit: {
    status: 429,
    detail: "the workspace has too many open requests",
    retryable: true,
  },
  cancelled: {
    status: 499,
    detail: "the caller closed the connection",
    retryable: false,
  },
};

const STOP_TEMPLATES: Readonly<Record<string, ProblemTemplate>> = {
  deadline_exceeded: {
    status: 504,
    detail: "the deadline has passed",
    retryable: false,
  },
  attempts_exhausted: {
    status: 502,
    detail: "all attempts have failed",
    retryable: true,
  },
  retry_budget_exhausted: {
    status: 503,
    detail: "too many requests are being retried now",
    retryable: true,
  },
  not_repeatable: {
    status: 502,
    detail: "the call may have run and is not retried",
    retryable: false,
  },
  cancelled: {
    status: 499,
    detail: "the caller closed the connection",
    retryable: false,
  },
  overrun: {
    status: 502,
    detail: "the endpoint exceeded the token limit",
    retryable: false,
  },
};

const RETRY_AFTER_MS = 1_000;

/** Creates the problem of a request that was refused capacity. */
export function createCapacityProblem(
  refusal: capacity.CapacityRefusal,
  progress: RequestProgress,
): core.RequestProblem {
  const { status, detail, retryable } = REFUSAL_TEMPLATES[refusal.reason];
  const retryAfterMs = retryable ? refusal.retryAfterMs : undefined;
  return { status, code: refusal.reason, detail, retryAfterMs, ...progress };
}

/**
 * Creates the problem of a request that is not retried. A `code` without an entry in
 * `STOP_TEMPLATES` gets status 502.
 */
export function createStoppedProblem(
  code: string,
  progress: RequestProgress,
): core.RequestProblem {
  const { status, detail, retryable } = STOP_TEMPLATES[code] ?? {
    status: 502,
    detail: code,
    retryable: false,
  };
  return {
    status,
    code,
    detail,
    retryAfterMs: retryable ? RETRY_AFTER_MS : undefined,
    ...progress,
  };
}

/** Creates the problem of a generation whose rerun differs from the tokens already delivered. */
export function createDivergedProblem(
  deliveredTokens: number,
): core.RequestProblem {
  return {
    status: 502,
    code: "generation_diverged",
    outcome: "failed",
    detail: `the endpoint was lost after ${deliveredTokens} tokens and ` +
      "the generation could not be continued with the same tokens",
    deliveredTokens,
  };
}

/** Creates the refusal of a request with a name that the manifest does not declare. */
export function createUnknownNameProblem(
  code: "unknown_workspace" | "unknown_model" | "unknown_rank",
  name: string,
): core.RequestProblem {
  const { status, detail } = REFUSAL_TEMPLATES[code];
  return core.createRefusal(status, code, { detail: `${detail}: ${name}` });
}
