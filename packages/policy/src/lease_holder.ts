/**
 * Acquires and renews one lease of the key-value store and decides when its
 * holder may act. A holder stops acting before its lease expires, and a new
 * holder waits until the previous one has certainly stopped, so that no two
 * processes act at the same time.
 */

/** An input of {@linkcode LeaseHolder}. */
export type LeaseEvent =
  /** Whether this process should try to hold the lease. */
  | { readonly type: "wanted_changed"; readonly wanted: boolean }
  | {
    readonly type: "acquired";
    /** Time at which the request was sent, from which the holder counts the TTL. */
    readonly sentAt: number;
    /** Fencing number, which rises with each holder. */
    readonly fencing: number;
  }
  | { readonly type: "acquire_failed" }
  | { readonly type: "renewed"; readonly sentAt: number }
  /** The store reports that the lease has expired. */
  | { readonly type: "expired" }
  | { readonly type: "renew_failed" }
  | { readonly type: "ticked" };

/** A request to the store that the caller of {@linkcode LeaseHolder} sends. */
export type LeaseEffect =
  | { readonly type: "acquire" }
  | { readonly type: "renew" }
  | { readonly type: "release" };

export interface LeaseOptions {
  readonly ttlMs: number;
  /**
   * Time for which a new holder waits before it acts. A holder also stops acting this long before
   * its lease expires.
   */
  readonly marginMs: number;
  /** Delay of the next attempt after a failed acquisition or renewal. */
  readonly retryMs: number;
}

type HolderState =
  | { readonly type: "idle"; readonly nextAttemptAt: number }
  | { readonly type: "acquiring" }
  | {
    readonly type: "holding";
    readonly fencing: number;
    /** Time from which the holder may act. */
    readonly validFrom: number;
    readonly expiresAt: number;
    readonly renewAt: number;
    readonly isRenewalPending: boolean;
  };

/** State machine of one lease, without I/O. */
export class LeaseHolder {
  readonly #options: LeaseOptions;
  #state: HolderState = { type: "idle", nextAttemptAt: -Infinity };
  #isWanted = false;

  constructor(options: LeaseOptions) {
    this.#options = options;
  }

  /**
   * Returns the fencing number if the holder may act now, else `undefined`. The
   * caller checks it directly before each action, since the lease may expire
   * while the process is paused.
   */
  getFencingNumber(now: number): number | undefined {
    if (this.#state.type !== "holding") return undefined;
    const { validFrom, expiresAt, fencing } = this.#state;
    if (now < validFrom || now >= expiresAt - this.#options.marginMs) return undefined;
    return fencing;
  }

  /** Applies an event and returns the requests to send. */
  handle(event: LeaseEvent, now: number): readonly LeaseEffect[] {
    switch (event.type) {
      case "wanted_changed":
        this.#isWanted = event.wanted;
        break;
      case "acquired":
        this.#startHolding(event.sentAt, event.fencing, now);
        break;
      case "acquire_failed":
        this.#state = { type: "idle", nextAttemptAt: now + this.#options.retryMs };
        break;
      case "renewed":
        this.#renew(event.sentAt);
        break;
      case "expired":
        this.#state = { type: "idle", nextAttemptAt: now };
        break;
      case "renew_failed":
        this.#delayRenewal(now);
        break;
      case "ticked":
        break;
    }
    return this.#chooseEffects(now);
  }

  #startHolding(sentAt: number, fencing: number, now: number): void {
    const { ttlMs, marginMs } = this.#options;
    this.#state = {
      type: "holding",
      fencing,
      validFrom: now + marginMs,
      expiresAt: sentAt + ttlMs,
      renewAt: sentAt + ttlMs / 3,
      isRenewalPending: false,
    };
  }

  #renew(sentAt: number): void {
    if (this.#state.type !== "holding") return;
    const { ttlMs } = this.#options;
    const expiresAt = sentAt + ttlMs;
    this.#state = {
      ...this.#state,
      expiresAt,
      renewAt: sentAt + ttlMs / 3,
      isRenewalPending: false,
    };
  }

  #delayRenewal(now: number): void {
    if (this.#state.type !== "holding") return;
    this.#state = { ...this.#state, renewAt: now + this.#options.retryMs, isRenewalPending: false };
  }

  #chooseEffects(now: number): readonly LeaseEffect[] {
    if (this.#state.type === "holding" && now >= this.#state.expiresAt) {
      this.#state = { type: "idle", nextAttemptAt: now };
    }
    if (!this.#isWanted) {
      if (this.#state.type !== "holding") return [];
      this.#state = { type: "idle", nextAttemptAt: now };
      return [{ type: "release" }];
    }
    if (this.#state.type === "idle" && now >= this.#state.nextAttemptAt) {
      this.#state = { type: "acquiring" };
      return [{ type: "acquire" }];
    }
    if (
      this.#state.type === "holding" && !this.#state.isRenewalPending && now >= this.#state.renewAt
    ) {
      this.#state = { ...this.#state, isRenewalPending: true };
      return [{ type: "renew" }];
    }
    return [];
  }
}
