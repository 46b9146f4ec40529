/** Serves callers: checks a request against the manifest and runs it. */

import * as callers from "@peridotvale/callers";
import * as core from "@peridotvale/core";
import * as neverthrow from "neverthrow";
import * as calls from "./call_runner.ts";
import * as generations from "./generation_runner.ts";
import * as idempotency from "./idempotency.ts";
import type * as manifests from "./manifest_agent.ts";
import * as problems from "./request_problems.ts";

/** What the front works with. */
export interface FrontOptions {
  readonly generation: generations.GenerationContext;
  readonly call: calls.CallContext;
  readonly idempotency: idempotency.IdempotencyContext;
  readonly manifests: manifests.ManifestAgent;
  /** Whether the process knows enough endpoints to serve. */
  readonly isSettled: () => boolean;
  readonly maxPromptTokens: number;
  readonly maxOpenRequests: number;
}

interface ResolvedNames {
  readonly manifest: core.Manifest;
  readonly rank: core.RankName;
  readonly rankSpec: core.RankSpec;
  readonly workspace: core.WorkspaceSpec;
  readonly receivedAt: number;
  readonly deadlineAt: number;
}

type Refused<T> = neverthrow.Result<T, core.RequestProblem>;

/** {@linkcode callers.RequestHandler} of an entry process. */
export class Front implements callers.RequestHandler {
  readonly #options: FrontOptions;
  readonly #open = new Map<core.WorkspaceName, number>();
  #openCount = 0;
  #isDraining = false;

  constructor(options: FrontOptions) {
    this.#options = options;
  }

  /** Requests in progress. */
  get openCount(): number {
    return this.#openCount;
  }

  /** Turns the process unready; requests that still arrive are served. */
  startDrain(): void {
    this.#isDraining = true;
  }

  isReady(): boolean {
    const { manifests, isSettled } = this.#options;
    return !this.#isDraining && manifests.manifest !== undefined && isSettled();
  }

  readMetrics(): Promise<string> {
    return this.#options.generation.metrics.readText();
  }

  async generate(
    ask: callers.GenerationAsk,
    sink: callers.TokenSink,
    options: { readonly signal: AbortSignal },
  ): callers.Handled<callers.GenerationEnd> {
    const names = this.#resolveNames(ask);
    if (names.isErr()) return this.#refuse(ask, names.error);
    const resolved = this.#resolveGeneration(ask, names.value);
    if (resolved.isErr()) return this.#refuse(ask, resolved.error);
    const runner = new generations.GenerationRunner(
      this.#options.generation,
      resolved.value,
      {
        sink,
      },
    );
    return await this.#runOpen(ask.workspace, () => runner.run(options.signal));
  }

