/** Client of the operators' HTTP interface of an entry process. */

import * as core from "@peridotvale/core";
import * as neverthrow from "neverthrow";
import * as undici from "undici";
import type * as handler from "./operator_handler.ts";

/** Failure of a call to an entry process. */
export interface OperatorError {
  /** Whether the call was sent and so may have taken effect. */
  readonly mayHaveTakenEffect: boolean;
  readonly message: string;
}

export type OperatorResult<T> = Promise<neverthrow.Result<T, OperatorError>>;

const READ_TIMEOUT_MS = 5_000;
const SUBMIT_TIMEOUT_MS = 15_000;

/** Reads the state of one entry process and submits manifests to it. */
export class OperatorClient {
  readonly #url: string;

  constructor(url: string) {
    this.#url = url;
  }

  readStatus(): OperatorResult<handler.StatusView> {
    return this.#call("/status", {});
  }

  /** Returns `undefined` if no manifest is in force. */
  async readManifest(): OperatorResult<handler.ManifestView | undefined> {
    const view = await this.#call<handler.ManifestView>("/manifest", {});
    return view.map((manifest) => manifest.text === undefined ? undefined : manifest);
  }

  /**
   * Submits a manifest that succeeds release `base`. Retries with the same submission id are
   * applied at most once.
   */
  submit(
    text: string,
    options: { readonly base: number; readonly submission: string },
  ): OperatorResult<handler.SubmitView> {
    const submission = encodeURIComponent(options.submission);
    return this.#call(
      `/manifest?base=${options.base}&submission=${submission}`,
      { body: text },
    );
  }

  async explain(
    request: string,
  ): OperatorResult<readonly handler.DecisionView[]> {
    const answer = await this.#call<
      { readonly decisions: readonly handler.DecisionView[] }
    >(
      `/requests/${encodeURIComponent(request)}`,
      {},
    );
    return answer.map((view) => view.decisions);
  }

  async #call<T>(
    path: string,
    options: { readonly body?: string },
  ): OperatorResult<T> {
    const isSubmit = options.body !== undefined;
    try {
      const response = await undici.request(this.#url + path, {
        method: isSubmit ? "POST" : "GET",
        body: options.body ?? null,
        signal: AbortSignal.timeout(
          isSubmit ? SUBMIT_TIMEOUT_MS : READ_TIMEOUT_MS,
        ),
      });
      return neverthrow.ok(await response.body.json() as T);
    } catch (error) {
      const failure = core.readNetworkFailure(error);
      return neverthrow.err({
        mayHaveTakenEffect: !failure.notSent,
        message: failure.message,
      });
    }
  }
}
