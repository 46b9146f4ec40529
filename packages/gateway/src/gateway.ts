/** Assembles a gateway process with its servers; starts, reconfigures and drains the process. */

import * as http from "node:http";
import * as core from "@peridotvale/core";
import type * as peers from "@peridotvale/peers";
import * as policy from "@peridotvale/policy";
import * as callForwarders from "./call_forwarder.ts";
import * as announcers from "./announcer.ts";
import type * as codec from "./codec.ts";
import * as pools from "./connection_pool.ts";
import type * as controls from "./engine_control.ts";
import * as selections from "./endpoint_selection.ts";
import * as evacuations from "./evacuation_agent.ts";
import type * as contexts from "./gateway_context.ts";
import * as gauges from "./gateway_metrics.ts";
import * as fronts from "./front_server.ts";
import type * as settingsModule from "./gateway_settings.ts";
import * as handOvers from "./hand_over_agent.ts";
import * as healthServers from "./health_server.ts";
import * as leaveWatchers from "./leave_watcher.ts";
import * as limitAgents from "./limit_agent.ts";
import * as memories from "./memory_agent.ts";
import * as peerAgents from "./peer_agent.ts";
import type * as peerOptions from "./peer_agent_options.ts";
import * as quarantines from "./quarantine_agent.ts";
import * as handlers from "./request_handler.ts";
import * as retryBudgets from "./retry_budgets.ts";
import type * as stores from "./routing_store.ts";
import * as storeAgents from "./store_agent.ts";
import * as signalAgents from "./signal_agent.ts";
import * as streams from "./stream_forwarder.ts";

export interface GatewayOptions {
  readonly settings: settingsModule.GatewaySettings;
  readonly store: stores.RoutingStore;
  readonly codec: codec.HeaderCodec;
  readonly engineControl: controls.EngineControl;
  readonly clock: core.Clock;
  readonly logger: core.Logger;
  readonly random: core.RandomSource;
}

/** The retry budget is divided by at least this number; some processes may be unknown. */
const MIN_PROCESS_COUNT = 8;
/** Interval between checks for expired instances and evidence. */
const EXPIRY_CHECK_INTERVAL_MS = 200;
const DRAIN_POLL_INTERVAL_MS = 50;

