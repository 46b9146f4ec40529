/**
 * Adapter of the account of callers' memory: sweeps it at intervals, tells the requests what was
 * decided, logs and counts what was refused or closed, and has the memory of released bodies
 * collected before it adds up.
 */

import type * as net from "node:net";
import * as v8 from "node:v8";
import * as vm from "node:vm";
import * as core from "@peridotvale/core";
import * as policy from "@peridotvale/policy";

export interface MemoryAgentOptions {
  readonly clock: core.Clock;
  readonly logger: core.Logger;
  readonly metrics: core.Metrics;
  readonly memoryMb: number | undefined;
}

/** The side of a request that the decisions of the account are carried out on. */
export interface MemoryClient {
  /** The caller's connection. */
  readonly socket: net.Socket;
  readonly request: string;
  /** Reads the body on, whose small pieces were too many. */
  resumeBody(): void;
  /** Ends the request, or the sending of its answer. */
  close(reason: policy.CloseReason): void;
}

/** Called when room that was waited for is granted or refused. */
export type RoomListener = (isGranted: boolean) => void;

const SWEEP_INTERVAL_MS = 50;
/** Longest time without progress of a body until a configuration is known. */
const DEFAULT_BODY_STALL_MS = 15_000;
/**
 * Share of the budget that is released, or merged, before garbage is collected. The engine itself
 * collects buffers only after tens of megabytes, more than a small VM has.
 */
const COLLECTION_SHARE = 0.25;
/** A complete collection stops the process for 10 to 20 ms; one of new objects, for 1 ms. */
const MIN_COLLECTION_INTERVAL_MS = 100;

/** Keeps the account of the memory that callers and endpoints make this process hold. */
export class MemoryAgent {
  readonly #options: MemoryAgentOptions;
  readonly #account: policy.CallerMemory;
  readonly #clients = new Map<policy.MemoryHolder, MemoryClient>();
  readonly #listeners = new Map<policy.MemoryHolder, RoomListener>();
  #bodyStallMs = DEFAULT_BODY_STALL_MS;
  #sweepTimer: NodeJS.Timeout | undefined;
  /** Bytes of pieces that were copied or dropped and may not have been collected yet. */
  #uncollectedPieceBytes = 0;
  #collectedAt = -Infinity;
  #collectGarbage: ((options?: { readonly type: "minor" }) => void) | undefined;

  constructor(options: MemoryAgentOptions) {
    this.#options = options;
    this.#account = new policy.CallerMemory(policy.computeMemoryBudget(options.memoryMb));
    for (const kind of policy.MEMORY_KINDS) {
      options.metrics.registerGauge(`held_${kind}_bytes`, `Bytes held for callers: ${kind}.`, {
        read: () => this.#account.totals[kind],
      });
    }
    options.metrics.registerGauge("waiting_for_memory", "Bodies and answers that wait for room.", {
      read: () => this.#account.waitingCount,
    });
  }

  /** Sets the budget; undefined if the memory of the VM is not known. */
  updateMemory(memoryMb: number | undefined): void {
    this.#account.updateBudget(policy.computeMemoryBudget(memoryMb));
  }

  /** Sets the longest time without progress of a body. */
  updateBodyStall(bodyStallMs: number): void {
    this.#bodyStallMs = bodyStallMs;
  }

  decideAdmission(openRequests: number): "admitted" | "refused" | "closed" {
    return this.#account.decideAdmission(openRequests);
  }

  addRequest(headBytes: number, client: MemoryClient): policy.MemoryHolder {
    const holder = this.#account.addHolder(headBytes, this.#options.clock.now());
    this.#clients.set(holder, client);
    this.#sweepTimer ??= setInterval(() => this.#sweep(), SWEEP_INTERVAL_MS);
    return holder;
  }

