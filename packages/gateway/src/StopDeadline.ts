import { utils } from "@shedtiller/common";

/** Minimum reserve, for the exit of the process itself. */
const minReserveMs = 400;
/**
 * Number of turns of the event loop that may be late before the process exits: the turn that finds the deadline reached, and the turn in
 * which the process exits. With the minimum reserve alone, a process that was scheduled for 50 ms of every 500 ms was killed after 8 s,
 * because its turn at 7.6 s came at 8.05 s.
 */
const lateTurns = 2;
/** Maximum share of the grace period that the reserve takes, so that callers can rely on the rest. */
const maxReserveShare = 1 / 6;

/**
 * Computes when a stopping instance has to exit by itself, so that it is not killed at the end of its grace period. The reserve before that
 * grows with the observed delays of the event loop.
 */
export class StopDeadline {
  private readonly _startedAtMs: number;
  private _maxDelayMs = 0;

  /**
   * @param _graceMs - Time from the stop signal until the process is killed.
   * @param _nowMs - Monotonic clock, replaced in tests.
   * @param _sleep - Waits for a time, replaced in tests.
   */
  constructor(
    private readonly _graceMs: number,
    private readonly _nowMs: () => number = utils.monotonicMs,
    private readonly _sleep: (durationMs: number) => Promise<void> = utils.sleep,
  ) {
    this._startedAtMs = _nowMs();
  }

  /** Monotonic time in milliseconds at which the process should begin to exit. */
  get endsAtMs(): number {
    const reserveMs = minReserveMs + lateTurns * this._maxDelayMs;
    return this._startedAtMs + this._graceMs - Math.min(reserveMs, this._graceMs * maxReserveShare);
  }

  /** Whether the process should exit now. */
  get isReached(): boolean {
    return this._nowMs() >= this.endsAtMs;
  }

  /** Sleeps, at most until the deadline, and records by how much the event loop delayed the wake-up. */
  async pause(durationMs: number): Promise<void> {
    const dueAtMs = Math.min(this._nowMs() + durationMs, this.endsAtMs);
    await this._sleep(Math.max(0, dueAtMs - this._nowMs()));
    this._maxDelayMs = Math.max(this._maxDelayMs, this._nowMs() - dueAtMs);
  }
}
