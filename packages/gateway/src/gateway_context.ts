/** Declares the objects and functions that the parts of a gateway process share. */

import type * as core from "@peridotvale/core";
import type * as policy from "@peridotvale/policy";
import type * as codec from "./codec.ts";
import type * as pools from "./connection_pool.ts";
import type * as controls from "./engine_control.ts";
import type * as evacuations from "./evacuation_agent.ts";
import type * as limitAgents from "./limit_agent.ts";
import type * as memories from "./memory_agent.ts";
import type * as quarantines from "./quarantine_agent.ts";
import type * as settingsModule from "./gateway_settings.ts";
import type * as signalAgents from "./signal_agent.ts";

export interface GatewayContext {
  /** Replaced when the settings are reloaded. */
  settings: settingsModule.GatewaySettings;
  readonly clock: core.Clock;
  readonly logger: core.Logger;
  readonly metrics: core.Metrics;
  readonly random: core.RandomSource;
  readonly codec: codec.HeaderCodec;
  readonly pool: pools.ConnectionPool;
  readonly config: policy.ConfigRegister;
  readonly directory: policy.InstanceDirectory;
  readonly callPlacement: policy.CallPlacement;
  readonly enginePlacement: policy.EnginePlacement;
  /** Load that other gateway processes place on engines. */
  readonly peerLoads: policy.PeerLoads;
  readonly memory: memories.MemoryAgent;
  readonly limitAgent: limitAgents.LimitAgent;
  readonly signalAgent: signalAgents.SignalAgent;
  readonly quarantineAgent: quarantines.QuarantineAgent;
  readonly evacuationAgent: evacuations.EvacuationAgent;
  readonly engineControl: controls.EngineControl;
  readonly engineStarts: policy.EngineStarts;
  /** Returns the endpoints of `service` that may receive new requests. */
  listEndpoints(service: core.ServiceName): core.EndpointRecord[];
  /** Returns the engines of `service` that may receive new generations. */
  listEngines(service: core.ServiceName): policy.EngineCandidate[];
  getEngineProfile(service: core.ServiceName): core.EngineProfile | undefined;
  getRetryBudget(service: core.ServiceName): policy.SlidingWindowRetryBudget;
  /** Returns the number of processes that share the retry budget, including this one. */
  getProcessCount(): number;
  /** Returns the age of other processes' loads when they arrive, if it matters for placement. */
  getReportLagMs(): number;
  /** Records that `endpoint` closes a connection after an answer, as leaving endpoints do. */
  recordClosingAnswer(endpoint: core.EndpointRecord): void;
  /** Logs changes of the directory and applies them to connections, placement and hand-overs. */
  publishChanges(changes: readonly policy.InstanceChange[]): void;
}
