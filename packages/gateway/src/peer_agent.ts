/** Links to the other gateway processes; tells them what this one runs at engines. */

import * as core from "@peridotvale/core";
import * as peers from "@peridotvale/peers";
import type * as policy from "@peridotvale/policy";
import type * as settingsModule from "./gateway_settings.ts";
import type * as stores from "./routing_store.ts";

/** Options of {@linkcode PeerAgent}. */
export interface PeerAgentOptions {
  readonly settings: settingsModule.GatewaySettings;
  readonly clock: core.Clock;
  readonly logger: core.Logger;
  readonly board: policy.LoadBoard;
  readonly listLoads: () => readonly policy.EngineLoad[];
  readonly listNotices: (now: number) => readonly policy.LeaveNotice[];
  /** Called with what another process has seen leaving. */
  readonly onNotices: (notices: readonly policy.LeaveNotice[], now: number) => void;
}

/** Changes are reported at most this often. */
const REPORT_INTERVAL_MS = 100;
/** A report without change is repeated after this time, and shows that the link lives. */
const REPEAT_INTERVAL_MS = 500;
/** A link over which nothing came for this long is replaced. */
const SILENT_LINK_MS = 1_600;

interface KnownPeer {
  readonly target: peers.PeerTarget;
  /** Whether its announcement is gone; the link decides whether it still lives. */
  isWithdrawn: boolean;
}

/** Keeps a link to every announced process. */
export class PeerAgent {
  readonly #options: PeerAgentOptions;
  readonly #mesh: peers.PeerMesh;
  readonly #known = new Map<core.ProcessId, KnownPeer>();
  readonly #incarnation: number;
  #timer: NodeJS.Timeout | undefined;
  #lastReport = "";
  #lastReportAt = -Infinity;

  constructor(options: PeerAgentOptions) {
    const { settings, clock } = options;
    this.#options = options;
    this.#incarnation = clock.readWallTime();
    this.#mesh = new peers.PeerMesh({
      ...settings.peers,
      clock,
      getSelf: () => ({
        process: settings.process,
        zone: settings.zone,
        address: this.address,
        cores: 1,
        incarnation: this.#incarnation,
        draining: false,
      }),
      listener: {
        onLinkOpened: (link) => this.#onLinkOpened(link),
        onMessage: (link, message) => this.#onMessage(link, message),
        onLinkLost: (process) => this.#onLinkLost(process),
      },
    });
  }

  /** Where other processes reach this one. */
  get address(): string {
    const { host, port } = this.#options.settings.peers;
    return `${host}:${port}`;
  }

  async start(): Promise<void> {
    await this.#mesh.start();
    this.#timer = setInterval(() => this.#runTick(), REPORT_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#mesh.stop();
  }

  /** Applies what the store says of other processes. */
  applyPeer(peer: stores.AnnouncedPeer): void {
    if (peer.process === this.#options.settings.process) return;
    this.#known.set(peer.process, { target: peer, isWithdrawn: false });
    this.#updateTargets();
  }

  /** Applies that a process's announcement is gone. */
  removePeer(process: core.ProcessId): void {
    const known = this.#known.get(process);
    if (known !== undefined) known.isWithdrawn = true;
  }

  /** Reports at once, such as when another process waits for its turn. */
  reportNow(): void {
    this.#report(this.#options.clock.now(), true);
  }

  #runTick(): void {
    const now = this.#options.clock.now();
    this.#mesh.closeSilent(SILENT_LINK_MS, now);
    let hasChanged = false;
    for (const [process, known] of this.#known) {
      if (!known.isWithdrawn || this.#options.board.hasReport(process)) continue;
      this.#known.delete(process);
      hasChanged = true;
    }
    if (hasChanged) this.#updateTargets();
    this.#mesh.runTick(now);
    this.#options.board.expireReports(now);
    this.#report(now, now - this.#lastReportAt >= REPEAT_INTERVAL_MS);
  }

  #report(now: number, isForced: boolean): void {
    const report = this.#createReport(now);
    const text = JSON.stringify(report);
    if (!isForced && text === this.#lastReport) return;
    this.#lastReport = text;
    this.#lastReportAt = now;
    for (const link of this.#mesh.getLinks()) {
      if (link.peer !== undefined) link.send(report);
    }
  }

  #createReport(now: number): peers.EngineLoadsMessage {
    return {
      type: "engine_loads",
      loads: this.#options.listLoads(),
      notices: this.#options.listNotices(now),
    };
  }

  /** Of two processes, the one whose name comes first opens the link. */
  #updateTargets(): void {
    const targets: peers.PeerTarget[] = [];
    for (const { target } of this.#known.values()) {
      if (this.#options.settings.process < target.process) targets.push(target);
    }
    this.#mesh.updateTargets(targets, this.#options.clock.now());
  }

  #onLinkOpened(link: peers.PeerLink): void {
    this.#options.logger.write("peer_linked", { peer: link.peer?.process });
    link.send(this.#createReport(this.#options.clock.now()));
  }

  #onMessage(link: peers.PeerLink, message: peers.PeerMessage): void {
    if (message.type !== "engine_loads" || link.peer === undefined) return;
    const now = this.#options.clock.now();
    this.#options.board.applyReport(link.peer.process, message.loads, now);
    this.#options.onNotices(message.notices, now);
  }

  #onLinkLost(process: core.ProcessId): void {
    this.#options.logger.write("peer_lost", { peer: process });
  }
}
