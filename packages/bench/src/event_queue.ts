/** Event queue of a discrete-event simulation in virtual time. */

interface QueuedEvent {
  /** Virtual time in milliseconds. */
  readonly dueAt: number;
  /** Sequence number of scheduling; events with equal due times run in this order. */
  readonly sequence: number;
  readonly callback: () => void;
}

/** Runs callbacks in the order of their due times, and of scheduling where these are equal. */
export class EventQueue {
  readonly #heap: QueuedEvent[] = [];
  #now = 0;
  #nextSequence = 0;

  /** Current virtual time in milliseconds. */
  get now(): number {
    return this.#now;
  }

  /** Schedules `callback` for the virtual time `dueAt`, in milliseconds. */
  schedule(dueAt: number, callback: () => void): void {
    this.#push({ dueAt, sequence: this.#nextSequence++, callback });
  }

  /** Runs all callbacks that are due at or before `until`, then sets the time to `until`. */
  runUntil(until: number): void {
    while (this.#heap.length > 0 && this.#heap[0]!.dueAt <= until) {
      const event = this.#pop();
      this.#now = event.dueAt;
      event.callback();
    }
    this.#now = until;
  }

  #push(event: QueuedEvent): void {
    const heap = this.#heap;
    let index = heap.length;
    heap.push(event);
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (isBefore(heap[parent]!, event)) break;
      heap[index] = heap[parent]!;
      index = parent;
    }
    heap[index] = event;
  }

  #pop(): QueuedEvent {
    const heap = this.#heap;
    const firstEvent = heap[0]!;
    const lastEvent = heap.pop()!;
    if (heap.length === 0) return firstEvent;
    let index = 0;
    while (true) {
      let child = 2 * index + 1;
      if (child >= heap.length) break;
      if (child + 1 < heap.length && isBefore(heap[child + 1]!, heap[child]!)) child += 1;
      if (isBefore(lastEvent, heap[child]!)) break;
      heap[index] = heap[child]!;
      index = child;
    }
    heap[index] = lastEvent;
    return firstEvent;
  }
}

function isBefore(a: QueuedEvent, b: QueuedEvent): boolean {
  return a.dueAt < b.dueAt || (a.dueAt === b.dueAt && a.sequence < b.sequence);
}
