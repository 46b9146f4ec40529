/** Reads from a request the prompt parts that take part in the attribution of crashes. */

import * as crypto from "node:crypto";
import * as core from "@peridotvale/core";
import type * as policy from "@peridotvale/policy";
import type * as requests from "./open_request.ts";

/** Callers choose the ids and their number; both are limited, also to fit keys of the store. */
const MAX_SHARED_PARTS = 32;
const PLAIN_ID_PATTERN = /^[\w.:-]{1,64}$/;
const MAX_LOGGED_PARTS = 8;

/** Lists the parts of a request's prompt that other prompts may share, in order. */
export function listSharedParts(request: requests.OpenRequest): core.PromptPartId[] {
  const parts = request.head.generation?.parts ?? [];
  return parts.slice(0, Math.min(MAX_SHARED_PARTS, parts.length - 1)).map((part) =>
    normalizePartId(part.id)
  );
}

/** Creates the suspect that a request is if its engine crashes before it produces output. */
export function createSuspect(request: requests.OpenRequest): policy.SuspectPrompt {
  const ownPart = request.head.generation?.parts.at(-1)?.id;
  const prompt = ownPart ?? core.createId<core.PromptPartId>(request.id);
  return { prompt: normalizePartId(prompt), parts: listSharedParts(request) };
}

/** Formats the ids of a request's prompt parts, in order, for logs. */
export function formatPromptParts(request: requests.OpenRequest): string | undefined {
  const parts = request.head.generation?.parts ?? [];
  if (parts.length === 0) return undefined;
  return parts.slice(0, MAX_LOGGED_PARTS).map((part) => normalizePartId(part.id)).join(",");
}

/** Replaces an id that is long or has unusual characters by its hash. */
function normalizePartId(id: core.PromptPartId): core.PromptPartId {
  if (PLAIN_ID_PATTERN.test(id)) return id;
  return core.createId(crypto.createHash("sha256").update(id).digest("hex"));
}
