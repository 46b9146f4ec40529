/** Declares the settings of a gateway process. A platform adapter reads them from its format. */

import type * as core from "@peridotvale/core";
import type * as policy from "@peridotvale/policy";

/** Address at which a server listens. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Limits that operators configure. */
export interface GatewayBounds {
  /** Time within which every process refuses an API key after its removal. */
  readonly keyRevocationMs: number;
  /** Whether to refuse keyed requests while the store cannot confirm that the key still exists. */
  readonly isRevocationStrict: boolean;
  /** Time within which every process applies a new configuration. */
  readonly configApplyMs: number;
  /** Time within which no process sends requests to a zone any more after its evacuation. */
  readonly evacuateMs?: number;
  /** Time from SIGTERM to SIGKILL. */
  readonly gracePeriodMs: number;
  readonly retries: policy.RetryBounds;
  /** What a cold endpoint may receive in a second; the default bounds if absent. */
  readonly cold?: policy.ColdBounds;
}

export interface GatewaySettings {
  readonly process: core.ProcessId;
  readonly zone: core.ZoneName;
  readonly front: ListenAddress;
  /** Address that serves the readiness path and the metrics. */
  readonly health: ListenAddress;
  readonly readinessPath: string;
  /** Address for links from other gateway processes. */
  readonly peers: ListenAddress;
  /** Bandwidth of the VM's network link; 0 if it is not known. */
  readonly linkMbps: number;
  /** Whether endpoints start slowly. */
  readonly isPaceEnabled?: boolean;
  /** Memory of the VM; undefined if it is not known. */
  readonly memoryMb?: number | undefined;
  /** Descriptors of the VM; undefined if they are not known. */
  readonly maxFds?: number | undefined;
  readonly bounds: GatewayBounds;
}
