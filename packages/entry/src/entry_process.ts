/** Creates the components of an entry process, connects them, and drains the process on request. */

import * as crypto from "node:crypto";
import * as callers from "@peridotvale/callers";
import * as core from "@peridotvale/core";
import * as engines from "@peridotvale/engines";
import * as intake from "@peridotvale/gateway/intake";
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

export interface EntryProcess {
  /** Address at which callers' requests are served. */
  readonly callerServerAddress: string;
  /** Address at which operators' requests are served. */
  readonly operatorServerAddress: string;
  /** Makes the process unready, waits at most `drain_ms` for open requests, then stops it. */
  drain(): Promise<void>;
}

export interface EntryProcessOptions {
  readonly logger: core.Logger;
  readonly clock: core.Clock;
}

/** Components that depend neither on the front nor on `CapacityComponents`. */
interface BaseComponents {
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
  readonly capacityHost: hosts.CapacityHost;
  readonly fallbackHost: hosts.CapacityHost;
}

/** Components that manage capacity; they refer to each other and are created together. */
interface CapacityComponents {
  readonly client: capacityClients.CapacityClient;
  readonly router: routers.CapacityRouter;
  readonly monitor: monitors.EngineMonitor;
  readonly fleet: fleets.Fleet;
}

const SCHEDULER_TICK_INTERVAL_MS = 50;
/** Time for which the load balancer may still send requests to an unready process. */
const UNREADY_GRACE_MS = 1_500;
const DRAIN_POLL_INTERVAL_MS = 20;
const NONCE_BYTES = 8;
const GENERATION_SEED_COUNT = 2 ** 31;

/** Starts the peer mesh, the background tasks, and the servers for callers and operators. */
export async function startEntryProcess(
  settings: settingsModule.Settings,
  options: EntryProcessOptions,
): Promise<EntryProcess> {
  const components = createBaseComponents(settings, options);
  const { runtime } = components;
  const front = createFront(components, () => capacity.client);
  const capacity = createCapacityComponents(components, front);
  registerGauges(components, capacity);
  await capacity.fleet.mesh.start();
  const dispose = registerComponents(components, capacity);
  const limits = settingsModule.getLimits(settings);
  const callerServer = await callers.startCallerServer(front, {
    ...settings.callers,
    maxBodyBytes: limits.maxBodyBytes,
    maxHeaderBytes: limits.maxHeaderBytes,
    stallTimeoutMs: settingsModule.getTimeouts(settings).callerStallMs,
    clock: options.clock,
    memory: new intake.MemoryAgent({
      ...options,
      metrics: components.metrics,
      memoryMb: limits.memoryMb,
    }),
    maxConnections: policy.computeMaxConnections(limits.maxFds),
  });
  const views = new operatorViews.OperatorViews({ ...components, ...capacity, front });
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
    callerServerAddress: callerServer.address,
    operatorServerAddress: operatorServer.address,
    drain: () => drain(components, { front, fleet: capacity.fleet, callerServer, stop }),
  };
}

function createBaseComponents(
  settings: settingsModule.Settings,
  options: EntryProcessOptions,
): BaseComponents {
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
      silenceTimeoutMs: timeouts.engineSilenceMs,
    }),
    metrics: new core.Metrics(),
    decisions: new decisionLogs.DecisionLog(options),
    manifests: new manifests.ManifestAgent(runtime, { store }),
    broker: new brokers.CallBroker(runtime, { directory, zone }),
    capacityHost: new hosts.CapacityHost(),
    fallbackHost: new hosts.CapacityHost(),
  };
}

