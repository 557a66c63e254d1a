/** How long this instance waits for the answer to a question. */

/** Timeout before answers have been measured, for an instance that has just started. */
const initialTimeoutMs = 150;
/** Smallest timeout: an instance with a share of a core may be suspended for most of a scheduling period of 100 ms. */
const minTimeoutMs = 100;
/** Largest timeout; by then the report of the first engine names the engine at fault. */
const maxTimeoutMs = 500;
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
    if (this._meanMs === undefined) return initialTimeoutMs;
    const timeoutMs = this._meanMs + deviations * this._deviationMs;
    return Math.min(maxTimeoutMs, Math.max(minTimeoutMs, timeoutMs));
  }
}
