/**
 * Stores the claims of idempotency keys in the key-value service. Changes are
 * grouped into transactions, so that the number of writes per second stays
 * bounded regardless of how many calls have an idempotency key.
 */

import * as core from "@peridotvale/core";
import type * as platform from "@peridotvale/platform";
import * as policy from "@peridotvale/policy";

/** Minimum time between the starts of two transactions. */
const COMMIT_INTERVAL_MS = 25;
const TICK_INTERVAL_MS = 5;
/** Minimum time for which a claim is kept in the store. */
export const CLAIM_RETENTION_MS = 24 * 60 * 60 * 1000;
/**
 * Age of a lease after which new claims are added under a new lease. The TTL of a
 * lease is this age plus the retention, so that a claim added just before the change
 * of lease is still kept for the full retention.
 */
const LEASE_ROTATION_MS = 60 * 60 * 1000;

/** Changes keys of the store by compare-and-swap, several in one transaction. */
export class ClaimStore {
  readonly #runtime: core.Runtime;
  readonly #store: platform.KeyValueStore;
  readonly #groupCommit = new policy.GroupCommit({
    intervalMs: COMMIT_INTERVAL_MS,
  });
  readonly #resolvers = new Map<string, (result: policy.ChangeResult) => void>();
  #leaseId: string | undefined;
  #leaseGrantedAt = -Infinity;
  #lastChangeId = 0;
  #tickTimer: NodeJS.Timeout | undefined;

  constructor(
    runtime: core.Runtime,
    options: { readonly store: platform.KeyValueStore },
  ) {
    this.#runtime = runtime;
    this.#store = options.store;
  }

  /**
   * Sets `key` to `value` if its value is `expected`. `undefined` stands for a key that
   * does not exist.
   */
  changeKey(
    key: string,
    options: {
      readonly expected: string | undefined;
      readonly value: string | undefined;
      readonly giveUpAt: number;
    },
  ): Promise<policy.ChangeResult> {
    this.#lastChangeId += 1;
    const id = String(this.#lastChangeId);
    return new Promise((resolve) => {
      this.#resolvers.set(id, resolve);
      this.#handle({
        type: "change_requested",
        change: { id, key, ...options },
      });
    });
  }

  /** Reads one key; returns `undefined` if the store does not answer. */
  async readKey(
    key: string,
  ): Promise<{ readonly value: string | undefined } | undefined> {
    const readResult = await this.#store.read(key);
    if (readResult.isErr()) return undefined;
    return { value: readResult.value?.value };
  }

  #handle(event: policy.GroupCommitEvent): void {
    for (
      const effect of this.#groupCommit.handle(event, this.#runtime.clock.now())
    ) {
      if (effect.type === "commit") {
        void this.#commit(effect.changes);
        continue;
      }
      const resolve = this.#resolvers.get(effect.id);
      this.#resolvers.delete(effect.id);
      resolve?.(effect.result);
    }
    this.#scheduleTick();
  }

  /** Schedules a tick only while changes are pending, so that an idle process runs no timer. */
  #scheduleTick(): void {
    if (this.#tickTimer !== undefined || this.#groupCommit.pendingCount === 0) return;
    this.#tickTimer = setTimeout(() => {
      this.#tickTimer = undefined;
      this.#handle({ type: "ticked" });
    }, TICK_INTERVAL_MS);
  }

  async #commit(changes: readonly policy.ConditionalChange[]): Promise<void> {
    const leaseId = await this.#getLeaseId();
    if (leaseId === undefined) {
      this.#handle({ type: "commit_answered", answer: { type: "not_sent" } });
      return;
    }
    const commitResult = await this.#store.commit(changes.map((change) => ({
      key: change.key,
      value: change.value,
      expectedValue: change.expected,
      expectedRevision: change.expected === undefined ? 0 : undefined,
      lease: leaseId,
    })));
    this.#handle({ type: "commit_answered", answer: createCommitAnswer(commitResult) });
  }

  async #getLeaseId(): Promise<string | undefined> {
    const now = this.#runtime.clock.now();
    if (now - this.#leaseGrantedAt < LEASE_ROTATION_MS) return this.#leaseId;
    const grantResult = await this.#store.grantLease(
      CLAIM_RETENTION_MS + LEASE_ROTATION_MS,
    );
    if (grantResult.isErr()) return undefined;
    this.#leaseId = grantResult.value.id;
    this.#leaseGrantedAt = now;
    return this.#leaseId;
  }
}

function createCommitAnswer(
  commitResult: Awaited<ReturnType<platform.KeyValueStore["commit"]>>,
): policy.CommitAnswer {
  if (commitResult.isOk()) {
    if (commitResult.value.committed) return { type: "committed" };
    return { type: "conflicted", current: commitResult.value.current };
  }
  return { type: commitResult.error.type === "unknown" ? "unknown" : "not_sent" };
}
