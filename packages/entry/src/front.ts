/**
 * Handles callers' requests: checks each request against the manifest and the
 * limits on open requests and prompt size, then runs it.
 */

import * as callers from "@peridotvale/callers";
import * as core from "@peridotvale/core";
import * as neverthrow from "neverthrow";
import * as calls from "./call_runner.ts";
import * as generations from "./generation_runner.ts";
import * as idempotency from "./idempotency.ts";
import type * as manifests from "./manifest_agent.ts";
import * as problems from "./request_problems.ts";

export interface FrontOptions {
  readonly generation: generations.GenerationContext;
  readonly call: calls.CallContext;
  readonly idempotency: idempotency.IdempotencyContext;
  readonly manifests: manifests.ManifestAgent;
  /** Whether the VM list has been read or a peer has reported an endpoint. */
  readonly hasEndpointList: () => boolean;
  readonly maxPromptTokens: number;
  readonly maxOpenRequests: number;
}

/** The manifest, rank, workspace and deadline that apply to a request. */
interface ResolvedHead {
  readonly manifest: core.Manifest;
  readonly rank: core.RankName;
  readonly rankSpec: core.RankSpec;
  readonly workspace: core.WorkspaceSpec;
  readonly receivedAt: number;
  readonly deadlineAt: number;
}

type ResultOrProblem<T> = neverthrow.Result<T, core.RequestProblem>;

/** The {@linkcode callers.RequestHandler} of an entry process. */
export class Front implements callers.RequestHandler {
  readonly #options: FrontOptions;
  readonly #openRequestCountByWorkspace = new Map<core.WorkspaceName, number>();
  #openRequestCount = 0;
  #isDraining = false;

  constructor(options: FrontOptions) {
    this.#options = options;
  }

  /** Number of requests in progress. */
  get openRequestCount(): number {
    return this.#openRequestCount;
  }

  /** Reports the process as not ready; requests that still arrive are served. */
  startDrain(): void {
    this.#isDraining = true;
  }

  isReady(): boolean {
    const { manifests, hasEndpointList } = this.#options;
    return !this.#isDraining && manifests.manifest !== undefined && hasEndpointList();
  }

  readMetrics(): Promise<string> {
    return this.#options.generation.metrics.formatText();
  }

  async generate(
    request: callers.GenerationRequest,
    sink: callers.TokenSink,
    options: { readonly signal: AbortSignal },
  ): callers.HandlerResult<callers.GenerationEnd> {
    const head = this.#resolveHead(request);
    if (head.isErr()) return this.#refuse(request, head.error);
    const resolvedGeneration = this.#resolveGeneration(request, head.value);
    if (resolvedGeneration.isErr()) return this.#refuse(request, resolvedGeneration.error);
    const runner = new generations.GenerationRunner(
      this.#options.generation,
      resolvedGeneration.value,
      {
        sink,
      },
    );
    return await this.#runAsOpenRequest(request.workspace, () => runner.run(options.signal));
  }

