/**
 * Manages the links of one entry process: accepts links from peers, opens links to its target
 * peers, and reopens these with exponential backoff.
 */

import type * as core from "@peridotvale/core";
import type * as policy from "@peridotvale/policy";
import * as ws from "ws";
import * as codec from "./codec.ts";
import * as links from "./peer_link.ts";
import type * as messages from "./messages.ts";

/** A peer to which a link should be kept open. */
export interface PeerTarget {
  readonly process: core.ProcessId;
  readonly address: string;
}

/** Receives the events of all links. */
export interface MeshListener {
  /** Called when a peer's hello has arrived. */
  onLinkOpened(link: links.PeerLink): void;
  onMessage(link: links.PeerLink, message: messages.PeerMessage): void;
  onLinkLost(process: core.ProcessId, link: links.PeerLink | undefined): void;
}

export interface PeerMeshOptions {
  readonly host: string;
  readonly port: number;
  readonly clock: core.Clock;
  readonly getOwnMemberInfo: () => policy.MemberInfo;
  readonly listener: MeshListener;
}

interface OutgoingPeer {
  readonly target: PeerTarget;
  link: links.PeerLink | undefined;
  connectAt: number;
  failures: number;
}

const CONNECT_TIMEOUT_MS = 500;
const INITIAL_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 1_000;

/** Accepts links, and opens and reopens links to target peers. */
export class PeerMesh {
  readonly #options: PeerMeshOptions;
  readonly #outgoing = new Map<core.ProcessId, OutgoingPeer>();
  readonly #incoming = new Set<links.PeerLink>();
  readonly traffic: links.LinkTraffic = {
    sentBytes: 0,
    sentMessages: 0,
    receivedBytes: 0,
    receivedMessages: 0,
  };
  #server: ws.WebSocketServer | undefined;

  constructor(options: PeerMeshOptions) {
    this.#options = options;
  }

  /** Starts listening for peers; resolves once the port is bound. */
  start(): Promise<void> {
    const server = new ws.WebSocketServer({
      host: this.#options.host,
      port: this.#options.port,
      maxPayload: codec.MAX_FRAME_BYTES,
      perMessageDeflate: false,
    });
    this.#server = server;
    server.on("connection", (socket) => this.#accept(socket));
    return new Promise((resolve, reject) => {
      server.once("listening", resolve);
      server.once("error", reject);
    });
  }

  /** Closes every link and stops listening. */
  stop(): void {
    this.#server?.close();
    for (const link of this.getLinks()) link.close();
    this.#outgoing.clear();
  }

  /**
   * Sets the peers to keep links to. Closes outgoing links to other peers or addresses, and
   * opens the missing ones.
   */
  updateTargets(targets: readonly PeerTarget[], now: number): void {
    const targetsByProcess = new Map(targets.map((target) => [target.process, target]));
    for (const [process, peer] of this.#outgoing) {
      if (targetsByProcess.get(process)?.address === peer.target.address) continue;
      this.#outgoing.delete(process);
      peer.link?.close();
    }
    for (const target of targets) {
      if (this.#outgoing.has(target.process)) continue;
      const peer = { target, link: undefined, connectAt: now, failures: 0 };
      this.#outgoing.set(target.process, peer);
    }
    this.runTick(now);
  }

  /** Opens each missing link whose connect or retry time has come. */
  runTick(now: number): void {
    for (const peer of this.#outgoing.values()) {
      if (peer.link === undefined && now >= peer.connectAt) this.#connect(peer, now);
    }
  }

  /** Closes links on which nothing has arrived for more than `silenceMs`. */
  closeSilentLinks(silenceMs: number, now: number): void {
    for (const link of this.#incoming) {
      if (now - link.lastReceivedAt > silenceMs) link.close();
    }
    for (const peer of this.#outgoing.values()) {
      if (peer.link !== undefined && now - peer.link.lastReceivedAt > silenceMs) peer.link.close();
    }
  }

  /** Whether this process opens and keeps a link to `process`. */
  hasTarget(process: core.ProcessId): boolean {
    return this.#outgoing.has(process);
  }

  /** Lists the targets without a link after at least `minFailures` failed connections in a row. */
  listFailingTargets(minFailures: number): core.ProcessId[] {
    const failingTargets: core.ProcessId[] = [];
    for (const [process, peer] of this.#outgoing) {
      if (peer.failures >= minFailures && peer.link?.peer === undefined) {
        failingTargets.push(process);
      }
    }
    return failingTargets;
  }

  /** Returns the outgoing link to `process` if it is open and the peer's hello has arrived. */
  getLink(process: core.ProcessId): links.PeerLink | undefined {
    const link = this.#outgoing.get(process)?.link;
    return link?.isOpen() && link.peer !== undefined ? link : undefined;
  }

  /** Returns all incoming and outgoing links, including those still connecting. */
  getLinks(): links.PeerLink[] {
    const allLinks = [...this.#incoming];
    for (const peer of this.#outgoing.values()) {
      if (peer.link !== undefined) allLinks.push(peer.link);
    }
    return allLinks;
  }

  /** Returns the outgoing links on which the peer's hello has arrived. Heartbeats use these. */
  getOutgoingLinks(): links.PeerLink[] {
    const readyLinks: links.PeerLink[] = [];
    for (const peer of this.#outgoing.values()) {
      if (peer.link?.peer !== undefined) readyLinks.push(peer.link);
    }
    return readyLinks;
  }

  #accept(socket: ws.WebSocket): void {
    const link = this.#createLink(socket, false);
    this.#incoming.add(link);
    link.send({ type: "hello", info: this.#options.getOwnMemberInfo() });
  }

  #connect(peer: OutgoingPeer, now: number): void {
    const socket = new ws.WebSocket(`ws://${peer.target.address}`, {
      handshakeTimeout: CONNECT_TIMEOUT_MS,
      maxPayload: codec.MAX_FRAME_BYTES,
      perMessageDeflate: false,
    });
    const delayMs = Math.min(MAX_RETRY_DELAY_MS, INITIAL_RETRY_DELAY_MS * 2 ** peer.failures);
    peer.connectAt = now + delayMs;
    peer.failures += 1;
    const link = this.#createLink(socket, true);
    peer.link = link;
    socket.on("open", () => link.send({ type: "hello", info: this.#options.getOwnMemberInfo() }));
  }

  #createLink(socket: ws.WebSocket, isOutgoing: boolean): links.PeerLink {
    return new links.PeerLink(socket, {
      isOutgoing,
      traffic: this.traffic,
      clock: this.#options.clock,
      listener: {
        onMessage: (link, message) => this.#applyMessage(link, message),
        onClosed: (link) => this.#removeLink(link),
      },
    });
  }

  #applyMessage(link: links.PeerLink, message: messages.PeerMessage): void {
    if (message.type === "hello") {
      const peer = this.#outgoing.get(message.info.process);
      if (peer?.link === link) peer.failures = 0;
      this.#options.listener.onLinkOpened(link);
      return;
    }
    this.#options.listener.onMessage(link, message);
  }

  #removeLink(link: links.PeerLink): void {
    this.#incoming.delete(link);
    for (const [process, peer] of this.#outgoing) {
      if (peer.link !== link) continue;
      peer.link = undefined;
      this.#options.listener.onLinkLost(process, link);
      return;
    }
    if (link.peer !== undefined && !link.isOutgoing) {
      this.#options.listener.onLinkLost(link.peer.process, link);
    }
  }
}
