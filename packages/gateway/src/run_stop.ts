/**
 * Interprets the end of an engine's stream around a final copy, which stops the generation. The
 * engine then closes the stream without its end. If the stream has neither a length nor chunks,
 * this looks like the end of the generation, and only the result of the copy tells them apart.
 */

import type * as controls from "./engine_control.ts";
import type * as upstreams from "./upstream_stream.ts";

/** End of the stream of a generation that was stopped and does not continue. */
export const STOPPED_END: upstreams.UpstreamEnd = {
  type: "broken",
  outcome: "unknown",
  reason: "stopped for a move",
  cause: "aborted",
};

/** Follows the final copies of one generation at its current engine. */
export class RunStop {
  #onEnd: (() => void) | undefined;
  /** End of the stream during the final copy. */
  #end: upstreams.UpstreamEnd | undefined;
  /** Whether an earlier final copy without a known result may have stopped the generation. */
  #mayBeStopped = false;

  /** Whether a final copy is pending. */
  get isPending(): boolean {
    return this.#onEnd !== undefined;
  }

  /** Records that a final copy starts; resolves when the stream ends before its result is known. */
  recordCopyStart(): Promise<void> {
    this.#end = undefined;
    return new Promise((resolve) => this.#onEnd = resolve);
  }

  /**
   * Applies the end of the stream. Returns the end to handle now, or undefined if it has to wait
   * for the result of the final copy.
   */
  applyEnd(end: upstreams.UpstreamEnd): upstreams.UpstreamEnd | undefined {
    if (end.type === "failed" || (end.type === "whole" && end.isFramed)) return end;
    if (this.#onEnd !== undefined) {
      this.#end = end;
      this.#onEnd();
      return undefined;
    }
    return this.#mayBeStopped && end.type === "whole" ? STOPPED_END : end;
  }

  /** Records that the generation was stopped and continues with the memory of the final copy. */
  recordStopped(): void {
    this.#onEnd = undefined;
    this.#mayBeStopped = false;
  }

  /**
   * Records that the final copy returned no memory. Returns the end of the stream if it has ended
   * meanwhile.
   */
  recordCopyFailure(
    errorType: controls.CopyError["type"] | undefined,
  ): upstreams.UpstreamEnd | undefined {
    this.#onEnd = undefined;
    // The engine has no such run, so that the stream had ended by itself.
    if (errorType === "no_run" && !this.#mayBeStopped) return this.#end;
    // While another copy is under way, the engine does not stop the generation.
    if (errorType !== "busy") this.#mayBeStopped = true;
    return this.#end === undefined ? undefined : STOPPED_END;
  }
}
