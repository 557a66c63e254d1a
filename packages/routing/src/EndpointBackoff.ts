import { SlowStart } from "./SlowStart.js";

/** Statuses with which an endpoint rejects a request temporarily (RFC 9110, section 15.6.4; RFC 6585, section 4). */
export const backoffStatuses: readonly number[] = [429, 503];
/** Maximum back-off: an endpoint that is unavailable for longer stops or restarts, so a longer requested time is probably a mistake. */
export const maxBackoffMs = 600_000;
/** How long after the back-off an endpoint in slow start gets no requests that cannot be retried. */
const maxRecoveryMs = 5_000;

/**
 * The back-off that one life of an endpoint has requested from this instance, followed by a slow start. Not shared with other instances,
 * whose requests the endpoint may accept.
 */
export class EndpointBackoff {
  private _fromMs = 0;
  private _untilMs = 0;
  private _isEndReported = true;
  private readonly _slowStart = new SlowStart();

  /** Monotonic time of the end of the last back-off. */
  get untilMs(): number {
    return this._untilMs;
  }

  /** Returns whether the slow start is still in progress; after `maxRecoveryMs` a slow start that lacks requests no longer counts. */
  isRecovering(nowMs: number): boolean {
    return !this._slowStart.isOver && nowMs < this._untilMs + maxRecoveryMs;
  }

  /**
   * Extends the back-off to `untilMs`. Each answer applies for its own time, so that a shorter time does not shorten the back-off.
   * @returns Whether the endpoint was not in back-off yet.
   */
  extendTo(untilMs: number, nowMs: number): boolean {
    const isNew = this.getLeftMs(nowMs) === 0;
    if (isNew) this._fromMs = nowMs;
    this._untilMs = Math.max(this._untilMs, untilMs);
    this._isEndReported = false;
    this._slowStart.start(this._untilMs);
    return isNew;
  }

  /** Returns the time until the back-off ends, or 0 if there is none. */
  getLeftMs(nowMs: number): number {
    return Math.max(0, this._untilMs - nowMs);
  }

  /** Returns whether a request may be sent now. After a back-off the slow start limits the requests. */
  maySend(nowMs: number): boolean {
    return this.getLeftMs(nowMs) === 0 && !this._slowStart.isFull(nowMs);
  }

  noteSent(nowMs: number): void {
    this._slowStart.noteSent(nowMs);
  }

  noteNotSent(): void {
    this._slowStart.noteNotSent();
  }

  noteAnswered(sentAtMs: number): void {
    this._slowStart.noteAnswered(sentAtMs);
  }

  /** Returns the duration of the last back-off at the first call after its end; otherwise returns undefined. */
  takeEndedMs(nowMs: number): number | undefined {
    if (this._isEndReported || this.getLeftMs(nowMs) > 0) return undefined;
    this._isEndReported = true;
    return this._untilMs - this._fromMs;
  }
}
