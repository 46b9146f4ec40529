/**
 * Runs a call at most once per idempotency key, even if its attempts arrive at
 * different entry processes: the key is claimed in the key-value service before
 * the call is sent. A claim is never taken over by another request: if its holder had
 * only paused, both could run the call.
 */

import * as crypto from "node:crypto";
import * as callers from "@peridotvale/callers";
import * as core from "@peridotvale/core";
import type * as policy from "@peridotvale/policy";
import * as neverthrow from "neverthrow";
import type * as claims from "./claim_store.ts";
import type * as decisions from "./decision_log.ts";

type CallResult = neverthrow.Result<
  callers.ServiceAnswer,
  core.RequestProblem
>;

/** Value that is stored for a claim. */
type ClaimRecord =
  | {
    readonly state: "claimed";
    readonly holder: string;
    readonly fingerprint: string;
  }
  | {
    readonly state: "answered";
    readonly holder: string;
    readonly fingerprint: string;
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    /** Body in base64; `undefined` if it exceeds `MAX_RECORDED_BODY_BYTES`. */
    readonly body: string | undefined;
  }
  | {
    readonly state: "unknown";
    readonly holder: string;
    readonly fingerprint: string;
  };

export interface IdempotencyContext {
  readonly runtime: core.Runtime;
  readonly store: claims.ClaimStore;
  readonly decisions: decisions.DecisionLog;
  readonly process: core.ProcessId;
  readonly createNonce: () => string;
}

/** A call with its idempotency key. */
export interface KeyedCall {
  readonly request: callers.ServiceRequest;
  readonly key: string;
  readonly deadlineAt: number;
}

const CLAIM_KEY_PREFIX = "peridotvale/claims/";
/** Maximum time to wait for the claim before the call is refused. */
const CLAIM_TIMEOUT_MS = 3_000;
/** Maximum delay of an answer while its claim is updated; the update continues afterwards. */
const MAX_ANSWER_DELAY_MS = 500;
/** Time after which attempts to record a result or to release a claim are abandoned. */
const CLAIM_UPDATE_TIMEOUT_MS = 120_000;
/** Maximum wait for the first attempt with the same key to record its answer. */
const FIRST_ATTEMPT_WAIT_MS = 3_000;
const FIRST_ATTEMPT_POLL_INTERVAL_MS = 200;
/** Maximum size of a body that is recorded with the claim. */
const MAX_RECORDED_BODY_BYTES = 64 * 1024;
const RETRY_AFTER_MS = 1_000;

/**
 * Calls `run` if the idempotency key has not been used. Otherwise waits for the answer
 * that is recorded with the key, and returns a problem if there is none.
 */
export async function runIdempotent(
  context: IdempotencyContext,
  call: KeyedCall,
  options: { readonly run: () => Promise<CallResult> },
): Promise<CallResult> {
  const claim = createClaim(context, call);
  const giveUpAt = Math.min(
    call.deadlineAt,
    context.runtime.clock.now() + CLAIM_TIMEOUT_MS,
  );
  const claimResult = await context.store.changeKey(claim.key, {
    expected: undefined,
    value: claim.value,
    giveUpAt,
  });
  const now = context.runtime.clock.now();
  recordDecision(context, call, "claim_answered", { result: claimResult.type });
  if (claimResult.type === "conflict") {
    return await answerRetry(context, call, claim);
  }
  if (claimResult.type !== "applied") {
    void releaseClaim(context, claim);
    return refuse(
      "claim_unavailable",
      "the idempotency key could not be claimed",
    );
  }
  if (now >= call.deadlineAt) {
    void releaseClaim(context, claim);
    return refuse(
      "deadline_exceeded",
      "the deadline passed before the call could be made",
    );
  }
  const result = await options.run();
  if (result.isErr() && result.error.outcome === "not_run") {
    await core.waitAtMost(releaseClaim(context, claim), MAX_ANSWER_DELAY_MS);
    return result;
  }
  await core.waitAtMost(recordResult(context, claim, result), MAX_ANSWER_DELAY_MS);
  return result;
}

interface Claim {
  readonly key: string;
  readonly value: string;
  readonly holder: string;
  readonly fingerprint: string;
}

function createClaim(context: IdempotencyContext, call: KeyedCall): Claim {
  const { workspace, service, method, path, query, body } = call.request;
  const keyDigest = computeDigest([call.key]);
  const fingerprint = computeDigest([method, path + query, body ?? ""]);
  const holder = `${context.process}~${context.createNonce()}`;
  const record: ClaimRecord = { state: "claimed", holder, fingerprint };
  const key = `${CLAIM_KEY_PREFIX}${workspace}/${service}/${keyDigest}`;
  return { key, value: JSON.stringify(record), holder, fingerprint };
}

