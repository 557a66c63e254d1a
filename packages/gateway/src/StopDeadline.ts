/** When an instance that stops has to end by itself, so that it is not killed at the end of its grace. */
import { utils } from "@shedtiller/common";

/** Kept for the end of the process itself. */
const leastReserveMs = 400;
/**
 * Turns may come late once more before the end: the one that notices that it is time, and the one in which the process ends. A process
 * that gets 50 ms of each 500 ms was killed after 8 s with the least reserve alone, since its turn at 7.6 s came at 8.05 s.
 */
const lateTurns = 2;
/** The reserve takes no more of the grace than this: callers may count on the rest. */
const largestReserveShare = 1 / 6;

/** One a planned stop. */
export class StopDeadline {
  private readonly _startedAtMs: number;
  private _worstLateMs = 0;

  /**
   * @param _graceMs - Time from the stop signal until the process is killed.
   * @param _nowMs - Monotonic clock, replaced in tests.
   * @param _sleep - Waits, replaced in tests.
   */
  constructor(
    private readonly _graceMs: number,
    private readonly _nowMs: () => number = utils.monotonicMs,
    private readonly _sleep: (durationMs: number) => Promise<void> = utils.sleep,
  ) {
    this._startedAtMs = _nowMs();
  }

  /** Monotonic milliseconds at which the process should begin to end. */
  get endsAtMs(): number {
    const reserveMs = leastReserveMs + lateTurns * this._worstLateMs;
    return this._startedAtMs + this._graceMs - Math.min(reserveMs, this._graceMs * largestReserveShare);
  }

  /** Whether it is time to end. */
  get isReached(): boolean {
    return this._nowMs() >= this.endsAtMs;
  }

  /** Waits, no longer than until the end, and notes how late this process gets its turn. */
  async pause(durationMs: number): Promise<void> {
    const dueAtMs = Math.min(this._nowMs() + durationMs, this.endsAtMs);
    await this._sleep(Math.max(0, dueAtMs - this._nowMs()));
    this._worstLateMs = Math.max(this._worstLateMs, this._nowMs() - dueAtMs);
  }
}
