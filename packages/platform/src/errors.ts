/** Errors of the platform's services. */

import * as core from "@peridotvale/core";

/** Why a call to the platform has no answer. */
export type PlatformError =
  /** Proved not to have taken effect. */
  | { readonly type: "unreachable"; readonly message: string }
  /** May have taken effect. */
  | { readonly type: "unknown"; readonly message: string }
  /** The platform answered with an error; no effect. */
  | {
    readonly type: "rejected";
    readonly status: number;
    readonly message: string;
  };

/** Turns an error of the HTTP client into one of this layer. */
export function createPlatformError(error: unknown): PlatformError {
  const failure = core.readNetworkFailure(error);
  const type = failure.notSent ? "unreachable" : "unknown";
  return { type, message: failure.message };
}
