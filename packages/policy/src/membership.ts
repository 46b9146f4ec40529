/**
 * Tracks which entry processes are alive. A process monitors its linked peers
 * directly and learns about all others from relayed updates. The view of a
 * process may be stale or wrong, which costs efficiency but never violates a
 * guarantee.
 */

import type * as core from "@peridotvale/core";

/** The description of a process that it publishes itself. */
export interface MemberInfo {
  readonly process: core.ProcessId;
  readonly zone: core.ZoneName;
  /** Address of its interface for peers, `host:port`. */
  readonly address: string;
  readonly cores: number;
  /** Rises when the process starts or refutes an update; distinguishes it from its earlier runs. */
  readonly incarnation: number;
  readonly draining: boolean;
}

export type MemberState = "alive" | "suspect" | "dead";

/** Description and state of a member, as relayed between processes. */
export interface MemberUpdate extends MemberInfo {
  readonly state: MemberState;
}

/** An entry process named in the platform's list of VMs. */
export interface MemberCandidate {
  readonly process: core.ProcessId;
  readonly zone: core.ZoneName;
  readonly address: string;
}

/** An input of {@linkcode Membership}. */
export type MembershipEvent =
  | { readonly type: "candidates_listed"; readonly candidates: readonly MemberCandidate[] }
  /** A monitored peer sent a message. */
  | { readonly type: "peer_heard"; readonly info: MemberInfo }
  | { readonly type: "updates_received"; readonly updates: readonly MemberUpdate[] }
  /** A link to a peer was refused or lost. */
  | { readonly type: "link_lost"; readonly process: core.ProcessId }
  /** A peer is no longer monitored. */
  | { readonly type: "watch_ended"; readonly process: core.ProcessId }
  | { readonly type: "drain_started" }
  | { readonly type: "ticked" };

interface MemberRecord {
  update: MemberUpdate;
  /** Time of a monitored peer's last message; `undefined` if the member is not monitored. */
  lastMessageAt: number | undefined;
  changedAt: number;
}

/** Time without a message after which a monitored peer becomes suspect. */
export const SUSPECT_AFTER_MS = 2_200;
/** Time for which a member stays suspect before it is considered dead. */
export const DEAD_AFTER_MS = 2_000;
/** Time between two ticks above which this process is assumed to have been paused. */
const PAUSE_THRESHOLD_MS = 1_000;
/** Time after which a dead member is removed. */
const DEAD_RETENTION_MS = 60_000;

/** Of two updates with the same incarnation, the one whose state has the higher number wins. */
const STATE_PRECEDENCE: Readonly<Record<MemberState, number>> = { alive: 0, suspect: 1, dead: 2 };

/** State machine of the members that this process knows, without I/O. */
export class Membership {
  #self: MemberInfo;
  readonly #members = new Map<core.ProcessId, MemberRecord>();
  #candidates: readonly MemberCandidate[] = [];
  #pendingUpdates = new Map<core.ProcessId, MemberUpdate>();
  #lastTickAt: number | undefined;
  #version = 0;

  constructor(self: MemberInfo) {
    this.#self = self;
    this.#pendingUpdates.set(self.process, { ...self, state: "alive" });
  }

  /** The description that this process publishes of itself. */
  get self(): MemberInfo {
    return this.#self;
  }

  /** Rises with each change of a member's description or state, this process included. */
  get version(): number {
    return this.#version;
  }

  /** Entry processes named in the platform's list of VMs. */
  get candidates(): readonly MemberCandidate[] {
    return this.#candidates;
  }

  handle(event: MembershipEvent, now: number): void {
    switch (event.type) {
      case "candidates_listed":
        this.#candidates = event.candidates;
        return;
      case "peer_heard":
        return this.#recordMessage(event.info, now);
      case "updates_received":
        for (const update of event.updates) this.#applyUpdate(update, now);
        return;
      case "link_lost":
        return this.#suspect(event.process, now);
      case "watch_ended":
        return this.#endWatch(event.process);
      case "drain_started":
        return this.#updateSelf({ ...this.#self, draining: true });
      case "ticked":
        return this.#runTick(now);
    }
  }

