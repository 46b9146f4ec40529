import * as net from "node:net";
import * as core from "@peridotvale/core";
import * as policy from "@peridotvale/policy";
import * as tap from "tap";
import type * as settingsModule from "./gateway_settings.ts";
import * as peerAgents from "./peer_agent.ts";

const ZONES = ["asahikawa", "furano", "nayoro"].map((zone) => core.createId<core.ZoneName>(zone));
const PROCESSES_PER_ZONE = 8;
/** Engine on which every process reports one run. */
const SHARED_ENGINE = core.createId<core.InstanceId>("engine-1");
/** Time within which a load must be known to the whole fleet while all hubs run. */
const SPREAD_BOUND_MS = 1_500;
/** Time within which a failed hub must be replaced. */
const HUB_LOSS_BOUND_MS = 5_000;

/** A peer agent with the load that it reports. */
class TestProcess {
  readonly peerLoads = new policy.PeerLoads();
  readonly agent: peerAgents.PeerAgent;
  readonly settings: settingsModule.GatewaySettings;
  runs = 1;

  constructor(name: string, zone: core.ZoneName, port: number) {
    const bounds = {
      keyRevocationMs: 5_000,
      isRevocationStrict: true,
      configApplyMs: 4_000,
      gracePeriodMs: 8_000,
      retries: { ratio: 0.2, windowMs: 10_000, allowance: 430 },
    };
    const address = { host: "127.0.0.1", port };
    this.settings = {
      process: core.createId<core.ProcessId>(name),
      zone,
      front: address,
      health: address,
      readinessPath: "/",
      peers: address,
      linkMbps: 20,
      bounds,
    };
    this.agent = new peerAgents.PeerAgent({
      settings: this.settings,
      clock: new core.SystemClock(),
      logger: core.createLogger(() => {}, {}),
      peerLoads: this.peerLoads,
      createReport: () => ({
        loads: this.createLoads(),
        notices: [],
        store: undefined,
        quarantine: { crashes: [], soundParts: [] },
        limits: [],
        evacuations: [],
        leaving: [],
      }),
      onReport: () => {},
      getReportRefreshIntervalMs: () => 500,
      getConfig: () => undefined,
      onConfig: () => {},
    });
  }

  createLoads(): policy.EngineLoad[] {
    const { runs } = this;
    if (runs === 0) return [];
    return [{
      instance: SHARED_ENGINE,
      runs,
      reservedTokens: 100 * runs,
      unreadPromptTokens: 0,
      moveValue: 0,
    }];
  }

  get announcement() {
    const { process, zone, linkMbps } = this.settings;
    return { process, zone, linkMbps, address: this.agent.address };
  }
}

async function findFreePort(): Promise<number> {
  const server = net.createServer();
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as net.AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}

/** Starts a process on a free port; tries again if another program takes the port first. */
async function startProcess(name: string, zone: core.ZoneName): Promise<TestProcess> {
  for (;;) {
    const process = new TestProcess(name, zone, await findFreePort());
    try {
      await process.agent.start();
      return process;
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code !== "EADDRINUSE") throw error;
    }
  }
}

async function startFleet(t: { readonly teardown: (stop: () => void) => void }) {
  const processes: TestProcess[] = [];
  for (const zone of ZONES) {
    for (let index = 0; index < PROCESSES_PER_ZONE; index += 1) {
      processes.push(await startProcess(`front-${zone}-${index}`, zone));
    }
  }
  t.teardown(() => {
    for (const process of processes) process.agent.stop();
  });
  const announcements = processes.map((process) => process.announcement);
  for (const process of processes) process.agent.recordAnnouncements(announcements);
  return processes;
}

/** Waits until every process knows the runs of all others; returns how long it took. */
async function waitForLoads(
  processes: readonly TestProcess[],
  expectedRuns: number,
  boundMs: number,
): Promise<number> {
  const startedAt = performance.now();
  const knowsLoads = (process: TestProcess) =>
    process.peerLoads.getTotalLoad(SHARED_ENGINE).runs === expectedRuns - process.runs;
  while (!processes.every(knowsLoads) && performance.now() - startedAt < 2 * boundMs) {
    await core.waitFor(20);
  }
  return performance.now() - startedAt;
}

// In a mesh of each zone, a process knew nothing of the loads that other zones place, and sent
// as many reports as its zone has processes.
tap.t.test("in a large fleet all loads are known everywhere, over few links", async (t) => {
  const processes = await startFleet(t);
  await waitForLoads(processes, processes.length, HUB_LOSS_BOUND_MS);
  processes[0]!.runs = 5;
  const spreadMs = await waitForLoads(processes, processes.length + 4, SPREAD_BOUND_MS);
  t.ok(spreadMs < SPREAD_BOUND_MS, `a changed load is known after ${Math.round(spreadMs)} ms`);
  const linkCounts = processes.map((process) => process.agent.linkCount).sort((a, b) => a - b);
  const hubCount = ZONES.length * policy.HUBS_PER_ZONE;
  const memberLinks = linkCounts.slice(0, processes.length - hubCount);
  t.equal(memberLinks.at(-1), policy.HUBS_PER_ZONE, "a process that is no hub links to its hubs");
});

tap.t.test("loads spread again after both hubs of a zone have failed", async (t) => {
  const processes = await startFleet(t);
  await waitForLoads(processes, processes.length, HUB_LOSS_BOUND_MS);
  const candidates = processes.map(({ settings: { process, zone, linkMbps } }) => ({
    process,
    zone,
    linkMbps,
    isSuspect: false,
  }));
  const hubs = policy.chooseHubs(ZONES[0]!, candidates);
  const survivors: TestProcess[] = [];
  for (const process of processes) {
    if (hubs.includes(process.settings.process)) process.agent.stop();
    else survivors.push(process);
  }
  survivors[0]!.runs = 3;
  const spreadMs = await waitForLoads(survivors, survivors.length + 2, HUB_LOSS_BOUND_MS);
  t.ok(spreadMs < HUB_LOSS_BOUND_MS, `loads are known after ${Math.round(spreadMs)} ms`);
});
