/**
 * The small core that features register with: topics that they publish and
 * listen to. It knows no feature.
 */

import type * as clocks from "./clock.ts";
import type * as disposers from "./disposer.ts";
import type * as logs from "./log.ts";

declare const payload: unique symbol;

/** A named kind of event with payloads of type `T`. */
export interface Topic<T> {
  readonly name: string;
  readonly [payload]?: T;
}

/** Receives the payloads of a topic. */
export type TopicListener<T> = (event: T, now: number) => void;

/** Creates a topic. */
export function createTopic<T>(name: string): Topic<T> {
  return { name };
}

/** Connects the features of one process; everything runs on its one loop. */
export class Runtime {
  readonly clock: clocks.Clock;
  readonly logger: logs.Logger;
  readonly #listeners = new Map<string, Set<TopicListener<never>>>();

  constructor(
    options: { readonly clock: clocks.Clock; readonly logger: logs.Logger },
  ) {
    this.clock = options.clock;
    this.logger = options.logger;
  }

  /** Calls `listener` for each event of `topic` until disposed. */
  registerListener<T>(
    topic: Topic<T>,
    listener: TopicListener<T>,
  ): disposers.Disposer {
    let listeners = this.#listeners.get(topic.name);
    if (listeners === undefined) {
      listeners = new Set();
      this.#listeners.set(topic.name, listeners);
    }
    const known = listeners;
    known.add(listener as TopicListener<never>);
    return () => known.delete(listener as TopicListener<never>);
  }

  /** Publishes `event` to the listeners of `topic`, in the order of registration. */
  publish<T>(topic: Topic<T>, event: T): void {
    const now = this.clock.now();
    for (const listener of this.#listeners.get(topic.name) ?? []) {
      (listener as TopicListener<T>)(event, now);
    }
  }

  /** Calls `callback` every `intervalMs` until disposed; errors are logged, not thrown. */
  registerInterval(
    callback: (now: number) => void | Promise<void>,
    intervalMs: number,
  ): disposers.Disposer {
    let isRunning = false;
    const run = async () => {
      if (isRunning) return;
      isRunning = true;
      try {
        await callback(this.clock.now());
      } catch (error) {
        this.logger.write("interval_failed", {
          error: (error as Error).message,
        });
      } finally {
        isRunning = false;
      }
    };
    const timer = setInterval(run, intervalMs);
    timer.unref();
    return () => clearInterval(timer);
  }
}