  /** Returns all known members in any state, without this process. */
  getMembers(): MemberUpdate[] {
    return [...this.#members.values()].map((record) => record.update);
  }

  /** Returns this process and all members that are not dead. */
  getLiveMembers(): MemberInfo[] {
    const liveMembers: MemberInfo[] = [this.#self];
    for (const record of this.#members.values()) {
      if (record.update.state !== "dead") liveMembers.push(record.update);
    }
    return liveMembers;
  }

  /** Returns the complete view, which each newly linked peer receives. */
  getAllUpdates(): MemberUpdate[] {
    return [{ ...this.#self, state: "alive" }, ...this.getMembers()];
  }

  /** Returns the updates since the last call, to be relayed to linked peers. */
  takeUpdates(): MemberUpdate[] {
    const updates = [...this.#pendingUpdates.values()];
    this.#pendingUpdates = new Map();
    return updates;
  }

  #recordMessage(info: MemberInfo, now: number): void {
    this.#applyUpdate({ ...info, state: "alive" }, now);
    const record = this.#members.get(info.process);
    if (record === undefined) return;
    record.lastMessageAt = now;
    const knownUpdate = record.update;
    if (knownUpdate.incarnation !== info.incarnation) return;
    if (knownUpdate.state === "suspect") this.#setState(record, "alive", now);
    // A member considered dead must receive this update to refute it with a new incarnation.
    if (knownUpdate.state === "dead") this.#pendingUpdates.set(info.process, knownUpdate);
  }

  #applyUpdate(update: MemberUpdate, now: number): void {
    if (update.process === this.#self.process) return this.#applyOwnUpdate(update);
    const record = this.#members.get(update.process);
    if (record === undefined) {
      if (update.state === "dead") return;
      this.#members.set(update.process, { update, lastMessageAt: undefined, changedAt: now });
      this.#queueUpdate(update);
      return;
    }
    if (!isNewerUpdate(update, record.update)) return;
    record.update = update;
    record.changedAt = now;
    this.#queueUpdate(update);
  }

  /** Refutes an update about this process that is wrong or that stems from an earlier run. */
  #applyOwnUpdate(update: MemberUpdate): void {
    const isStale = update.incarnation < this.#self.incarnation;
    const isCorrect = update.incarnation === this.#self.incarnation && update.state === "alive";
    if (isStale || isCorrect) return;
    this.#updateSelf({ ...this.#self, incarnation: update.incarnation });
  }

  #updateSelf(info: MemberInfo): void {
    this.#self = { ...info, incarnation: info.incarnation + 1 };
    this.#queueUpdate({ ...this.#self, state: "alive" });
  }

  #suspect(process: core.ProcessId, now: number): void {
    const record = this.#members.get(process);
    if (record?.update.state === "alive") this.#setState(record, "suspect", now);
  }

  #endWatch(process: core.ProcessId): void {
    const record = this.#members.get(process);
    if (record !== undefined) record.lastMessageAt = undefined;
  }

  #runTick(now: number): void {
    const gapMs = this.#lastTickAt === undefined ? 0 : now - this.#lastTickAt;
    this.#lastTickAt = now;
    // Messages may be missing only because this process was paused.
    if (gapMs > PAUSE_THRESHOLD_MS) this.#shiftTimestamps(gapMs);
    for (const [process, record] of this.#members) {
      const { state } = record.update;
      if (state === "alive" && record.lastMessageAt !== undefined) {
        if (now - record.lastMessageAt > SUSPECT_AFTER_MS) this.#setState(record, "suspect", now);
      } else if (state === "suspect") {
        if (now - record.changedAt > DEAD_AFTER_MS) this.#setState(record, "dead", now);
      } else if (state === "dead" && now - record.changedAt > DEAD_RETENTION_MS) {
        this.#members.delete(process);
      }
    }
  }

  #shiftTimestamps(gapMs: number): void {
    for (const record of this.#members.values()) {
      if (record.lastMessageAt !== undefined) record.lastMessageAt += gapMs;
      if (record.update.state === "suspect") record.changedAt += gapMs;
    }
  }

  #setState(record: MemberRecord, state: MemberState, now: number): void {
    record.update = { ...record.update, state };
    record.changedAt = now;
    this.#queueUpdate(record.update);
  }

  #queueUpdate(update: MemberUpdate): void {
    this.#pendingUpdates.set(update.process, update);
    this.#version += 1;
  }
}

function isNewerUpdate(update: MemberUpdate, knownUpdate: MemberUpdate): boolean {
  if (update.incarnation !== knownUpdate.incarnation) {
    return update.incarnation > knownUpdate.incarnation;
  }
  return STATE_PRECEDENCE[update.state] > STATE_PRECEDENCE[knownUpdate.state];
}
