/** Settings of a gateway process, as an adapter derives them. */

import type * as core from "@peridotvale/core";
import type * as policy from "@peridotvale/policy";

/** Where to listen. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Bounds that the operators set. */
export interface GatewayBounds {
  /** A removed key is refused within this time of the removal, on every machine. */
  readonly keyRevocationMs: number;
  /** Whether keys must be refused when their removal cannot be ruled out. */
  readonly isRevocationStrict: boolean;
  /** A new configuration is in force within this time. */
  readonly configApplyMs: number;
  /** From SIGTERM to SIGKILL. */
  readonly gracePeriodMs: number;
  readonly repeats: policy.RepeatBounds;
}

/** Settings of one process. */
export interface GatewaySettings {
  readonly process: core.ProcessId;
  readonly zone: core.ZoneName;
  readonly front: ListenAddress;
  /** Readiness and metrics. */
  readonly health: ListenAddress;
  readonly readinessPath: string;
  /** Links from other gateway processes. */
  readonly peers: ListenAddress;
  readonly bounds: GatewayBounds;
}
