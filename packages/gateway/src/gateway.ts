/** Composes a gateway process: its servers, its state, its start and its end. */

import * as http from "node:http";
import * as core from "@peridotvale/core";
import type * as peers from "@peridotvale/peers";
import * as policy from "@peridotvale/policy";
import * as callForwarders from "./call_forwarder.ts";
import * as announcers from "./announcer.ts";
import type * as codec from "./codec.ts";
import * as pools from "./connection_pool.ts";
import type * as controls from "./engine_control.ts";
import type * as contexts from "./gateway_context.ts";
import type * as settingsModule from "./gateway_settings.ts";
import * as handOvers from "./hand_over_agent.ts";
import * as leaveWatchers from "./leave_watcher.ts";
import * as peerAgents from "./peer_agent.ts";
import * as handlers from "./request_handler.ts";
import type * as stores from "./routing_store.ts";
import * as agents from "./store_agent.ts";
import * as streams from "./stream_forwarder.ts";

/** What a gateway is made of. */
export interface GatewayOptions {
  readonly settings: settingsModule.GatewaySettings;
  readonly store: stores.RoutingStore;
  readonly codec: codec.HeaderCodec;
  readonly engineControl: controls.EngineControl;
  readonly clock: core.Clock;
  readonly logger: core.Logger;
  readonly random: core.RandomSource;
}

/** Fewest processes that the bounds on repeats are shared among; others may not be linked. */
const MIN_PROCESSES = 8;
/** Period of the directory's own time-outs. */
const EXPIRE_INTERVAL_MS = 200;
/** Largest head that is read at all; the configuration's bound is checked once it is read. */
const MAX_HEADER_BYTES = 64 * 1024;
/** A request that is not whole by then is given up; its caller has long left. */
const REQUEST_TIMEOUT_MS = 30_000;
/** Idle time of callers' connections until the configuration states one. */
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
const DEFAULT_HEADER_TIMEOUT_MS = 3_000;
/** After SIGTERM the balancer still sends new connections until it has asked twice. */
const BALANCER_LAG_MS = 2_500;
/** Left of the grace period when the last requests are given up. */
const EXIT_MARGIN_MS = 500;
const DRAIN_POLL_MS = 50;
const METRICS_PATH = "/metrics";

