/**
 * Assigns calls to plain services to endpoints. Each service has a scheduler of
 * its own, which queues calls while no endpoint has free capacity and refuses
 * calls that can no longer start in time.
 */

import * as core from "@peridotvale/core";
import * as policy from "@peridotvale/policy";
import * as neverthrow from "neverthrow";
import type * as directories from "./endpoint_directory.ts";
import * as topics from "./topics.ts";

/** Why a call was not assigned to an endpoint. */
export type CallRefusal = "no_endpoint" | "deadline_exceeded" | "cancelled";

type PlacementResult = neverthrow.Result<core.EndpointId, CallRefusal>;

const TICK_INTERVAL_MS = 50;

/** Holds the call schedulers of all services. */
export class CallBroker {
  readonly #runtime: core.Runtime;
  readonly #directory: directories.EndpointDirectory;
  readonly #zone: core.ZoneName;
  readonly #schedulers = new Map<core.ServiceName, policy.CallScheduler>();
  readonly #resolversByCallId = new Map<string, (result: PlacementResult) => void>();
  #manifest: core.Manifest | undefined;

  constructor(
    runtime: core.Runtime,
    options: {
      readonly directory: directories.EndpointDirectory;
      readonly zone: core.ZoneName;
    },
  ) {
    this.#runtime = runtime;
    this.#directory = options.directory;
    this.#zone = options.zone;
  }

  /**
   * Requests an endpoint for `call`. Resolves with the endpoint, or with the
   * reason when the scheduler refuses the call or `options.signal` aborts.
   */
  acquireEndpoint(
    call: policy.CallRequest,
    options: {
      readonly service: core.ServiceName;
      readonly signal: AbortSignal;
    },
  ): Promise<PlacementResult> {
    if (options.signal.aborted) {
      return Promise.resolve(neverthrow.err("cancelled"));
    }
    return new Promise((resolve) => {
      const cancel = () => {
        this.#resolversByCallId.delete(call.id);
        this.endCall(options.service, call.id, { latencyMs: 0, answered: true });
        resolve(neverthrow.err("cancelled"));
      };
      options.signal.addEventListener("abort", cancel, { once: true });
      this.#resolversByCallId.set(call.id, (result) => {
        options.signal.removeEventListener("abort", cancel);
        resolve(result);
      });
      this.#handle(options.service, { type: "call_arrived", call });
    });
  }

  /** Releases the slot of a call and reports its latency to the scheduler. */
  endCall(
    service: core.ServiceName,
    id: string,
    options: { readonly latencyMs: number; readonly answered: boolean },
  ): void {
    this.#handle(service, { type: "call_ended", id, ...options });
  }

  /** Updates the services and their concurrency limits from `manifest`. */
  applyManifest(manifest: core.Manifest): void {
    this.#manifest = manifest;
    this.updateEndpoints();
  }

  /** Updates the endpoints in each scheduler, and whether each endpoint accepts new calls. */
  updateEndpoints(): void {
    const now = this.#runtime.clock.now();
    const { table } = this.#directory;
    const serviceEndpoints = table.getEndpointsByRole("service");
    for (const [service, spec] of this.#manifest?.services ?? []) {
      const endpoints: policy.CallEndpoint[] = [];
      for (const listed of serviceEndpoints) {
        if (listed.service !== service || table.isLeaving(listed.endpoint)) continue;
        endpoints.push({
          endpoint: listed.endpoint,
          isLocal: listed.zone === this.#zone,
          accepting: table.isAccepting(listed.endpoint, now),
        });
      }
      const { concurrency } = spec;
      this.#handle(service, {
        type: "endpoints_changed",
        endpoints,
        concurrency,
      });
    }
  }

  /**
   * Lets the schedulers refuse calls that can no longer start in time. While
   * calls are queued, also updates the endpoints, so that endpoints that failed
   * earlier can accept calls again.
   */
  runTick(): void {
    let queuedCount = 0;
    for (const scheduler of this.#schedulers.values()) queuedCount += scheduler.queuedCount;
    if (queuedCount > 0) this.updateEndpoints();
    for (const service of this.#schedulers.keys()) {
      this.#handle(service, { type: "ticked" });
    }
  }

  #handle(service: core.ServiceName, event: policy.CallEvent): void {
    let scheduler = this.#schedulers.get(service);
    if (scheduler === undefined) {
      scheduler = new policy.CallScheduler();
      this.#schedulers.set(service, scheduler);
    }
    for (const effect of scheduler.handle(event, this.#runtime.clock.now())) {
      const resolve = this.#resolversByCallId.get(effect.id);
      this.#resolversByCallId.delete(effect.id);
      if (effect.type === "call_granted") {
        resolve?.(neverthrow.ok(effect.endpoint));
      } else resolve?.(neverthrow.err(effect.reason));
    }
  }
}

/** Updates `broker` when the manifest or the endpoints change, and runs its timer. */
export function registerCallBroker(
  runtime: core.Runtime,
  broker: CallBroker,
): core.Disposer {
  return core.mergeDisposers(
    runtime.registerListener(
      topics.MANIFEST_APPLIED,
      ({ manifest }) => broker.applyManifest(manifest),
    ),
    runtime.registerListener(
      topics.ENDPOINTS_CHANGED,
      () => broker.updateEndpoints(),
    ),
    runtime.registerInterval(() => broker.runTick(), TICK_INTERVAL_MS),
  );
}