  async call(
    request: callers.ServiceRequest,
    options: { readonly signal: AbortSignal },
  ): callers.HandlerResult<callers.ServiceAnswer> {
    const head = this.#resolveHead(request);
    if (head.isErr()) return this.#refuse(request, head.error);
    const operation = getOperation(head.value.manifest, request);
    if (operation.isErr()) return this.#refuse(request, operation.error);
    const { rank, rankSpec, workspace, receivedAt, deadlineAt } = head.value;
    const resolvedCall = {
      request,
      rank,
      rankSpec,
      weight: workspace.weight,
      operation: operation.value,
      receivedAt,
      deadlineAt,
    };
    return await this.#runAsOpenRequest(request.workspace, async () => {
      const run = () => calls.runCall(this.#options.call, resolvedCall, options);
      const needsDeduplication = request.idempotencyKey !== undefined &&
        !operation.value.idempotent;
      const result = needsDeduplication
        ? await idempotency.runIdempotent(
          this.#options.idempotency,
          { request, key: request.idempotencyKey!, deadlineAt },
          { run },
        )
        : await run();
      this.#recordCall(resolvedCall, result);
      return result;
    });
  }

  /** Resolves a request's workspace, rank and deadline; checks the limits on open requests. */
  #resolveHead(request: callers.RequestHead): ResultOrProblem<ResolvedHead> {
    const manifest = this.#options.manifests.manifest;
    if (manifest === undefined) {
      return neverthrow.err(core.createRefusal(503, "no_manifest", {
        detail: "this process has not received a manifest yet",
        retryAfterMs: 1_000,
      }));
    }
    const workspace = manifest.workspaces.get(request.workspace);
    if (workspace === undefined) {
      return neverthrow.err(
        problems.createUnknownNameProblem("unknown_workspace", request.workspace),
      );
    }
    const rank = request.rank ?? manifest.defaultRank;
    const rankSpec = manifest.ranks.get(rank);
    if (rankSpec === undefined) {
      return neverthrow.err(
        problems.createUnknownNameProblem("unknown_rank", rank),
      );
    }
    const isLimitReached = (this.#openRequestCountByWorkspace.get(request.workspace) ?? 0) >=
        workspace.maxOpenRequests ||
      this.#openRequestCount >= this.#options.maxOpenRequests;
    if (isLimitReached) {
      return neverthrow.err(problems.createCapacityProblem(
        { reason: "workspace_limit", retryAfterMs: 1_000 },
        { outcome: "not_run" },
      ));
    }
    const receivedAt = this.#options.generation.runtime.clock.now();
    const deadlineMs = Math.min(
      request.deadlineMs ?? Infinity,
      rankSpec.deadlineMs,
    );
    const deadlineAt = receivedAt + deadlineMs;
    return neverthrow.ok({
      manifest,
      rank,
      rankSpec,
      workspace,
      receivedAt,
      deadlineAt,
    });
  }

  #resolveGeneration(
    request: callers.GenerationRequest,
    head: ResolvedHead,
  ): ResultOrProblem<generations.ResolvedGeneration> {
    const model = head.manifest.models.get(request.model);
    if (model === undefined) {
      return neverthrow.err(
        problems.createUnknownNameProblem("unknown_model", request.model),
      );
    }
    const promptTokens = core.estimatePromptTokens(request.promptText);
    if (promptTokens > this.#options.maxPromptTokens) {
      return neverthrow.err(core.createRefusal(413, "prompt_too_large", {
        detail:
          `about ${promptTokens} prompt tokens; the limit is ${this.#options.maxPromptTokens}`,
      }));
    }
    const maxTokens = Math.min(
      request.maxTokens ?? Infinity,
      model.maxOutputTokens,
    );
    return neverthrow.ok({ request, maxTokens, ...head });
  }

  /** Calls `run` and includes it in the number of open requests until it ends. */
  async #runAsOpenRequest<T>(
    workspace: core.WorkspaceName,
    run: () => Promise<T>,
  ): Promise<T> {
    this.#changeOpenRequestCount(workspace, 1);
    try {
      return await run();
    } finally {
      this.#changeOpenRequestCount(workspace, -1);
    }
  }

  #changeOpenRequestCount(workspace: core.WorkspaceName, change: number): void {
    this.#openRequestCount += change;
    const workspaceCount = (this.#openRequestCountByWorkspace.get(workspace) ?? 0) + change;
    if (workspaceCount === 0) this.#openRequestCountByWorkspace.delete(workspace);
    else this.#openRequestCountByWorkspace.set(workspace, workspaceCount);
    this.#options.generation.metrics.setOpenRequests(this.#openRequestCount);
  }

  #refuse(
    request: callers.RequestHead,
    problem: core.RequestProblem,
  ): neverthrow.Result<never, core.RequestProblem> {
    this.#options.generation.decisions.recordDecision(
      request.requestId,
      "request_refused",
      {
        code: problem.code,
        outcome: problem.outcome,
      },
    );
    return neverthrow.err(problem);
  }

  #recordCall(
    resolvedCall: calls.ResolvedCall,
    result: neverthrow.Result<callers.ServiceAnswer, core.RequestProblem>,
  ): void {
    const { request, rank, receivedAt } = resolvedCall;
    const outcome = result.isOk() ? "completed" : result.error.outcome;
    const code = result.isOk() ? "ok" : result.error.code;
    const { metrics, decisions, runtime } = this.#options.generation;
    metrics.recordOutcome({ workspace: request.workspace, rank }, outcome, code);
    decisions.recordDecision(request.requestId, "request_ended", {
      workspace: request.workspace,
      rank,
      service: request.service,
      outcome,
      code,
      status: result.isOk() ? result.value.status : result.error.status,
      duration_ms: Math.round(runtime.clock.now() - receivedAt),
    });
  }
}

function getOperation(
  manifest: core.Manifest,
  request: callers.ServiceRequest,
): ResultOrProblem<core.OperationSpec> {
  const service = manifest.services.get(request.service);
  if (service === undefined) {
    return neverthrow.err(core.createRefusal(404, "unknown_service", {
      detail: `no such service: ${request.service}`,
    }));
  }
  const operation = core.findOperation(service, request.method, { path: request.path });
  if (operation !== undefined) return neverthrow.ok(operation);
  return neverthrow.err(core.createRefusal(404, "unknown_operation", {
    detail: `service ${request.service} has no operation ${request.method} ${request.path}`,
  }));
}