/** One gateway process. */
export class Gateway {
  readonly #options: GatewayOptions;
  readonly #context: contexts.GatewayContext;
  readonly #agent: agents.StoreAgent;
  readonly #handler: handlers.RequestHandler;
  readonly #streams: streams.StreamForwarder;
  readonly #handOvers: handOvers.HandOverAgent;
  readonly #front: http.Server;
  readonly #health: http.Server;
  readonly #peers: peerAgents.PeerAgent;
  readonly #leaveWatcher: leaveWatchers.LeaveWatcher;
  readonly #announcer: announcers.Announcer;
  readonly #budgets = new Map<core.ServiceName, policy.WindowBudget>();
  #isDraining = false;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: GatewayOptions) {
    this.#options = options;
    this.#context = this.#createContext();
    this.#streams = new streams.StreamForwarder({
      context: this.#context,
      reportNow: () => this.#peers.reportNow(),
    });
    this.#handOvers = new handOvers.HandOverAgent({
      context: this.#context,
      listRelays: () => this.#streams.relays,
      reportNow: () => this.#peers.reportNow(),
    });
    this.#peers = new peerAgents.PeerAgent({
      settings: options.settings,
      clock: options.clock,
      logger: options.logger,
      board: this.#context.board,
      createReport: (now) => this.#createReport(now),
      onReport: (report, received) => this.#applyReport(report, received),
      getRepeatIntervalMs: () => policy.computeRepeatIntervalMs(this.#context.settings.bounds),
      getConfig: () => this.#context.config.inForce?.config,
      onConfig: (config, now) => this.#agent.applyPeerConfig(config, now),
    });
    const { process, zone } = options.settings;
    this.#announcer = new announcers.Announcer({
      store: options.store,
      self: { process, zone, address: this.#peers.address },
      logger: options.logger,
      random: options.random,
    });
    this.#agent = new agents.StoreAgent({
      store: options.store,
      config: this.#context.config,
      directory: this.#context.directory,
      clock: options.clock,
      logger: options.logger,
      random: options.random,
      onConfig: (now) => this.#applyConfig(now),
      getConfirmIntervalMs: () => policy.computeConfirmIntervalMs(this.#context.settings.bounds),
      isWatcher: (now) => {
        const isInContact = this.#agent.getOutageMs(now) === 0;
        const self = { process, zone, isInContact };
        return policy.isStoreWatcher(self, this.#peers.listContacts(now));
      },
      onPeer: (peer) => this.#peers.applyPeer(peer),
      onPeerRemoved: (peer) => this.#peers.removePeer(peer),
      onChanges: (changes) => this.#publishChanges(changes),
    });
    this.#leaveWatcher = new leaveWatchers.LeaveWatcher({
      context: this.#context,
      listRelays: () => this.#streams.relays,
      isStoreLost: (now) => this.#agent.getOutageMs(now) > 0 || this.#peers.hasLostStore(),
    });
    this.#handler = new handlers.RequestHandler({
      context: this.#context,
      agent: this.#agent,
      calls: new callForwarders.CallForwarder(this.#context),
      streams: this.#streams,
    });
    this.#front = this.#createFront();
    this.#health = http.createServer((request, response) => this.#answerHealth(request, response));
  }

  /** Whether it can serve requests now. */
  get isReady(): boolean {
    return !this.#isDraining && this.#context.config.inForce !== undefined &&
      this.#agent.hasListed;
  }

  /** Listens and begins to follow the store. */
  async start(): Promise<void> {
    const { settings, logger } = this.#options;
    await this.#peers.start();
    this.#agent.start();
    void this.#announcer.run();
    this.#leaveWatcher.start();
    await listenAt(this.#health, settings.health);
    await listenAt(this.#front, settings.front);
    this.#timer = setInterval(() => this.#expire(), EXPIRE_INTERVAL_MS);
    this.#registerMetrics();
    logger.write("started", { front: `${settings.front.host}:${settings.front.port}` });
  }

  /** Applies settings that were read again; addresses need a restart. */
  updateSettings(settings: settingsModule.GatewaySettings): void {
    this.#context.settings = settings;
    this.#budgets.clear();
    this.#options.logger.write("settings_applied", {});
  }

  /** Finishes what is open and stops; new connections are accepted until the balancer knows. */
  async drain(): Promise<void> {
    if (this.#isDraining) return;
    const { clock, logger } = this.#options;
    const begunAt = clock.now();
    this.#isDraining = true;
    logger.write("draining", { open: this.#handler.openCount });
    await core.waitFor(BALANCER_LAG_MS);
    this.#front.close();
    const giveUpAt = begunAt + this.#context.settings.bounds.gracePeriodMs - EXIT_MARGIN_MS;
    while (this.#handler.openCount > 0 && clock.now() < giveUpAt) {
      this.#front.closeIdleConnections();
      await core.waitFor(DRAIN_POLL_MS);
    }
    this.#agent.stop();
    this.#announcer.stop();
    this.#leaveWatcher.stop();
    this.#peers.stop();
    clearInterval(this.#timer);
    logger.write("stopped", { given_up: this.#handler.openCount });
    this.#front.closeAllConnections();
    this.#health.close();
    this.#context.pool.destroy();
  }

  #createContext(): contexts.GatewayContext {
    const { settings, clock, logger, random } = this.#options;
    const directory = new policy.InstanceDirectory();
    const config = new policy.ConfigRegister();
    const board = new policy.LoadBoard();
    const metrics = new core.Metrics();
    return {
      settings,
      clock,
      logger,
      metrics,
      random,
      codec: this.#options.codec,
      pool: new pools.ConnectionPool(),
      config,
      directory,
      placement: new policy.CallPlacement(),
      engines: new policy.EnginePlacement(board),
      board,
      engineControl: this.#options.engineControl,
      getBudget: (service) => this.#getBudget(service),
      getProcessCount: () => Math.max(MIN_PROCESSES, this.#peers.announcedCount + 1),
      recordClosing: (endpoint) => this.#leaveWatcher.recordClosing(endpoint),
      publishChanges: (changes) => this.#publishChanges(changes),
      getEngineProfile: (service) => config.inForce?.config.services.get(service)?.engine,
      listEndpoints: (service) => this.#listConnectable(service),
      listEngines: (service) => {
        const profile = config.inForce?.config.services.get(service)?.engine;
        const records = this.#listConnectable(service);
        if (profile === undefined) return records.map(createPlainEngine);
        return records.map((record) => ({ record, profile }));
      },
    };
  }

  /** Endpoints that get new work and take another connection of this process. */
  #listConnectable(service: core.ServiceName): core.EndpointRecord[] {
    const { config, directory, pool } = this.#context;
    const records = directory.listUsable(service);
    const maxConnections = config.inForce?.config.services.get(service)?.maxConnections;
    if (maxConnections === undefined) return records;
    const ownShare = Math.max(1, Math.floor(maxConnections / this.#context.getProcessCount()));
    return records.filter((record) => pool.canSend(record.endpoint, ownShare));
  }

  #createFront(): http.Server {
    const front = http.createServer(
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        headersTimeout: DEFAULT_HEADER_TIMEOUT_MS,
        keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
        requestTimeout: REQUEST_TIMEOUT_MS,
        connectionsCheckingInterval: 1_000,
      },
      (request, response) => {
        if (this.#isDraining) response.setHeader("Connection", "close");
        void this.#handler.handle(request, response);
      },
    );
    front.on("connection", (socket) => socket.setNoDelay(true));
    return front;
  }

  #createReport(now: number): peerAgents.OwnReport {
    const { engines, directory, config } = this.#context;
    const release = config.inForce?.config.release;
    return {
      loads: engines.listOwnLoads((instance) => this.#handOvers.getMoveValue(instance)),
      notices: directory.listNotices(now),
      store: release === undefined ? undefined : {
        release,
        confirmAgeMs: config.getAge(now),
        isReachable: this.#agent.getOutageMs(now) === 0,
        revision: this.#agent.revision,
        changed: directory.listChanged(now),
      },
    };
  }

  #applyReport(
    report: peers.ProcessReportMessage,
    received: peerAgents.ReceivedReport,
  ): void {
    const { directory, config } = this.#context;
    const { sentAt, now } = received;
    for (const notice of report.notices) {
      this.#publishChanges(directory.applyNotice(notice, now));
    }
    const { store } = report;
    if (store === undefined) return;
    this.#agent.applyNews(store, received);
    if (sentAt === undefined) return;
    const release = core.createRelease(store.release);
    config.applyPeerConfirmation(release, { sentAt, ageMs: store.confirmAgeMs });
  }

  #applyConfig(now: number): void {
    const limits = this.#context.config.inForce?.config.limits;
    if (limits !== undefined) {
      this.#front.keepAliveTimeout = limits.idleTimeoutMs;
      this.#front.headersTimeout = limits.headerTimeoutMs;
    }
    this.#handler.applyConfig(now);
  }

  #publishChanges(changes: readonly policy.InstanceChange[]): void {
    for (const change of changes) {
      const { record } = change;
      this.#options.logger.write("endpoint_changed", {
        instance: record.instance,
        endpoint: record.endpoint,
        change: change.type === "added" ? "added" : change.reason,
      });
      if (change.type === "added") continue;
      this.#context.pool.closeIdle(record.endpoint);
      this.#context.placement.dropInstance(record.instance);
      this.#context.engines.dropInstance(record.instance);
      void this.#handOvers.moveRuns(record);
    }
  }

  #expire(): void {
    const now = this.#options.clock.now();
    this.#publishChanges(this.#context.directory.expireInstances(now));
  }

  #getBudget(service: core.ServiceName): policy.WindowBudget {
    let budget = this.#budgets.get(service);
    if (budget === undefined) {
      budget = new policy.WindowBudget(this.#context.settings.bounds.repeats);
      this.#budgets.set(service, budget);
    }
    return budget;
  }

  #registerMetrics(): void {
    const { metrics, config, directory, pool, board } = this.#context;
    const register = (name: string, help: string, read: () => number) =>
      metrics.registerValue(name, help, { read });
    register("open_generations", "Generations in progress.", () => this.#streams.relays.size);
    register("waiting_generations", "Generations that wait.", () => this.#streams.waitingCount);
    register("config_release", "Release in force.", () => config.inForce?.config.release ?? 0);
    register(
      "config_age_seconds",
      "Age of the last confirmation.",
      () => config.getAge(this.#options.clock.now()) / 1000,
    );
    register("usable_endpoints", "Endpoints that get new work.", () => directory.usableCount);
    register("opened_connections", "Connections to endpoints.", () => pool.openedCount);
    register("linked_processes", "Processes that report.", () => board.processCount);
  }

  #answerHealth(request: http.IncomingMessage, response: http.ServerResponse): void {
    if (request.url === METRICS_PATH) return void writeMetrics(this.#context.metrics, response);
    if (request.url !== this.#context.settings.readinessPath) {
      response.writeHead(404);
      return void response.end();
    }
    response.writeHead(this.isReady ? 200 : 503, { "content-type": "text/plain" });
    response.end(this.isReady ? "ready\n" : "not ready\n");
  }
}

async function writeMetrics(
  metrics: core.Metrics,
  response: http.ServerResponse,
): Promise<void> {
  const text = await metrics.readText();
  response.writeHead(200, { "content-type": "text/plain; version=0.0.4" });
  response.end(text);
}

/** An engine whose service declares no profile is limited by its slots only. */
function createPlainEngine(record: core.EndpointRecord): policy.EngineCandidate {
  return {
    record,
    profile: {
      slots: record.slots,
      memoryTokens: Infinity,
      tokensPerEvent: 1,
      canMove: false,
    },
  };
}

function listenAt(
  server: http.Server,
  address: settingsModule.ListenAddress,
): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(address.port, address.host, () => resolve());
  });
}
