/** Starts a small fleet for failure tests, and reads the ledgers of its engines and services. */

import * as caller from "./caller.ts";
import * as engineModel from "./engine_model.ts";
import type * as engineStandin from "./engine_standin.ts";
import * as relay from "./relay_standin.ts";
import type * as serviceStandin from "./service_standin.ts";
import * as testHarness from "./test_harness.ts";

export interface TestFleet {
  readonly harness: testHarness.TestHarness;
  readonly engines: readonly testHarness.StartedProcess[];
  readonly services: readonly testHarness.StartedProcess[];
  readonly entries: readonly testHarness.StartedEntry[];
}

export interface TestFleetOptions {
  /** Command-line arguments of each engine; one engine is started per element. */
  readonly engines?: readonly (readonly string[])[];
  /** Count of plain services to start. */
  readonly services?: number;
  /** Availability zone of each entry process. */
  readonly entries?: readonly string[];
  /** Availability zones, assigned to engines and to services in rotation. */
  readonly zones?: readonly string[];
  /** YAML that is appended to the settings of each entry process. */
  readonly extraSettings?: string;
  /** Flags of Node for each entry process. */
  readonly nodeFlags?: readonly string[];
  /** YAML of the manifest; by default, {@link testHarness.TEST_MANIFEST}. */
  readonly manifest?: string;
}

const DEFAULT_ZONES = ["asahikawa"];

/** Starts a fleet, submits the manifest and waits until every entry process serves requests. */
export async function startFleet(
  harness: testHarness.TestHarness,
  options: TestFleetOptions = {},
): Promise<TestFleet> {
  const zones = options.zones ?? DEFAULT_ZONES;
  await harness.startPlatform();
  const engineArgumentLists = options.engines ?? [[]];
  const engines: testHarness.StartedProcess[] = [];
  for (const [index, engineArgs] of engineArgumentLists.entries()) {
    engines.push(await harness.startEngine(zones[index % zones.length]!, engineArgs));
  }
  const services: testHarness.StartedProcess[] = [];
  for (let index = 0; index < (options.services ?? 0); index++) {
    services.push(await harness.startService(zones[index % zones.length]!));
  }
  const entryZones = options.entries ?? [zones[0]!];
  const entries = await Promise.all(
    entryZones.map((zone, index) =>
      harness.startEntry(`${zone}-${index + 1}`, zone, {
        ...(options.extraSettings ? { extraSettings: options.extraSettings } : {}),
        ...(options.nodeFlags ? { nodeFlags: options.nodeFlags } : {}),
      })
    ),
  );
  await harness.submitManifest(entries[0]!, options.manifest);
  for (const entry of entries) {
    await harness.waitReady(entry);
    if (engines.length > 0) await waitServing(entry);
  }
  return { harness, engines, services, entries };
}

/** Waits until a generation sent to `entry` completes. */
export async function waitServing(entry: testHarness.StartedEntry): Promise<void> {
  await testHarness.waitUntil(async () => {
    const probe = await caller.streamCompletion(entry.address, { prompt: "[len=1]" });
    return probe.done;
  }, `${entry.process} serves generations`);
}

/** Computes the tokens that a generation must yield; `version` ends with the engine's salt. */
export function createExpectedTokens(
  prompt: string,
  seed: number,
  options: { readonly length: number; readonly version?: string },
): string[] {
  const version = options.version ?? "v1";
  return Array.from(
    { length: options.length },
    (_, index) => engineModel.createTokenText({ prompt, seed, version }, index),
  );
}

/** Reads the generations that an engine has started and the orders that it has received. */
export async function readEngineLedger(
  engine: testHarness.StartedProcess,
): Promise<{
  readonly generations: readonly engineStandin.EngineLedgerEntry[];
  readonly orders: readonly engineStandin.OrderLedgerEntry[];
}> {
  return await caller.readJson(`http://${engine.address}/ledger`);
}

/** Reads the orders that a service has applied. */
export async function readServiceLedger(
  service: testHarness.StartedProcess,
): Promise<readonly serviceStandin.ServiceLedgerEntry[]> {
  const ledger = await caller.readJson<{
    readonly orders: readonly serviceStandin.ServiceLedgerEntry[];
  }>(`http://${service.address}/ledger`);
  return ledger.orders;
}

/** Replaces the injected faults of an engine or service stand-in. */
export async function applyFaults(
  started: testHarness.StartedProcess,
  faults: unknown,
): Promise<void> {
  await caller.readJson(`http://${started.address}/faults`, { body: faults });
}

/** Starts a relay to `endpoint`, and replaces `endpoint` on the VM list by the relay's address. */
export async function startRelay(
  harness: testHarness.TestHarness,
  endpoint: testHarness.StartedProcess,
): Promise<relay.RelayStandin> {
  const [host, port] = endpoint.address.split(":");
  const relayStandin = new relay.RelayStandin({ host: host!, port: Number(port) });
  const address = await relayStandin.start("127.0.0.1", 0);
  const index = harness.vms.findIndex((vm) => vm.address === endpoint.address);
  harness.vms[index] = { ...harness.vms[index]!, address };
  await harness.sendVms();
  return relayStandin;
}

/** Returns the engine that runs a generation for the request. Throws if there is none. */
export async function findEngine(
  engines: readonly testHarness.StartedProcess[],
  requestId: string,
): Promise<testHarness.StartedProcess> {
  for (const engine of engines) {
    const { generations } = await readEngineLedger(engine);
    const isGenerating = generations.some((entry) =>
      entry.attempt.startsWith(`${requestId}~`) && !entry.ended && !entry.cancelled
    );
    if (isGenerating) return engine;
  }
  throw new Error(`no engine runs a generation for request ${requestId}`);
}

/** Reads the orders that all engines have received. */
export async function readOrders(
  engines: readonly testHarness.StartedProcess[],
): Promise<engineStandin.OrderLedgerEntry[]> {
  const orders: engineStandin.OrderLedgerEntry[] = [];
  for (const engine of engines) orders.push(...(await readEngineLedger(engine)).orders);
  return orders;
}
