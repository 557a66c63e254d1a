/** Measures for how long this process was held up during a wait, by the lateness of the ticks of the wait. */
export class HeldUpTime {
  private _tickedAtMs: number;
  private _totalMs = 0;

  /**
   * @param _tickMs - Time between two ticks of a process that is not held up.
   * @param startedAtMs - Monotonic time at which the wait began.
   */
  constructor(
    private readonly _tickMs: number,
    startedAtMs: number,
  ) {
    this._tickedAtMs = startedAtMs;
  }

  noteTick(nowMs: number): void {
    this._totalMs += this._getLatenessMs(nowMs);
    this._tickedAtMs = nowMs;
  }

  /** Returns the time for which the process was held up until now, including a tick that is still due. */
  getMs(nowMs: number): number {
    return this._totalMs + this._getLatenessMs(nowMs);
  }

  private _getLatenessMs(nowMs: number): number {
    return Math.max(0, nowMs - this._tickedAtMs - this._tickMs);
  }
}
