/** Reads from a request the prompt parts that take part in the attribution of crashes. */

import * as crypto from "node:crypto";
import * as core from "@peridotvale/core";
import type * as policy from "@peridotvale/policy";
import type * as requests from "./open_request.ts";

/** Callers choose the number and the length of the ids, so both are limited. */
const MAX_SHARED_PARTS = 32;
const MAX_ID_LENGTH = 64;
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

/** Replaces an id of excessive length by its hash. */
function normalizePartId(id: core.PromptPartId): core.PromptPartId {
  if (id.length <= MAX_ID_LENGTH) return id;
  return core.createId(crypto.createHash("sha256").update(id).digest("hex"));
}
