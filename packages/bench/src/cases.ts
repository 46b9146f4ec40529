/** Cases of the policy bench: loads, faults and the manifest that all cases use. */

import * as core from "@peridotvale/core";
import type * as dispatchers from "./dispatchers.ts";
import type * as simulation from "./simulation.ts";
import * as workload from "./workload.ts";

/** A case of the policy bench: its load, and the faults that occur during the run. */
export interface BenchCase {
  readonly name: string;
  readonly load: workload.BenchLoad;
  readonly engineFaults?: readonly simulation.EngineFault[];
  readonly ownerFault?: dispatchers.OwnerFault;
  /** Time from the sending of an engine's load report to its delivery. */
  readonly reportLagMs?: number;
}

const STEADY_DURATION_MS = 40_000;
const DEFAULT_DURATION_MS = 30_000;
/** Relative request rates of the ten workspaces. */
const ONE_LARGE_RATES = [10, 1, 1, 1, 1, 1, 1, 1, 1, 1];
const THREE_LARGE_RATES = [10, 10, 10, 1, 1, 1, 1, 1, 1, 1];
const TYPICAL_RATES = [4, 3, 2, 1, 1, 1, 1, 1, 1, 1];
const FAULT_AT_MS = 10_000;

/** Manifest with two ranks, `urgent` and `patient`; the latter has a floor of 0.1. */
export const BENCH_MANIFEST = parseBenchManifest();

export const BENCH_CASES: readonly BenchCase[] = [
  {
    name: "steady",
    load: createLoad(0.32, 0.48, { durationMs: STEADY_DURATION_MS, rates: TYPICAL_RATES }),
  },
  { name: "flood_patient_5x", load: createLoad(0.5, 5) },
  { name: "flood_urgent_2x", load: createLoad(2, 0.5) },
  { name: "flood_urgent_5x", load: createLoad(5, 0.5) },
  { name: "flood_urgent_20x", load: createLoad(20, 0.5, { durationMs: 12_000 }) },
  { name: "one_large", load: createLoad(0.75, 0.75, { rates: ONE_LARGE_RATES }) },
  { name: "one_large_absent", load: createLoadWithoutLargeWorkspaces(0.75, ONE_LARGE_RATES) },
  { name: "three_large", load: createLoad(1, 1, { rates: THREE_LARGE_RATES }) },
  { name: "three_large_absent", load: createLoadWithoutLargeWorkspaces(1, THREE_LARGE_RATES) },
  {
    name: "length_shift_8x",
    load: {
      ...createLoad(0.1, 0.15, { durationMs: 110_000 }),
      lengthShiftAtMs: 30_000,
      lengthShiftFactor: 8,
    },
  },
  { name: "fault_none", load: createLoad(0.28, 0.42) },
  {
    name: "engine_dies",
    load: createLoad(0.28, 0.42),
    engineFaults: [{ type: "die", engineIndex: 3, atMs: FAULT_AT_MS }],
  },
  {
    name: "engine_reclaimed",
    load: createLoad(0.28, 0.42),
    engineFaults: [{ type: "reclaim", engineIndex: 3, atMs: FAULT_AT_MS, noticeMs: 3_000 }],
  },
  {
    name: "engine_slows_4x",
    load: createLoad(0.28, 0.42),
    engineFaults: [{
      type: "slow",
      engineIndex: 3,
      atMs: FAULT_AT_MS,
      untilMs: 20_000,
      slowdownFactor: 4,
    }],
  },
  {
    name: "owner_dies",
    load: createLoad(0.28, 0.42),
    ownerFault: { type: "owner_dies", atMs: FAULT_AT_MS, takeoverMs: 3_500 },
  },
  {
    name: "two_owners",
    load: createLoad(0.28, 0.42),
    ownerFault: { type: "two_owners", atMs: FAULT_AT_MS, untilMs: 20_000 },
  },
  { name: "reports_5s_late", load: createLoad(0.28, 0.42), reportLagMs: 5_000 },
];

function createLoad(
  urgentCapacityShare: number,
  patientCapacityShare: number,
  options: { readonly durationMs?: number; readonly rates?: readonly number[] } = {},
): workload.BenchLoad {
  return {
    durationMs: options.durationMs ?? DEFAULT_DURATION_MS,
    workspaceRates: options.rates ?? TYPICAL_RATES,
    ranks: [
      {
        rank: workload.URGENT_RANK,
        capacityShare: urgentCapacityShare,
        medianOutputTokens: 60,
        sigma: 1,
      },
      {
        rank: workload.PATIENT_RANK,
        capacityShare: patientCapacityShare,
        medianOutputTokens: 150,
        sigma: 1.3,
      },
    ],
  };
}

/** Creates the load that remains when the workspaces with a rate above 1 send no requests. */
function createLoadWithoutLargeWorkspaces(
  capacityShare: number,
  rates: readonly number[],
): workload.BenchLoad {
  const smallRates = rates.map((rate) => rate > 1 ? 0 : rate);
  const sum = (values: readonly number[]) => values.reduce((total, value) => total + value, 0);
  const remainingCapacityShare = capacityShare * sum(smallRates) / sum(rates);
  return createLoad(remainingCapacityShare, remainingCapacityShare, { rates: smallRates });
}

function parseBenchManifest(): core.Manifest {
  const workspaces = Array.from({ length: 10 }, (_, index) => `  w${index}: {}`).join("\n");
  const text = `release: 1
models:
  layout-7b: { version: v1, replicas: 8, max_output_tokens: ${workload.MAX_OUTPUT_TOKENS} }
ranks:
  urgent: { order: 0, first_token_ms: 1000, between_tokens_ms: 35, deadline_ms: 600000 }
  patient: { order: 1, first_token_ms: 20000, between_tokens_ms: 70, deadline_ms: 3600000, floor: 0.1 }
default_rank: urgent
workspaces:
${workspaces}
`;
  const parsed = core.parseManifest(text, { source: "bench" });
  core.assertInvariant(parsed.isOk(), "the bench manifest is valid");
  return parsed.value;
}
