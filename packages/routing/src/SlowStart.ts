/** Number of concurrent requests from which the endpoint is used without restriction. */
const unrestrictedRequests = 32;
/** A request without an answer no longer delays further requests after this time. */
const answerTimeoutMs = 1_000;

/**
 * Limits the concurrent requests to an endpoint that is used again: one at first, and twice as many after each answer. An endpoint has a
 * separate slow start for each reason for which it can be avoided, such as a back-off or an open circuit.
 */
export class SlowStart {
  private _allowed = Number.POSITIVE_INFINITY;
  private _unanswered = 0;
  private _startedAtMs = 0;
  private _sentAtMs = 0;

  /** Whether the slow start is over, so that the endpoint takes as many requests as any other. */
  get isOver(): boolean {
    return this._allowed >= unrestrictedRequests;
  }

  /** Restarts with a limit of one request. */
  start(nowMs: number): void {
    this._allowed = 1;
    this._unanswered = 0;
    this._startedAtMs = nowMs;
  }

  /** Returns whether no further request may be sent now. */
  isFull(nowMs: number): boolean {
    if (this.isOver || this._unanswered < this._allowed) return false;
    return nowMs - this._sentAtMs < answerTimeoutMs;
  }

  noteSent(nowMs: number): void {
    this._unanswered += 1;
    this._sentAtMs = nowMs;
  }

  /** Reverts the last call of `noteSent`, since the request was not sent after all. */
  noteNotSent(): void {
    this._unanswered = Math.max(0, this._unanswered - 1);
  }

  /** Records the answer to a request that was sent at `sentAtMs`; requests from before the start don't count. */
  noteAnswered(sentAtMs: number): void {
    if (this.isOver || sentAtMs < this._startedAtMs) return;
    this._unanswered = Math.max(0, this._unanswered - 1);
    this._allowed *= 2;
  }
}
