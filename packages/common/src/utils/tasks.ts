/** Helpers for tasks written straight down: abortable sleep, deadlines, and loops that end with their owner. */
import * as errors from "../errors/index.js";
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

/** Lets what has arrived meanwhile be handled, before a long computation goes on. */
export function yieldToEvents(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

/** Settles as `work` does, or rejects with `DeadlineError` after `durationMs`. The work itself is not stopped. */
export function withDeadline<T>(work: Promise<T>, durationMs: number, what: string): Promise<T> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => reject(new errors.DeadlineError(what, durationMs)), durationMs);
    work.then(
      (value) => {
        clearTimeout(timer);
        resolve(value);
      },
      (error: unknown) => {
        clearTimeout(timer);
        reject(error);
      },
    );
  });
}

/** Timers may end up to this much early; a tick that is nearer than this counts as reached. */
const timerSlackMs = 2;

/** Time until the next whole multiple of an interval, so that tasks with like intervals wake the process together. */
export function getTimeToTick(intervalMs: number, nowMs = monotonicMs()): number {
  const leftMs = intervalMs - (nowMs % intervalMs);
  // Without this a timer that ends a part of a millisecond early leads to two ticks in a row: 25 of 200 ms in 4 s instead of 20.
  return leftMs < timerSlackMs ? leftMs + intervalMs : leftMs;
}

/**
 * Runs `step` again and again until `signal` aborts, at whole multiples of `intervalMs` of the monotonic clock. A failed step
 * goes to `onError`. Measured: an idle process spends most of its time on waking up.
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

/** Waits until `condition` holds, or gives up after `timeoutMs`. Tells whether it held. */
export async function waitUntil(condition: () => boolean, timeoutMs: number, pollMs = 5): Promise<boolean> {
  const endMs = monotonicMs() + timeoutMs;
  while (!condition()) {
    if (monotonicMs() >= endMs) return false;
    await sleep(pollMs);
  }
  return true;
}
