/** Places calls to plain services: one scheduler per service. */

import * as core from "@peridotvale/core";
import * as policy from "@peridotvale/policy";
import * as neverthrow from "neverthrow";
import type * as directories from "./endpoint_directory.ts";
import * as topics from "./topics.ts";

/** Why a call was not placed. */
export type CallRefusal = "no_endpoint" | "deadline_exceeded" | "cancelled";

type PlaceResult = neverthrow.Result<core.EndpointId, CallRefusal>;

const TICK_INTERVAL_MS = 50;

/** The schedulers of all services. */
export class CallBroker {
  readonly #runtime: core.Runtime;
  readonly #directory: directories.EndpointDirectory;
  readonly #zone: core.ZoneName;
  readonly #schedulers = new Map<core.ServiceName, policy.CallScheduler>();
  readonly #waiting = new Map<string, (result: PlaceResult) => void>();
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

  /** Asks for an endpoint; resolves when there is one, or when there cannot be in time. */
  acquire(
    call: policy.CallRequest,
    options: {
      readonly service: core.ServiceName;
      readonly signal: AbortSignal;
    },
  ): Promise<PlaceResult> {
    if (options.signal.aborted) {
      return Promise.resolve(neverthrow.err("cancelled"));
    }
    return new Promise((resolve) => {
      const cancel = () => {
        this.#waiting.delete(call.id);
        this.end(options.service, call.id, { latencyMs: 0, answered: true });
        resolve(neverthrow.err("cancelled"));
      };
      options.signal.addEventListener("abort", cancel, { once: true });
      this.#waiting.set(call.id, (result) => {
        options.signal.removeEventListener("abort", cancel);
        resolve(result);
      });
      this.#handle(options.service, { type: "call_arrived", call });
    });
  }

  /** Gives a call's place back. */
  end(
    service: core.ServiceName,
    id: string,
    options: { readonly latencyMs: number; readonly answered: boolean },
  ): void {
    this.#handle(service, { type: "call_ended", id, ...options });
  }

  /** Applies a manifest. */
  applyManifest(manifest: core.Manifest): void {
    this.#manifest = manifest;
    this.updateEndpoints();
  }

  /** Tells the schedulers which endpoints may get new work. */
  updateEndpoints(): void {
    const now = this.#runtime.clock.now();
    const { table } = this.#directory;
    const listed = table.getEndpoints("service");
    for (const [service, spec] of this.#manifest?.services ?? []) {
      const endpoints: policy.CallEndpoint[] = [];
      for (const entry of listed) {
        if (entry.service !== service || table.isLeaving(entry.endpoint)) continue;
        endpoints.push({
          endpoint: entry.endpoint,
          local: entry.zone === this.#zone,
          accepting: table.isAccepting(entry.endpoint, now),
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

  /** Refuses what can no longer start in time, and tries endpoints again that had failed. */
  runTick(): void {
    let queued = 0;
    for (const scheduler of this.#schedulers.values()) queued += scheduler.queuedCount;
    if (queued > 0) this.updateEndpoints();
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
      const resolve = this.#waiting.get(effect.id);
      this.#waiting.delete(effect.id);
      if (effect.type === "call_granted") {
        resolve?.(neverthrow.ok(effect.endpoint));
      } else resolve?.(neverthrow.err(effect.reason));
    }
  }
}

/** Keeps `broker` up to date with the manifest and the endpoints. */
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