  async call(
    ask: callers.ServiceAsk,
    options: { readonly signal: AbortSignal },
  ): callers.Handled<callers.ServiceReply> {
    const names = this.#resolveNames(ask);
    if (names.isErr()) return this.#refuse(ask, names.error);
    const operation = getOperation(names.value.manifest, ask);
    if (operation.isErr()) return this.#refuse(ask, operation.error);
    const { rank, rankSpec, workspace, receivedAt, deadlineAt } = names.value;
    const resolved = {
      ask,
      rank,
      rankSpec,
      weight: workspace.weight,
      operation: operation.value,
      receivedAt,
      deadlineAt,
    };
    return await this.#runOpen(ask.workspace, async () => {
      const run = () => calls.runCall(this.#options.call, resolved, options);
      const isKeyed = ask.idempotencyKey !== undefined &&
        !operation.value.idempotent;
      const result = isKeyed
        ? await idempotency.runIdempotent(
          this.#options.idempotency,
          { ask, key: ask.idempotencyKey!, deadlineAt },
          { run },
        )
        : await run();
      this.#recordCall(resolved, result);
      return result;
    });
  }

  #resolveNames(ask: callers.RequestHead): Refused<ResolvedNames> {
    const manifest = this.#options.manifests.manifest;
    if (manifest === undefined) {
      return neverthrow.err(core.createRefusal(503, "no_manifest", {
        detail: "no manifest is in force here yet",
        retryAfterMs: 1_000,
      }));
    }
    const workspace = manifest.workspaces.get(ask.workspace);
    if (workspace === undefined) {
      return neverthrow.err(
        problems.createUnknownNameProblem("unknown_workspace", ask.workspace),
      );
    }
    const rank = ask.rank ?? manifest.defaultRank;
    const rankSpec = manifest.ranks.get(rank);
    if (rankSpec === undefined) {
      return neverthrow.err(
        problems.createUnknownNameProblem("unknown_rank", rank),
      );
    }
    const isFull = (this.#open.get(ask.workspace) ?? 0) >= workspace.maxOpenRequests ||
      this.#openCount >= this.#options.maxOpenRequests;
    if (isFull) {
      return neverthrow.err(problems.createCapacityProblem(
        { reason: "workspace_limit", retryAfterMs: 1_000 },
        { outcome: "not_run" },
      ));
    }
    const receivedAt = this.#options.generation.runtime.clock.now();
    const deadlineMs = Math.min(
      ask.deadlineMs ?? Infinity,
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
    ask: callers.GenerationAsk,
    names: ResolvedNames,
  ): Refused<generations.ResolvedGeneration> {
    const model = names.manifest.models.get(ask.model);
    if (model === undefined) {
      return neverthrow.err(
        problems.createUnknownNameProblem("unknown_model", ask.model),
      );
    }
    const promptTokens = core.estimatePromptTokens(ask.promptText);
    if (promptTokens > this.#options.maxPromptTokens) {
      return neverthrow.err(core.createRefusal(413, "prompt_too_large", {
        detail: `about ${promptTokens} tokens; at most ${this.#options.maxPromptTokens}`,
      }));
    }
    const maxTokens = Math.min(
      ask.maxTokens ?? Infinity,
      model.maxOutputTokens,
    );
    return neverthrow.ok({ ask, maxTokens, ...names });
  }

  async #runOpen<T>(
    workspace: core.WorkspaceName,
    run: () => Promise<T>,
  ): Promise<T> {
    this.#updateOpen(workspace, 1);
    try {
      return await run();
    } finally {
      this.#updateOpen(workspace, -1);
    }
  }

  #updateOpen(workspace: core.WorkspaceName, change: number): void {
    this.#openCount += change;
    const open = (this.#open.get(workspace) ?? 0) + change;
    if (open === 0) this.#open.delete(workspace);
    else this.#open.set(workspace, open);
    this.#options.generation.metrics.updateOpenRequests(this.#openCount);
  }

  #refuse(
    ask: callers.RequestHead,
    problem: core.RequestProblem,
  ): neverthrow.Result<never, core.RequestProblem> {
    this.#options.generation.decisions.recordDecision(
      ask.request,
      "request_refused",
      {
        code: problem.code,
        outcome: problem.outcome,
      },
    );
    return neverthrow.err(problem);
  }

  #recordCall(
    resolved: calls.ResolvedCall,
    result: neverthrow.Result<callers.ServiceReply, core.RequestProblem>,
  ): void {
    const { ask, rank, receivedAt } = resolved;
    const outcome = result.isOk() ? "completed" : result.error.outcome;
    const code = result.isOk() ? "ok" : result.error.code;
    const { metrics, decisions, runtime } = this.#options.generation;
    metrics.recordOutcome({ workspace: ask.workspace, rank }, outcome, code);
    decisions.recordDecision(ask.request, "request_ended", {
      workspace: ask.workspace,
      rank,
      service: ask.service,
      outcome,
      code,
      status: result.isOk() ? result.value.status : result.error.status,
      duration_ms: Math.round(runtime.clock.now() - receivedAt),
    });
  }
}

function getOperation(
  manifest: core.Manifest,
  ask: callers.ServiceAsk,
): Refused<core.OperationSpec> {
  const service = manifest.services.get(ask.service);
  if (service === undefined) {
    return neverthrow.err(core.createRefusal(404, "unknown_service", {
      detail: `no such service: ${ask.service}`,
    }));
  }
  const operation = core.getOperation(service, ask.method, { path: ask.path });
  if (operation !== undefined) return neverthrow.ok(operation);
  return neverthrow.err(core.createRefusal(404, "unknown_operation", {
    detail: `service ${ask.service} has no operation ${ask.method} ${ask.path}`,
  }));
}
