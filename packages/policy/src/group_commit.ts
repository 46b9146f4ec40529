/**
 * Groups independent conditional changes into few transactions, which bounds the
 * write rate at the store at any rate of changes. A change whose transaction got
 * no answer is retried: its value is unique, so that finding this value in the
 * store proves that the change took effect.
 */

/** A conditional change of one key; `value` must be unique to this change. */
export interface ConditionalChange {
  readonly id: string;
  readonly key: string;
  /** Value that the key must have; `undefined` if the key must not exist. */
  readonly expected: string | undefined;
  /** New value; `undefined` deletes the key. */
  readonly value: string | undefined;
  /** Time at which the change is abandoned if it still has no result. */
  readonly giveUpAt: number;
}

export interface CurrentValue {
  readonly key: string;
  readonly value: string;
}

/** The store's answer to one transaction. */
export type CommitAnswer =
  | { readonly type: "committed" }
  /** No change was applied; `current` holds the values of the keys that exist. */
  | { readonly type: "conflicted"; readonly current: readonly CurrentValue[] }
  /** The transaction certainly did not take effect. */
  | { readonly type: "not_sent" }
  /** The transaction may have taken effect. */
  | { readonly type: "unknown" };

/** An input of {@linkcode GroupCommit}. */
export type GroupCommitEvent =
  | { readonly type: "change_requested"; readonly change: ConditionalChange }
  | { readonly type: "commit_answered"; readonly answer: CommitAnswer }
  | { readonly type: "ticked" };

export type ChangeResult =
  | { readonly type: "applied" }
  /** The key did not have the expected value; `current` is `undefined` if it does not exist. */
  | { readonly type: "conflict"; readonly current: string | undefined }
  /** The change was abandoned and certainly did not take effect. */
  | { readonly type: "not_applied" }
  /** The change was abandoned and may have taken effect. */
  | { readonly type: "unknown" };

/** An action that the caller of {@linkcode GroupCommit} performs. */
export type GroupCommitEffect =
  | { readonly type: "commit"; readonly changes: readonly ConditionalChange[] }
  | {
    readonly type: "change_resolved";
    readonly id: string;
    readonly result: ChangeResult;
  };

interface PendingChange {
  readonly change: ConditionalChange;
  /** Whether an earlier transaction may have applied the change. */
  possiblyApplied: boolean;
}

/** Maximum number of changes in one transaction. */
export const MAX_BATCH_CHANGES = 64;

export interface GroupCommitOptions {
  /** Minimum time between the starts of two transactions. */
  readonly intervalMs: number;
}

/** Collects changes and commits them, one transaction at a time. */
export class GroupCommit {
  readonly #intervalMs: number;
  #waitingChanges: PendingChange[] = [];
  #inFlightBatch: PendingChange[] | undefined;
  #nextCommitAt = -Infinity;
  #effects: GroupCommitEffect[] = [];

  constructor(options: GroupCommitOptions) {
    this.#intervalMs = options.intervalMs;
  }

  /** Number of changes that have no result yet. */
  get pendingCount(): number {
    return this.#waitingChanges.length + (this.#inFlightBatch?.length ?? 0);
  }

  /** Applies an event and returns the actions that follow from it. */
  handle(event: GroupCommitEvent, now: number): readonly GroupCommitEffect[] {
    this.#effects = [];
    if (event.type === "change_requested") {
      this.#waitingChanges.push({ change: event.change, possiblyApplied: false });
    } else if (event.type === "commit_answered") {
      this.#applyAnswer(event.answer);
    }
    this.#resolveOverdue(now);
    this.#commitNext(now);
    return this.#effects;
  }

  #applyAnswer(answer: CommitAnswer): void {
    const batch = this.#inFlightBatch ?? [];
    this.#inFlightBatch = undefined;
    switch (answer.type) {
      case "committed":
        for (const pendingChange of batch) {
          this.#resolve(pendingChange, { type: "applied" });
        }
        return;
      case "not_sent":
        this.#waitingChanges.unshift(...batch);
        return;
      case "unknown":
        for (const pendingChange of batch) pendingChange.possiblyApplied = true;
        this.#waitingChanges.unshift(...batch);
        return;
      case "conflicted":
        return this.#resolveConflicts(batch, answer.current);
    }
  }

  #resolveConflicts(
    batch: readonly PendingChange[],
    current: readonly CurrentValue[],
  ): void {
    const currentValues = new Map(current.map((entry) => [entry.key, entry.value]));
    const retriedChanges: PendingChange[] = [];
    for (const pendingChange of batch) {
      const value = currentValues.get(pendingChange.change.key);
      if (value === pendingChange.change.expected) retriedChanges.push(pendingChange);
      else if (pendingChange.possiblyApplied && value === pendingChange.change.value) {
        this.#resolve(pendingChange, { type: "applied" });
      } else this.#resolve(pendingChange, { type: "conflict", current: value });
    }
    this.#waitingChanges.unshift(...retriedChanges);
  }

  #resolveOverdue(now: number): void {
    const remainingChanges: PendingChange[] = [];
    for (const pendingChange of this.#waitingChanges) {
      if (pendingChange.change.giveUpAt > now) remainingChanges.push(pendingChange);
      else {this.#resolve(pendingChange, {
          type: pendingChange.possiblyApplied ? "unknown" : "not_applied",
        });}
    }
    this.#waitingChanges = remainingChanges;
  }

  /**
   * Starts the next transaction if none is in flight and the interval has passed. Changes of the
   * same key go into separate transactions, in the order of their requests.
   */
  #commitNext(now: number): void {
    if (this.#inFlightBatch !== undefined || this.#waitingChanges.length === 0) return;
    if (now < this.#nextCommitAt) return;
    const batch: PendingChange[] = [];
    const deferredChanges: PendingChange[] = [];
    const seenKeys = new Set<string>();
    for (const pendingChange of this.#waitingChanges) {
      const fitsInBatch = batch.length < MAX_BATCH_CHANGES &&
        !seenKeys.has(pendingChange.change.key);
      seenKeys.add(pendingChange.change.key);
      if (fitsInBatch) batch.push(pendingChange);
      else deferredChanges.push(pendingChange);
    }
    this.#waitingChanges = deferredChanges;
    this.#inFlightBatch = batch;
    this.#nextCommitAt = now + this.#intervalMs;
    this.#effects.push({
      type: "commit",
      changes: batch.map((pendingChange) => pendingChange.change),
    });
  }

  #resolve(pendingChange: PendingChange, result: ChangeResult): void {
    this.#effects.push({
      type: "change_resolved",
      id: pendingChange.change.id,
      result,
    });
  }
}
