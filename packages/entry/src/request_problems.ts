/** Turns what went wrong inside into the problems that callers see. */

import * as core from "@peridotvale/core";
import type * as capacity from "./capacity_client.ts";

/** What is known of the request beside its problem. */
export interface ProblemFacts {
  readonly outcome: core.FailureOutcome;
  readonly deliveredTokens?: number | undefined;
}

interface ProblemShape {
  readonly status: number;
  readonly detail: string;
  /** Whether trying again later can help. */
  readonly retryable: boolean;
}

const REFUSALS: Readonly<
  Record<capacity.CapacityRefusal["reason"], ProblemShape>
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
    detail: "the caller has hung up",
    retryable: false,
  },
};

const STOPS: Readonly<Record<string, ProblemShape>> = {
  deadline_exceeded: {
    status: 504,
    detail: "the deadline has passed",
    retryable: false,
  },
  attempts_exhausted: {
    status: 502,
    detail: "every attempt has failed",
    retryable: true,
  },
  retry_budget_exhausted: {
    status: 503,
    detail: "too many requests are being retried now",
    retryable: true,
  },
  not_repeatable: {
    status: 502,
    detail: "the call may have run and is not repeated",
    retryable: false,
  },
  cancelled: {
    status: 499,
    detail: "the caller has hung up",
    retryable: false,
  },
  overrun: {
    status: 502,
    detail: "the endpoint exceeded the token limit",
    retryable: false,
  },
};

const RETRY_AFTER_MS = 1_000;

/** Creates the problem of a request that got no capacity. */
export function createCapacityProblem(
  refusal: capacity.CapacityRefusal,
  facts: ProblemFacts,
): core.RequestProblem {
  const { status, detail, retryable } = REFUSALS[refusal.reason];
  const retryAfterMs = retryable ? refusal.retryAfterMs : undefined;
  return { status, code: refusal.reason, detail, retryAfterMs, ...facts };
}

/** Creates the problem of a request that is not tried any further. */
export function createStoppedProblem(
  code: string,
  facts: ProblemFacts,
): core.RequestProblem {
  const { status, detail, retryable } = STOPS[code] ?? {
    status: 502,
    detail: code,
    retryable: false,
  };
  return {
    status,
    code,
    detail,
    retryAfterMs: retryable ? RETRY_AFTER_MS : undefined,
    ...facts,
  };
}

/** Creates the problem of a generation that, run anew, differs from what was delivered. */
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

/** Creates the refusal of a request that names something the manifest does not declare. */
export function createUnknownNameProblem(
  code: "unknown_workspace" | "unknown_model" | "unknown_rank",
  name: string,
): core.RequestProblem {
  const { status, detail } = REFUSALS[code];
  return core.createRefusal(status, code, { detail: `${detail}: ${name}` });
}
