/** Clocks. Durations use the monotonic clock; stamps that others see use the wall clock. */
import { ElapsedClock } from "./ElapsedClock.js";

export const msPerSecond = 1000;

const elapsed = new ElapsedClock();

/** Milliseconds of this process's monotonic clock; the time for which the machine was suspended counts. */
export function monotonicMs(): number {
  return elapsed.nowMs();
}

/** Milliseconds since the Unix epoch. */
export function wallMs(): number {
  return Date.now();
}
