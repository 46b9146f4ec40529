/** A small fleet for failure tests, and what its ledgers say. */

import * as caller from "./caller.ts";
import * as models from "./engine_model.ts";
import type * as engineStandin from "./engine_standin.ts";
import * as relay from "./relay_standin.ts";
import type * as serviceStandin from "./service_standin.ts";
import * as testBed from "./test_bed.ts";

/** A started fleet of one availability zone or more. */
export interface FleetBed {
  readonly bed: testBed.TestBed;
  readonly engines: readonly testBed.Started[];
  readonly services: readonly testBed.Started[];
  readonly entries: readonly testBed.StartedEntry[];
}

/** What to start. */
export interface FleetBedOptions {
  /** Arguments of each engine. */
  readonly engines?: readonly (readonly string[])[];
  readonly services?: number;
  /** Availability zone of each entry process. */
  readonly entries?: readonly string[];
  /** Availability zones of the engines, in turn. */
  readonly zones?: readonly string[];
  readonly extraSettings?: string;
  readonly manifest?: string;
}

const DEFAULT_ZONES = ["asahikawa"];

/** Starts a fleet and waits until it serves. */
export async function startFleet(
  bed: testBed.TestBed,
  options: FleetBedOptions = {},
): Promise<FleetBed> {
  const zones = options.zones ?? DEFAULT_ZONES;
  await bed.startPlatform();
  const engineArguments = options.engines ?? [[]];
  const engines: testBed.Started[] = [];
  for (const [index, extra] of engineArguments.entries()) {
    engines.push(await bed.startEngine(zones[index % zones.length]!, extra));
  }
  const services: testBed.Started[] = [];
  for (let index = 0; index < (options.services ?? 0); index++) {
    services.push(await bed.startService(zones[index % zones.length]!));
  }
  const entryZones = options.entries ?? [zones[0]!];
  const entries = await Promise.all(
    entryZones.map((zone, index) =>
      bed.startEntry(`${zone}-${index + 1}`, zone, {
        ...(options.extraSettings ? { extra: options.extraSettings } : {}),
      })
    ),
  );
  await bed.submitManifest(entries[0]!, options.manifest);
  for (const entry of entries) {
    await bed.waitReady(entry);
    if (engines.length > 0) await waitServing(entry);
  }
  return { bed, engines, services, entries };
}

/** Waits until `entry` serves a generation. */
export async function waitServing(entry: testBed.StartedEntry): Promise<void> {
  await testBed.waitUntil(async () => {
    const probe = await caller.streamCompletion(entry.address, { prompt: "[len=1]" });
    return probe.done;
  }, `${entry.process} serves`);
}

/** The tokens that a request must yield. */
export function createExpectedTokens(
  prompt: string,
  seed: number,
  options: { readonly length: number; readonly version?: string },
): string[] {
  const version = options.version ?? "v1";
  return Array.from(
    { length: options.length },
    (_, index) => models.createTokenText({ prompt, seed, version }, index),
  );
}

/** The generations that an engine has started. */
export async function readEngineLedger(
  engine: testBed.Started,
): Promise<{
  readonly generations: readonly engineStandin.EngineLedgerEntry[];
  readonly orders: readonly engineStandin.OrderLedgerEntry[];
}> {
  return await caller.readJson(`http://${engine.address}/ledger`);
}

/** The orders that a service has applied. */
export async function readServiceLedger(
  service: testBed.Started,
): Promise<readonly serviceStandin.ServiceLedgerEntry[]> {
  const ledger = await caller.readJson<{
    readonly orders: readonly serviceStandin.ServiceLedgerEntry[];
  }>(`http://${service.address}/ledger`);
  return ledger.orders;
}

/** Sets faults of an engine or service stand-in. */
export async function applyFaults(started: testBed.Started, faults: unknown): Promise<void> {
  await caller.readJson(`http://${started.address}/faults`, { body: faults });
}

/** Puts a relay in front of a listed endpoint; the VM list then names the relay. */
export async function startRelay(
  bed: testBed.TestBed,
  endpoint: testBed.Started,
): Promise<relay.RelayStandin> {
  const [host, port] = endpoint.address.split(":");
  const started = new relay.RelayStandin({ host: host!, port: Number(port) });
  const address = await started.start("127.0.0.1", 0);
  const index = bed.vms.findIndex((line) => line.address === endpoint.address);
  bed.vms[index] = { ...bed.vms[index]!, address };
  await bed.sendVms();
  return started;
}

/** The engine among `engines` that generates the request now. */
export async function findEngine(
  engines: readonly testBed.Started[],
  requestId: string,
): Promise<testBed.Started> {
  for (const engine of engines) {
    const { generations } = await readEngineLedger(engine);
    const isRunning = generations.some((entry) =>
      entry.attempt.startsWith(`${requestId}~`) && !entry.ended && !entry.cancelled
    );
    if (isRunning) return engine;
  }
  throw new Error(`no engine runs ${requestId}`);
}
