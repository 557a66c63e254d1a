/** Helpers for asynchronous tasks: abortable sleep, deadlines, and periodic loops that end with an abort signal. */
import * as errors from "../errors/index.js";
import { IoTimeout } from "./IoTimeout.js";
import { monotonicMs } from "./clock.js";

/** Waits for `durationMs`, or rejects with `CancelledError` once `signal` aborts. */
export function sleep(durationMs: number, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve, reject) => {
    if (signal?.aborted === true) return reject(new errors.CancelledError("A wait"));
    const onAbort = (): void => {
      clearTimeout(timer);
      reject(new errors.CancelledError("A wait"));
    };
    const timer = setTimeout(() => {
      signal?.removeEventListener("abort", onAbort);
      resolve();
    }, durationMs);
    signal?.addEventListener("abort", onAbort, { once: true });
  });
}

/** Yields to the event loop, so that pending events are handled before a long computation continues. */
export function yieldToEvents(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

/**
 * Settles like `work`, or rejects with `DeadlineError` after `durationMs`. After a pause of this process the work goes on for as long as the
 * pause took, since what it waits for may have arrived unread. The work itself is not aborted.
 */
export function withDeadline<T>(work: Promise<T>, durationMs: number, operation: string): Promise<T> {
  return new Promise((resolve, reject) => {
    const fail = (): void => reject(new errors.DeadlineError(operation, durationMs));
    const timeout = new IoTimeout(durationMs, fail, { isPauseExcluded: true });
    work.then(
      (value) => {
        timeout.clear();
        resolve(value);
      },
      (error: unknown) => {
        timeout.clear();
        reject(error);
      },
    );
  });
}

/** Timers may fire up to this much early; a tick that is closer than this counts as reached. */
const timerSlackMs = 2;

/** Returns the milliseconds until the next whole multiple of an interval, so that tasks with equal intervals wake the process together. */
export function getTimeToTick(intervalMs: number, nowMs = monotonicMs()): number {
  const leftMs = intervalMs - (nowMs % intervalMs);
  // Without the slack, a timer that fires a fraction of a millisecond early causes two ticks in a row: 25 ticks of 200 ms in 4 s, not 20.
  return leftMs < timerSlackMs ? leftMs + intervalMs : leftMs;
}

/**
 * Runs `step` until `signal` aborts, at whole multiples of `intervalMs` of the monotonic clock. Errors of a step are passed to `onError`.
 * The ticks are aligned because an idle process spends most of its processor time on wake-ups.
 */
export async function repeat(
  intervalMs: number,
  signal: AbortSignal,
  step: () => Promise<void> | void,
  onError: (error: unknown) => void,
): Promise<void> {
  while (!signal.aborted) {
    try {
      await step();
    } catch (error) {
      if (!signal.aborted) onError(error);
    }
    if (signal.aborted) return;
    await sleep(getTimeToTick(intervalMs), signal).catch(() => undefined);
  }
}

/** Polls `condition` until it is true or `timeoutMs` has passed; returns whether it became true. */
export async function waitUntil(condition: () => boolean, timeoutMs: number, pollMs = 5): Promise<boolean> {
  const endMs = monotonicMs() + timeoutMs;
  while (!condition()) {
    if (monotonicMs() >= endMs) return false;
    await sleep(pollMs);
  }
  return true;
}
