/**
 * A fair queue that serves workspaces in proportion to their weights, measured in tokens
 * served. An idle workspace accumulates no credit, so it can't displace the others with a
 * burst. When its oldest item has waited for half of the permitted time, a workspace is served
 * newest first, since under overload every item would otherwise start late.
 */

import type * as core from "@peridotvale/core";

export interface QueueItem {
  readonly workspace: core.WorkspaceName;
  /** Time by which the item must start; it expires then. */
  readonly startBy: number;
  readonly arrivedAt: number;
}

interface WorkspaceQueue<Item> {
  readonly workspace: core.WorkspaceName;
  items: Item[];
  weight: number;
  /** Tokens served divided by weight. */
  virtualTime: number;
  isInHeap: boolean;
}

interface HeapEntry<Item> {
  readonly key: number;
  readonly queue: WorkspaceQueue<Item>;
}

/** Share of the oldest item's permitted wait after which the newest item is served first. */
const NEWEST_FIRST_WAIT_SHARE = 0.5;

/** Start-time fair queueing over workspaces. */
export class FairQueue<Item extends QueueItem> {
  readonly #queues = new Map<core.WorkspaceName, WorkspaceQueue<Item>>();
  readonly #heap: HeapEntry<Item>[] = [];
  #virtualTime = 0;
  #size = 0;
  #backloggedWeight = 0;
  #chargedTokens = 0;
  #removedCount = 0;

  get size(): number {
    return this.#size;
  }

  /** Appends an item; `weight` is that of its workspace. */
  addItem(item: Item, weight: number): void {
    const queue = this.#getQueue(item.workspace);
    if (queue.items.length === 0) this.#startBacklog(queue, weight);
    queue.items.push(item);
    this.#size += 1;
  }

  /** Charges `tokens` served to a workspace; a negative number is a refund. */
  chargeTokens(
    workspace: core.WorkspaceName,
    tokens: number,
    weight: number,
  ): void {
    const queue = this.#getQueue(workspace);
    queue.weight = weight;
    queue.virtualTime += tokens / weight;
    this.#chargedTokens += tokens;
  }

  /** Returns the item to serve next, or `undefined`. The item stays queued. */
  getNextItem(now: number): Item | undefined {
    const queue = this.#findNextQueue();
    if (queue === undefined) return undefined;
    return queue.items[findNextIndex(queue.items, now)];
  }

  /** Like `getNextItem`, but considers only workspaces for which `isAccepted` returns true. */
  getNextAcceptedItem(
    isAccepted: (workspace: core.WorkspaceName) => boolean,
    now: number,
  ): Item | undefined {
    let nextQueue: WorkspaceQueue<Item> | undefined;
    for (const queue of this.#queues.values()) {
      if (queue.items.length === 0 || !isAccepted(queue.workspace)) continue;
      if (nextQueue === undefined || queue.virtualTime < nextQueue.virtualTime) nextQueue = queue;
    }
    return nextQueue?.items[findNextIndex(nextQueue.items, now)];
  }

  /** Counts the items of each workspace that has any. */
  countByWorkspace(): Map<core.WorkspaceName, number> {
    const counts = new Map<core.WorkspaceName, number>();
    for (const queue of this.#queues.values()) {
      if (queue.items.length > 0) counts.set(queue.workspace, queue.items.length);
    }
    return counts;
  }

  /** Removes `item` and returns whether it was queued. */
  removeItem(item: Item): boolean {
    const queue = this.#queues.get(item.workspace);
    if (queue === undefined) return false;
    const index = queue.items.indexOf(item);
    if (index < 0) return false;
    queue.items.splice(index, 1);
    this.#removedCount += 1;
    this.#size -= 1;
    if (queue.items.length === 0) this.#backloggedWeight -= queue.weight;
    return true;
  }

