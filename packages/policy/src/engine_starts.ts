/**
 * Detects that an engine has restarted while a stream ran on it. Load pattern: an engine exits in
 * order and restarts at its address within milliseconds, so that all its streams without a length
 * end at once in the same form as complete ones.
 */

import type * as core from "@peridotvale/core";

/** A start that an engine has stated. */
interface StatedStart {
  /** Wall-clock time of the start, by the engine's clock; only compared with others of it. */
  readonly startedAt: number;
  /** Time at which the engine first stated this start. */
  readonly statedAt: number;
}

/** What is known when a stream has ended. */
export interface EndedStream {
  readonly instance: core.InstanceId;
  /** Time at which the request was sent. */
  readonly sentAt: number;
  /** Start in the engine's entry when the request was placed; undefined if it names none. */
  readonly placedStart: number | undefined;
  /** Start in the engine's entry now; undefined if it names none. */
  readonly entryStart: number | undefined;
  /** Start that the engine has stated after the end; undefined if it states none. */
  readonly statedStart: number | undefined;
}

/** Bounds the memory; more than the engines of the largest fleet (2,400 accelerators). */
const MAX_ENGINES = 4_096;

/** Starts that engines have stated; of each engine the last and the one before. */
export class EngineStarts {
  readonly #starts = new Map<core.InstanceId, StatedStart[]>();

  /** Records that an engine states that it started at `startedAt`. */
  recordStart(instance: core.InstanceId, startedAt: number, now: number): void {
    const starts = this.#starts.get(instance) ?? [];
    if (starts.at(-1)?.startedAt === startedAt) return;
    this.#starts.delete(instance);
    this.#starts.set(instance, [...starts.slice(-1), { startedAt, statedAt: now }]);
    for (const oldest of this.#starts.keys()) {
      if (this.#starts.size <= MAX_ENGINES) break;
      this.#starts.delete(oldest);
    }
  }

  /**
   * Whether the engine has started again since the request of `stream` was sent. Returns false if
   * no start is known from before.
   */
  hasRestarted(stream: EndedStream): boolean {
    const { placedStart, entryStart, statedStart, instance, sentAt } = stream;
    // What was stated after the request was sent may come from a later start already.
    const earlier = this.#starts.get(instance)?.findLast(({ statedAt }) => statedAt < sentAt);
    const knownStart = Math.max(placedStart ?? -Infinity, earlier?.startedAt ?? -Infinity);
    if (knownStart === -Infinity) return false;
    return Math.max(entryStart ?? -Infinity, statedStart ?? -Infinity) > knownStart;
  }
}
