/** How many requests go at first to an endpoint that comes back: one, and twice as many at a time after each answer. */

/** With so many at a time the endpoint is used as before. */
const enoughRequests = 32;
/** A request that has no answer for this long no longer holds up the next one. */
const unansweredMs = 1_000;

/** One for each reason for which an endpoint may have been left alone. */
export class ReturnRamp {
  private _allowed = Number.POSITIVE_INFINITY;
  private _unanswered = 0;
  private _startedAtMs = 0;
  private _sentAtMs = 0;

  /** Whether the endpoint takes as many requests as any other. */
  get isOver(): boolean {
    return this._allowed >= enoughRequests;
  }

  /** Begins with one request. */
  start(nowMs: number): void {
    this._allowed = 1;
    this._unanswered = 0;
    this._startedAtMs = nowMs;
  }

  /** Whether no further request may go there now. */
  isFull(nowMs: number): boolean {
    if (this.isOver || this._unanswered < this._allowed) return false;
    return nowMs - this._sentAtMs < unansweredMs;
  }

  noteSent(nowMs: number): void {
    this._unanswered += 1;
    this._sentAtMs = nowMs;
  }

  /** Notes that what was noted as sent was not. */
  noteNotSent(): void {
    this._unanswered = Math.max(0, this._unanswered - 1);
  }

  /** Notes an answer to a request that was sent at `sentAtMs`; older ones tell nothing of the return. */
  noteAnswered(sentAtMs: number): void {
    if (this.isOver || sentAtMs < this._startedAtMs) return;
    this._unanswered = Math.max(0, this._unanswered - 1);
    this._allowed *= 2;
  }
}
