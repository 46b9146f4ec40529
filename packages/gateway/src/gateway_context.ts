/** What the parts of a gateway share. */

import type * as core from "@peridotvale/core";
import type * as policy from "@peridotvale/policy";
import type * as codec from "./codec.ts";
import type * as pools from "./connection_pool.ts";
import type * as controls from "./engine_control.ts";
import type * as settingsModule from "./gateway_settings.ts";

/** Shared state and services of one gateway process. */
export interface GatewayContext {
  /** Replaced when the settings are read again. */
  settings: settingsModule.GatewaySettings;
  readonly clock: core.Clock;
  readonly logger: core.Logger;
  readonly metrics: core.Metrics;
  readonly random: core.RandomSource;
  readonly codec: codec.HeaderCodec;
  readonly pool: pools.ConnectionPool;
  readonly config: policy.ConfigRegister;
  readonly directory: policy.InstanceDirectory;
  readonly placement: policy.CallPlacement;
  readonly engines: policy.EnginePlacement;
  /** What other processes run at engines. */
  readonly board: policy.LoadBoard;
  readonly engineControl: controls.EngineControl;
  /** Endpoints of a service that may get new work. */
  listEndpoints(service: core.ServiceName): core.EndpointRecord[];
  /** Engines of a service that may get new work. */
  listEngines(service: core.ServiceName): policy.EngineCandidate[];
  getEngineProfile(service: core.ServiceName): core.EngineProfile | undefined;
  getBudget(service: core.ServiceName): policy.WindowBudget;
  /** Processes that share the bounds on repeats, this one included. */
  getProcessCount(): number;
  /** Records an answer that closes its connection. */
  recordClosing(endpoint: core.EndpointRecord): void;
  /** Logs changes of the directory and tells those who follow them. */
  publishChanges(changes: readonly policy.InstanceChange[]): void;
}
