/** Clocks of the process. Durations use the monotonic clock; timestamps that leave the process use the wall clock. */
import { ElapsedClock } from "./ElapsedClock.js";

export const msPerSecond = 1000;

const elapsed = new ElapsedClock();

/** Returns the milliseconds of this process's monotonic clock, which includes the time for which the machine was suspended. */
export function monotonicMs(): number {
  return elapsed.nowMs();
}

/** Returns the milliseconds since the Unix epoch. */
export function wallMs(): number {
  return Date.now();
}
