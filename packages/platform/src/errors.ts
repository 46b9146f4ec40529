/** Errors of calls to the platform's services. */

import * as core from "@peridotvale/core";

/** Reason why a call to the platform failed. */
export type PlatformError =
  /** The call was not sent, so it has had no effect. */
  | { readonly type: "unreachable"; readonly message: string }
  /** The call was sent and may have taken effect. */
  | { readonly type: "unknown"; readonly message: string }
  /** The platform rejected the call, which has had no effect. */
  | {
    readonly type: "rejected";
    readonly status: number;
    readonly message: string;
  };

/** Converts an error of the HTTP client into a {@linkcode PlatformError}. */
export function createPlatformError(error: unknown): PlatformError {
  const failure = core.readNetworkFailure(error);
  const type = failure.notSent ? "unreachable" : "unknown";
  return { type, message: failure.message };
}
