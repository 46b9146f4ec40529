/**
 * A queue that serves workspaces in proportion to their weights, charged in
 * tokens served. A workspace that was idle gets no credit for it.
 */

import type * as core from "@peridotvale/core";

/** A queued item. */
export interface QueueItem {
  readonly workspace: core.WorkspaceName;
  /** When the item must have started, else it is worthless. */
  readonly startBy: number;
  readonly arrivedAt: number;
}

interface WorkspaceQueue<Item> {
  readonly workspace: core.WorkspaceName;
  items: Item[];
  weight: number;
  /** Tokens served over weight. */
  virtualTime: number;
  queuedInHeap: boolean;
}

interface HeapEntry<Item> {
  readonly key: number;
  readonly queue: WorkspaceQueue<Item>;
}

/** Share of an item's allowed wait after which the newest is served first. */
const NEWEST_FIRST_SHARE = 0.5;

/** Start-time fair queue over workspaces. */
export class FairQueue<Item extends QueueItem> {
  readonly #queues = new Map<core.WorkspaceName, WorkspaceQueue<Item>>();
  readonly #heap: HeapEntry<Item>[] = [];
  #virtualTime = 0;
  #size = 0;
  #backloggedWeight = 0;
  #chargedTokens = 0;
  #removedItems = 0;

  /** Number of queued items. */
  get size(): number {
    return this.#size;
  }

  /** Appends an item. */
  addItem(item: Item, weight: number): void {
    const queue = this.#getQueue(item.workspace);
    if (queue.items.length === 0) this.#startBacklog(queue, weight);
    queue.items.push(item);
    this.#size += 1;
  }

  /** Charges `tokens` served to a workspace; negative amounts are refunds. */
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

  /** The item to serve next, or `undefined`; it stays queued. */
  getNext(now: number): Item | undefined {
    const queue = this.#getNextQueue();
    if (queue === undefined) return undefined;
    return queue.items[getServedIndex(queue.items, now)];
  }

  /** The item to serve next of those whose workspace `accepts` takes, or `undefined`. */
  getNextOf(accepts: (workspace: core.WorkspaceName) => boolean, now: number): Item | undefined {
    let best: WorkspaceQueue<Item> | undefined;
    for (const queue of this.#queues.values()) {
      if (queue.items.length === 0 || !accepts(queue.workspace)) continue;
      if (best === undefined || queue.virtualTime < best.virtualTime) best = queue;
    }
    return best?.items[getServedIndex(best.items, now)];
  }

  /** Number of items by workspace that has any. */
  countByWorkspace(): Map<core.WorkspaceName, number> {
    const counts = new Map<core.WorkspaceName, number>();
    for (const queue of this.#queues.values()) {
      if (queue.items.length > 0) counts.set(queue.workspace, queue.items.length);
    }
    return counts;
  }

  /** Takes `item` out; returns whether it was queued. */
  removeItem(item: Item): boolean {
    const queue = this.#queues.get(item.workspace);
    if (queue === undefined) return false;
    const index = queue.items.indexOf(item);
    if (index < 0) return false;
    queue.items.splice(index, 1);
    this.#removedItems += 1;
    this.#size -= 1;
    if (queue.items.length === 0) this.#backloggedWeight -= queue.weight;
    return true;
  }

  /** Takes out every item that can no longer start in time. */
  removeExpired(now: number): Item[] {
    const expired: Item[] = [];
    if (this.#size === 0) return expired;
    for (const queue of this.#queues.values()) {
      if (queue.items.length === 0) continue;
      const kept = queue.items.filter((item) => item.startBy > now);
      if (kept.length === queue.items.length) continue;
      for (const item of queue.items) {
        if (item.startBy <= now) expired.push(item);
      }
      queue.items = kept;
      if (kept.length === 0) this.#backloggedWeight -= queue.weight;
    }
    this.#size -= expired.length;
    return expired;
  }

  /**
   * Expected number of items served until the newest one of `workspace` is:
   * its own before it, what others get beside each of these, and what others
   * are owed before the workspace's turn comes.
   */
  predictItemsAhead(workspace: core.WorkspaceName, weight: number): number {
    const queue = this.#queues.get(workspace);
    if (queue === undefined || queue.items.length === 0) return 0;
    const own = (queue.items.length - 1) * this.#backloggedWeight / weight;
    const lead = Math.max(0, queue.virtualTime - this.#virtualTime);
    const owed = lead * (this.#backloggedWeight - weight) / this.#getMeanCharge();
    return Math.min(this.#size, 1 + own + owed);
  }

  /** Drops workspaces that hold nothing, once there are more than `limit`. */
  dropIdle(limit: number): void {
    if (this.#queues.size <= limit) return;
    for (const [name, queue] of this.#queues) {
      if (queue.items.length > 0 || queue.queuedInHeap) continue;
      if (queue.virtualTime > this.#virtualTime) continue;
      this.#queues.delete(name);
    }
  }

  #getMeanCharge(): number {
    return Math.max(1, this.#chargedTokens / Math.max(1, this.#removedItems));
  }

  #getQueue(workspace: core.WorkspaceName): WorkspaceQueue<Item> {
    let queue = this.#queues.get(workspace);
    if (queue === undefined) {
      queue = {
        workspace,
        items: [],
        weight: 1,
        virtualTime: 0,
        queuedInHeap: false,
      };
      this.#queues.set(workspace, queue);
    }
    return queue;
  }

  #startBacklog(queue: WorkspaceQueue<Item>, weight: number): void {
    queue.weight = weight;
    queue.virtualTime = Math.max(queue.virtualTime, this.#virtualTime);
    this.#backloggedWeight += weight;
    if (queue.queuedInHeap) return;
    queue.queuedInHeap = true;
    pushEntry(this.#heap, { key: queue.virtualTime, queue });
  }

  /** Keys of the heap lag behind virtual times, which only matters when they are read. */
  #getNextQueue(): WorkspaceQueue<Item> | undefined {
    while (this.#heap.length > 0) {
      const entry = this.#heap[0]!;
      if (entry.queue.items.length === 0) {
        popEntry(this.#heap);
        entry.queue.queuedInHeap = false;
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

function getServedIndex(items: readonly QueueItem[], now: number): number {
  const oldest = items[0]!;
  const allowedWait = oldest.startBy - oldest.arrivedAt;
  const isStanding = now - oldest.arrivedAt > allowedWait * NEWEST_FIRST_SHARE;
  return isStanding ? items.length - 1 : 0;
}

function pushEntry<Item>(
  heap: HeapEntry<Item>[],
  entry: HeapEntry<Item>,
): void {
  let index = heap.length;
  heap.push(entry);
  while (index > 0) {
    const parent = (index - 1) >> 1;
    if (heap[parent]!.key <= entry.key) break;
    heap[index] = heap[parent]!;
    index = parent;
  }
  heap[index] = entry;
}

function popEntry<Item>(heap: HeapEntry<Item>[]): void {
  const last = heap.pop()!;
  if (heap.length === 0) return;
  let index = 0;
  while (true) {
    let child = 2 * index + 1;
    if (child >= heap.length) break;
    if (child + 1 < heap.length && heap[child + 1]!.key < heap[child]!.key) {
      child += 1;
    }
    if (heap[child]!.key >= last.key) break;
    heap[index] = heap[child]!;
    index = child;
  }
  heap[index] = last;
}
