/** Composes an entry process from its features. */

import * as crypto from "node:crypto";
import * as callers from "@peridotvale/callers";
import * as core from "@peridotvale/core";
import * as engines from "@peridotvale/engines";
import * as operators from "@peridotvale/operators";
import * as platform from "@peridotvale/platform";
import * as policy from "@peridotvale/policy";
import * as services from "@peridotvale/services";
import * as brokers from "./call_broker.ts";
import * as capacityClients from "./capacity_client.ts";
import * as hosts from "./capacity_host.ts";
import * as routers from "./capacity_router.ts";
import * as claims from "./claim_store.ts";
import * as decisionLogs from "./decision_log.ts";
import * as directories from "./endpoint_directory.ts";
import * as monitors from "./engine_monitor.ts";
import * as fleets from "./fleet.ts";
import * as fronts from "./front.ts";
import * as manifests from "./manifest_agent.ts";
import * as operatorViews from "./operator_views.ts";
import * as orders from "./order_agent.ts";
import * as sweepers from "./orphan_sweeper.ts";
import * as settingsModule from "./settings.ts";
import * as topics from "./topics.ts";

/** A running entry process. */
export interface EntryProcess {
  /** Address of the callers' interface. */
  readonly callersAddress: string;
  /** Address of the operators' interface. */
  readonly operatorsAddress: string;
  /** Becomes unready, finishes what is open, then stops. */
  drain(): Promise<void>;
}

/** What the process runs on. */
export interface EntryProcessOptions {
  readonly logger: core.Logger;
  readonly clock: core.Clock;
}

/** The parts of a process, before they are connected. */
interface Parts {
  readonly runtime: core.Runtime;
  readonly settings: settingsModule.Settings;
  readonly process: core.ProcessId;
  readonly zone: core.ZoneName;
  readonly store: platform.EtcdStore;
  readonly vmList: platform.VmList;
  readonly engineClient: engines.EngineClient;
  readonly directory: directories.EndpointDirectory;
  readonly metrics: core.Metrics;
  readonly decisions: decisionLogs.DecisionLog;
  readonly manifests: manifests.ManifestAgent;
  readonly broker: brokers.CallBroker;
  readonly host: hosts.CapacityHost;
  readonly fallbackHost: hosts.CapacityHost;
}

/** The parts that refer to each other. */
interface Capacity {
  readonly client: capacityClients.CapacityClient;
  readonly router: routers.CapacityRouter;
  readonly monitor: monitors.EngineMonitor;
  readonly fleet: fleets.Fleet;
}

const SCHEDULER_TICK_MS = 50;
/** Time after unreadiness in which the balancer may still send requests. */
const UNREADY_GRACE_MS = 1_500;
const DRAIN_POLL_MS = 20;
const NONCE_BYTES = 8;
const MAX_SEED = 2 ** 31;

/** Starts an entry process. */
export async function startEntryProcess(
  settings: settingsModule.Settings,
  options: EntryProcessOptions,
): Promise<EntryProcess> {
  const parts = createParts(settings, options);
  const { runtime } = parts;
  const front = createFront(parts, () => capacity.client);
  const capacity = createCapacity(parts, front);
  registerControlMetrics(parts, capacity);
  await capacity.fleet.mesh.start();
  const dispose = registerFeatures(parts, capacity);
  const limits = settingsModule.getLimits(settings);
  const callerServer = await callers.startCallerServer(front, {
    ...settings.callers,
    maxBodyBytes: limits.maxBodyBytes,
    maxHeaderBytes: limits.maxHeaderBytes,
    stallTimeoutMs: settingsModule.getTimeouts(settings).callerStallMs,
    clock: options.clock,
  });
  const views = new operatorViews.OperatorViews({ ...parts, ...capacity, front });
  const operatorServer = await operators.startOperatorServer(views, settings.operators);
  runtime.logger.write("process_started", {
    callers: callerServer.address,
    operators: operatorServer.address,
  });
  const stop = () => {
    callerServer.destroy();
    operatorServer.close();
    dispose();
  };
  return {
    callersAddress: callerServer.address,
    operatorsAddress: operatorServer.address,
    drain: () => drain(parts, { front, fleet: capacity.fleet, callerServer, stop }),
  };
}