async function answerRetry(
  context: IdempotencyContext,
  call: KeyedCall,
  claim: Claim,
): Promise<CallResult> {
  const startedAt = context.runtime.clock.now();
  const waitUntil = Math.min(call.deadlineAt, startedAt + FIRST_ATTEMPT_WAIT_MS);
  while (true) {
    const storedClaim = await context.store.readKey(claim.key);
    const record = decodeRecord(storedClaim?.value);
    if (record !== undefined && record.fingerprint !== claim.fingerprint) {
      return neverthrow.err(
        core.createRefusal(422, "idempotency_key_reused", {
          detail: "the idempotency key was used with another request",
        }),
      );
    }
    if (record?.state === "answered") return replayAnswer(record);
    if (record?.state === "unknown") {
      return createUnknownOutcomeResult("the first attempt's outcome is unknown");
    }
    if (storedClaim !== undefined && storedClaim.value === undefined) {
      return refuse(
        "claim_released",
        "the first attempt was not run; try again",
      );
    }
    if (context.runtime.clock.now() >= waitUntil) {
      return createUnknownOutcomeResult(
        "an earlier request with this key has no recorded answer",
        409,
      );
    }
    await core.waitFor(FIRST_ATTEMPT_POLL_INTERVAL_MS);
  }
}

function replayAnswer(
  record: Extract<ClaimRecord, { readonly state: "answered" }>,
): CallResult {
  if (record.body === undefined) {
    return neverthrow.err({
      status: 409,
      code: "answer_not_kept",
      outcome: "failed",
      detail: `the call ran once with status ${record.status}; its answer was too large to keep`,
    });
  }
  return neverthrow.ok({
    status: record.status,
    headers: { ...record.headers, "idempotent-replayed": "true" },
    body: Buffer.from(record.body, "base64"),
  });
}

async function recordResult(
  context: IdempotencyContext,
  claim: Claim,
  result: CallResult,
): Promise<policy.ChangeResult> {
  const { holder, fingerprint } = claim;
  const record: ClaimRecord = result.isErr()
    ? { state: "unknown", holder, fingerprint }
    : createAnsweredRecord(claim, result.value);
  return await context.store.changeKey(claim.key, {
    expected: claim.value,
    value: JSON.stringify(record),
    giveUpAt: context.runtime.clock.now() + CLAIM_UPDATE_TIMEOUT_MS,
  });
}

function createAnsweredRecord(
  claim: Claim,
  answer: callers.ServiceAnswer,
): ClaimRecord {
  const isBodyRecorded = answer.body.length <= MAX_RECORDED_BODY_BYTES;
  return {
    state: "answered",
    holder: claim.holder,
    fingerprint: claim.fingerprint,
    status: answer.status,
    headers: answer.headers,
    body: isBodyRecorded ? Buffer.from(answer.body).toString("base64") : undefined,
  };
}

/** Deletes the claim of a call that was never sent; a call that may have run keeps its claim. */
async function releaseClaim(
  context: IdempotencyContext,
  claim: Claim,
): Promise<policy.ChangeResult> {
  return await context.store.changeKey(claim.key, {
    expected: claim.value,
    value: undefined,
    giveUpAt: context.runtime.clock.now() + CLAIM_UPDATE_TIMEOUT_MS,
  });
}

function decodeRecord(value: string | undefined): ClaimRecord | undefined {
  return value === undefined ? undefined : JSON.parse(value) as ClaimRecord;
}

function refuse(code: string, detail: string): CallResult {
  return neverthrow.err(
    core.createRefusal(503, code, { detail, retryAfterMs: RETRY_AFTER_MS }),
  );
}

function createUnknownOutcomeResult(detail: string, status = 502): CallResult {
  return neverthrow.err({
    status,
    code: "first_attempt_unknown",
    outcome: "unknown",
    detail,
    retryAfterMs: status === 409 ? RETRY_AFTER_MS : undefined,
  });
}

function computeDigest(parts: readonly (string | Uint8Array)[]): string {
  const hash = crypto.createHash("sha256");
  for (const part of parts) hash.update(part).update("\0");
  return hash.digest("base64url");
}

function recordDecision(
  context: IdempotencyContext,
  call: KeyedCall,
  event: string,
  fields: core.LogFields,
): void {
  context.decisions.recordDecision(call.request.requestId, event, fields);
}
