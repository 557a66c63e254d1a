/** Sends from which on a pause is caught up with at most, so that an instance keeps its share although its requests arrive at random. */
const maxBurst = 2;

/** Paces the sends of an instance at its share of what endpoints can answer. */
export class SendPace {
  private _nextAtMs = Number.NEGATIVE_INFINITY;

  /** Returns the time until a request may be sent. */
  getWaitMs(nowMs: number): number {
    return Math.max(0, this._nextAtMs - nowMs);
  }

  /** Records a send at a rate of one in `intervalMs`. */
  noteSent(nowMs: number, intervalMs: number): void {
    this._nextAtMs = Math.max(this._nextAtMs, nowMs - (maxBurst - 1) * intervalMs) + intervalMs;
  }
}