function createParts(
  settings: settingsModule.Settings,
  options: EntryProcessOptions,
): Parts {
  const runtime = new core.Runtime(options);
  const zone = core.createId<core.ZoneName>(settings.zone);
  const timeouts = settingsModule.getTimeouts(settings);
  const platformOptions = { url: settings.platform.url, timeoutMs: settings.platform.timeout_ms };
  const store = new platform.EtcdStore(platformOptions);
  const directory = new directories.EndpointDirectory();
  return {
    runtime,
    settings,
    zone,
    directory,
    store,
    process: core.createId<core.ProcessId>(settings.process),
    vmList: new platform.HttpVmList(platformOptions),
    engineClient: new engines.HttpEngineClient({
      connectTimeoutMs: timeouts.connectMs,
      answerTimeoutMs: timeouts.engineAnswerMs,
      silenceMs: timeouts.engineSilenceMs,
    }),
    metrics: new core.Metrics(),
    decisions: new decisionLogs.DecisionLog(options),
    manifests: new manifests.ManifestAgent(runtime, { store }),
    broker: new brokers.CallBroker(runtime, { directory, zone }),
    host: new hosts.CapacityHost(),
    fallbackHost: new hosts.CapacityHost(),
  };
}

function createFront(
  parts: Parts,
  getClient: () => capacityClients.CapacityClient,
): fronts.Front {
  const { runtime, settings, directory, metrics, decisions, process } = parts;
  const limits = settingsModule.getLimits(settings);
  const createNonce = () => crypto.randomBytes(NONCE_BYTES).toString("base64url");
  const retryBudget = new policy.RetryBudget();
  const shared = { runtime, directory, metrics, decisions, retryBudget, createNonce };
  return new fronts.Front({
    generation: {
      ...shared,
      client: parts.engineClient,
      getCapacity: getClient,
      cursors: new callers.CursorCodec(settings.cursor_secret),
      createSeed: () => crypto.randomInt(MAX_SEED),
    },
    call: {
      ...shared,
      broker: parts.broker,
      client: new services.HttpServiceClient({
        connectTimeoutMs: settingsModule.getTimeouts(settings).connectMs,
        maxAnswerBytes: limits.maxAnswerBytes,
      }),
    },
    idempotency: {
      runtime,
      decisions,
      process,
      createNonce,
      store: new claims.ClaimStore(runtime, { store: parts.store }),
    },
    manifests: parts.manifests,
    isSettled: () => directory.readAt !== -Infinity || directory.table.getAll().length > 0,
    maxPromptTokens: limits.maxPromptTokens,
    maxOpenRequests: limits.maxOpenRequests,
  });
}

function createCapacity(parts: Parts, front: fronts.Front): Capacity {
  const { runtime, settings, process, zone, directory, host, fallbackHost } = parts;
  const router: routers.CapacityRouter = new routers.CapacityRouter(runtime, {
    self: process,
    zone,
    directory,
    host,
    fallbackHost,
    getFleet: () => fleet,
    getMonitor: () => monitor,
    onEffect: (effect, link) => client.onEffect(effect, link),
    onReopened: (link) => client.registerAgain(link),
  });
  const client = new capacityClients.CapacityClient({ chooser: router });
  const monitor = new monitors.EngineMonitor(runtime, {
    client: parts.engineClient,
    directory,
    metrics: parts.metrics,
    getAssignments: (engine) => router.getAssignments(engine),
  });
  const fleet: fleets.Fleet = new fleets.Fleet(runtime, {
    host: settings.peers.host,
    port: settings.peers.port,
    seeds: settings.peers.seeds,
    self: {
      process,
      zone,
      address: settings.peers.advertise ?? `${settings.peers.host}:${settings.peers.port}`,
      cores: settings.cores,
      incarnation: Math.floor(runtime.clock.readWallTime()),
      draining: false,
    },
    directory,
    manifests: parts.manifests,
    decisions: parts.decisions,
    neighbours: new policy.RingPeerSelector(),
    capacity: router,
    getLoad: () => ({ openRequests: front.openCount, groups: router.getGroupLoads() }),
    getWantedPeers: () => router.getWantedPeers(),
  });
  return { client, router, monitor, fleet };
}

