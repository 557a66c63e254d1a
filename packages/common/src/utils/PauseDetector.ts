/**
 * Notices that this process stood still, frozen or suspended. Whoever has been silent meanwhile is not to blame: what others sent has not
 * been read yet, and is as old as the pause.
 */
import { monotonicMs } from "./clock.js";

/** A tick that comes this much late shows a pause; a busy process is late by less. */
const leastPauseMs = 500;
/** What arrived during a pause is read within this of its end. */
const readWithinMs = 250;

/** One watch a task that ticks at an interval. */
export class PauseDetector {
  private _tickedAtMs: number;
  private _pauseMs = 0;
  private _endedAtMs = Number.NEGATIVE_INFINITY;

  /** @param nowMs - Monotonic clock, replaced in tests. */
  constructor(
    private readonly _intervalMs: number,
    private readonly _nowMs: () => number = monotonicMs,
  ) {
    this._tickedAtMs = _nowMs();
  }

  /** Notes a tick; gives the pause that ended since the one before, or 0. */
  noteTick(): number {
    const nowMs = this._nowMs();
    const pauseMs = this._getLatenessMs(nowMs);
    this._tickedAtMs = nowMs;
    if (pauseMs === 0) return 0;
    this._pauseMs = pauseMs;
    this._endedAtMs = nowMs;
    return pauseMs;
  }

  /** The pause that has just ended, whether or not a tick has come since; what is read now may be older by this. */
  getRecentPauseMs(): number {
    const nowMs = this._nowMs();
    const latenessMs = this._getLatenessMs(nowMs);
    if (latenessMs > 0) return latenessMs;
    return nowMs - this._endedAtMs <= readWithinMs ? this._pauseMs : 0;
  }

  private _getLatenessMs(nowMs: number): number {
    const latenessMs = nowMs - this._tickedAtMs - this._intervalMs;
    return latenessMs > leastPauseMs ? latenessMs : 0;
  }
}
