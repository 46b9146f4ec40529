/** Answers operators' queries about this process, its peers and its endpoints. */

import * as core from "@peridotvale/core";
import type * as operators from "@peridotvale/operators";
import type * as routers from "./capacity_router.ts";
import type * as decisionLogs from "./decision_log.ts";
import type * as directories from "./endpoint_directory.ts";
import type * as fleets from "./fleet.ts";
import type * as fronts from "./front.ts";
import type * as manifests from "./manifest_agent.ts";

export interface OperatorViewsOptions {
  readonly runtime: core.Runtime;
  readonly process: core.ProcessId;
  readonly zone: core.ZoneName;
  readonly directory: directories.EndpointDirectory;
  readonly manifests: manifests.ManifestAgent;
  readonly decisions: decisionLogs.DecisionLog;
  readonly front: fronts.Front;
  readonly fleet: fleets.Fleet;
  readonly router: routers.CapacityRouter;
}

/** Implements {@linkcode operators.OperatorHandler} for an entry process. */
export class OperatorViews implements operators.OperatorHandler {
  readonly #options: OperatorViewsOptions;

  constructor(options: OperatorViewsOptions) {
    this.#options = options;
  }

  getStatus(): operators.StatusView {
    const { runtime, process, zone, manifests } = this.#options;
    const now = runtime.clock.now();
    const { reachable, silentMs } = manifests.getPlatformReachability(now);
    return {
      process,
      zone,
      platformReachable: reachable,
      platformSilentMs: Number.isFinite(silentMs) ? Math.round(silentMs) : undefined,
      processes: [this.#createOwnView(now), ...this.#createPeerViews(now)],
      endpoints: this.#createEndpointViews(now),
    };
  }

  getManifest(): operators.ManifestView | undefined {
    return this.#options.manifests.record;
  }

  async submit(
    text: string,
    options: { readonly base: number; readonly submission: string },
  ): Promise<operators.SubmitView> {
    const { runtime, manifests } = this.#options;
    const result = await manifests.submit(text, options);
    const type = result.isOk() ? "accepted" : result.error.type;
    runtime.logger.write("manifest_submitted", { ...options, result: type });
    if (result.isOk()) {
      const { release, submission } = result.value;
      return { type: "accepted", release, submission };
    }
    if (result.error.type !== "conflict") return result.error;
    const { current } = result.error;
    return {
      type: "conflict",
      inForce: current?.release ?? 0,
      submission: current?.submission,
    };
  }

  /**
   * Returns the decisions about `request`, oldest first. If this process keeps
   * none, it queries the linked peers.
   */
  async explain(request: core.RequestId): Promise<readonly operators.DecisionView[]> {
    const { process, decisions, fleet } = this.#options;
    const ownDecisions = decisions.getDecisions(request).map((decision) => ({
      process,
      ...decision,
    }));
    const foundDecisions: operators.DecisionView[] = [...ownDecisions];
    if (foundDecisions.length === 0) {
      for (const peerDecision of await fleet.explain(request)) {
        foundDecisions.push({ process: peerDecision.process, ...peerDecision.decision });
      }
    }
    return foundDecisions.sort((a, b) => a.at - b.at);
  }

  #createOwnView(now: number): operators.ProcessView {
    const { process, zone, manifests, front } = this.#options;
    return {
      process,
      zone,
      state: front.isReady() ? "alive" : "draining",
      release: manifests.record?.release ?? 0,
      inForceMs: manifests.record === undefined ? undefined : now - manifests.appliedAt,
      openRequests: front.openRequestCount,
    };
  }

  #createPeerViews(now: number): operators.ProcessView[] {
    const { fleet } = this.#options;
    const views = fleet.membership.getMembers().map((member) => {
      const peerState = fleet.getPeerState(member.process);
      return {
        process: member.process,
        zone: member.zone,
        state: member.draining && member.state === "alive" ? "draining" as const : member.state,
        release: peerState?.release ?? 0,
        inForceMs: peerState === undefined ? undefined : now - peerState.releaseSince,
        openRequests: peerState?.openRequests,
      };
    });
    return views.sort((a, b) => `${a.zone}${a.process}` < `${b.zone}${b.process}` ? -1 : 1);
  }

  #createEndpointViews(now: number): operators.EndpointView[] {
    const { router, directory: { table } } = this.#options;
    const listedEndpoints = [
      ...table.getEndpointsByRole("engine"),
      ...table.getEndpointsByRole("service"),
    ];
    return listedEndpoints.map((entry) => ({
      endpoint: entry.endpoint,
      zone: entry.zone,
      role: entry.service ?? entry.role,
      accepting: table.isAccepting(entry.endpoint, now),
      owner: entry.role === "engine" ? router.getOwner(entry.endpoint) : undefined,
    }));
  }
}
