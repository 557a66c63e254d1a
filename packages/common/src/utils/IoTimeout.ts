/** Timeouts of I/O that are judged by what has arrived, and not by the time alone. */
import { monotonicMs } from "./clock.js";

/** A timer that is late by more than this shows a pause of the process; timers of a busy process are late by less. */
const minPauseMs = 50;

/** Settings of {@link IoTimeout}. */
export interface IoTimeoutOptions {
  /** Whether to wait once more after a pause of this process, for as long as the pause took, but at most for the timeout. */
  readonly isPauseExcluded?: boolean;
  /** Monotonic clock, replaced in tests. */
  readonly nowMs?: () => number;
}

/**
 * Calls a function after a timeout, unless cleared before. When the timer fires, I/O that has completed in the meantime is read first, since
 * the event loop handles expired timers first after a pause of the process: without it, a connection that is established would count as
 * not established, because nobody has looked yet.
 */
export class IoTimeout {
  private _timer: NodeJS.Timeout | undefined;
  private _immediate: NodeJS.Immediate | undefined;
  private _mayExtend: boolean;
  private readonly _nowMs: () => number;

  constructor(
    private readonly _timeoutMs: number,
    private readonly _onTimeout: () => void,
    { isPauseExcluded = false, nowMs = monotonicMs }: IoTimeoutOptions = {},
  ) {
    this._nowMs = nowMs;
    this._mayExtend = isPauseExcluded;
    this._start(_timeoutMs);
  }

  clear(): void {
    clearTimeout(this._timer);
    clearImmediate(this._immediate);
  }

  private _start(waitMs: number): void {
    const dueAtMs = this._nowMs() + waitMs;
    this._timer = setTimeout(() => {
      const lateMs = this._nowMs() - dueAtMs;
      // Immediates run after the I/O of the same turn of the event loop.
      this._immediate = setImmediate(() => this._expire(lateMs));
    }, waitMs);
  }

  private _expire(lateMs: number): void {
    if (!this._mayExtend || lateMs < minPauseMs) return this._onTimeout();
    this._mayExtend = false;
    this._start(Math.min(lateMs, this._timeoutMs));
  }
}