function createFront(
  components: BaseComponents,
  getClient: () => capacityClients.CapacityClient,
): fronts.Front {
  const { runtime, settings, directory, metrics, decisions, process } = components;
  const limits = settingsModule.getLimits(settings);
  const createNonce = () => crypto.randomBytes(NONCE_BYTES).toString("base64url");
  const retryBudget = new policy.RetryBudget();
  const sharedContext = { runtime, directory, metrics, decisions, retryBudget, createNonce };
  return new fronts.Front({
    generation: {
      ...sharedContext,
      client: components.engineClient,
      getCapacityClient: getClient,
      cursors: new callers.CursorCodec(settings.cursor_secret),
      createSeed: () => crypto.randomInt(GENERATION_SEED_COUNT),
    },
    call: {
      ...sharedContext,
      broker: components.broker,
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
      store: new claims.ClaimStore(runtime, { store: components.store }),
    },
    manifests: components.manifests,
    hasEndpointList: () =>
      directory.listReadAt !== -Infinity || directory.table.getAllEndpoints().length > 0,
    maxPromptTokens: limits.maxPromptTokens,
    maxOpenRequests: limits.maxOpenRequests,
  });
}

function createCapacityComponents(
  components: BaseComponents,
  front: fronts.Front,
): CapacityComponents {
  const { runtime, settings, process, zone, directory, capacityHost, fallbackHost } = components;
  const router: routers.CapacityRouter = new routers.CapacityRouter(runtime, {
    self: process,
    zone,
    directory,
    host: capacityHost,
    fallbackHost,
    getFleet: () => fleet,
    getMonitor: () => monitor,
    onEffect: (effect, link) => client.onEffect(effect, link),
    onLinkReopened: (link) => client.renewRegistrations(link),
  });
  const client = new capacityClients.CapacityClient({ chooser: router });
  const monitor = new monitors.EngineMonitor(runtime, {
    client: components.engineClient,
    directory,
    metrics: components.metrics,
    getAssignments: (engine) => router.getAssignments(engine),
  });
  const fleet: fleets.Fleet = new fleets.Fleet(runtime, {
    host: settings.peers.host,
    port: settings.peers.port,
    seedAddresses: settings.peers.seeds,
    self: {
      process,
      zone,
      address: settings.peers.advertise ?? `${settings.peers.host}:${settings.peers.port}`,
      cores: settings.cores,
      incarnation: Math.floor(runtime.clock.readWallTime()),
      draining: false,
    },
    directory,
    manifests: components.manifests,
    decisions: components.decisions,
    peerSelection: new policy.RingPeerSelector(),
    capacityHandler: router,
    getLoad: () => ({ openRequests: front.openRequestCount, groups: router.getGroupLoads() }),
    getRequiredPeers: () => router.getRequiredPeers(),
  });
  return { client, router, monitor, fleet };
}

/** Registers metrics of peer traffic, of key-value calls and of granted capacity. */
function registerGauges(components: BaseComponents, capacity: CapacityComponents): void {
  const { metrics, store, capacityHost } = components;
  const { traffic } = capacity.fleet.mesh;
  const gauges: readonly (readonly [string, string, () => number])[] = [
    ["peer_sent_bytes", "Bytes sent to other entry processes.", () => traffic.sentBytes],
    ["peer_received_bytes", "Bytes received from them.", () => traffic.receivedBytes],
    ["peer_sent_messages", "Messages sent to them.", () => traffic.sentMessages],
    ["peer_received_messages", "Messages received from them.", () => traffic.receivedMessages],
    ["peer_links", "Open links.", () => capacity.fleet.mesh.getLinks().length],
    ["platform_calls", "Calls to the key-value service.", () => store.callCount],
    ["queued_requests", "Requests that wait here for capacity.", () => capacityHost.queuedCount],
    [
      "granted_streams",
      "Streams that hold capacity granted here.",
      () => capacityHost.openStreamCount,
    ],
  ];
  for (const [name, help, read] of gauges) metrics.registerGauge(name, help, { read });
}

