/**
 * Interface between the operators' HTTP server and the rest of the process, with the types of
 * its responses. Times are in milliseconds.
 */

import type * as core from "@peridotvale/core";

/** The manifest in force. */
export interface ManifestView {
  readonly release: number;
  readonly submission: string;
  readonly text: string;
}

/** State of an entry process, as known to the reporting process. */
export interface ProcessView {
  readonly process: string;
  readonly zone: string;
  readonly state: "alive" | "suspect" | "dead" | "draining";
  readonly release: number;
  /** Time since the release took effect in that process, if known. */
  readonly inForceMs: number | undefined;
  readonly openRequests: number | undefined;
}

/** State of an endpoint, as known to the reporting process. */
export interface EndpointView {
  readonly endpoint: string;
  readonly zone: string;
  readonly role: string;
  readonly accepting: boolean;
  /** Process that owns the endpoint's capacity, if known. */
  readonly owner: string | undefined;
}

/** State of the complete system, as known to the reporting process. */
export interface StatusView {
  readonly process: string;
  readonly zone: string;
  readonly platformReachable: boolean;
  readonly platformSilentMs: number | undefined;
  readonly processes: readonly ProcessView[];
  readonly endpoints: readonly EndpointView[];
}

/** One logged decision about a request. */
export interface DecisionView {
  readonly at: number;
  readonly process: string;
  readonly event: string;
  readonly fields: core.LogFields;
}

/** Result of submitting a manifest. */
export type SubmitView =
  | {
    readonly type: "accepted";
    readonly release: number;
    readonly submission: string;
  }
  | {
    readonly type: "invalid";
    readonly problems: readonly core.DocumentProblem[];
  }
  | {
    readonly type: "conflict";
    readonly inForce: number;
    readonly submission: string | undefined;
  }
  | { readonly type: "not_accepted"; readonly message: string }
  | {
    readonly type: "unknown";
    readonly submission: string;
    readonly message: string;
  };

export interface OperatorHandler {
  getStatus(): StatusView;
  getManifest(): ManifestView | undefined;
  submit(
    text: string,
    options: { readonly base: number; readonly submission: string },
  ): Promise<SubmitView>;
  explain(request: core.RequestId): Promise<readonly DecisionView[]>;
}
