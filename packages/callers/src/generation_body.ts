/** Parses and validates the JSON bodies of generation requests. */

import * as neverthrow from "neverthrow";
import * as valibot from "valibot";

const tokenCountSchema = valibot.pipe(
  valibot.number("must be a number"),
  valibot.integer("must be a whole number"),
  valibot.minValue(1, "must be at least 1"),
);
const seedSchema = valibot.pipe(
  valibot.number("must be a number"),
  valibot.integer("must be a whole number"),
  valibot.minValue(0, "must be at least 0"),
  valibot.maxValue(2 ** 31 - 1, "must be at most 2147483647"),
);
const commonFieldSchemas = {
  model: valibot.pipe(
    valibot.string("must be a string"),
    valibot.nonEmpty("must not be empty"),
  ),
  max_tokens: valibot.optional(tokenCountSchema),
  stream: valibot.optional(valibot.boolean("must be true or false"), false),
  seed: valibot.optional(seedSchema),
  n: valibot.optional(valibot.literal(1, "must be 1")),
};
const completionSchema = valibot.looseObject({
  ...commonFieldSchemas,
  prompt: valibot.pipe(
    valibot.string("must be a string"),
    valibot.nonEmpty("must not be empty"),
  ),
});
const chatSchema = valibot.looseObject({
  ...commonFieldSchemas,
  messages: valibot.pipe(
    valibot.array(
      valibot.looseObject({
        role: valibot.string("must be a string"),
        content: valibot.string("must be a string"),
      }),
      "must be a list",
    ),
    valibot.minLength(1, "must not be empty"),
  ),
});

/** Validated body of a generation request. */
export interface GenerationBody {
  readonly model: string;
  readonly maxTokens: number | undefined;
  readonly seed: number | undefined;
  readonly streamed: boolean;
  /** The prompt, or one line with role and content for each message. */
  readonly promptText: string;
  /** All fields of the body, including those that are not validated. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Parses and validates a body. The error names every invalid field. */
export function parseGenerationBody(
  text: string,
  kind: "completion" | "chat",
): neverthrow.Result<GenerationBody, string> {
  const json = parseJson(text);
  if (json.isErr()) return neverthrow.err(json.error);
  if (kind === "completion") {
    const parsed = valibot.safeParse(completionSchema, json.value);
    if (!parsed.success) return neverthrow.err(formatIssues(parsed.issues));
    return neverthrow.ok(createBody(parsed.output, parsed.output.prompt));
  }
  const parsed = valibot.safeParse(chatSchema, json.value);
  if (!parsed.success) return neverthrow.err(formatIssues(parsed.issues));
  const lines = parsed.output.messages.map((message) => `${message.role}: ${message.content}`);
  return neverthrow.ok(createBody(parsed.output, lines.join("\n")));
}

interface CommonFields {
  readonly model: string;
  readonly max_tokens?: number | undefined;
  readonly seed?: number | undefined;
  readonly stream: boolean;
}

function createBody(fields: CommonFields, promptText: string): GenerationBody {
  return {
    model: fields.model,
    maxTokens: fields.max_tokens,
    seed: fields.seed,
    streamed: fields.stream,
    promptText,
    fields: { ...fields },
  };
}

function parseJson(text: string): neverthrow.Result<unknown, string> {
  try {
    return neverthrow.ok(JSON.parse(text));
  } catch (error) {
    return neverthrow.err(`body is not JSON: ${(error as Error).message}`);
  }
}

function formatIssues(issues: readonly valibot.BaseIssue<unknown>[]): string {
  return issues.map((issue) => {
    const path = (issue.path ?? []).map((segment) => String(segment.key)).join(".");
    const isMissing = issue.received === "undefined" && path !== "";
    return `${path || "body"}: ${isMissing ? "is missing" : issue.message}`;
  }).join("; ");
}
