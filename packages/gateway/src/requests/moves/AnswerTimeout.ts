/** How long this instance waits for the answer to a question. */

/** Initial timeout, for an instance that has just started and answers slowly itself. */
const maxTimeoutMs = 150;
/** Smallest timeout: a wake-up of a busy engine and one of this instance, each of which may take tens of milliseconds. */
const minTimeoutMs = 60;
/** Weights of a new answer in the mean and in the deviation, and the deviations added to the mean (RFC 6298, section 2). */
const meanWeight = 1 / 8;
const deviationWeight = 1 / 4;
const deviations = 4;

/** Adapts the timeout of questions to the times that answers take, as TCP does with its retransmission timeout. */
export class AnswerTimeout {
  private _meanMs: number | undefined;
  private _deviationMs = 0;

  /** Records the time that an answer took. */
  noteAnswer(tookMs: number): void {
    if (this._meanMs === undefined) {
      this._meanMs = tookMs;
      this._deviationMs = tookMs / 2;
      return;
    }
    this._deviationMs += (Math.abs(tookMs - this._meanMs) - this._deviationMs) * deviationWeight;
    this._meanMs += (tookMs - this._meanMs) * meanWeight;
  }

  get timeoutMs(): number {
    if (this._meanMs === undefined) return maxTimeoutMs;
    const timeoutMs = this._meanMs + deviations * this._deviationMs;
    return Math.min(maxTimeoutMs, Math.max(minTimeoutMs, timeoutMs));
  }
}
