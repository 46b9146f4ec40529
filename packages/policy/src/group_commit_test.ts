import * as fc from "fast-check";
import * as tap from "tap";
import * as commits from "./group_commit.ts";

fc.configureGlobal({ seed: 20_261_204, numRuns: 300 });

/**
 * How the store receives a transaction. All cases but "committed" and "not_sent"
 * are answered with "unknown": the transaction was lost, was applied but its
 * answer was lost, or is applied only later.
 */
type Delivery = "committed" | "lost_before" | "lost_after" | "late" | "not_sent";

const deliveryLists = fc.array(
  fc.constantFrom<Delivery>("committed", "lost_before", "lost_after", "late", "not_sent"),
  { maxLength: 40 },
);

/** A store that applies either all changes of a transaction or none. */
class SimulatedStore {
  readonly values = new Map<string, string>();
  /** All values that each key has had. */
  readonly history = new Map<string, string[]>();
  /** Transactions that take effect after their answer. */
  delayedTransactions: (readonly commits.ConditionalChange[])[] = [];

  apply(changes: readonly commits.ConditionalChange[]): commits.CommitAnswer {
    const isApplicable = changes.every((change) => this.values.get(change.key) === change.expected);
    if (!isApplicable) {
      const current = [];
      for (const { key } of changes) {
        const value = this.values.get(key);
        if (value !== undefined) current.push({ key, value });
      }
      return { type: "conflicted", current };
    }
    for (const { key, value } of changes) {
      if (value === undefined) this.values.delete(key);
      else this.values.set(key, value);
      if (value !== undefined) this.history.set(key, [...(this.history.get(key) ?? []), value]);
    }
    return { type: "committed" };
  }

  answer(changes: readonly commits.ConditionalChange[], delivery: Delivery): commits.CommitAnswer {
    switch (delivery) {
      case "committed":
        return this.apply(changes);
      case "lost_before":
        return { type: "unknown" };
      case "lost_after":
        this.apply(changes);
        return { type: "unknown" };
      case "late":
        this.delayedTransactions.push(changes);
        return { type: "unknown" };
      case "not_sent":
        return { type: "not_sent" };
    }
  }
}

// Guards against two processes that both claim the same key, and against a wrong result
// for a change, when transactions or their answers are lost or arrive late.
tap.t.test("at most one of two processes claims a key when answers get lost", (t) => {
  fc.assert(fc.property(deliveryLists, fc.integer({ min: 1, max: 5 }), (deliveries, keyCount) => {
    const store = new SimulatedStore();
    const results = new Map<string, commits.ChangeResult>();
    const processes = [0, 1].map(() => new commits.GroupCommit({ intervalMs: 10 }));
    const transactions: {
      readonly process: number;
      readonly changes: readonly commits.ConditionalChange[];
    }[] = [];
    const collectEffects = (process: number, effects: readonly commits.GroupCommitEffect[]) => {
      for (const effect of effects) {
        if (effect.type === "commit") transactions.push({ process, changes: effect.changes });
        else results.set(effect.id, effect.result);
      }
    };
    for (const [process, groupCommit] of processes.entries()) {
      for (let key = 0; key < keyCount; key++) {
        const id = `${process}/${key}`;
        const change = { id, key: `k${key}`, expected: undefined, value: id, giveUpAt: 500 };
        collectEffects(process, groupCommit.handle({ type: "change_requested", change }, 0));
      }
    }
    const remainingDeliveries = [...deliveries];
    for (let now = 10; now <= 600; now += 10) {
      const nextTransaction = transactions.shift();
      if (nextTransaction !== undefined) {
        const answer = store.answer(
          nextTransaction.changes,
          remainingDeliveries.shift() ?? "committed",
        );
        const groupCommit = processes[nextTransaction.process]!;
        collectEffects(
          nextTransaction.process,
          groupCommit.handle({ type: "commit_answered", answer }, now),
        );
      }
      const delayedTransaction = now % 70 === 0 ? store.delayedTransactions.shift() : undefined;
      if (delayedTransaction !== undefined) store.apply(delayedTransaction);
      for (const [process, groupCommit] of processes.entries()) {
        collectEffects(process, groupCommit.handle({ type: "ticked" }, now));
      }
    }
    for (const delayedTransaction of store.delayedTransactions) store.apply(delayedTransaction);
    for (let key = 0; key < keyCount; key++) {
      const appliedProcesses = [0, 1].filter((process) =>
        results.get(`${process}/${key}`)?.type === "applied"
      );
      if (appliedProcesses.length > 1) return false;
      if (
        appliedProcesses.length === 1 &&
        store.values.get(`k${key}`) !== `${appliedProcesses[0]}/${key}`
      ) {
        return false;
      }
      for (const process of [0, 1]) {
        const result = results.get(`${process}/${key}`);
        const wasStored = store.history.get(`k${key}`)?.includes(`${process}/${key}`) ?? false;
        if (result?.type === "not_applied" && wasStored) return false;
        if (result?.type === "conflict" && wasStored && appliedProcesses.includes(process)) {
          return false;
        }
      }
    }
    return results.size === 2 * keyCount;
  }));
  t.end();
});

// Guards against a write rate at the store that grows with the rate of changes.
tap.t.test("the number of transactions stays bounded at any rate of changes", (t) => {
  for (const changesPerSecond of [1, 50, 500]) {
    const groupCommit = new commits.GroupCommit({ intervalMs: 25 });
    let transactionCount = 0;
    let resolvedCount = 0;
    for (let now = 0; now < 10_000; now++) {
      const effects: commits.GroupCommitEffect[] = [];
      if (
        Math.floor(now * changesPerSecond / 1000) !==
          Math.floor((now - 1) * changesPerSecond / 1000)
      ) {
        const change = {
          id: String(now),
          key: `k${now}`,
          expected: undefined,
          value: String(now),
          giveUpAt: now + 5_000,
        };
        effects.push(...groupCommit.handle({ type: "change_requested", change }, now));
      }
      effects.push(...groupCommit.handle({ type: "ticked" }, now));
      for (const effect of effects) {
        if (effect.type === "change_resolved") resolvedCount += 1;
        else {
          transactionCount += 1;
          const answer = { type: "committed" } as const;
          for (const answerEffect of groupCommit.handle({ type: "commit_answered", answer }, now)) {
            if (answerEffect.type === "change_resolved") resolvedCount += 1;
          }
        }
      }
    }
    t.ok(
      transactionCount <= 10_000 / 25 + 1,
      `${changesPerSecond} changes/s: ${transactionCount} transactions in 10 s`,
    );
    t.ok(resolvedCount >= changesPerSecond * 10 - 20, `${resolvedCount} changes resolved`);
  }
  t.end();
});