/** What control costs this process. */
function registerControlMetrics(parts: Parts, capacity: Capacity): void {
  const { metrics, store, host } = parts;
  const { traffic } = capacity.fleet.mesh;
  const values: readonly (readonly [string, string, () => number])[] = [
    ["peer_sent_bytes", "Bytes sent to other entry processes.", () => traffic.sentBytes],
    ["peer_received_bytes", "Bytes received from them.", () => traffic.receivedBytes],
    ["peer_sent_messages", "Messages sent to them.", () => traffic.sentMessages],
    ["peer_received_messages", "Messages received from them.", () => traffic.receivedMessages],
    ["peer_links", "Open links.", () => capacity.fleet.mesh.getLinks().length],
    ["platform_calls", "Calls to the key-value service.", () => store.callCount],
    ["queued_requests", "Requests that wait here for capacity.", () => host.queuedCount],
    ["granted_streams", "Streams that hold capacity granted here.", () => host.openCount],
  ];
  for (const [name, help, read] of values) metrics.registerValue(name, help, { read });
}

function registerFeatures(parts: Parts, capacity: Capacity): core.Disposer {
  const { runtime, directory, process, store, zone, engineClient } = parts;
  const { client, router, monitor, fleet } = capacity;
  const isWatcher = () => fleet.isWatcher();
  const isOrderHolder = () => fleet.getDutyHolder("orders") === process;
  const getOwned = () =>
    directory.table.getEndpoints("engine")
      .map((engine) => engine.endpoint)
      .filter((endpoint) => router.getOwner(endpoint) === process);
  return core.mergeDisposers(
    registerOwnership(parts, capacity),
    fleets.registerFleet(runtime, fleet),
    manifests.registerManifestAgent(runtime, parts.manifests, { isWatcher }),
    directories.registerEndpointDirectory(runtime, {
      directory,
      vmList: parts.vmList,
      isWatcher,
      onNews: (endpoints) => fleet.sendEndpoints(endpoints),
    }),
    monitors.registerEngineMonitor(runtime, monitor),
    brokers.registerCallBroker(runtime, parts.broker),
    capacityClients.registerCapacityReports(runtime, client),
    sweepers.registerOrphanSweeper(
      runtime,
      new sweepers.OrphanSweeper(runtime, { client: engineClient, getOwned }),
    ),
    orders.registerOrderAgent(
      runtime,
      new orders.OrderAgent(runtime, {
        process,
        zone,
        store,
        client: engineClient,
        directory,
        manifests: parts.manifests,
        isWanted: isOrderHolder,
      }),
    ),
  );
}

/** Keeps the schedulers in step with manifest, members and engines. */
function registerOwnership(parts: Parts, capacity: Capacity): core.Disposer {
  const { runtime, directory, host, fallbackHost } = parts;
  const { client, monitor, fleet } = capacity;
  const takeOver = async (now: number) => {
    host.startWarmUp(now);
    client.reassign();
    await monitor.readAll();
    host.endWarmUp(runtime.clock.now());
  };
  return core.mergeDisposers(
    runtime.registerListener(topics.MANIFEST_APPLIED, ({ manifest }, now) => {
      for (const each of [host, fallbackHost]) {
        each.handleEvent({ type: "manifest_changed", manifest }, now);
      }
    }),
    runtime.registerListener(topics.MEMBERS_CHANGED, (_, now) => void takeOver(now)),
    runtime.registerListener(topics.ENDPOINTS_CHANGED, (_, now) => {
      const { processes } = directory;
      fleet.membership.handle({ type: "candidates_listed", candidates: processes }, now);
      monitor.updateAll();
    }),
    runtime.registerInterval((now) => {
      for (const each of [host, fallbackHost]) each.handleEvent({ type: "ticked" }, now);
    }, SCHEDULER_TICK_MS),
  );
}

async function drain(
  parts: Parts,
  options: {
    readonly front: fronts.Front;
    readonly fleet: fleets.Fleet;
    readonly callerServer: callers.CallerServer;
    readonly stop: () => void;
  },
): Promise<void> {
  const { runtime, settings } = parts;
  const { front, fleet, callerServer, stop } = options;
  runtime.logger.write("drain_started", { open: front.openCount });
  front.startDrain();
  fleet.startDrain();
  await core.waitFor(UNREADY_GRACE_MS);
  const giveUpAt = runtime.clock.now() + settingsModule.getTimeouts(settings).drainMs;
  while (front.openCount > 0 && runtime.clock.now() < giveUpAt) {
    await core.waitFor(DRAIN_POLL_MS);
  }
  callerServer.close();
  await core.waitFor(DRAIN_POLL_MS);
  runtime.logger.write("drain_ended", { open: front.openCount });
  stop();
}