  /** Removes and returns all items whose `startBy` has passed. */
  removeExpiredItems(now: number): Item[] {
    const expiredItems: Item[] = [];
    if (this.#size === 0) return expiredItems;
    for (const queue of this.#queues.values()) {
      if (queue.items.length === 0) continue;
      const keptItems = queue.items.filter((item) => item.startBy > now);
      if (keptItems.length === queue.items.length) continue;
      for (const item of queue.items) {
        if (item.startBy <= now) expiredItems.push(item);
      }
      queue.items = keptItems;
      if (keptItems.length === 0) this.#backloggedWeight -= queue.weight;
    }
    this.#size -= expiredItems.length;
    return expiredItems;
  }

  /**
   * Predicts how many items are served up to and including the newest item of `workspace`:
   * its own earlier items, the items of other workspaces that are served in turn with them, and
   * those that are served earlier because `workspace` is ahead in virtual time.
   */
  predictItemsAhead(workspace: core.WorkspaceName, weight: number): number {
    const queue = this.#queues.get(workspace);
    if (queue === undefined || queue.items.length === 0) return 0;
    const ownItems = (queue.items.length - 1) * this.#backloggedWeight / weight;
    const virtualLead = Math.max(0, queue.virtualTime - this.#virtualTime);
    const catchUpItems = virtualLead * (this.#backloggedWeight - weight) /
      this.#computeMeanCharge();
    return Math.min(this.#size, 1 + ownItems + catchUpItems);
  }

  /**
   * If there are more than `limit` workspaces, drops those without items whose virtual time is not
   * ahead of the queue's.
   */
  dropIdleWorkspaces(limit: number): void {
    if (this.#queues.size <= limit) return;
    for (const [name, queue] of this.#queues) {
      if (queue.items.length > 0 || queue.isInHeap) continue;
      if (queue.virtualTime > this.#virtualTime) continue;
      this.#queues.delete(name);
    }
  }

  #computeMeanCharge(): number {
    return Math.max(1, this.#chargedTokens / Math.max(1, this.#removedCount));
  }

  #getQueue(workspace: core.WorkspaceName): WorkspaceQueue<Item> {
    let queue = this.#queues.get(workspace);
    if (queue === undefined) {
      queue = {
        workspace,
        items: [],
        weight: 1,
        virtualTime: 0,
        isInHeap: false,
      };
      this.#queues.set(workspace, queue);
    }
    return queue;
  }

  #startBacklog(queue: WorkspaceQueue<Item>, weight: number): void {
    queue.weight = weight;
    queue.virtualTime = Math.max(queue.virtualTime, this.#virtualTime);
    this.#backloggedWeight += weight;
    if (queue.isInHeap) return;
    queue.isInHeap = true;
    pushEntry(this.#heap, { key: queue.virtualTime, queue });
  }

  /** Finds the workspace to serve next and corrects outdated heap keys on the way. */
  #findNextQueue(): WorkspaceQueue<Item> | undefined {
    while (this.#heap.length > 0) {
      const entry = this.#heap[0]!;
      if (entry.queue.items.length === 0) {
        popEntry(this.#heap);
        entry.queue.isInHeap = false;
        continue;
      }
      if (entry.queue.virtualTime > entry.key) {
        popEntry(this.#heap);
        pushEntry(this.#heap, {
          key: entry.queue.virtualTime,
          queue: entry.queue,
        });
        continue;
      }
      this.#virtualTime = Math.max(this.#virtualTime, entry.queue.virtualTime);
      return entry.queue;
    }
    return undefined;
  }
}

function findNextIndex(items: readonly QueueItem[], now: number): number {
  const oldestItem = items[0]!;
  const maxWaitMs = oldestItem.startBy - oldestItem.arrivedAt;
  const isOverloaded = now - oldestItem.arrivedAt > maxWaitMs * NEWEST_FIRST_WAIT_SHARE;
  return isOverloaded ? items.length - 1 : 0;
}

function pushEntry<Item>(
  heap: HeapEntry<Item>[],
  entry: HeapEntry<Item>,
): void {
  let index = heap.length;
  heap.push(entry);
  while (index > 0) {
    const parentIndex = (index - 1) >> 1;
    if (heap[parentIndex]!.key <= entry.key) break;
    heap[index] = heap[parentIndex]!;
    index = parentIndex;
  }
  heap[index] = entry;
}

function popEntry<Item>(heap: HeapEntry<Item>[]): void {
  const lastEntry = heap.pop()!;
  if (heap.length === 0) return;
  let index = 0;
  while (true) {
    let childIndex = 2 * index + 1;
    if (childIndex >= heap.length) break;
    if (childIndex + 1 < heap.length && heap[childIndex + 1]!.key < heap[childIndex]!.key) {
      childIndex += 1;
    }
    if (heap[childIndex]!.key >= lastEntry.key) break;
    heap[index] = heap[childIndex]!;
    index = childIndex;
  }
  heap[index] = lastEntry;
}
