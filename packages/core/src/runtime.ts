/**
 * Event topics and interval timers that the features of a process share. Features
 * depend on this module and communicate through topics; it depends on none of them.
 */

import type * as clocks from "./clock.ts";
import type * as disposers from "./disposer.ts";
import type * as logs from "./log.ts";

declare const payload: unique symbol;

/** A named kind of event whose payload has type `T`. */
export interface Topic<T> {
  readonly name: string;
  readonly [payload]?: T;
}

/** Receives each event of a topic and the time of its publication. */
export type TopicListener<T> = (event: T, now: number) => void;

/** Periodic task; receives the time at which the call starts. */
export type IntervalCallback = (now: number) => void | Promise<void>;

interface Interval {
  readonly callback: IntervalCallback;
  readonly intervalMs: number;
  dueAt: number;
  isRunning: boolean;
}

/** Period of the shared timer, and thereby the granularity of all intervals. */
const TICK_MS = 50;

/** Creates a topic; topics with equal names share their listeners. */
export function createTopic<T>(name: string): Topic<T> {
  return { name };
}

/** Connects the features of one process. Listeners and intervals run on its event loop. */
export class Runtime {
  readonly clock: clocks.Clock;
  readonly logger: logs.Logger;
  readonly #listeners = new Map<string, Set<TopicListener<never>>>();
  readonly #intervals = new Set<Interval>();
  #timer: NodeJS.Timeout | undefined;

  constructor(
    options: { readonly clock: clocks.Clock; readonly logger: logs.Logger },
  ) {
    this.clock = options.clock;
    this.logger = options.logger;
  }

  /** Calls `listener` for each event of `topic` until the returned disposer is called. */
  registerListener<T>(
    topic: Topic<T>,
    listener: TopicListener<T>,
  ): disposers.Disposer {
    let listeners = this.#listeners.get(topic.name);
    if (listeners === undefined) {
      listeners = new Set();
      this.#listeners.set(topic.name, listeners);
    }
    const topicListeners = listeners;
    topicListeners.add(listener as TopicListener<never>);
    return () => topicListeners.delete(listener as TopicListener<never>);
  }

  /** Calls the listeners of `topic` synchronously, in the order of registration. */
  publish<T>(topic: Topic<T>, event: T): void {
    const now = this.clock.now();
    for (const listener of this.#listeners.get(topic.name) ?? []) {
      (listener as TopicListener<T>)(event, now);
    }
  }

  /**
   * Calls `callback` every `intervalMs` until the returned disposer is called.
   * Logs errors of the callback, and starts no call while the previous one still
   * runs. All intervals share one timer, so that an idle process wakes up rarely.
   */
  registerInterval(callback: IntervalCallback, intervalMs: number): disposers.Disposer {
    const interval = {
      callback,
      intervalMs,
      dueAt: this.clock.now() + intervalMs,
      isRunning: false,
    };
    this.#intervals.add(interval);
    this.#timer ??= setInterval(() => this.#runDueIntervals(), TICK_MS).unref();
    return () => {
      this.#intervals.delete(interval);
      if (this.#intervals.size > 0) return;
      clearInterval(this.#timer);
      this.#timer = undefined;
    };
  }

  #runDueIntervals(): void {
    const now = this.clock.now();
    for (const interval of this.#intervals) {
      if (interval.isRunning || now < interval.dueAt) continue;
      interval.dueAt = Math.max(interval.dueAt + interval.intervalMs, now);
      void this.#runInterval(interval, now);
    }
  }

  async #runInterval(interval: Interval, now: number): Promise<void> {
    interval.isRunning = true;
    try {
      await interval.callback(now);
    } catch (error) {
      this.logger.write("interval_failed", { error: (error as Error).message });
    } finally {
      interval.isRunning = false;
    }
  }
}
