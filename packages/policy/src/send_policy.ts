/** Decides what follows a send of a forwarded request. Pure: a function of its arguments. */

import type * as core from "@peridotvale/core";

/** What is known when a send has ended without an answer to pass on. */
export interface EndedSend {
  readonly kind: core.RouteKind;
  readonly outcome: core.FailureOutcome;
  /** Sends that may have run, this one included. */
  readonly ranSends: number;
  /** Sends that an endpoint refused, this one included. */
  readonly refusedSends: number;
  /** The route's bound on endpoints. */
  readonly maxAttempts: number;
  /** When the request has to be answered. */
  readonly answerBy: number;
}

/** Whether a request may be sent again, before the budget is asked. */
export type SendAgain =
  | { readonly type: "again" }
  | {
    readonly type: "stop";
    readonly reason: "not_repeatable" | "deadline_exceeded" | "attempts_exhausted";
  };

/** Refused sends of one request; each costs a round trip and a part of the budget. */
const MAX_REFUSED_SENDS = 3;
/** Shortest time left in which another send is worth its cost. */
const MIN_SEND_MS = 20;

/** Chooses what follows a send; only what is proved not to have run is repeated freely. */
export function chooseNextSend(send: EndedSend, now: number): SendAgain {
  if (send.outcome !== "not_run" && send.kind !== "idempotent") {
    return { type: "stop", reason: "not_repeatable" };
  }
  if (now + MIN_SEND_MS >= send.answerBy) return { type: "stop", reason: "deadline_exceeded" };
  const isExhausted = send.refusedSends >= MAX_REFUSED_SENDS ||
    send.ranSends >= send.maxAttempts;
  if (isExhausted) return { type: "stop", reason: "attempts_exhausted" };
  return { type: "again" };
}

/** Status of the answer when no endpoint's answer can be passed on. */
export function chooseFailureStatus(
  outcome: core.FailureOutcome,
  options: { readonly isLate: boolean },
): 502 | 503 | 504 {
  // 503 promises that the request has not run and never will.
  if (outcome === "not_run") return 503;
  return options.isLate ? 504 : 502;
}
