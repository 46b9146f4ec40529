/**
 * Holds one lease of the key-value service, and says until when its holder may
 * act. A new holder waits until the one before it has certainly stopped.
 */

/** What happened. */
export type LeaseEvent =
  /** Whether this process should try to hold the lease. */
  | { readonly type: "wanted_changed"; readonly wanted: boolean }
  | {
    readonly type: "acquired";
    /** When the acquisition was sent. */
    readonly sentAt: number;
    /** Rises with each holder. */
    readonly fencing: number;
  }
  | { readonly type: "acquire_failed" }
  | { readonly type: "renewed"; readonly sentAt: number }
  /** The store says that the lease has expired. */
  | { readonly type: "expired" }
  | { readonly type: "renew_failed" }
  | { readonly type: "ticked" };

/** What to do. */
export type LeaseEffect =
  | { readonly type: "acquire" }
  | { readonly type: "renew" }
  | { readonly type: "release" };

/** Options of a lease. */
export interface LeaseOptions {
  readonly ttlMs: number;
  /** Time before expiry at which the holder stops, and after acquisition before it starts. */
  readonly marginMs: number;
  readonly retryMs: number;
}

type HolderState =
  | { readonly type: "idle"; readonly tryAt: number }
  | { readonly type: "acquiring" }
  | {
    readonly type: "holding";
    readonly fencing: number;
    readonly actFrom: number;
    readonly expiresAt: number;
    readonly renewAt: number;
    readonly renewing: boolean;
  };

/** The state machine of one lease. */
export class LeaseHolder {
  readonly #options: LeaseOptions;
  #state: HolderState = { type: "idle", tryAt: -Infinity };
  #wanted = false;

  constructor(options: LeaseOptions) {
    this.#options = options;
  }

  /** The fencing number if the holder may act now; to be asked right before each act. */
  getFencing(now: number): number | undefined {
    if (this.#state.type !== "holding") return undefined;
    const { actFrom, expiresAt, fencing } = this.#state;
    if (now < actFrom || now >= expiresAt - this.#options.marginMs) return undefined;
    return fencing;
  }

  handle(event: LeaseEvent, now: number): readonly LeaseEffect[] {
    switch (event.type) {
      case "wanted_changed":
        this.#wanted = event.wanted;
        break;
      case "acquired":
        this.#startHolding(event.sentAt, event.fencing, now);
        break;
      case "acquire_failed":
        this.#state = { type: "idle", tryAt: now + this.#options.retryMs };
        break;
      case "renewed":
        this.#renew(event.sentAt);
        break;
      case "expired":
        this.#state = { type: "idle", tryAt: now };
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
      actFrom: now + marginMs,
      expiresAt: sentAt + ttlMs,
      renewAt: sentAt + ttlMs / 3,
      renewing: false,
    };
  }

  #renew(sentAt: number): void {
    if (this.#state.type !== "holding") return;
    const { ttlMs } = this.#options;
    const expiresAt = sentAt + ttlMs;
    this.#state = { ...this.#state, expiresAt, renewAt: sentAt + ttlMs / 3, renewing: false };
  }

  #delayRenewal(now: number): void {
    if (this.#state.type !== "holding") return;
    this.#state = { ...this.#state, renewAt: now + this.#options.retryMs, renewing: false };
  }

  #chooseEffects(now: number): readonly LeaseEffect[] {
    if (this.#state.type === "holding" && now >= this.#state.expiresAt) {
      this.#state = { type: "idle", tryAt: now };
    }
    if (!this.#wanted) {
      if (this.#state.type !== "holding") return [];
      this.#state = { type: "idle", tryAt: now };
      return [{ type: "release" }];
    }
    if (this.#state.type === "idle" && now >= this.#state.tryAt) {
      this.#state = { type: "acquiring" };
      return [{ type: "acquire" }];
    }
    if (this.#state.type === "holding" && !this.#state.renewing && now >= this.#state.renewAt) {
      this.#state = { ...this.#state, renewing: true };
      return [{ type: "renew" }];
    }
    return [];
  }
}
