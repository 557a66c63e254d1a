/** The rest that an endpoint has asked this instance for. Other instances may be welcome there, so that none is told. */
import { ReturnRamp } from "./ReturnRamp.js";

/** Statuses with which an endpoint turns a request away for a time (RFC 9110, section 15.6.4; RFC 6585, section 4). */
export const backoffStatuses: readonly number[] = [429, 503];
/** An endpoint that is out for longer leaves, or starts again; a longer time is more likely a slip. */
export const maxBackoffMs = 600_000;
/** A request with no second chance tries an endpoint that comes back only if nobody else has done so for this long. */
const untriedMs = 5_000;

/** One for each life of an endpoint. */
export class EndpointBackoff {
  private _fromMs = 0;
  private _untilMs = 0;
  private _isEndNoted = true;
  private readonly _ramp = new ReturnRamp();

  /** Monotonic time of the end of the last rest. */
  get untilMs(): number {
    return this._untilMs;
  }

  /** Whether it has hardly been tried since its last rest. Where nobody else tries it for a while, anyone may. */
  isUnproven(nowMs: number): boolean {
    return !this._ramp.isOver && nowMs < this._untilMs + untriedMs;
  }

  /**
   * Notes that it wants nothing until `untilMs`. Each answer binds for its own time, so that a shorter one takes nothing back.
   * @returns Whether it was not resting yet.
   */
  extendTo(untilMs: number, nowMs: number): boolean {
    const isNew = this.getLeftMs(nowMs) === 0;
    if (isNew) this._fromMs = nowMs;
    this._untilMs = Math.max(this._untilMs, untilMs);
    this._isEndNoted = false;
    this._ramp.start(this._untilMs);
    return isNew;
  }

  /** Time until the rest ends; 0 where there is none. */
  getLeftMs(nowMs: number): number {
    return Math.max(0, this._untilMs - nowMs);
  }

  /** Whether a request may go there now. After a rest few go first. */
  maySend(nowMs: number): boolean {
    return this.getLeftMs(nowMs) === 0 && !this._ramp.isFull(nowMs);
  }

  noteSent(nowMs: number): void {
    this._ramp.noteSent(nowMs);
  }

  noteNotSent(): void {
    this._ramp.noteNotSent();
  }

  noteAnswered(sentAtMs: number): void {
    this._ramp.noteAnswered(sentAtMs);
  }

  /** Gives how long the last rest lasted, once after its end. */
  takeEndedMs(nowMs: number): number | undefined {
    if (this._isEndNoted || this.getLeftMs(nowMs) > 0) return undefined;
    this._isEndNoted = true;
    return this._untilMs - this._fromMs;
  }
}
