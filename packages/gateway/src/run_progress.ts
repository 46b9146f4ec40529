/** Records what the engines of one attempt at a generation produce, and where they break off. */

import type * as core from "@peridotvale/core";
import type * as contexts from "./gateway_context.ts";
import * as requests from "./open_request.ts";
import * as promptParts from "./prompt_parts.ts";
import * as quarantines from "./quarantine_agent.ts";
import type * as upstreams from "./upstream_stream.ts";

/** Progress of one attempt, also through its moves to other engines. */
export class RunProgress {
  readonly #context: contexts.GatewayContext;
  readonly #request: requests.OpenRequest;
  readonly #routed: requests.RoutedRequest;
  /** Time at which the current engine's first event arrived. */
  #firstEventAt: number | undefined;
  #lastEventAt: number | undefined;
  #eventCount = 0;
  #isSound = false;
  /** Time at which the request was sent to the current engine. */
  #sentAt = -Infinity;

  constructor(context: contexts.GatewayContext, options: {
    readonly request: requests.OpenRequest;
    readonly routed: requests.RoutedRequest;
  }) {
    this.#context = context;
    this.#request = options.request;
    this.#routed = options.routed;
  }

  /** Number of events that the attempt has sent to the caller. */
  get eventCount(): number {
    return this.#eventCount;
  }

  /** Records that the request is sent to an engine. */
  recordStart(now: number): void {
    this.#sentAt = now;
    this.#firstEventAt = undefined;
  }

  /** Records `count` events from `endpoint`; `isFirst` says that the caller had none before. */
  recordEvents(
    endpoint: core.EndpointRecord,
    count: number,
    options: { readonly isFirst: boolean; readonly now: number },
  ): void {
    const { isFirst, now } = options;
    this.#eventCount += count;
    const profile = this.#context.getEngineProfile(this.#routed.service);
    const tokensPerEvent = profile?.tokensPerEvent ?? 1;
    if (isFirst) {
      const labels = requests.createRequestLabels(this.#routed);
      this.#context.metrics.recordFirstToken(labels, now - this.#request.arrivedAt);
    }
    const elapsedMs = this.#lastEventAt === undefined ? undefined : now - this.#lastEventAt;
    if (this.#firstEventAt === undefined) {
      this.#firstEventAt = now;
      this.#context.limitAgent.recordEnd(endpoint, "answered", this.#sentAt);
    }
    if (now - this.#firstEventAt >= quarantines.SOUND_OUTPUT_MS) this.#recordSoundOutput(now);
    this.#lastEventAt = now;
    this.#context.enginePlacement.recordProgress(endpoint.instance, this.#request.id, {
      generatedTokens: this.#eventCount * tokensPerEvent,
      tokenMs: elapsedMs === undefined ? undefined : elapsedMs / (count * tokensPerEvent),
    });
  }

  /** Records that the generation is complete. */
  recordEnd(now: number): void {
    if (this.#eventCount > 0) this.#recordSoundOutput(now);
  }

  /** Records that the stream of `endpoint` broke off. */
  recordBreak(
    endpoint: core.EndpointRecord,
    end: upstreams.UpstreamEnd & { readonly type: "broken" },
  ): void {
    const { clock, logger, metrics } = this.#context;
    const outputMs = this.#firstEventAt === undefined
      ? undefined
      : clock.now() - this.#firstEventAt;
    metrics.recordBrokenGeneration(outputMs === undefined ? "before_output" : "during_output");
    logger.write("stream_broken", {
      request: this.#request.id,
      instance: endpoint.instance,
      reason: end.reason,
      events: this.#eventCount,
      output_ms: outputMs === undefined ? undefined : Math.round(outputMs),
      parts: promptParts.formatPromptParts(this.#request),
    });
    if (end.cause !== "connection_lost") return;
    const suspect = promptParts.createSuspect(this.#request);
    this.#context.quarantineAgent.recordBreak({ endpoint, outputMs, suspect });
  }

  /** Records once that the prompt has produced output and its engine has not crashed. */
  #recordSoundOutput(now: number): void {
    if (this.#isSound) return;
    this.#isSound = true;
    const parts = promptParts.listSharedParts(this.#request);
    this.#context.quarantineAgent.recordSoundOutput(parts, now);
  }
}
