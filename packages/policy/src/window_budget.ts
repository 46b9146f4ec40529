/**
 * Bounds repeated sends to a service over a sliding window, without asking the
 * other processes: each may use the ratio of the requests that it received
 * itself, and an equal part of the fixed allowance. Answers retry storms when a
 * service fails or many endpoints leave at once.
 */

/** Bounds of repeats, over all processes together. */
export interface RepeatBounds {
  /** Repeats allowed per request of the window. */
  readonly ratio: number;
  /** Repeats allowed besides. */
  readonly allowance: number;
  readonly windowMs: number;
}

/** Share of the bounds that is used, so that processes that count apart stay within them. */
const USED_SHARE = 0.8;

/** Counts the requests and repeats of one service at this process. */
export class WindowBudget {
  readonly #bounds: RepeatBounds;
  readonly #requests: number[] = [];
  readonly #repeats: number[] = [];

  constructor(bounds: RepeatBounds) {
    this.#bounds = bounds;
  }

  /** Times that are kept. */
  get recordedCount(): number {
    return this.#requests.length + this.#repeats.length;
  }

  recordRequest(now: number): void {
    this.#requests.push(now);
    this.#dropPast(now);
  }

  /** Records a repeat that is made in any case, such as the move of a running generation. */
  recordRepeat(now: number): void {
    this.#repeats.push(now);
    this.#dropPast(now);
  }

  /** Takes one repeat if the bounds allow it at `processes` processes. */
  takeRepeat(now: number, processes: number): boolean {
    this.#dropPast(now);
    const allowed = this.#bounds.ratio * this.#requests.length +
      this.#bounds.allowance / Math.max(1, processes);
    if (this.#repeats.length + 1 > allowed * USED_SHARE) return false;
    this.#repeats.push(now);
    return true;
  }

  #dropPast(now: number): void {
    const from = now - this.#bounds.windowMs;
    for (const times of [this.#requests, this.#repeats]) {
      const firstInWindow = times.findIndex((at) => at > from);
      times.splice(0, firstInWindow < 0 ? times.length : firstInWindow);
    }
  }
}
