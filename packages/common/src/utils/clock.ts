/** Clocks. Durations use the monotonic clock; stamps that others see use the wall clock. */
import { performance } from "node:perf_hooks";

export const msPerSecond = 1000;

/** Milliseconds of this process's monotonic clock. */
export function monotonicMs(): number {
  return performance.now();
}

/** Milliseconds since the Unix epoch. */
export function wallMs(): number {
  return Date.now();
}
