import * as net from "node:net";
import * as core from "@peridotvale/core";
import * as peers from "@peridotvale/peers";
import * as policy from "@peridotvale/policy";
import * as tap from "tap";
import * as peerAgents from "./peer_agent.ts";
import type * as types from "./peer_agent_options.ts";

const ZONE = core.createId<core.ZoneName>("a");
const RESTARTED = core.createId<core.ProcessId>("front-2");
const NO_NEWS = {
  quarantine: { crashes: [], soundParts: [] },
  limits: [],
  evacuations: [],
  leaving: [],
};
const EMPTY_REPORT = {
  type: "process_report" as const,
  loads: [],
  notices: [],
  store: undefined,
  peers: [],
  relayed: [],
  ...NO_NEWS,
};
/** Age of the first process when it loses power; the second one's clock starts at 0. */
const FIRST_LIFE_MS = 60_000;

interface Teardown {
  teardown(callback: () => unknown): void;
}

async function findFreePort(): Promise<number> {
  const server = net.createServer();
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as net.AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}

async function startAgent(
  t: Teardown,
  reports: types.ReportTiming[],
  logger: core.Logger = core.createLogger(() => {}, {}),
) {
  const port = await findFreePort();
  const address = { host: "127.0.0.1", port };
  const agent = new peerAgents.PeerAgent({
    settings: {
      process: core.createId<core.ProcessId>("front-1"),
      zone: ZONE,
      front: address,
      health: address,
      readinessPath: "/",
      peers: address,
      linkMbps: 20,
      bounds: {
        keyRevocationMs: 5_000,
        isRevocationStrict: true,
        configApplyMs: 4_000,
        gracePeriodMs: 8_000,
        retries: { ratio: 0.2, windowMs: 10_000, allowance: 430 },
      },
    },
    clock: new core.SystemClock(),
    logger,
    peerLoads: new policy.PeerLoads(),
    createReport: () => ({ loads: [], notices: [], store: undefined, ...NO_NEWS }),
    onReport: (_report, timing) => reports.push(timing),
    getReportRefreshIntervalMs: () => 100,
    getConfig: () => undefined,
    onConfig: () => {},
  });
  await agent.start();
  t.teardown(() => agent.stop());
  return agent;
}

/** One lifetime of the process that restarts, with a link to the agent. */
class Lifetime {
  readonly received: peers.ProcessReportMessage[] = [];
  readonly #mesh: peers.PeerMesh;

  constructor(incarnation: number) {
    this.#mesh = new peers.PeerMesh({
      host: "127.0.0.1",
      port: 0,
      clock: new core.SystemClock(),
      getOwnMemberInfo: () => ({
        process: RESTARTED,
        zone: ZONE,
        address: "127.0.0.1:1",
        cores: 1,
        incarnation,
        draining: false,
      }),
      listener: {
        onLinkOpened: () => {},
        onMessage: (_link, message) => {
          if (message.type === "process_report") this.received.push(message);
        },
        onLinkLost: () => {},
      },
    });
  }

  async connect(t: Teardown, agent: peerAgents.PeerAgent): Promise<void> {
    await this.#mesh.start();
    t.teardown(() => this.#mesh.stop());
    const process = core.createId<core.ProcessId>("front-1");
    const target = { process, zone: ZONE, address: agent.address };
    this.#mesh.updateTargets([target], performance.now());
    while (this.received.length === 0) await core.waitFor(5);
  }

  report(sentAt: number, answers?: peers.ReportReceipt): void {
    for (const link of this.#mesh.getLinks()) {
      link.send({ ...EMPTY_REPORT, sentAt, answers });
    }
  }

  /** Sends a report whose loads are of another form. */
  reportMalformed(): void {
    const loads = [undefined] as unknown as policy.EngineLoad[];
    for (const link of this.#mesh.getLinks()) {
      link.send({ ...EMPTY_REPORT, sentAt: 1, answers: undefined, loads });
    }
  }

  async waitForReceipt(): Promise<void> {
    while (this.received.at(-1)?.answers === undefined) await core.waitFor(5);
  }

  async waitForReports(count: number): Promise<void> {
    const wanted = this.received.length + count;
    while (this.received.length < wanted) {
      await core.waitFor(5);
      this.#mesh.runTick(performance.now());
    }
  }
}

// The new process dated its confirmation of the configuration by its predecessor's clock, and its
// peers believed the date: revoked keys were served for as long as the predecessor had run.
tap.t.test("a process gets no times that its predecessor sent", async (t) => {
  const agent = await startAgent(t, []);
  const first = new Lifetime(100);
  await first.connect(t, agent);
  first.report(FIRST_LIFE_MS);
  await first.waitForReceipt();
  t.same(first.received.at(-1)?.answers, { incarnation: 100, sentAt: FIRST_LIFE_MS });
  // The power is lost: the first process sends nothing more, but its link stays open.
  const second = new Lifetime(200);
  await second.connect(t, agent);
  await second.waitForReports(3);
  t.same(
    second.received.map(({ answers }) => answers?.sentAt),
    second.received.map(() => undefined),
  );
  second.report(5);
  await second.waitForReceipt();
  t.same(second.received.at(-1)?.answers, { incarnation: 200, sentAt: 5 });
});

// The changes between the two lives' reports are unknown; a removed endpoint stayed in use.
tap.t.test(
  "the first report after a restart does not continue the reports before it",
  async (t) => {
    const timings: types.ReportTiming[] = [];
    const agent = await startAgent(t, timings);
    const first = new Lifetime(100);
    await first.connect(t, agent);
    first.report(FIRST_LIFE_MS);
    first.report(FIRST_LIFE_MS + 1);
    await first.waitForReports(2);
    t.same(timings.map(({ isContinuous }) => isContinuous), [false, true]);
    const second = new Lifetime(200);
    await second.connect(t, agent);
    second.report(5);
    await second.waitForReports(2);
    t.equal(timings.at(-1)?.isContinuous, false);
  },
);

tap.t.test("a receipt for another process or from the future is not used", async (t) => {
  const timings: types.ReportTiming[] = [];
  const agent = await startAgent(t, timings);
  const peer = new Lifetime(100);
  await peer.connect(t, agent);
  const { incarnation } = agent;
  const now = performance.now();
  const receipts = [
    { incarnation, sentAt: now },
    { incarnation: incarnation - 1, sentAt: now },
    { incarnation, sentAt: now + FIRST_LIFE_MS },
    undefined,
  ];
  for (const receipt of receipts) peer.report(1, receipt);
  await peer.waitForReports(2);
  t.same(timings.map((timing) => timing.acknowledgedReportSentAt), [
    now,
    undefined,
    undefined,
    undefined,
  ]);
});

// A message of another form, as another version sends it, ended the process.
tap.t.test("a malformed message closes its link only", async (t) => {
  const events: string[] = [];
  const agent = await startAgent(t, [], { write: (event) => events.push(event) });
  const peer = new Lifetime(100);
  await peer.connect(t, agent);
  peer.reportMalformed();
  while (!events.includes("peer_message_invalid")) await core.waitFor(5);
  await peer.waitForReports(1);
  t.pass("the agent reports to the peer again, on a new link");
});
