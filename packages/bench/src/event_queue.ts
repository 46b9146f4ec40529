/** A queue of callbacks in virtual time. */

interface QueuedEvent {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** Runs callbacks in the order of their times; equal times in the order of scheduling. */
export class EventQueue {
  readonly #heap: QueuedEvent[] = [];
  #now = 0;
  #order = 0;

  /** The present virtual time in milliseconds. */
  get now(): number {
    return this.#now;
  }

  /** Runs `run` at `at`. */
  schedule(at: number, run: () => void): void {
    this.#push({ at, order: this.#order++, run });
  }

  /** Runs everything until `until`. */
  runUntil(until: number): void {
    while (this.#heap.length > 0 && this.#heap[0]!.at <= until) {
      const event = this.#pop();
      this.#now = event.at;
      event.run();
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
    const first = heap[0]!;
    const last = heap.pop()!;
    if (heap.length === 0) return first;
    let index = 0;
    while (true) {
      let child = 2 * index + 1;
      if (child >= heap.length) break;
      if (child + 1 < heap.length && isBefore(heap[child + 1]!, heap[child]!)) child += 1;
      if (isBefore(last, heap[child]!)) break;
      heap[index] = heap[child]!;
      index = child;
    }
    heap[index] = last;
    return first;
  }
}

function isBefore(a: QueuedEvent, b: QueuedEvent): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order);
}
