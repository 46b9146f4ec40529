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
import * as claims from "./claim_store.ts";
import * as decisionLogs from "./decision_log.ts";
import * as directories from "./endpoint_directory.ts";
import * as monitors from "./engine_monitor.ts";
import * as fronts from "./front.ts";
import * as localLinks from "./local_link.ts";
import * as manifests from "./manifest_agent.ts";
import * as metricsModule from "./metrics.ts";
import * as operatorViews from "./operator_views.ts";
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

const SCHEDULER_TICK_MS = 50;
/** Time after unreadiness in which the balancer may still send requests. */
const UNREADY_GRACE_MS = 1_500;
const DRAIN_POLL_MS = 20;
const NONCE_BYTES = 5;
const MAX_SEED = 2 ** 31;

/** Starts an entry process. */
export async function startEntryProcess(
  settings: settingsModule.Settings,
  options: { readonly logger: core.Logger; readonly clock: core.Clock },
): Promise<EntryProcess> {
  const runtime = new core.Runtime(options);
  const { clock, logger } = options;
  const limits = settingsModule.getLimits(settings);
  const timeouts = settingsModule.getTimeouts(settings);
  const zone = core.createId<core.ZoneName>(settings.zone);
  const process = core.createId<core.ProcessId>(settings.process);
  const platformOptions = {
    url: settings.platform.url,
    timeoutMs: settings.platform.timeout_ms,
  };
  const store = new platform.EtcdStore(platformOptions);
  const vmList = new platform.HttpVmList(platformOptions);
  const directory = new directories.EndpointDirectory();
  const metrics = new metricsModule.Metrics();
  const decisions = new decisionLogs.DecisionLog({ logger, clock });
  const manifestAgent = new manifests.ManifestAgent(runtime, { store });
  const retryBudget = new policy.RetryBudget();
  const createNonce = () => crypto.randomBytes(NONCE_BYTES).toString("hex");
  const engineClient = new engines.HttpEngineClient({
    connectTimeoutMs: timeouts.connectMs,
    answerTimeoutMs: timeouts.engineAnswerMs,
    silenceMs: timeouts.engineSilenceMs,
  });
  const host = new hosts.CapacityHost({ capacityShare: 1 });
  const capacity = new capacityClients.CapacityClient({
    chooser: { chooseLinks: () => [link], chooseOwner: () => link },
  });
  const link: localLinks.LocalLink = new localLinks.LocalLink(runtime, {
    host,
    onEffect: (effect, from) => capacity.onEffect(effect, from),
  });
  const monitor = new monitors.EngineMonitor(runtime, {
    client: engineClient,
    directory,
    metrics,
    hosts: [host],
    isWatched: (engine) => engine.zone === zone,
  });
  const broker = new brokers.CallBroker(runtime, { directory, zone });
  const shared = {
    runtime,
    directory,
    metrics,
    decisions,
    retryBudget,
    createNonce,
  };
  const front = new fronts.Front({
    generation: {
      ...shared,
      client: engineClient,
      capacity,
      cursors: new callers.CursorCodec(settings.cursor_secret),
      createSeed: () => crypto.randomInt(MAX_SEED),
    },
    call: {
      ...shared,
      broker,
      client: new services.HttpServiceClient({
        connectTimeoutMs: timeouts.connectMs,
        maxAnswerBytes: limits.maxAnswerBytes,
      }),
    },
    idempotency: {
      runtime,
      decisions,
      process,
      createNonce,
      store: new claims.ClaimStore(runtime, { store }),
    },
    manifests: manifestAgent,
    maxPromptTokens: limits.maxPromptTokens,
    maxOpenRequests: limits.maxOpenRequests,
  });
  const dispose = core.mergeDisposers(
    manifests.registerManifestAgent(runtime, manifestAgent),
    directories.registerEndpointDirectory(runtime, { directory, vmList }),
    monitors.registerEngineMonitor(runtime, monitor),
    brokers.registerCallBroker(runtime, broker),
    capacityClients.registerCapacityReports(runtime, capacity),
    runtime.registerListener(
      topics.MANIFEST_APPLIED,
      ({ manifest }, now) =>
        host.handleEvent({ type: "manifest_changed", manifest }, now),
    ),
    runtime.registerInterval(
      (now) => host.handleEvent({ type: "ticked" }, now),
      SCHEDULER_TICK_MS,
    ),
  );
  const callerServer = await callers.startCallerServer(front, {
    ...settings.callers,
    maxBodyBytes: limits.maxBodyBytes,
    maxHeaderBytes: limits.maxHeaderBytes,
    stallTimeoutMs: timeouts.callerStallMs,
    clock,
  });
  const operatorServer = await operators.startOperatorServer(
    new operatorViews.OperatorViews({
      runtime,
      process,
      zone,
      directory,
      manifests: manifestAgent,
      decisions,
      front,
    }),
    settings.operators,
  );
  logger.write("process_started", {
    callers: callerServer.address,
    operators: operatorServer.address,
  });
  return {
    callersAddress: callerServer.address,
    operatorsAddress: operatorServer.address,
    async drain() {
      logger.write("drain_started", { open: front.openCount });
      front.startDrain();
      runtime.publish(topics.DRAIN_STARTED, undefined);
      await core.waitFor(UNREADY_GRACE_MS);
      const giveUpAt = clock.now() + timeouts.drainMs;
      while (front.openCount > 0 && clock.now() < giveUpAt) {
        await core.waitFor(DRAIN_POLL_MS);
      }
      callerServer.close();
      await core.waitFor(DRAIN_POLL_MS);
      callerServer.destroy();
      operatorServer.close();
      dispose();
      logger.write("drain_ended", { open: front.openCount });
    },
  };
}
