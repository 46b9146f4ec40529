/**
 * Attributes crashes of engines to prompt parts. Answers requests with one harmful part that
 * arrive at any process, each with other parts beside it: without attribution, each of them costs
 * another engine and all generations that run there.
 *
 * A harmful part is present in each of its crashes and its prompts never produce output, while
 * the parts beside it, such as a system prompt, also belong to prompts that do.
 */

import type * as core from "@peridotvale/core";

/** A prompt whose answer had not begun, or had only just begun, when its engine crashed. */
export interface SuspectPrompt {
  /** Last part, which only this prompt or its session has; it is never suspected itself. */
  readonly prompt: core.PromptPartId;
  /** Parts that other prompts may share, in order. */
  readonly parts: readonly core.PromptPartId[];
}

/** A crash of an engine with the prompts that may have caused it. */
export interface EngineCrash {
  readonly instance: core.InstanceId;
  readonly at: number;
  readonly suspects: readonly SuspectPrompt[];
}

/** A prompt part to which crashes are attributed. */
export interface HarmfulPart {
  readonly part: core.PromptPartId;
  readonly crashCount: number;
  readonly lastCrashAt: number;
}

interface Strikes {
  readonly part: core.PromptPartId;
  /** Crashes without output from any prompt with the part between them. */
  count: number;
  /** Sum of the shares of each crash's suspects that had the part. */
  weight: number;
  lastAt: number;
  /** Position in its prompts; a later part is shared by fewer prompts. */
  position: number;
  readonly wasSound: boolean;
  readonly prompts: Set<core.PromptPartId>;
}

/** Crashes after which a part is considered harmful, whatever else was present in them. */
const CRASHES_TO_ATTRIBUTE = 3;
/** Weight at which two crashes suffice: the part was nearly alone in one of them. */
const WEIGHT_TO_ATTRIBUTE = 1.5;
const MIN_CRASHES_TO_ATTRIBUTE = 2;
/**
 * Crashes within this interval count once for a part, since a common cause, such as a power loss,
 * ends several engines at the same moment.
 */
const COMMON_CAUSE_INTERVAL_MS = 250;

/**
 * Lists the parts to which the crashes are attributed. `soundAt` holds the time at which a prompt
 * with the part last produced output without a crash; crashes before that time do not count.
 * Crashes with a part that is known to be harmful need no further explanation.
 */
export function listHarmfulParts(
  crashes: readonly EngineCrash[],
  soundAt: ReadonlyMap<core.PromptPartId, number>,
  knownParts: readonly core.PromptPartId[] = [],
): HarmfulPart[] {
  const harmfulParts: HarmfulPart[] = [];
  let unexplained = crashes
    .filter((crash) => !knownParts.some((part) => hasSuspectWith(crash, part)))
    .toSorted((left, right) => left.at - right.at);
  for (;;) {
    const strikes = chooseMostSuspect(countStrikes(unexplained, soundAt));
    if (strikes === undefined) return harmfulParts;
    const { part, count, lastAt } = strikes;
    harmfulParts.push({ part, crashCount: count, lastCrashAt: lastAt });
    // Other parts that were present are not needed to explain the same crashes.
    unexplained = unexplained.filter((crash) => !hasSuspectWith(crash, part));
  }
}

/** Whether a suspect of `crash` has `part`. */
export function hasSuspectWith(crash: EngineCrash, part: core.PromptPartId): boolean {
  return crash.suspects.some((suspect) => suspect.parts.includes(part));
}

function countStrikes(
  crashes: readonly EngineCrash[],
  soundAt: ReadonlyMap<core.PromptPartId, number>,
): Strikes[] {
  const strikesByPart = new Map<core.PromptPartId, Strikes>();
  for (const crash of crashes) {
    const promptsByPart = new Map<core.PromptPartId, core.PromptPartId[]>();
    const positions = new Map<core.PromptPartId, number>();
    for (const { prompt, parts } of crash.suspects) {
      for (const [position, part] of parts.entries()) {
        promptsByPart.set(part, [...promptsByPart.get(part) ?? [], prompt]);
        positions.set(part, Math.max(position, positions.get(part) ?? 0));
      }
    }
    for (const [part, prompts] of promptsByPart) {
      const partSoundAt = soundAt.get(part);
      if (partSoundAt !== undefined && crash.at <= partSoundAt) continue;
      const strikes = strikesByPart.get(part) ?? {
        part,
        count: 0,
        weight: 0,
        lastAt: -Infinity,
        position: 0,
        wasSound: partSoundAt !== undefined,
        prompts: new Set(),
      };
      strikesByPart.set(part, strikes);
      recordStrike(strikes, {
        at: crash.at,
        prompts,
        position: positions.get(part) ?? 0,
        share: prompts.length / crash.suspects.length,
      });
    }
  }
  return [...strikesByPart.values()];
}

function recordStrike(
  strikes: Strikes,
  strike: {
    readonly at: number;
    readonly prompts: readonly core.PromptPartId[];
    readonly position: number;
    readonly share: number;
  },
): void {
  // A prompt that its caller sends again tells nothing about the parts that others share.
  const hasNewPrompt = strike.prompts.some((prompt) => !strikes.prompts.has(prompt));
  for (const prompt of strike.prompts) strikes.prompts.add(prompt);
  if (!hasNewPrompt || strike.at - strikes.lastAt < COMMON_CAUSE_INTERVAL_MS) return;
  strikes.count += 1;
  strikes.weight += strike.share;
  strikes.lastAt = strike.at;
  strikes.position = Math.max(strikes.position, strike.position);
}

function chooseMostSuspect(strikesOfParts: readonly Strikes[]): Strikes | undefined {
  let mostSuspect: Strikes | undefined;
  for (const strikes of strikesOfParts) {
    if (!isAttributable(strikes)) continue;
    if (mostSuspect === undefined || isMoreSuspect(strikes, mostSuspect)) mostSuspect = strikes;
  }
  return mostSuspect;
}

function isAttributable(strikes: Strikes): boolean {
  if (strikes.count >= CRASHES_TO_ATTRIBUTE) return true;
  return !strikes.wasSound && strikes.count >= MIN_CRASHES_TO_ATTRIBUTE &&
    strikes.weight >= WEIGHT_TO_ATTRIBUTE;
}

/** Prefers parts that never produced output, then more crashes, then the more specific part. */
function isMoreSuspect(left: Strikes, right: Strikes): boolean {
  if (left.wasSound !== right.wasSound) return !left.wasSound;
  if (left.count !== right.count) return left.count > right.count;
  if (left.position !== right.position) return left.position > right.position;
  return left.part < right.part;
}