function registerComponents(
  components: BaseComponents,
  capacity: CapacityComponents,
): core.Disposer {
  const { runtime, directory, process, store, zone, engineClient } = components;
  const { client, router, monitor, fleet } = capacity;
  const isWatcher = () => fleet.isWatcher();
  const isElected = () => fleet.getElectedProcess("orders") === process;
  const listOwnedEngines = () =>
    directory.table.getEndpointsByRole("engine")
      .map((engine) => engine.endpoint)
      .filter((endpoint) => router.getOwner(endpoint) === process);
  return core.mergeDisposers(
    registerSchedulerEvents(components, capacity),
    fleets.registerFleet(runtime, fleet),
    manifests.registerManifestAgent(runtime, components.manifests, { isWatcher }),
    directories.registerEndpointDirectory(runtime, {
      directory,
      vmList: components.vmList,
      isWatcher,
      onUpdates: (endpoints) => fleet.sendEndpoints(endpoints),
    }),
    monitors.registerEngineMonitor(runtime, monitor),
    brokers.registerCallBroker(runtime, components.broker),
    capacityClients.registerCapacityReports(runtime, client),
    sweepers.registerOrphanSweeper(
      runtime,
      new sweepers.OrphanSweeper(runtime, { client: engineClient, listEngines: listOwnedEngines }),
    ),
    orders.registerOrderAgent(
      runtime,
      new orders.OrderAgent(runtime, {
        process,
        zone,
        store,
        client: engineClient,
        directory,
        manifests: components.manifests,
        isElected,
      }),
    ),
  );
}

/** Notifies the schedulers when the manifest, the members or the endpoints change. */
function registerSchedulerEvents(
  components: BaseComponents,
  capacity: CapacityComponents,
): core.Disposer {
  const { runtime, directory, capacityHost, fallbackHost } = components;
  const { client, monitor, fleet } = capacity;
  // Holds requests back until the state of newly owned engines has been read.
  const updateOwnership = async (now: number) => {
    capacityHost.startWarmUp(now);
    client.updateOwnerLinks();
    await monitor.readAllEngines();
    capacityHost.endWarmUp(runtime.clock.now());
  };
  return core.mergeDisposers(
    runtime.registerListener(topics.MANIFEST_APPLIED, ({ manifest }, now) => {
      for (const host of [capacityHost, fallbackHost]) {
        host.handleEvent({ type: "manifest_changed", manifest }, now);
      }
    }),
    runtime.registerListener(topics.MEMBERS_CHANGED, (_, now) => void updateOwnership(now)),
    runtime.registerListener(topics.ENDPOINTS_CHANGED, (_, now) => {
      const { candidates } = directory;
      fleet.membership.handle({ type: "candidates_listed", candidates }, now);
      monitor.updateAllEngines();
    }),
    runtime.registerInterval((now) => {
      for (const host of [capacityHost, fallbackHost]) host.handleEvent({ type: "ticked" }, now);
    }, SCHEDULER_TICK_INTERVAL_MS),
  );
}

async function drain(
  components: BaseComponents,
  options: {
    readonly front: fronts.Front;
    readonly fleet: fleets.Fleet;
    readonly callerServer: callers.CallerServer;
    readonly stop: () => void;
  },
): Promise<void> {
  const { runtime, settings } = components;
  const { front, fleet, callerServer, stop } = options;
  runtime.logger.write("drain_started", { open: front.openRequestCount });
  front.startDrain();
  fleet.startDrain();
  await core.waitFor(UNREADY_GRACE_MS);
  const deadlineAt = runtime.clock.now() + settingsModule.getTimeouts(settings).drainMs;
  while (front.openRequestCount > 0 && runtime.clock.now() < deadlineAt) {
    await core.waitFor(DRAIN_POLL_INTERVAL_MS);
  }
  callerServer.close();
  while (callerServer.openAnswerCount > 0 && runtime.clock.now() < deadlineAt) {
    await core.waitFor(DRAIN_POLL_INTERVAL_MS);
  }
  await core.waitFor(DRAIN_POLL_INTERVAL_MS);
  runtime.logger.write("drain_ended", { open: front.openRequestCount });
  stop();
}
