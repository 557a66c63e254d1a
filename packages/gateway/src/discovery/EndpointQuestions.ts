import { errors, results, utils } from "@shedtiller/common";
import { HeldUpError } from "./HeldUpError.js";
import { HeldUpTime } from "./HeldUpTime.js";

/**
 * Number of ticks in the timeout of a question. Between two ticks the process reads what has arrived; a hold-up that is shorter than a tick
 * leaves the other ticks for the answer.
 */
const ticksPerTimeout = 4;
/** Longest time that a question stays open, as a multiple of its timeout. */
const limitFactor = 2;

/** Clock and timer of {@link EndpointQuestions}, replaced in tests. */
export interface QuestionClock {
  /** Monotonic clock. */
  readonly nowMs?: () => number;
  /** Resolves after a duration; rejects once the signal aborts. */
  readonly sleep?: (durationMs: number, signal: AbortSignal) => Promise<void>;
  /** Resolves once the process has read what has arrived. */
  readonly readPending?: () => Promise<void>;
}

/**
 * Asks endpoints with a timeout that leaves out the time for which this process was held up, and reads what has arrived before it decides. So
 * a process that is late waits longer, by no more than it was held up, and takes no answer that it has not read for a missing one.
 */
export class EndpointQuestions {
  private readonly _nowMs: () => number;
  private readonly _sleep: (durationMs: number, signal: AbortSignal) => Promise<void>;
  private readonly _readPending: () => Promise<void>;

  constructor({
    nowMs = utils.monotonicMs,
    sleep = utils.sleep,
    readPending = utils.yieldToEvents,
  }: QuestionClock = {}) {
    this._nowMs = nowMs;
    this._sleep = sleep;
    this._readPending = readPending;
  }

  /**
   * Asks one question; fails with `HeldUpError` if the process was held up for too long to tell whether there is an answer.
   * @param send - Sends the question, and fails with `DeadlineError` after the given limit.
   */
  async ask<T, E extends Error>(
    timeoutMs: number,
    send: (limitMs: number) => Promise<results.Result<T, E>>,
  ): Promise<results.Result<T, E | errors.DeadlineError | HeldUpError>> {
    const tickMs = timeoutMs / ticksPerTimeout;
    const limitMs = timeoutMs * limitFactor;
    const heldUp = new HeldUpTime(tickMs, this._nowMs());
    const answered = new AbortController();
    const result = await Promise.race([send(limitMs), this._wait(heldUp, tickMs, answered.signal)]);
    answered.abort();
    if (result === undefined)
      return results.Err(new errors.DeadlineError("The answer to a question", timeoutMs));
    if (result.ok || !(result.val instanceof errors.DeadlineError)) return result;
    const heldUpMs = heldUp.getMs(this._nowMs());
    return limitMs - heldUpMs < timeoutMs ? results.Err(new HeldUpError(heldUpMs)) : result;
  }

  /** Resolves at the end of the timeout, once what has arrived until then is read. */
  private async _wait(heldUp: HeldUpTime, tickMs: number, signal: AbortSignal): Promise<undefined> {
    for (let tick = 0; tick < ticksPerTimeout; tick++) {
      await this._sleep(tickMs, signal).catch(() => undefined);
      if (signal.aborted) return;
      heldUp.noteTick(this._nowMs());
    }
    await this._readPending();
  }
}
