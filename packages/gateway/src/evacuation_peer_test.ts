import * as net from "node:net";
import * as core from "@peridotvale/core";
import * as neverthrow from "neverthrow";
import * as peers from "@peridotvale/peers";
import type * as policy from "@peridotvale/policy";
import * as tap from "tap";
import type * as codec from "./codec.ts";
import type * as controls from "./engine_control.ts";
import * as gateways from "./gateway.ts";
import type * as stores from "./routing_store.ts";

const ZONE = core.createId<core.ZoneName>("a");
const PEER = core.createId<core.ProcessId>("front-2");
const SELF = core.createId<core.ProcessId>("front-1");
const EVACUATION: policy.ZoneEvacuation = { zone: ZONE, revision: 4, isEvacuated: true };

async function findFreePort(): Promise<number> {
  const server = net.createServer();
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as net.AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}

/** Store that a process lists at its start, and in which the zone is evacuated since then. */
class TestStore {
  listingCount = 0;
  readonly #peerAddress: string;

  constructor(peerAddress: string) {
    this.#peerAddress = peerAddress;
  }

  listEntries(): stores.StoreResult<stores.StoreListing> {
    this.listingCount += 1;
    const peer = { process: PEER, zone: ZONE, address: this.#peerAddress, linkMbps: 1_000 };
    return Promise.resolve(neverthrow.ok({
      config: undefined,
      records: [],
      peers: [peer],
      quarantines: [],
      evacuations: this.listingCount > 1 ? [EVACUATION] : [],
      storeRevision: this.listingCount > 1 ? 5 : 1,
      entryErrors: [],
    }));
  }

  readConfig(): stores.StoreResult<stores.ConfigReadResult> {
    return Promise.resolve(neverthrow.ok({ config: undefined, storeRevision: 1 }));
  }

  publishPeer(): stores.StoreResult<string> {
    return Promise.resolve(neverthrow.ok("lease"));
  }
}

for (const evacuations of [undefined, [EVACUATION]]) {
  const version = evacuations === undefined ? "an older version" : "the same version";
  // The key was skipped by a peer that does not know evacuations, and its revision was adopted.
  tap.t.test(`the revision of a peer of ${version} hides no evacuation`, async (t) => {
    const peerPort = await findFreePort();
    const store = new TestStore(`127.0.0.1:${peerPort}`);
    const lines: string[] = [];
    const address = { host: "127.0.0.1", port: await findFreePort() };
    const gateway = new gateways.Gateway({
      settings: {
        process: SELF,
        zone: ZONE,
        front: { host: "127.0.0.1", port: 0 },
        health: { host: "127.0.0.1", port: 0 },
        readinessPath: "/",
        peers: address,
        linkMbps: 0,
        bounds: {
          keyRevocationMs: 5_000,
          isRevocationStrict: true,
          configApplyMs: 4_000,
          gracePeriodMs: 1_000,
          retries: { ratio: 0.2, windowMs: 10_000, allowance: 430 },
        },
      },
      store: store as unknown as stores.RoutingStore,
      codec: {} as codec.HeaderCodec,
      engineControl: {} as controls.EngineControl,
      clock: new core.SystemClock(),
      logger: { write: (event, fields = {}) => lines.push(core.formatLine(event, fields)) },
      random: new core.SeededRandom(1),
    });
    let reports = 0;
    const mesh = new peers.PeerMesh({
      host: "127.0.0.1",
      port: peerPort,
      clock: new core.SystemClock(),
      getOwnMemberInfo: () => ({
        process: PEER,
        zone: ZONE,
        address: `127.0.0.1:${peerPort}`,
        cores: 1,
        incarnation: 1,
        draining: false,
      }),
      listener: {
        onLinkOpened: () => {},
        onMessage: (link, message) => {
          if (message.type !== "process_report" || link.peer === undefined) return;
          reports += 1;
          const { incarnation } = link.peer;
          link.send({
            type: "process_report",
            loads: [],
            notices: [],
            sentAt: reports,
            answers: { incarnation, sentAt: message.sentAt },
            store: {
              release: 0,
              confirmAgeMs: 0,
              isReachable: true,
              revision: reports > 1 ? 5 : 1,
              changed: [],
            },
            peers: [],
            quarantine: { crashes: [], soundParts: [] },
            limits: [],
            leaving: [],
            ...(evacuations === undefined ? {} : { evacuations }),
            relayed: [],
          });
        },
        onLinkLost: () => {},
      },
    });
    await mesh.start();
    t.teardown(() => mesh.stop());
    await gateway.start();
    t.teardown(() => gateway.drain());
    const from = evacuations === undefined ? "listing" : "peer";
    const line = `event=zone_evacuated zone=a revision=4 from=${from}`;
    while (!lines.includes(line)) await core.waitFor(5);
    t.pass(`learned from a ${from}`);
  });
}