  removeRequest(holder: policy.MemoryHolder): void {
    if (!this.#clients.delete(holder)) return;
    this.#listeners.delete(holder);
    this.#recordReleased(holder.bytes.body + holder.bytes.answer);
    this.#account.removeHolder(holder);
    if (this.#clients.size > 0) return;
    clearInterval(this.#sweepTimer);
    this.#sweepTimer = undefined;
  }

  setPhase(holder: policy.MemoryHolder, phase: policy.MemoryPhase): void {
    holder.setPhase(phase, this.#options.clock.now());
  }

  /** Adds memory that is held already; negative numbers give it back. */
  charge(holder: policy.MemoryHolder, kind: policy.MemoryKind, bytes: number): void {
    if (bytes < 0) this.#recordReleased(-bytes);
    this.#account.charge(holder, kind, bytes);
  }

  /** Asks for room; `listener` is called later if the decision is to wait. */
  acquireRoom(
    holder: policy.MemoryHolder,
    room: { readonly kind: policy.MemoryKind; readonly bytes: number },
    listener: RoomListener,
  ): policy.RoomDecision {
    const now = this.#options.clock.now();
    const decision = this.#account.acquireRoom(holder, room.kind, room.bytes, now);
    if (decision === "waiting") this.#listeners.set(holder, listener);
    return decision;
  }

  /** Counts and logs a caller that was refused or whose connection was closed. */
  recordRejection(
    action: "refused" | "closed",
    reason: string,
    client: { readonly socket: net.Socket; readonly request?: string; readonly heldBytes?: number },
  ): void {
    this.#options.metrics.recordCallerRejection(action, reason);
    this.#options.logger.write(`caller_${action}`, {
      request: client.request,
      reason,
      caller: client.socket.remoteAddress,
      port: client.socket.remotePort,
      held_bytes: client.heldBytes,
      received_bytes: client.socket.bytesRead,
      total_bytes: this.#account.totalBytes,
      waiting: this.#account.waitingCount,
    });
  }

  /** Counts a small piece of a body, and decides whether the body is read on. */
  recordSmallPiece(holder: policy.MemoryHolder): policy.RoomDecision {
    return this.#account.recordSmallPiece(holder);
  }

  /** Counts a piece that was copied or dropped when it arrived. */
  recordPiece(bytes: number): void {
    this.#uncollectedPieceBytes += bytes + policy.PIECE_COST_BYTES;
    if (this.#uncollectedPieceBytes < this.#account.budgetBytes * COLLECTION_SHARE) return;
    this.#uncollectedPieceBytes = 0;
    this.#collectGarbage ??= createCollector();
    this.#collectGarbage({ type: "minor" });
  }

  #sweep(): void {
    for (const [holder, client] of this.#clients) {
      // The response to a pipelined request does not report that its connection was closed.
      if (client.socket.destroyed && holder.phase === "sending") this.removeRequest(holder);
    }
    const now = this.#options.clock.now();
    if (this.#account.waitingCount > 0) this.#collectReleased(0);
    const { granted, refused, resumed, closed } = this.#account.sweep(now, this.#bodyStallMs);
    for (const { holder, reason } of closed) {
      const client = this.#clients.get(holder);
      if (client === undefined) continue;
      this.recordRejection("closed", reason, { ...client, heldBytes: holder.totalBytes });
      client.close(reason);
      this.removeRequest(holder);
    }
    for (const holder of resumed) this.#clients.get(holder)?.resumeBody();
    for (const holder of granted) this.#notify(holder, true);
    for (const holder of refused) this.#notify(holder, false);
  }

  #notify(holder: policy.MemoryHolder, isGranted: boolean): void {
    const listener = this.#listeners.get(holder);
    this.#listeners.delete(holder);
    listener?.(isGranted);
  }

  #recordReleased(bytes: number): void {
    // Small ones are collected with the other objects of their requests.
    if (bytes <= policy.SMALL_BYTES) return;
    this.#account.uncollectedBytes += bytes;
    this.#collectReleased(this.#account.budgetBytes * COLLECTION_SHARE);
  }

  /** Collects what was released if that is more than `minBytes`. */
  #collectReleased(minBytes: number): void {
    const now = this.#options.clock.now();
    if (this.#account.uncollectedBytes <= minBytes) return;
    if (now - this.#collectedAt < MIN_COLLECTION_INTERVAL_MS) return;
    this.#collectedAt = now;
    // What the current callback still refers to can be collected after it.
    setImmediate(() => {
      this.#account.uncollectedBytes = 0;
      this.#collectGarbage ??= createCollector();
      this.#collectGarbage();
    });
  }
}

/**
 * Returns the engine's garbage collection, which a flag exposes to new contexts only, and keeps the
 * space for new objects from growing.
 */
function createCollector(): (options?: { readonly type: "minor" }) => void {
  v8.setFlagsFromString("--expose-gc");
  const collect = vm.runInNewContext("gc") as ReturnType<typeof createCollector>;
  v8.setFlagsFromString("--no-expose-gc");
  // Otherwise the space for new objects grows to three times 16 MB during the first burst.
  v8.setFlagsFromString("--semi-space-growth-factor=1");
  return collect;
}
