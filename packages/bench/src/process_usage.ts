/** Reads the CPU time and memory of a process from /proc, and fits a line to measurements. */

import * as fs from "node:fs";

export interface ProcessUsage {
  /** CPU time in user and kernel mode since the start of the process. */
  readonly cpuMs: number;
  readonly residentMb: number;
}

/** Unit of CPU time in /proc/PID/stat. */
const CLOCK_TICK_MS = 10;
/** Size of a memory page, the unit of resident memory in /proc/PID/stat. */
const PAGE_MB = 4096 / 1024 / 1024;
/** 0-based indexes in /proc/PID/stat of the fields after the command name, which ends with `)`. */
const USER_TIME_INDEX = 11;
const SYSTEM_TIME_INDEX = 12;
const RESIDENT_PAGES_INDEX = 21;

/** Reads the CPU time of the process `pid` since its start, and its resident memory. */
export function readProcessUsage(pid: number): ProcessUsage {
  const text = fs.readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
  return {
    cpuMs: (Number(fields[USER_TIME_INDEX]) + Number(fields[SYSTEM_TIME_INDEX])) * CLOCK_TICK_MS,
    residentMb: Number(fields[RESIDENT_PAGES_INDEX]) * PAGE_MB,
  };
}

/** Fits `y = intercept + slope * x` by least squares. */
export function fitLine(
  points: readonly { readonly x: number; readonly y: number }[],
): { readonly slope: number; readonly intercept: number } {
  const meanX = points.reduce((sum, point) => sum + point.x, 0) / points.length;
  const meanY = points.reduce((sum, point) => sum + point.y, 0) / points.length;
  let productSum = 0;
  let squareSum = 0;
  for (const { x, y } of points) {
    productSum += (x - meanX) * (y - meanY);
    squareSum += (x - meanX) ** 2;
  }
  const slope = squareSum === 0 ? 0 : productSum / squareSum;
  return { slope, intercept: meanY - slope * meanX };
}
