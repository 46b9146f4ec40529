/**
 * Commits many independent conditional changes in few transactions, so that
 * writes a second stay bounded however many changes come. A change whose
 * transaction had no answer is tried again: its value is unique, so finding it
 * in the store proves that it took effect.
 */

/** A conditional change of one key; `value` must be unique to this change. */
export interface ConditionalChange {
  readonly id: string;
  readonly key: string;
  /** Value that the key must have; `undefined`: it must not exist. */
  readonly expected: string | undefined;
  /** New value; `undefined` deletes the key. */
  readonly value: string | undefined;
  /** When to give up. */
  readonly giveUpAt: number;
}

/** A key and its present value. */
export interface CurrentValue {
  readonly key: string;
  readonly value: string;
}

/** Answer to one transaction. */
export type CommitAnswer =
  | { readonly type: "committed" }
  /** Nothing changed; `current` holds the keys that exist. */
  | { readonly type: "conflicted"; readonly current: readonly CurrentValue[] }
  /** Proved not to have taken effect. */
  | { readonly type: "not_sent" }
  /** May have taken effect. */
  | { readonly type: "unknown" };

/** What happened. */
export type GroupCommitEvent =
  | { readonly type: "change_requested"; readonly change: ConditionalChange }
  | { readonly type: "commit_answered"; readonly answer: CommitAnswer }
  | { readonly type: "ticked" };

/** Result of one change. */
export type ChangeResult =
  | { readonly type: "applied" }
  /** The key's value was not the expected one; `undefined`: the key does not exist. */
  | { readonly type: "conflict"; readonly current: string | undefined }
  | { readonly type: "not_applied" }
  | { readonly type: "unknown" };

/** What to do. */
export type GroupCommitEffect =
  | { readonly type: "commit"; readonly changes: readonly ConditionalChange[] }
  | {
    readonly type: "change_resolved";
    readonly id: string;
    readonly result: ChangeResult;
  };

interface PendingChange {
  readonly change: ConditionalChange;
  /** Whether an earlier transaction may have applied it. */
  uncertain: boolean;
}

/** Most changes of one transaction. */
export const MAX_BATCH_CHANGES = 64;

/** Options of {@linkcode GroupCommit}. */
export interface GroupCommitOptions {
  /** Shortest time between the starts of two transactions. */
  readonly intervalMs: number;
}

/** Collects changes and commits them, one transaction at a time. */
export class GroupCommit {
  readonly #intervalMs: number;
  #waiting: PendingChange[] = [];
  #inFlight: PendingChange[] | undefined;
  #nextCommitAt = -Infinity;
  #effects: GroupCommitEffect[] = [];

  constructor(options: GroupCommitOptions) {
    this.#intervalMs = options.intervalMs;
  }

  /** Changes that have no result yet. */
  get pendingCount(): number {
    return this.#waiting.length + (this.#inFlight?.length ?? 0);
  }

  handle(event: GroupCommitEvent, now: number): readonly GroupCommitEffect[] {
    this.#effects = [];
    if (event.type === "change_requested") {
      this.#waiting.push({ change: event.change, uncertain: false });
    } else if (event.type === "commit_answered") {
      this.#applyAnswer(event.answer);
    }
    this.#giveUp(now);
    this.#commitNext(now);
    return this.#effects;
  }

  #applyAnswer(answer: CommitAnswer): void {
    const batch = this.#inFlight ?? [];
    this.#inFlight = undefined;
    switch (answer.type) {
      case "committed":
        for (const pending of batch) {
          this.#resolve(pending, { type: "applied" });
        }
        return;
      case "not_sent":
        this.#waiting.unshift(...batch);
        return;
      case "unknown":
        for (const pending of batch) pending.uncertain = true;
        this.#waiting.unshift(...batch);
        return;
      case "conflicted":
        return this.#resolveConflicts(batch, answer.current);
    }
  }

  #resolveConflicts(
    batch: readonly PendingChange[],
    current: readonly CurrentValue[],
  ): void {
    const values = new Map(current.map((entry) => [entry.key, entry.value]));
    const kept: PendingChange[] = [];
    for (const pending of batch) {
      const value = values.get(pending.change.key);
      if (value === pending.change.expected) kept.push(pending);
      else if (pending.uncertain && value === pending.change.value) {
        this.#resolve(pending, { type: "applied" });
      } else this.#resolve(pending, { type: "conflict", current: value });
    }
    this.#waiting.unshift(...kept);
  }

  #giveUp(now: number): void {
    const kept: PendingChange[] = [];
    for (const pending of this.#waiting) {
      if (pending.change.giveUpAt > now) kept.push(pending);
      else {this.#resolve(pending, {
          type: pending.uncertain ? "unknown" : "not_applied",
        });}
    }
    this.#waiting = kept;
  }

  /** Two changes of one key never share a transaction. */
  #commitNext(now: number): void {
    if (this.#inFlight !== undefined || this.#waiting.length === 0) return;
    if (now < this.#nextCommitAt) return;
    const batch: PendingChange[] = [];
    const rest: PendingChange[] = [];
    const keys = new Set<string>();
    for (const pending of this.#waiting) {
      const fits = batch.length < MAX_BATCH_CHANGES &&
        !keys.has(pending.change.key);
      keys.add(pending.change.key);
      if (fits) batch.push(pending);
      else rest.push(pending);
    }
    this.#waiting = rest;
    this.#inFlight = batch;
    this.#nextCommitAt = now + this.#intervalMs;
    this.#effects.push({
      type: "commit",
      changes: batch.map((pending) => pending.change),
    });
  }

  #resolve(pending: PendingChange, result: ChangeResult): void {
    this.#effects.push({
      type: "change_resolved",
      id: pending.change.id,
      result,
    });
  }
}
