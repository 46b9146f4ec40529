/**
 * Settings of an entry process, read from a YAML file. Unknown keys are refused;
 * times are in milliseconds.
 */

import * as core from "@peridotvale/core";
import * as neverthrow from "neverthrow";
import * as valibot from "valibot";

const DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024;
const DEFAULT_MAX_HEADER_BYTES = 16 * 1024;
const DEFAULT_MAX_PROMPT_TOKENS = 200_000;
const DEFAULT_MAX_OPEN_REQUESTS = 2_000;
const DEFAULT_MAX_ANSWER_BYTES = 8 * 1024 * 1024;
const MIN_SECRET_LENGTH = 16;

const portSchema = core.createIntegerSchema(0, 65_535);
const listenAddressSchema = valibot.strictObject({
  host: core.nonEmptyStringSchema,
  port: portSchema,
});
const limitSchema = core.createIntegerSchema(1, 2 ** 31);
const durationMsSchema = core.createIntegerSchema(1, 3_600_000);

const settingsSchema = valibot.strictObject({
  /** Name of the process; stays the same when it restarts at the same address. */
  process: core.nonEmptyStringSchema,
  zone: core.nonEmptyStringSchema,
  /** CPU cores that this process may use; also its weight when owners and watchers are chosen. */
  cores: valibot.optional(core.createIntegerSchema(1, 1024), 1),
  callers: listenAddressSchema,
  operators: listenAddressSchema,
  peers: valibot.strictObject({
    host: core.nonEmptyStringSchema,
    port: portSchema,
    /** Address at which peers reach this process, if it differs from `host` and `port`. */
    advertise: valibot.optional(core.nonEmptyStringSchema),
    /** Addresses to connect to while no peer is known, e.g. if the VM list cannot be read. */
    seeds: valibot.optional(valibot.array(core.nonEmptyStringSchema, "must be a list"), []),
  }),
  platform: valibot.strictObject({
    url: valibot.pipe(core.nonEmptyStringSchema, valibot.url("must be a URL")),
    timeout_ms: valibot.optional(durationMsSchema, 1_000),
  }),
  /** Secret that signs the cursors; must be the same on all entry processes. */
  cursor_secret: valibot.pipe(
    core.nonEmptyStringSchema,
    valibot.minLength(
      MIN_SECRET_LENGTH,
      `must have at least ${MIN_SECRET_LENGTH} characters`,
    ),
  ),
  limits: valibot.optional(
    valibot.strictObject({
      max_body_bytes: valibot.optional(limitSchema, DEFAULT_MAX_BODY_BYTES),
      max_header_bytes: valibot.optional(limitSchema, DEFAULT_MAX_HEADER_BYTES),
      max_prompt_tokens: valibot.optional(
        limitSchema,
        DEFAULT_MAX_PROMPT_TOKENS,
      ),
      max_open_requests: valibot.optional(
        limitSchema,
        DEFAULT_MAX_OPEN_REQUESTS,
      ),
      /** Memory of the VM, from which the memory for callers is derived. */
      memory_mb: valibot.optional(limitSchema),
      /** Descriptors of the VM, from which the number of callers' connections is derived. */
      max_fds: valibot.optional(limitSchema),
      max_answer_bytes: valibot.optional(limitSchema, DEFAULT_MAX_ANSWER_BYTES),
    }),
    {},
  ),
  timeouts: valibot.optional(
    valibot.strictObject({
      connect_ms: valibot.optional(durationMsSchema, 500),
      /** Maximum wait for the beginning of an engine's answer. */
      engine_answer_ms: valibot.optional(durationMsSchema, 5_000),
      /** Time without data from an engine after which the connection of a stream is replaced. */
      engine_silence_ms: valibot.optional(durationMsSchema, 2_000),
      caller_stall_ms: valibot.optional(durationMsSchema, 30_000),
      /** Maximum time for open requests to end after SIGTERM. */
      drain_ms: valibot.optional(durationMsSchema, 600_000),
    }),
    {},
  ),
});

/** Valid settings, with the keys of the settings file. */
export type Settings = Readonly<valibot.InferOutput<typeof settingsSchema>>;

/** Parses and checks settings; returns every problem with its path and line. */
export function parseSettings(
  text: string,
  options: { readonly source: string },
): neverthrow.Result<Settings, core.DocumentProblem[]> {
  const parseResult = core.parseDocument(settingsSchema, text, options);
  if (parseResult.isErr()) return neverthrow.err(parseResult.error);
  return neverthrow.ok(parseResult.value.value);
}

/** Returns the limits, with defaults for those that are not set. */
export function getLimits(settings: Settings) {
  const limits = settings.limits;
  return {
    maxBodyBytes: limits.max_body_bytes ?? DEFAULT_MAX_BODY_BYTES,
    maxHeaderBytes: limits.max_header_bytes ?? DEFAULT_MAX_HEADER_BYTES,
    maxPromptTokens: limits.max_prompt_tokens ?? DEFAULT_MAX_PROMPT_TOKENS,
    maxOpenRequests: limits.max_open_requests ?? DEFAULT_MAX_OPEN_REQUESTS,
    memoryMb: limits.memory_mb,
    maxFds: limits.max_fds,
    maxAnswerBytes: limits.max_answer_bytes ?? DEFAULT_MAX_ANSWER_BYTES,
  };
}

/** Returns the timeouts, with defaults for those that are not set. */
export function getTimeouts(settings: Settings) {
  const timeouts = settings.timeouts;
  return {
    connectMs: timeouts.connect_ms ?? 500,
    engineAnswerMs: timeouts.engine_answer_ms ?? 5_000,
    engineSilenceMs: timeouts.engine_silence_ms ?? 2_000,
    callerStallMs: timeouts.caller_stall_ms ?? 30_000,
    drainMs: timeouts.drain_ms ?? 600_000,
  };
}
