/** Writes claims of idempotency keys in groups to the key-value service. */

import * as core from "@peridotvale/core";
import type * as platform from "@peridotvale/platform";
import * as policy from "@peridotvale/policy";

/** Shortest time between two writes of one process. */
const COMMIT_INTERVAL_MS = 25;
const TICK_INTERVAL_MS = 5;
/** Time that a claim is kept. */
export const CLAIM_RETENTION_MS = 24 * 60 * 60 * 1000;
/** Age at which a new lease is taken for further claims. */
const LEASE_RENEWAL_MS = 60 * 60 * 1000;

/** Changes keys of the store by compare-and-swap, many in one write. */
export class ClaimStore {
  readonly #runtime: core.Runtime;
  readonly #store: platform.KeyValueStore;
  readonly #commits = new policy.GroupCommit({
    intervalMs: COMMIT_INTERVAL_MS,
  });
  readonly #waiting = new Map<string, (result: policy.ChangeResult) => void>();
  #lease: string | undefined;
  #leaseGrantedAt = -Infinity;
  #nextId = 0;
  #timer: NodeJS.Timeout | undefined;

  constructor(
    runtime: core.Runtime,
    options: { readonly store: platform.KeyValueStore },
  ) {
    this.#runtime = runtime;
    this.#store = options.store;
  }

  /** Changes `key` from `expected` to `value`; `undefined` stands for no value. */
  change(
    key: string,
    options: {
      readonly expected: string | undefined;
      readonly value: string | undefined;
      readonly giveUpAt: number;
    },
  ): Promise<policy.ChangeResult> {
    this.#nextId += 1;
    const id = String(this.#nextId);
    return new Promise((resolve) => {
      this.#waiting.set(id, resolve);
      this.#handle({
        type: "change_requested",
        change: { id, key, ...options },
      });
    });
  }

  /** Reads one key; `undefined` in place of a result if the store does not answer. */
  async read(
    key: string,
  ): Promise<{ readonly value: string | undefined } | undefined> {
    const stored = await this.#store.read(key);
    if (stored.isErr()) return undefined;
    return { value: stored.value?.value };
  }

  #handle(event: policy.GroupCommitEvent): void {
    for (
      const effect of this.#commits.handle(event, this.#runtime.clock.now())
    ) {
      if (effect.type === "commit") {
        void this.#commit(effect.changes);
        continue;
      }
      const resolve = this.#waiting.get(effect.id);
      this.#waiting.delete(effect.id);
      resolve?.(effect.result);
    }
    this.#scheduleTick();
  }

  /** Runs only while something is pending, so that an idle process does nothing. */
  #scheduleTick(): void {
    if (this.#timer !== undefined || this.#commits.pendingCount === 0) return;
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      this.#handle({ type: "ticked" });
    }, TICK_INTERVAL_MS);
  }

  async #commit(changes: readonly policy.ConditionalChange[]): Promise<void> {
    const lease = await this.#getLease();
    if (lease === undefined) {
      this.#handle({ type: "commit_answered", answer: { type: "not_sent" } });
      return;
    }
    const committed = await this.#store.commit(changes.map((change) => ({
      key: change.key,
      value: change.value,
      expectedValue: change.expected,
      expectedRevision: change.expected === undefined ? 0 : undefined,
      lease,
    })));
    this.#handle({ type: "commit_answered", answer: createAnswer(committed) });
  }

  async #getLease(): Promise<string | undefined> {
    const now = this.#runtime.clock.now();
    if (now - this.#leaseGrantedAt < LEASE_RENEWAL_MS) return this.#lease;
    const granted = await this.#store.grantLease(
      CLAIM_RETENTION_MS + LEASE_RENEWAL_MS,
    );
    if (granted.isErr()) return undefined;
    this.#lease = granted.value.id;
    this.#leaseGrantedAt = now;
    return this.#lease;
  }
}

function createAnswer(
  committed: Awaited<ReturnType<platform.KeyValueStore["commit"]>>,
): policy.CommitAnswer {
  if (committed.isOk()) {
    if (committed.value.committed) return { type: "committed" };
    return { type: "conflicted", current: committed.value.current };
  }
  return { type: committed.error.type === "unknown" ? "unknown" : "not_sent" };
}
