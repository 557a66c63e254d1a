/** Clocks of the process. Durations use the monotonic clock; timestamps that leave the process use the wall clock. */
import { ElapsedClock } from "./ElapsedClock.js";

export const msPerSecond = 1000;

const elapsed = new ElapsedClock();

/** Returns the milliseconds of this process's monotonic clock, which includes the time for which the machine was suspended. */
export function monotonicMs(): number {
  return elapsed.nowMs();
}

/**
 * Returns the milliseconds of a clock that stops while the machine is suspended. It never runs ahead of the time that has passed, while
 * `monotonicMs` may count a step of the wall clock.
 */
export function steadyMs(): number {
  return elapsed.steadyMs();
}

/** Returns the milliseconds since the Unix epoch. */
export function wallMs(): number {
  return Date.now();
}
