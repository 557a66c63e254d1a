/**
 * Detection of pauses of this process, during which the process was frozen or its machine was suspended. Silence of a peer during a pause
 * is no evidence against the peer: its messages have not been read yet, and may be as old as the pause is long.
 */
import { monotonicMs } from "./clock.js";

/** A tick that is late by more than this indicates a pause; ticks of a busy process are late by less. */
const minPauseMs = 500;
/** Messages that arrived during a pause are read within this time after its end. */
const backlogReadMs = 250;

/** Detects pauses of this process by late ticks of one periodic task. */
export class PauseDetector {
  private _tickedAtMs: number;
  private _pauseMs = 0;
  private _pauseEndedAtMs = Number.NEGATIVE_INFINITY;

  /** @param nowMs - Monotonic clock, replaced in tests. */
  constructor(
    private readonly _intervalMs: number,
    private readonly _nowMs: () => number = monotonicMs,
  ) {
    this._tickedAtMs = _nowMs();
  }

  /** Records a tick; returns the duration of the pause that ended since the previous tick, or 0. */
  noteTick(): number {
    const nowMs = this._nowMs();
    const pauseMs = this._getLatenessMs(nowMs);
    this._tickedAtMs = nowMs;
    if (pauseMs === 0) return 0;
    this._pauseMs = pauseMs;
    this._pauseEndedAtMs = nowMs;
    return pauseMs;
  }

  /**
   * Returns the duration of a pause that has just ended, even if no tick has followed yet, or 0 if there was none. The age of messages that
   * are read now may include this duration.
   */
  getRecentPauseMs(): number {
    const nowMs = this._nowMs();
    const latenessMs = this._getLatenessMs(nowMs);
    if (latenessMs > 0) return latenessMs;
    return nowMs - this._pauseEndedAtMs <= backlogReadMs ? this._pauseMs : 0;
  }

  private _getLatenessMs(nowMs: number): number {
    const latenessMs = nowMs - this._tickedAtMs - this._intervalMs;
    return latenessMs > minPauseMs ? latenessMs : 0;
  }
}
