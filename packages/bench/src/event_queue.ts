/** Event queue of a discrete-event simulation. */

interface QueuedEvent {
  /** Virtual time in milliseconds. */
  readonly dueAt: number;
  /** Position in the order of scheduling, in which events with equal due times run. */
  readonly sequence: number;
  readonly run: () => void;
}

/** Runs callbacks in the order of their due times; ties run in the order of scheduling. */
export class EventQueue {
  readonly #heap: QueuedEvent[] = [];
  #now = 0;
  #nextSequence = 0;

  /** Current virtual time in milliseconds. */
  get now(): number {
    return this.#now;
  }

  /** Schedules `run` for the virtual time `dueAt`, in milliseconds. */
  schedule(dueAt: number, run: () => void): void {
    this.#push({ dueAt, sequence: this.#nextSequence++, run });
  }

  /** Runs all callbacks that are due by `until` and advances the time to it. */
  runUntil(until: number): void {
    while (this.#heap.length > 0 && this.#heap[0]!.dueAt <= until) {
      const event = this.#pop();
      this.#now = event.dueAt;
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
  return a.dueAt < b.dueAt || (a.dueAt === b.dueAt && a.sequence < b.sequence);
}