export class Gateway {
  readonly #options: GatewayOptions;
  readonly #context: contexts.GatewayContext;
  readonly #storeAgent: storeAgents.StoreAgent;
  readonly #requestHandler: handlers.RequestHandler;
  readonly #streamForwarder: streams.StreamForwarder;
  readonly #handOverAgent: handOvers.HandOverAgent;
  readonly #frontServer: fronts.FrontServer;
  readonly #healthServer: http.Server;
  readonly #peerAgent: peerAgents.PeerAgent;
  readonly #leaveWatcher: leaveWatchers.LeaveWatcher;
  readonly #announcer: announcers.Announcer;
  readonly #endpoints: selections.EndpointSelection;
  readonly #retryBudgets = new retryBudgets.RetryBudgets(() =>
    this.#context.settings.bounds.retries
  );
  #isDraining = false;
  #expiryTimer: NodeJS.Timeout | undefined;

  constructor(options: GatewayOptions) {
    this.#options = options;
    this.#context = this.#createContext();
    this.#endpoints = new selections.EndpointSelection({
      context: this.#context,
      countProcesses: () => this.#peerAgent.knownPeerCount + 1,
      getListedAt: () => this.#storeAgent.listedAt,
    });
    this.#streamForwarder = new streams.StreamForwarder({
      context: this.#context,
      reportNow: () => this.#peerAgent.reportNow(),
    });
    this.#handOverAgent = new handOvers.HandOverAgent({
      context: this.#context,
      listRelays: () => this.#streamForwarder.relays,
      reportNow: () => this.#peerAgent.reportNow(),
    });
    this.#peerAgent = new peerAgents.PeerAgent({
      settings: options.settings,
      clock: options.clock,
      logger: options.logger,
      peerLoads: this.#context.peerLoads,
      createReport: (now, scope) => this.#createReport(now, scope),
      onReport: (report, reportTiming) => this.#applyReport(report, reportTiming),
      getReportRefreshIntervalMs: () =>
        policy.computeReportIntervalMs(this.#context.settings.bounds),
      getConfig: () => this.#context.config.inForce?.config,
      onConfig: (config, now) => this.#storeAgent.applyPeerConfig(config, now),
    });
    const { process, zone, linkMbps } = options.settings;
    this.#announcer = new announcers.Announcer({
      store: options.store,
      self: { process, zone, address: this.#peerAgent.address, linkMbps },
      logger: options.logger,
      random: options.random,
      onPublished: () => this.#context.limitAgent.recordAnnouncement(options.clock.now()),
    });
    this.#storeAgent = new storeAgents.StoreAgent({
      store: options.store,
      config: this.#context.config,
      directory: this.#context.directory,
      clock: options.clock,
      logger: options.logger,
      random: options.random,
      onConfig: (now) => this.#applyConfig(now),
      getConfirmationIntervalMs: () =>
        policy.computeConfirmIntervalMs(this.#context.settings.bounds),
      isStoreWatcher: (now) => {
        const isInContact = this.#storeAgent.getOutageMs(now) === 0;
        const self = { process, zone, linkMbps, isInContact };
        const contacts = policy.isLinking(this.#storeAgent.listedAt, now)
          ? this.#peerAgent.listAssumedContacts()
          : this.#peerAgent.listStoreContacts(now);
        return policy.isStoreWatcher(self, contacts, this.#peerAgent.electionScope);
      },
      getElectionScope: () => this.#peerAgent.electionScope,
      getRetryIntervals: () =>
        policy.chooseRetryIntervals({
          scope: this.#peerAgent.electionScope,
          isHub: this.#peerAgent.isHub,
        }),
      onListing: (listing, now) => {
        this.#peerAgent.recordAnnouncements(listing.peers);
        this.#context.quarantineAgent.applyListing(listing, now);
        this.#context.evacuationAgent.applyListing(listing);
      },
      onOtherChange: (change, now) => {
        this.#peerAgent.applyStoreChange(change);
        this.#context.quarantineAgent.applyStoreChange(change, now);
        this.#context.evacuationAgent.applyStoreChange(change);
      },
      onInstanceChanges: (changes) => this.#publishChanges(changes),
    });
    this.#leaveWatcher = new leaveWatchers.LeaveWatcher({
      context: this.#context,
      listRelays: () => this.#streamForwarder.relays,
      isStoreLost: (now) => this.#isStoreLost(now),
    });
    this.#requestHandler = new handlers.RequestHandler({
      context: this.#context,
      storeAgent: this.#storeAgent,
      getElectionScope: () => this.#peerAgent.electionScope,
      callForwarder: new callForwarders.CallForwarder(this.#context),
      streamForwarder: this.#streamForwarder,
    });
    this.#frontServer = new fronts.FrontServer({
      clock: options.clock,
      memory: this.#context.memory,
      maxConnections: policy.computeMaxConnections(options.settings.maxFds),
      onRequest: (request, response) => {
        const handle = () => this.#requestHandler.handle(request, response);
        core.startTask("handle_request", handle, options.logger);
      },
    });
    this.#healthServer = healthServers.createHealthServer({
      metrics: this.#context.metrics,
      getReadinessPath: () => this.#context.settings.readinessPath,
      isReady: () => this.isReady,
    });
  }

  /** Whether the process is not draining and has both a configuration and a directory listing. */
  get isReady(): boolean {
    return !this.#isDraining && this.#context.config.inForce !== undefined &&
      this.#storeAgent.hasListing;
  }

  /** Starts the servers, the links to peers and the watch on the store. */
  async start(): Promise<void> {
    const { settings, logger } = this.#options;
    await this.#peerAgent.start();
    this.#storeAgent.start();
    core.startLoop("announce", () => this.#announcer.run(), logger);
    this.#leaveWatcher.start();
    await fronts.listenAt(this.#healthServer, settings.health);
    await this.#frontServer.listen(settings.front);
    this.#expiryTimer = setInterval(() => this.#expireEntries(), EXPIRY_CHECK_INTERVAL_MS);
    gauges.registerGauges(this.#context, {
      streamForwarder: this.#streamForwarder,
      peerAgent: this.#peerAgent,
      requestHandler: this.#requestHandler,
    });
    logger.write("started", { front: `${settings.front.host}:${settings.front.port}` });
  }

  /** Applies reloaded settings; changed listen addresses take effect after a restart only. */
  updateSettings(settings: settingsModule.GatewaySettings): void {
    this.#context.settings = settings;
    this.#context.memory.updateMemory(settings.memoryMb);
    this.#frontServer.updateMaxConnections(policy.computeMaxConnections(settings.maxFds));
    this.#retryBudgets.reset();
    this.#options.logger.write("settings_applied", {});
  }

  /**
   * Accepts requests until the load balancer has noticed, answers each request in time, refuses
   * those for which there is not enough time, and stops.
   */
  async drain(): Promise<void> {
    if (this.#isDraining) return;
    const { clock, logger } = this.#options;
    const startedAt = clock.now();
    const schedule = policy.planDrain(this.#context.settings.bounds.gracePeriodMs, startedAt);
    this.#isDraining = true;
    logger.write("draining", {
      open: this.#requestHandler.openRequestCount,
      waiting: this.#streamForwarder.waitingCount,
    });
    this.#frontServer.startDraining();
    this.#requestHandler.applyStop(schedule, startedAt);
    await core.waitFor(schedule.acceptUntil - startedAt);
    this.#frontServer.stopAccepting();
    // A call whose caller has left is open without a connection.
    const hasWork = () =>
      this.#frontServer.connectionCount > 0 || this.#requestHandler.openRequestCount > 0;
    while (hasWork() && clock.now() < schedule.closeBy) {
      this.#frontServer.closeIdleConnections(clock.now());
      await core.waitFor(DRAIN_POLL_INTERVAL_MS);
    }
    this.#storeAgent.stop();
    this.#announcer.stop();
    this.#leaveWatcher.stop();
    this.#peerAgent.stop();
    clearInterval(this.#expiryTimer);
    logger.write("stopped", {
      given_up: this.#requestHandler.openRequestCount,
      connections: this.#frontServer.connectionCount,
    });
    this.#frontServer.closeAllConnections();
    this.#healthServer.close();
    this.#context.pool.destroy();
  }

  /** Whether news of leaving endpoints may be missing because the store cannot be reached. */
  #isStoreLost(now: number): boolean {
    if (this.#peerAgent.electionScope === "fleet") return !this.#storeAgent.isConfirmationRecent();
    return this.#storeAgent.getOutageMs(now) > 0 || this.#peerAgent.hasZonePeerLostStore();
  }

  #createContext(): contexts.GatewayContext {
    const { settings, clock, logger, random } = this.#options;
    const directory = new policy.InstanceDirectory();
    const config = new policy.ConfigRegister();
    const peerLoads = new policy.PeerLoads();
    const metrics = new core.Metrics();
    const publishChanges = (changes: readonly policy.InstanceChange[]) =>
      this.#publishChanges(changes);
    const limitAgent = new limitAgents.LimitAgent({
      clock,
      logger,
      random,
      self: { process: settings.process, zone: settings.zone },
      getFleetSize: () => this.#peerAgent.knownPeerCount + 1,
      countPrecedingPeers: () => this.#peerAgent.countPrecedingPeers(),
      listKnownPeers: () => this.#peerAgent.listKnownPeers(),
      getBounds: () => this.#context.settings.bounds,
      isPaceEnabled: () => this.#context.settings.isPaceEnabled === true,
      getListedAt: () => this.#storeAgent.listedAt,
      getService: (service) => config.inForce?.config.services.get(service),
    });
    return {
      settings,
      clock,
      logger,
      metrics,
      random,
      codec: this.#options.codec,
      pool: new pools.ConnectionPool(clock),
      config,
      directory,
      callPlacement: new policy.CallPlacement(),
      enginePlacement: new policy.EnginePlacement(peerLoads),
      peerLoads,
      memory: new memories.MemoryAgent({ clock, logger, metrics, memoryMb: settings.memoryMb }),
      limitAgent,
      signalAgent: new signalAgents.SignalAgent({
        clock,
        logger,
        directory,
        limitAgent,
        listUsableEndpoints: (service) => this.#endpoints.listUsable(service),
        publishChanges,
      }),
      quarantineAgent: new quarantines.QuarantineAgent({
        store: this.#options.store,
        clock,
        logger,
        isUsable: (instance) => directory.isUsable(instance),
        onCrash: (instance, now) => this.#context.enginePlacement.recordCrash(instance, now),
        onQuarantined: (now) => this.#streamForwarder.applyQuarantine(now),
      }),
      evacuationAgent: new evacuations.EvacuationAgent({
        logger,
        onRestored: ({ zone, revision }) =>
          limitAgent.recordZoneRestored(zone, clock.now(), revision),
      }),
      engineControl: this.#options.engineControl,
      engineStarts: new policy.EngineStarts(),
      getRetryBudget: (service) => this.#retryBudgets.getBudget(service),
      getProcessCount: () => Math.max(MIN_PROCESS_COUNT, this.#peerAgent.knownPeerCount + 1),
      getReportLagMs: () => this.#peerAgent.reportLagMs,
      recordClosingAnswer: (endpoint) => this.#leaveWatcher.recordClosingAnswer(endpoint),
      publishChanges,
      getEngineProfile: (service) => config.inForce?.config.services.get(service)?.engine,
      listEndpoints: (service) => this.#endpoints.listConnectable(service),
      listEngines: (service) => this.#endpoints.listEngines(service),
    };
  }

  #createReport(now: number, scope: peerOptions.ReportScope): peerOptions.OwnReport {
    const { enginePlacement, directory, config, quarantineAgent, limitAgent, signalAgent } =
      this.#context;
    const release = config.inForce?.config.release;
    return {
      loads: enginePlacement.listOwnLoads((instance) => this.#handOverAgent.getMoveValue(instance)),
      notices: directory.listLeaveNotices(now),
      quarantine: quarantineAgent.listNews(scope, now),
      limits: limitAgent.listNews(scope, now),
      evacuations: this.#context.evacuationAgent.listEntries(),
      leaving: signalAgent.listNews(scope, now),
      paces: limitAgent.listPaceNews(scope, now),
      store: release === undefined ? undefined : {
        release,
        confirmAgeMs: config.getConfirmAgeMs(now),
        isReachable: this.#storeAgent.getOutageMs(now) === 0,
        revision: this.#storeAgent.revision,
        changed: directory.listChangedRecords(now),
      },
    };
  }

  #applyReport(
    report: peers.ProcessReportMessage,
    reportTiming: peerOptions.ReportTiming,
  ): void {
    const { directory, config } = this.#context;
    const { acknowledgedReportSentAt: sentAt, now } = reportTiming;
    const { evacuations: entries } = report;
    this.#context.evacuationAgent.applyReport(entries ?? []);
    for (const notice of report.notices) {
      this.#publishChanges(directory.applyNotice(notice, now));
    }
    this.#context.quarantineAgent.applyNews(report.quarantine, now);
    this.#context.limitAgent.applyNews(report.limits, now);
    this.#context.signalAgent.applyNews(report.leaving, now);
    this.#context.limitAgent.applyPaceNews(report.paces, now);
    const { store } = report;
    if (store === undefined) return;
    // A peer that does not report evacuations may skip them, so that its revision needs a listing.
    const isContinuous = reportTiming.isContinuous && entries !== undefined;
    this.#storeAgent.applyPeerView(store, { isContinuous, now });
    if (sentAt === undefined) return;
    const release = core.createRelease(store.release);
    config.applyPeerConfirmation(release, { sentAt, ageMs: store.confirmAgeMs }, now);
  }

  #applyConfig(now: number): void {
    const limits = this.#context.config.inForce?.config.limits;
    if (limits !== undefined) {
      this.#frontServer.updateLimits(limits);
      this.#context.memory.updateBodyStall(limits.idleTimeoutMs);
    }
    this.#requestHandler.applyConfig(now);
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
      this.#context.callPlacement.dropInstance(record.instance);
      this.#context.enginePlacement.dropInstance(record.instance);
      this.#context.limitAgent.dropInstance(record.instance);
      const move = () => this.#handOverAgent.moveGenerations(record);
      core.startTask("hand_over", move, this.#options.logger);
    }
  }

  #expireEntries(): void {
    const now = this.#options.clock.now();
    this.#context.quarantineAgent.expireEvidence(now);
    this.#context.limitAgent.update(this.#context.directory.listUsableInstances(), now);
    this.#context.signalAgent.expirePauses(now);
    // Peaks between requests count too.
    this.#endpoints.recordProcessCount(now);
    this.#publishChanges(this.#context.directory.expireInstances(now));
  }
}
